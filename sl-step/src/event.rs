//! What the adapters tell the reducer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sl_base::{
    AttemptId, Incarnation, InstanceId, RequestId, TeamId, Timestamp,
    call::{CallId, Reply},
    hash::{Fingerprint, KeyHash},
    listing::Listing,
};
use sl_config::Policy;

use crate::Message;

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// A deadline that [`State::due`](crate::State::due) named may have come.
    Tick,
    /// A caller's request was read whole and passed the checks at the door.
    Arrived(Arrival),
    /// The caller went away.
    CallerGone {
        /// The caller's request.
        request: RequestId,
    },
    /// The backend server's status and headers came, and the answer is on its way to the caller.
    Answering {
        /// The attempt that is answered.
        attempt: AttemptId,
    },
    /// An answer went on; sent once a while, not for every piece.
    Progress {
        /// The attempt that goes on.
        attempt: AttemptId,
        /// Service so far, in the route's cost unit.
        units: u64,
    },
    /// An attempt ended. Each [`Effect::Dispatch`](crate::Effect::Dispatch) gets just one.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A peer's message came.
    Message {
        /// The peer.
        from: InstanceId,
        /// The peer's life.
        incarnation: Incarnation,
        /// What it says.
        message: Message,
    },
    /// A peer confirmed an [`Effect::Send`](crate::Effect::Send).
    PeerAnswered {
        /// The peer.
        peer: InstanceId,
        /// When the confirmed message left.
        sent_at: Timestamp,
    },
    /// A peer did not confirm an [`Effect::Send`](crate::Effect::Send) in time.
    PeerSilent {
        /// The peer.
        peer: InstanceId,
    },
    /// The platform's list was read.
    Listed(Arc<Listing>),
    /// The platform's list is still at the version that is known.
    ListUnchanged,
    /// The platform's list could not be read.
    ListFailed,
    /// The platform's key-value service answered, or the call's deadline passed.
    Replied {
        /// The call's id in its [`Effect::Call`](crate::Effect::Call).
        id: CallId,
        /// What came of it.
        reply: Reply,
    },
    /// A planned stop begins.
    Stop {
        /// When what is still under way is cut off.
        cut_by: Timestamp,
    },
}

/// A caller's request as the reducer sees it; the adapter keeps headers and body.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Its id, unique in this life.
    pub request: RequestId,
    /// Whose it is.
    pub team: TeamId,
    /// How it is run.
    pub policy: Policy,
    /// Its idempotency key, where it brings one.
    pub key: Option<KeyHash>,
    /// By what it is known again if it crashes servers.
    pub fingerprint: Fingerprint,
    /// The body's size in bytes.
    pub bytes: u64,
    /// The cost that the caller or the route expects, in the route's cost unit.
    pub hint: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// No connection came about, or its deadline passed first: no byte of the request left.
    NotSent,
    /// The whole answer came and was passed on.
    Complete {
        /// The backend server's HTTP status.
        status: u16,
        /// The service in all, in the route's cost unit.
        units: u64,
    },
    /// The connection broke after the request may have left and before the answer began.
    LostBeforeAnswer,
    /// The connection broke while the answer was passed on.
    LostMidway {
        /// Service until then.
        units: u64,
    },
    /// No first byte before the deadline.
    FirstByteTimeout,
    /// The answer stood still until the deadline.
    IdleTimeout {
        /// Service until then.
        units: u64,
    },
    /// The request's last deadline passed.
    TotalTimeout {
        /// Service until then.
        units: u64,
    },
    /// The answer carried another attempt's id and was dropped.
    Crossed,
    /// The reducer asked for the end ([`Effect::Abort`](crate::Effect::Abort)).
    Aborted {
        /// Service until then.
        units: u64,
    },
}
