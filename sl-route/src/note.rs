//! Notes that instances exchange by gossip: each attempt sent, started and ended, so that all
//! instances have nearly the same view of every server. A lost note makes estimates less
//! accurate but does not affect correctness.

use serde::{Deserialize, Serialize};
use sl_base::{StreamId, TeamId};

use crate::{
    PromptPart, ServerKey,
    crash_causes::Cause,
    crash_detector::{LossPhase, LostRequest},
};

/// Identifies an attempt among all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The id of the instance that made the attempt.
    pub instance: u32,
    /// The attempt's number, unique within one run of the instance.
    pub attempt: u64,
}

/// An event on the instance that sends the note.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// A request was sent to a server.
    AttemptSent {
        /// The server to which the request was sent.
        server: ServerKey,
        /// The number of the attempt, unique within one run of the sending instance.
        attempt: u64,
        /// Prompt tokens that the server has to prefill.
        prefill_tokens: u32,
        /// The team that is charged, and the number of tokens; `None` if the request was charged
        /// for an earlier attempt or is not charged at all.
        charge: Option<(TeamId, u32)>,
        /// The parts of the prompt, which the server caches.
        parts: Vec<PromptPart>,
        /// The engine from which the server fetches cached parts, and the milliseconds until the
        /// transfer ends.
        fetch: Option<(ServerKey, u32)>,
        /// The stream that the request asks for, if it may be resumed.
        stream: Option<StreamId>,
    },
    /// The response to an attempt started.
    ResponseStarted {
        /// The server that responds.
        server: ServerKey,
        /// The number of the attempt, unique within one run of the sending instance.
        attempt: u64,
    },
    /// An attempt completed, failed or was cancelled.
    AttemptEnded {
        /// The server to which the attempt was sent.
        server: ServerKey,
        /// The number of the attempt, unique within one run of the sending instance.
        attempt: u64,
        /// The mean interval between the events of a completed stream, in microseconds.
        event_interval_micros: Option<u32>,
        /// The team that gets its charge back because no response started, and the number of
        /// tokens.
        refunded: Option<(TeamId, u32)>,
    },
    /// A request of a team was received.
    TokensRequested {
        /// The team to which the request belongs.
        team: TeamId,
        /// The tokens that the request counts against the team's share.
        tokens: u32,
    },
    /// Other servers are preferred to a server for a while because it failed.
    ServerAvoided {
        /// The avoided server; instances that receive the note avoid it as well.
        server: ServerKey,
        /// The remaining time in milliseconds.
        for_ms: u32,
    },
    /// An engine listed the contents of its KV cache.
    CacheListed {
        /// The engine that holds the parts.
        server: ServerKey,
        /// Some of the cached parts. A long list is split over several notes.
        parts: Vec<PromptPart>,
    },
    /// A server announced in a response that it shuts down.
    ServerDraining {
        /// The server, which is to get no new requests.
        server: ServerKey,
    },
    /// The connection of an attempt ended before the response was complete. The server may have
    /// crashed. Sent twice, since what a peer does not know of a crash may lead it to blame sound
    /// requests.
    AttemptLost {
        /// The server to which the attempt was sent.
        server: ServerKey,
        /// The number of the attempt, unique within one run of the sending instance.
        attempt: u64,
        /// How far the attempt had come.
        phase: LossPhase,
        /// The request that was sent.
        request: LostRequest,
        /// The keys of the shared parts of the prompt, in order; empty in
        /// [`LossPhase::Running`].
        parts: Vec<u64>,
    },
    /// Servers survived attempts that were suspected of crashing servers.
    CausesServed {
        /// The requests, and the parts of their prompts.
        causes: Vec<Cause>,
        /// Whether the attempts completed, rather than ran for longer than any that crashes its
        /// server.
        is_complete: bool,
    },
    /// Requests with a cause of crashes are no longer sent to servers.
    Barred(Bar),
    /// A server named a limit on the requests that it takes from all instances together, or has
    /// ceased to.
    ServerLimit {
        /// The server.
        server: ServerKey,
        /// Requests a second; `None` if the limit has ended.
        per_second: Option<f64>,
    },
    /// A stream began on another server than the first one that the request was sent to, or goes
    /// on for long.
    StreamBegan {
        /// The stream.
        stream: StreamId,
        /// The server, or one with the same software version.
        server: ServerKey,
    },
    /// A server is cold.
    ServerCold {
        /// The server.
        server: ServerKey,
        /// The remaining time in milliseconds.
        for_ms: u32,
    },
    /// A server refused a connection.
    ConnectionRefused {
        /// The server.
        server: ServerKey,
        /// How many probes in a row were refused; see [`Breaker`](crate::breaker::Breaker).
        refusals: u32,
    },
}

impl Note {
    /// Whether an instance that has no time for all notes needs this one. Such notes
    /// are rare, however much the fleet is asked for, and tell what may not be done. The others come
    /// with each request and make estimates more accurate.
    pub fn is_essential(&self) -> bool {
        match self {
            Note::AttemptSent { .. }
            | Note::ResponseStarted { .. }
            | Note::AttemptEnded { .. }
            | Note::TokensRequested { .. }
            | Note::CacheListed { .. } => false,
            Note::ServerAvoided { .. }
            | Note::ServerDraining { .. }
            | Note::AttemptLost { .. }
            | Note::CausesServed { .. }
            | Note::Barred(_)
            | Note::ServerLimit { .. }
            | Note::StreamBegan { .. }
            | Note::ServerCold { .. }
            | Note::ConnectionRefused { .. } => true,
        }
    }
}

/// The bar of what crashed servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bar {
    /// What is barred.
    pub cause: Cause,
    /// The remaining time in milliseconds.
    pub for_ms: u32,
    /// How often the bar was renewed after it had ended.
    pub renewals: u32,
    /// The number of crashes that led to the bar.
    pub crashes: u32,
}

/// An instance's view of the engines' KV caches, and its bars, sent to peers that have just started.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCaches {
    /// The engines and the parts they are assumed to hold, the least recently used first.
    pub engines: Vec<(ServerKey, Vec<PromptPart>)>,
    /// What is barred because it crashed servers.
    pub bars: Vec<Bar>,
}

/// A batch of notes from one instance to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notes {
    /// The notes, oldest first.
    pub notes: Vec<Note>,
}
