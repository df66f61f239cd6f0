//! What the reducer is told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sl_base::{PoolId, RequestId, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::{Document, Notes, Part, Prompt, Record, Route, ServerKey, Team, budget, note::Beliefs};

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A deadline may have come.
    Tick,
    /// A caller's request was read.
    Arrived(Box<Arrival>),
    /// A caller left; whatever ran for it was cut off.
    CallerGone {
        /// Its request.
        request: RequestId,
    },
    /// The answer of the request's current attempt began: its first event, or its head.
    Begun {
        /// The request.
        request: RequestId,
    },
    /// The request's current attempt ended.
    Ended {
        /// The request.
        request: RequestId,
        /// How.
        end: AttemptEnd,
    },
    /// A higher version of the configuration.
    Document(Arc<Document>),
    /// A server's entry appeared or changed.
    Listed(Record),
    /// A server's entry was removed.
    Unlisted {
        /// The server's id.
        id: Arc<str>,
    },
    /// A server's entry went while the platform's service was away: it may only have lapsed.
    Lapsed {
        /// The server's id.
        id: Arc<str>,
        /// When it is gone, unless it is back before.
        gone_at: Timestamp,
    },
    /// Somebody who followed the platform's service all the time knows no less: entries that
    /// are missing did not lapse, they were removed.
    Confirmed,
    /// A peer told what happened there.
    Heard {
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
        parts: Vec<Part>,
    },
    /// An engine did not tell what it keeps.
    CacheUnlisted {
        /// The engine.
        server: ServerKey,
    },
    /// A peer told what it believes of engines.
    Told(Beliefs),
    /// Limits from settings changed.
    Limits(Limits),
    /// So many instances are listed, this one included.
    Members(usize),
}

/// What settings limit.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The bound on retries.
    pub budget: budget::Options,
    /// Requests that the instance holds at a time.
    pub held_max: usize,
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
    pub arrived: Timestamp,
    /// When the caller stops waiting.
    pub caller_until: Timestamp,
    /// The prompt of a model request.
    pub prompt: Option<Prompt>,
    /// By which a request that crashes servers is known again.
    pub fingerprint: u64,
}

impl Arrival {
    /// When it has to have its final answer.
    pub fn end_by(&self) -> Timestamp {
        self.caller_until.min(self.arrived.after(self.route.timeout))
    }

    /// How urgent it is; a team's rank goes before a route's.
    pub fn rank(&self) -> (u8, u8) {
        (self.team.as_ref().map_or(0, |it| it.rank), self.route.rank)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The caller got the server's whole answer, and it was this status.
    Answered {
        /// The status.
        status: u16,
        /// Microseconds between two events of a stream, in the mean.
        pace_micros: Option<u32>,
    },
    /// The attempt failed.
    Failed {
        /// How.
        fault: Fault,
        /// Whether the caller got a part of an answer already.
        is_delivering: bool,
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
    OtherServer,
    /// The connection ended without an answer.
    Lost,
    /// A connection that had been kept ended without an answer; the server may have been
    /// ending it as unused.
    Stale,
    /// The connection ended within an answer.
    Broken,
    /// The bytes were not this request's answer.
    Garbled,
    /// Nothing came in time.
    Silent,
    /// The server answered with a failure of its own, which has not been passed on.
    ServerError,
    /// The server answered that it is in trouble, without proof that it did not run the
    /// request.
    Unsealed,
    /// The time was up.
    Expired,
}

impl Fault {
    /// Whether it proves that the server did not run the request.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Fault::NotConnected | Fault::Full | Fault::OtherServer)
    }
}
