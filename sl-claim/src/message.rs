//! What instances tell each other about claims.

use serde::{Deserialize, Serialize};
use sl_base::hash::KeyHash;

use crate::{Token, segment::Fate};

/// A message between peers. Any may be lost, repeated, late or out of order: the token in
/// it names whom it concerns, and only the process that made the token dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the shard's owner to write a claim on the sender's behalf.
    Claim {
        /// The key to claim.
        key: KeyHash,
        /// The claimant.
        token: Token,
    },
    /// Tells the claimant what stands.
    Claimed {
        /// The claimant.
        token: Token,
        /// What stands.
        verdict: Verdict,
    },
    /// Asks the shard's owner to record an outcome.
    Settle {
        /// The claimed key.
        key: KeyHash,
        /// The claimant.
        token: Token,
        /// The outcome.
        fate: Fate,
    },
    /// Tells the claimant that its outcome is recorded.
    Settled {
        /// The claimant.
        token: Token,
    },
}

/// What stands on a key from one claimant's point of view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claimant's own claim.
    Granted,
    /// A claim whose request ran.
    Ran {
        /// The backend server's HTTP status.
        status: u16,
    },
    /// A claim of which nothing more is known.
    Unknown,
}
