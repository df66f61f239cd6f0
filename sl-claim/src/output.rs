//! What the claims ask for and decide.

use sl_base::{
    Code, InstanceId, Millis, RequestId, Timestamp,
    call::{Call, CallId},
};

use crate::Message;

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Call the platform's key-value service.
    Call {
        /// Comes back in [`Claims::on_reply`](crate::Claims::on_reply).
        id: CallId,
        /// The call.
        call: Call,
        /// When to give the call up as lost.
        answer_by: Timestamp,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceId,
        /// What to say.
        message: Message,
    },
    /// A claim is decided. Each [`Claims::claim`](crate::Claims::claim) gets just one.
    Decided {
        /// The caller's request.
        request: RequestId,
        /// What was decided.
        decision: Decision,
    },
    /// The outcome of a granted claim is recorded, or no longer tried to be.
    Settled {
        /// The caller's request.
        request: RequestId,
        /// Whether it is recorded. A key whose release is not recorded stays claimed, and
        /// a repeat is answered with [`Code::KeyUnknown`].
        recorded: bool,
    },
}

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// This process, and no other, may dispatch the request, once.
    Granted,
    /// The request must not be dispatched.
    Refused {
        /// The final answer.
        code: Code,
        /// The HTTP status of the request that ran, with [`Code::KeyRan`].
        status: Option<u16>,
        /// When to come back, where that helps.
        retry_after: Option<Millis>,
    },
}

/// What came of a request whose claim was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It ran.
    Ran {
        /// The backend server's HTTP status.
        status: u16,
    },
    /// No byte of it can have reached a backend server, and none ever will: the key is
    /// released.
    NotRun,
    /// It may have run.
    Unknown,
}
