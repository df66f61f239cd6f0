//! What the reducer wants done.

use std::{net::SocketAddr, sync::Arc};

use sl_base::{Millis, RequestId, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::{Fault, ServerKey};

/// Something that is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        target: Target,
    },
    /// Tell the caller that the request was not run, and when to come back.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Refusal,
        /// When to come back.
        retry_after: Millis,
    },
    /// Tell the caller that the request failed and may have run; cut a begun answer off.
    Fail {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Failure,
    },
    /// Pass on the server's own failure, which was kept back.
    ForwardServerError {
        /// The request.
        request: RequestId,
    },
    /// Ask an engine what it keeps.
    ListCache {
        /// The engine.
        server: ServerKey,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Write down what was decided.
    Log(Decision),
}

/// A server to send to, and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server.
    pub server: ServerKey,
    /// Its id, which it checks.
    pub id: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// An engine from which it fetches parts of the prompt that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// When its answer has to have begun.
    pub response_deadline: Timestamp,
    /// Whether another server may still be tried.
    pub may_retry: bool,
}

/// Why a request was refused without having run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No server would answer it in time.
    Overload,
    /// Its team has more than its share already, and others wait.
    TeamOverShare,
    /// No server of the service is known.
    NoServer,
    /// Every server that was tried turned it away.
    TurnedAway,
    /// Too little of the caller's time is left.
    TooLate,
    /// The instance holds too many requests.
    InstanceFull,
}

/// Why a request failed although it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The server's answer was lost.
    #[strum(serialize = "lost")]
    ConnectionLost,
    /// The server's answer was no answer to this request.
    #[strum(serialize = "garbled")]
    InvalidResponse,
    /// No answer came in time.
    Timeout,
    /// The request crashes the servers that run it.
    #[strum(serialize = "crashes")]
    CrashesServers,
}

/// A decision, with what it was made on, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request was sent.
    AttemptSent {
        /// The request.
        request: RequestId,
        /// The server's id.
        server: Arc<str>,
        /// Which attempt it is, from 1.
        attempt: u32,
        /// Expected milliseconds to the first byte.
        expected_ms: f64,
        /// Milliseconds of work before it.
        backlog_ms: f64,
        /// Prompt tokens to be read.
        prefill_tokens: u32,
        /// Prompt tokens to be fetched from another engine.
        fetch_tokens: u32,
        /// Servers that were looked at.
        candidates: usize,
        /// Milliseconds since anything was learnt of the server's work.
        view_age_ms: f64,
    },
    /// The first byte of an answer came.
    ResponseStarted {
        /// The request.
        request: RequestId,
        /// The server's id.
        server: Arc<str>,
        /// Milliseconds that it took from the sending.
        took_ms: f64,
        /// Milliseconds that were expected.
        expected_ms: f64,
    },
    /// A request was refused.
    RequestRefused {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Refusal,
        /// The least time to a first byte that any server promised, in milliseconds, with
        /// what others would lose by it.
        estimated_ms: f64,
        /// The time that it might have taken, in milliseconds.
        allowed_ms: f64,
        /// What its team has of its share; 1 is all of it.
        team_share: f64,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The server's id.
        server: Arc<str>,
        /// How.
        fault: Fault,
        /// What follows.
        next: NextStep,
    },
    /// A request was given up on.
    RequestFailed {
        /// The request.
        request: RequestId,
        /// Why.
        reason: Failure,
    },
    /// A server is avoided.
    ServerAvoided {
        /// The server's id.
        server: Arc<str>,
        /// What it did.
        fault: Fault,
        /// The share of its requests that is expected to fail.
        failure_rate: f64,
        /// For how long.
        for_ms: u64,
    },
    /// A server's entry appeared, changed or went.
    ServerChanged {
        /// The server's id.
        server: Arc<str>,
        /// What it is now.
        state: &'static str,
    },
    /// What an engine keeps was learnt.
    CacheKnown {
        /// The engine's id.
        server: Arc<str>,
        /// The parts that were told.
        parts: usize,
        /// Whether the engine itself told them.
        from_engine: bool,
    },
    /// A request is barred because servers died under it.
    RequestBarred {
        /// Its fingerprint.
        fingerprint: u64,
    },
    /// A peer has not been heard for too long.
    PeerSilent {
        /// The peer.
        peer: u32,
    },
}

impl Decision {
    /// The request that it is about, where it is about one.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Decision::AttemptSent { request, .. }
            | Decision::ResponseStarted { request, .. }
            | Decision::RequestRefused { request, .. }
            | Decision::AttemptFailed { request, .. }
            | Decision::RequestFailed { request, .. } => Some(*request),
            Decision::ServerAvoided { .. }
            | Decision::ServerChanged { .. }
            | Decision::CacheKnown { .. }
            | Decision::RequestBarred { .. }
            | Decision::PeerSilent { .. } => None,
        }
    }
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NextStep {
    /// Another server is tried.
    Retry,
    /// The caller is told that it was not run.
    Refuse,
    /// The caller is told that it failed.
    Fail,
    /// The caller gets the server's own failure.
    #[strum(serialize = "pass_on")]
    ForwardServerError,
}
