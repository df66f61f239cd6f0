//! What instances tell each other: each send, first token and end, so that all have nearly
//! the same view of every server. Losing a note costs an estimate, never a promise.

use serde::{Deserialize, Serialize};
use sl_base::TeamId;

use crate::{PromptPart, ServerKey};

/// Where a request came from: an instance, and a number that it gave the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptKey {
    /// The instance.
    pub instance: u32,
    /// The attempt's number within the instance's life.
    pub attempt: u64,
}

/// One thing that happened at the sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    /// It sent a request.
    AttemptSent {
        /// Where to.
        server: ServerKey,
        /// The attempt.
        attempt: u64,
        /// Tokens that are to be read there.
        tokens: u32,
        /// The team that is charged, and how many tokens.
        charge: Option<(TeamId, u32)>,
        /// The prompt's parts.
        parts: Vec<PromptPart>,
        /// The engine that it fetches from, and in how many milliseconds that ends.
        fetch: Option<(ServerKey, u32)>,
    },
    /// An answer began.
    ResponseStarted {
        /// Where.
        server: ServerKey,
        /// The attempt.
        attempt: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Where.
        server: ServerKey,
        /// The attempt.
        attempt: u64,
        /// Microseconds between two events of a whole stream, in the mean.
        event_interval_micros: Option<u32>,
        /// The team that was charged for it and got nothing, and how many tokens.
        refunded: Option<(TeamId, u32)>,
    },
    /// A team's request arrived.
    TokensRequested {
        /// The team.
        team: TeamId,
        /// Tokens that it asks for.
        tokens: u32,
    },
    /// A server is avoided for a while.
    ServerAvoided {
        /// The server.
        server: ServerKey,
        /// For how many milliseconds more.
        for_ms: u32,
    },
    /// An engine listed what it keeps.
    CacheListed {
        /// The engine.
        server: ServerKey,
        /// Some of the parts; the others stand in other notes.
        parts: Vec<PromptPart>,
    },
    /// A server died while it ran a request.
    ServerCrashed {
        /// The request's fingerprint.
        fingerprint: u64,
    },
}

/// What an instance believes of model engines, for one that was just born.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCaches {
    /// Each engine, with the parts that it is believed to keep, the least recently used
    /// first.
    pub engines: Vec<(ServerKey, Vec<PromptPart>)>,
}

/// What an instance tells its peers at a time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Notes {
    /// The notes, oldest first.
    pub notes: Vec<Note>,
}
