//! What the reducer asks the adapters to do.

use std::{net::SocketAddr, sync::Arc};

use sl_base::{
    AttemptId, Code, InstanceId, Millis, RequestId, ServerId, Timestamp,
    call::{Call, CallId},
};
use sl_config::Config;

use crate::Message;

/// Something to be done outside.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Run a request on a backend server and pass its answer on.
    Dispatch(Dispatch),
    /// Give the caller its final answer; a stream that has begun ends with an error.
    Answer {
        /// The caller's request.
        request: RequestId,
        /// What happened.
        code: Code,
        /// When to come back, where that helps.
        retry_after: Option<Millis>,
        /// The HTTP status of the request that ran under the same key, with
        /// [`Code::KeyRan`].
        ran_status: Option<u16>,
    },
    /// Break off an attempt; [`Event::Ended`](crate::Event::Ended) follows.
    Abort {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Send messages to a peer in one call.
    Send {
        /// The peer.
        to: InstanceId,
        /// Where its control port listens.
        address: SocketAddr,
        /// When it leaves; comes back in [`Event::PeerAnswered`](crate::Event::PeerAnswered).
        sent_at: Timestamp,
        /// What to say.
        messages: Vec<Message>,
    },
    /// Call the platform's key-value service.
    Call {
        /// Comes back in [`Event::Replied`](crate::Event::Replied).
        id: CallId,
        /// The call.
        call: Call,
        /// When to give the call up as lost.
        answer_by: Timestamp,
    },
    /// Read the platform's list.
    List {
        /// The version that is known.
        seen: u64,
    },
    /// Put a configuration in force at the door.
    Publish(Arc<Config>),
    /// Tell the balancer whether new work may come.
    Ready(bool),
    /// Log a change of state.
    Note(Note),
    /// Everything is seen through, or the deadline has come: leave.
    Exit,
}

/// An attempt to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The caller's request.
    pub request: RequestId,
    /// The attempt's id; it goes to the backend server and must come back.
    pub attempt: AttemptId,
    /// The backend server.
    pub server: ServerId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Past this the slot is no longer ours: nothing may be sent.
    pub dispatch_by: Timestamp,
    /// When the answer must have begun.
    pub first_byte_by: Timestamp,
    /// How long the answer may stand still.
    pub idle_within: Millis,
    /// When the answer must have ended.
    pub total_by: Timestamp,
}

/// A change of state that is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What changed, in a few words.
    pub what: &'static str,
    /// Whom or what it concerns.
    pub whom: String,
}
