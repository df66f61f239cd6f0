//! Outputs of the reducer.

use std::{net::SocketAddr, sync::Arc};

use sl_base::{Millis, RequestId, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::{
    Fault, ServerKey,
    activity::TeamTokens,
    crash_causes::Cause,
    estimates::{AttemptCounts, AttemptKind},
    known_versions::NoProof,
    locality::LeaveReason,
};

/// An action that the caller of [`State::step`](crate::State::step) has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send the request to a server.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send it to.
        target: Target,
    },
    /// Continue the current attempt, although its server is silent.
    KeepWaiting {
        /// The request whose attempt continues.
        request: RequestId,
        /// When the reducer is asked again, unless data arrives before.
        until: Timestamp,
    },
    /// Tell the caller that the request was not run, and when to retry.
    Refuse {
        /// The request to refuse.
        request: RequestId,
        /// Why the request was refused.
        reason: Refusal,
        /// The delay after which the caller may retry.
        retry_after: Millis,
    },
    /// Tell the caller that the request failed and may have run. A response that has already
    /// started is cut off.
    Fail {
        /// The request to fail.
        request: RequestId,
        /// Why the request failed.
        reason: Failure,
    },
    /// Forward the server's error response, which was buffered while a retry was possible.
    ForwardServerError {
        /// The request whose buffered response is forwarded.
        request: RequestId,
    },
    /// Request the list of prompt parts in an engine's KV cache.
    ListCache {
        /// The engine to ask.
        server: ServerKey,
        /// The address on which the engine listens.
        address: SocketAddr,
    },
    /// Ask a server for its health, to read what the head of its response says.
    CheckHealth {
        /// The server to ask.
        server: ServerKey,
        /// The address on which the server listens.
        address: SocketAddr,
        /// The path to ask for.
        path: Arc<str>,
    },
    /// Write a decision to the log.
    Log(Decision),
}

/// The server to which an attempt is sent, and how long to wait for the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The server to which the attempt is sent.
    pub server: ServerKey,
    /// The server's id, which is sent along so that the server can reject a request that is
    /// addressed to another one.
    pub id: Arc<str>,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The engine from which the server fetches the parts of the prompt that it has not cached.
    pub fetch_from: Option<SocketAddr>,
    /// When the server counts as silent, unless the response has started.
    pub silent_at: Timestamp,
    /// Whether the request may still be retried on another server.
    pub may_retry: bool,
}

/// Why a request was refused without having been run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No server is expected to respond in time.
    Overload,
    /// The team has used more than its share while the engines are overloaded.
    TeamOverShare,
    /// No server of the service is listed as ready.
    NoServer,
    /// Every server that was tried rejected the request without running it, or every server
    /// asked this instance to wait, takes no more requests than it has got, or is cold.
    TurnedAway,
    /// Too little time is left until the caller's deadline.
    TooLate,
    /// The instance has reached its limit of requests in flight.
    InstanceFull,
    /// The request resumes a stream, and no server of the software version that began it is ready,
    /// or its route no longer leads to the service that did.
    VersionGone,
    /// The request resumes a stream, its service has servers of several software versions, and no
    /// instance knows which one began it.
    OriginUnknown,
    /// The request begins a stream, and the version record lacks the software versions of all servers
    /// that could take it.
    VersionUnrecorded,
}

/// Why a request failed although it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Failure {
    /// The connection to the server failed before the response was complete.
    #[strum(serialize = "lost")]
    ConnectionLost,
    /// The server's response was not a valid response to this request.
    #[strum(serialize = "garbled")]
    InvalidResponse,
    /// No response arrived in time.
    Timeout,
    /// Requests with this fingerprint, or with a part of this prompt, have crashed several servers.
    #[strum(serialize = "crashes")]
    CrashesServers,
}

/// A decision and the values on which it was based, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A request was sent to a server.
    AttemptSent {
        /// The request that was sent.
        request: RequestId,
        /// The id of the server to which the request was sent.
        server: Arc<str>,
        /// The number of the attempt, starting at 1.
        attempt: u32,
        /// Expected milliseconds to the first byte.
        expected_ms: f64,
        /// Expected milliseconds to the end of the response, at the length that the caller
        /// announces. The same as `expected_ms` for a server that is no engine.
        expected_end_ms: f64,
        /// Estimated milliseconds of queued work ahead of the request.
        backlog_ms: f64,
        /// Prompt tokens that the engine has to prefill.
        prefill_tokens: u32,
        /// Prompt tokens to be fetched from another engine.
        fetch_tokens: u32,
        /// The number of servers that were considered.
        candidates: usize,
        /// The age of the latest information on the server's load, in milliseconds.
        view_age_ms: f64,
        /// Whether the server is cold, so that the request used a slot of this instance.
        is_cold: bool,
        /// The part of the service's requests that leave because own servers are too few.
        data_centre_share: f64,
        /// Why the server is in another data centre; `None` if it is not.
        left_data_centre: Option<LeaveReason>,
        /// The length of the request's body.
        body_bytes: u64,
    },
    /// The first byte of a response arrived.
    ResponseStarted {
        /// The request whose response started.
        request: RequestId,
        /// The id of the server that responds.
        server: Arc<str>,
        /// What the attempt is, as far as estimates differ; `None` unless the server is an engine.
        kind: Option<AttemptKind>,
        /// Milliseconds from sending the request to the first byte.
        took_ms: f64,
        /// The expected value of `took_ms`.
        expected_ms: f64,
    },
    /// A request resumes a stream that an earlier attempt of the caller began.
    StreamResumed {
        /// The request that resumes the stream.
        request: RequestId,
        /// How it is known which servers the stream may go on at.
        known: OriginKnowledge,
        /// The software version that began the stream, if it is known and has a name.
        version: Option<Arc<str>>,
    },
    /// Where a stream began that a request resumes was deduced from the version record.
    StreamOriginDeduced {
        /// The request that resumes the stream.
        request: RequestId,
        /// The only version of the service in the record.
        version: Arc<str>,
    },
    /// This instance has read the version record for the first time.
    VersionRecordFound {
        /// The versions in the record.
        versions: Vec<Arc<str>>,
        /// Why the record does not prove at which versions streams began; `None` if it does.
        no_proof: Option<NoProof>,
    },
    /// A request was refused.
    RequestRefused {
        /// The request that was refused.
        request: RequestId,
        /// Why the request was refused.
        reason: Refusal,
        /// The lowest cost of any server: milliseconds to the first byte plus the weighted cost
        /// to other requests.
        cost_ms: f64,
        /// The lowest expected time to the first byte of any server, in milliseconds.
        expected_ms: f64,
        /// The lowest expected time to the end of the response of any server, in milliseconds.
        end_ms: f64,
        /// The limit on `cost_ms`, in milliseconds: the longest acceptable time to the first byte, or
        /// the time to the deadline if the response would begin in time and end late.
        allowed_ms: f64,
        /// The part of its share that the team has used; 1 is the whole share.
        share_usage: f64,
        /// The fraction of the requests of the route that was admitted here in the last seconds; 1
        /// without contention.
        route_admitted: f64,
    },
    /// What a team asked for at this instance in the last second, and what it got.
    TeamActivity {
        /// The counts at this instance.
        tokens: TeamTokens,
        /// The team's usage in the fleet relative to its fair share, as known here.
        share_usage: f64,
        /// What the team asks for lately relative to its fair share, as known here.
        recent_demand: f64,
        /// The fair share of the window in tokens, as known here; absent while all demand is
        /// satisfied.
        fair_share: Option<f64>,
    },
    /// How far the expected times of attempts at engines held here in the last second.
    AttemptEstimates {
        /// What these attempts are.
        kind: AttemptKind,
        /// The counts at this instance.
        counts: AttemptCounts,
    },
    /// An attempt failed; `next` tells whether the request is retried or how it ends.
    AttemptFailed {
        /// The request to which the attempt belongs.
        request: RequestId,
        /// The id of the server to which the attempt was sent.
        server: Arc<str>,
        /// The cause of the failure.
        fault: Fault,
        /// The action that follows.
        next: NextStep,
        /// Why the request is not retried; `None` if it is.
        denial: Option<RetryDenial>,
    },
    /// The server of an attempt is silent and no other one takes over, so the attempt continues.
    AttemptSilent {
        /// The request to which the attempt belongs.
        request: RequestId,
        /// The id of the server to which the attempt was sent.
        server: Arc<str>,
        /// Why the request is not sent to another server.
        denial: RetryDenial,
    },
    /// A request failed and is not retried.
    RequestFailed {
        /// The request that failed.
        request: RequestId,
        /// Why the request failed.
        reason: Failure,
    },
    /// Other servers are preferred to a server for a while.
    ServerAvoided {
        /// The id of the avoided server.
        server: Arc<str>,
        /// The fault of the attempt that led to the decision.
        fault: Fault,
        /// The expected share of the server's requests that fail, from 0 to 1.
        failure_rate: f64,
        /// How long the server is avoided, in milliseconds.
        for_ms: u64,
    },
    /// A server announced that it shuts down, and gets no new requests.
    DrainAnnounced {
        /// The id of the server.
        server: Arc<str>,
        /// Whether a peer reported it, rather than a response to this instance.
        from_peer: bool,
    },
    /// A server asked this instance to send no requests for a while.
    PauseRequested {
        /// The id of the server.
        server: Arc<str>,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// The operator has evacuated a data centre: nothing more is sent to its servers.
    DataCentreEvacuated {
        /// The name of the data centre.
        data_centre: Arc<str>,
        /// The number of its servers that are listed.
        servers: usize,
    },
    /// The evacuation of a data centre has ended.
    DataCentreReturned {
        /// The name of the data centre.
        data_centre: Arc<str>,
        /// The number of its servers that are listed.
        servers: usize,
    },
    /// The platform's store was restored from an older copy.
    StoreRestored,
    /// A server's entry in a restored store was older than the one known before, and was ignored.
    ServerEntryOutdated {
        /// The id of the server.
        server: Arc<str>,
    },
    /// A server's entry was added, changed or removed.
    ServerChanged {
        /// The id of the server whose entry changed.
        server: Arc<str>,
        /// The listed state, `gone` if the entry was removed, or `lapsed` if it did not reappear
        /// after an outage of the platform's store.
        state: &'static str,
        /// The version of the server's software, if its entry is listed and names one.
        version: Option<Arc<str>>,
    },
    /// The contents of an engine's KV cache became known.
    CacheKnown {
        /// The id of the engine that holds the parts.
        server: Arc<str>,
        /// The number of cached parts that were reported.
        parts: usize,
        /// Whether the engine itself reported the parts, rather than a peer.
        from_engine: bool,
    },
    /// A server named a limit on the requests of all instances together, or another one than before.
    LimitNamed {
        /// The id of the server.
        server: Arc<str>,
        /// Requests a second.
        per_second: f64,
        /// Whether a peer reported it, rather than a response.
        from_peer: bool,
    },
    /// The limit of a server has ended.
    LimitEnded {
        /// The id of the server.
        server: Arc<str>,
        /// Whether a peer reported it, rather than a response or the lack of any.
        from_peer: bool,
    },
    /// A server is cold and gets few requests.
    ServerCold {
        /// The id of the server.
        server: Arc<str>,
        /// For how long as far as is known, in milliseconds.
        for_ms: u64,
        /// Whether this instance is one of those that send to it.
        is_sender: bool,
    },
    /// A server is no longer cold.
    ServerWarm {
        /// The id of the server.
        server: Arc<str>,
    },
    /// A server crashed while it ran attempts of this instance.
    ServerCrashed(ServerCrash),
    /// Requests are no longer run because servers crashed under them.
    Barred(BarDecision),
    /// A bar has ended before its time, since a request with the cause completed somewhere.
    BarCleared {
        /// What was barred.
        cause: Cause,
    },
    /// A peer has sent no message for so long that it is removed, along with its attempts.
    PeerSilent {
        /// The peer's instance id.
        peer: u32,
    },
}

/// The crash of a server, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The id of the server, or the key of its run if it is no longer listed.
    pub server: Arc<str>,
    /// The number of attempts of all instances that are known to be lost.
    pub lost: usize,
    /// How many of them may have caused the crash.
    pub suspects: usize,
    /// The fingerprints of the suspects.
    pub requests: Vec<u64>,
    /// The keys of the shared prompt parts of the suspects.
    pub parts: Vec<u64>,
}

/// The bar of a request or of a prompt part, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BarDecision {
    /// What is barred.
    pub cause: Cause,
    /// The number of crashes that led to the bar, each of another run of a server.
    pub crashes: u32,
    /// How this instance knows.
    pub source: BarSource,
}

/// How an instance has learned of a bar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarSource {
    /// It has counted the crashes.
    OwnCount,
    /// A peer announced it.
    Peer,
    /// The crash record in the store has it.
    Store,
}

impl Decision {
    /// The request that the decision concerns, if it concerns a single one.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Decision::AttemptSent { request, .. }
            | Decision::StreamResumed { request, .. }
            | Decision::StreamOriginDeduced { request, .. }
            | Decision::ResponseStarted { request, .. }
            | Decision::RequestRefused { request, .. }
            | Decision::AttemptFailed { request, .. }
            | Decision::AttemptSilent { request, .. }
            | Decision::RequestFailed { request, .. } => Some(*request),
            Decision::TeamActivity { .. }
            | Decision::AttemptEstimates { .. }
            | Decision::VersionRecordFound { .. }
            | Decision::ServerAvoided { .. }
            | Decision::DrainAnnounced { .. }
            | Decision::PauseRequested { .. }
            | Decision::LimitNamed { .. }
            | Decision::LimitEnded { .. }
            | Decision::ServerCold { .. }
            | Decision::ServerWarm { .. }
            | Decision::DataCentreEvacuated { .. }
            | Decision::DataCentreReturned { .. }
            | Decision::StoreRestored
            | Decision::ServerEntryOutdated { .. }
            | Decision::ServerChanged { .. }
            | Decision::CacheKnown { .. }
            | Decision::ServerCrashed(_)
            | Decision::Barred(_)
            | Decision::BarCleared { .. }
            | Decision::PeerSilent { .. } => None,
        }
    }
}

/// What is known of the servers at which a stream that is resumed may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OriginKnowledge {
    /// It is known where the stream began.
    Origin,
    /// Nobody knows of the stream; where it began follows from the version record that the instance
    /// found at its start.
    Deduced,
    /// It is not known where, but all servers of the service have the same software version.
    OneVersion,
    /// It is not known where, and the service has servers of several software versions.
    Unknown,
}

/// Why a request is not sent to another server after an attempt on one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryDenial {
    /// The request may have run, or a part of its response was delivered, and its route does not
    /// allow it to continue elsewhere.
    NotRepeatable,
    /// Too little time is left until its deadline.
    NoTime,
    /// It was sent to as many servers as its route allows.
    NoAttemptLeft,
    /// Requests with its fingerprint, or with a part of its prompt, have crashed several servers.
    Barred,
    /// The fleet's retry budget is used up.
    BudgetUsed,
    /// No other server is expected to respond before its deadline.
    NoServer,
    /// No other server has the software version that began its stream.
    VersionGone,
}

/// The action that follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NextStep {
    /// The request is sent to another server.
    Retry,
    /// The caller is told that the request was not run.
    Refuse,
    /// The caller is told that the request failed and may have run.
    Fail,
    /// The server's error response is forwarded to the caller.
    #[strum(serialize = "pass_on")]
    ForwardServerError,
}
