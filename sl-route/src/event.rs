//! What the reducer is told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sl_base::{PoolId, RequestId, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::{
    Document, Notes, Prompt, PromptPart, Route, ServerKey, ServerRecord, Team, budget,
    note::EngineCaches,
};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A deadline may have come.
    Tick,
    /// A caller's request was read.
    RequestArrived(Box<Arrival>),
    /// A caller left; whatever ran for it was cut off.
    CallerDisconnected {
        /// Its request.
        request: RequestId,
    },
    /// The answer of the request's current attempt began: its first event, or its head.
    ResponseStarted {
        /// The request.
        request: RequestId,
    },
    /// The request's current attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// How.
        end: AttemptEnd,
    },
    /// A higher version of the configuration.
    Document(Arc<Document>),
    /// A server's entry appeared or changed.
    ServerListed(ServerRecord),
    /// A server's entry was removed.
    ServerRemoved {
        /// The server's id.
        id: Arc<str>,
    },
    /// A server's entry went while the platform's service was away: it may only have lapsed.
    ServerMissing {
        /// The server's id.
        id: Arc<str>,
        /// When it is gone, unless it is back before.
        expires_at: Timestamp,
    },
    /// Somebody who followed the platform's service all the time knows no less: entries that
    /// are missing did not lapse, they were removed.
    RemovalsConfirmed,
    /// A peer told what happened there.
    NotesReceived {
        /// The peer.
        from: u32,
        /// What it told.
        notes: Notes,
    },
    /// An engine told what it keeps.
    CacheListed {
        /// The engine.
        server: ServerKey,
        /// The parts.
        parts: Vec<PromptPart>,
    },
    /// An engine did not tell what it keeps.
    CacheListFailed {
        /// The engine.
        server: ServerKey,
    },
    /// A peer told what it believes of engines.
    PeerCaches(EngineCaches),
    /// Limits from settings changed.
    Limits(InstanceLimits),
    /// So many instances are listed, this one included.
    InstanceCount(usize),
}

/// What settings limit.
#[derive(Clone, Copy, Debug)]
pub struct InstanceLimits {
    /// The bound on retries.
    pub budget: budget::Options,
    /// Requests that the instance holds at a time.
    pub max_in_flight: usize,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its number within this instance's life.
    pub request: RequestId,
    /// The route that was in force when it came.
    pub route: Arc<Route>,
    /// The service that the route's weights gave it to.
    pub service: PoolId,
    /// The team that asks, where the route wants one.
    pub team: Option<Arc<Team>>,
    /// When it was read.
    pub arrived_at: Timestamp,
    /// When the caller stops waiting.
    pub caller_deadline: Timestamp,
    /// The prompt of a model request.
    pub prompt: Option<Prompt>,
    /// By which a request that crashes servers is known again.
    pub fingerprint: u64,
}

impl Arrival {
    /// When it has to have its final answer.
    pub fn deadline(&self) -> Timestamp {
        self.caller_deadline.min(self.arrived_at.after(self.route.timeout))
    }

    /// How urgent it is; a team's rank goes before a route's.
    pub fn priority(&self) -> (u8, u8) {
        (self.team.as_ref().map_or(0, |it| it.priority), self.route.priority)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The caller got the server's whole answer, and it was this status.
    Completed {
        /// The status.
        status: u16,
        /// Microseconds between two events of a stream, in the mean.
        event_interval_micros: Option<u32>,
    },
    /// The attempt failed.
    Failed {
        /// How.
        fault: Fault,
        /// Whether the caller got a part of an answer already.
        is_partially_delivered: bool,
    },
}

/// What was wrong with an attempt.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// No connection came about; nothing was sent.
    NotConnected,
    /// The server said that it did not run the request: it is full.
    Full,
    /// The server said that it did not run the request: it is another one.
    #[strum(serialize = "other_server")]
    WrongServer,
    /// The connection ended without an answer.
    #[strum(serialize = "lost")]
    ConnectionLost,
    /// A connection that had been kept ended without an answer; the server may have been
    /// ending it as unused.
    #[strum(serialize = "stale")]
    StaleConnection,
    /// The connection ended within an answer.
    #[strum(serialize = "broken")]
    TruncatedResponse,
    /// The bytes were not this request's answer.
    #[strum(serialize = "garbled")]
    InvalidResponse,
    /// Nothing came in time.
    #[strum(serialize = "silent")]
    ResponseTimeout,
    /// The server answered with a failure of its own, which has not been passed on.
    ServerError,
    /// The server answered that it is in trouble, without proof that it did not run the
    /// request.
    #[strum(serialize = "unsealed")]
    UnprovenRejection,
    /// The time was up.
    #[strum(serialize = "expired")]
    DeadlineExceeded,
}

impl Fault {
    /// Whether it proves that the server did not run the request.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Fault::NotConnected | Fault::Full | Fault::WrongServer)
    }
}
