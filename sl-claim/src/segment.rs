//! The value of a shard's keys in the platform's service.
//!
//! Each shard has one open segment under a key that is never removed, and archives of the
//! segments that were sealed before it. Every claim is decided by a compare-and-swap on
//! the open key alone. Archives are written once, between the seal and the start of the
//! next segment, and only those that the open segment counts as live are ever read.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sl_base::{Timestamp, hash::KeyHash};

use crate::Token;

/// The open or an archived segment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Its number in the shard's chain.
    pub seq: u64,
    /// The first archive whose records still count.
    pub first_live: u64,
    /// The first archive that may not be deleted yet.
    pub first_kept: u64,
    /// Whether it takes no more records: it is archived, and the next one opens.
    pub sealed: bool,
    /// The time of its newest record, or of the newest before it.
    pub newest: Timestamp,
    /// The records in the order in which they took effect.
    pub records: Vec<Record>,
}

/// A record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key that it concerns.
    pub key: KeyHash,
    /// The claimant.
    pub token: Token,
    /// What it says.
    pub what: What,
}

/// What a [`Record`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// The token claims the key.
    Claim,
    /// The token's request has an outcome.
    Outcome(Fate),
}

/// The outcome of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fate {
    /// It ran, with this HTTP status.
    Ran {
        /// The backend server's HTTP status.
        status: u16,
    },
    /// It did not run and never will: the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a segment cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the value is no segment of claims: {0}")]
pub struct Error(#[from] postcard::Error);

impl Segment {
    /// The segment that `value` holds.
    ///
    /// # Errors
    ///
    /// Where `value` is not an encoded segment.
    pub fn decode(value: &[u8]) -> Result<Segment, Error> {
        Ok(postcard::from_bytes(value)?)
    }

    /// The value for the platform's service.
    pub fn encode(&self) -> Bytes {
        // A segment has only plain fields, so that encoding into memory cannot fail.
        postcard::to_stdvec(self).map_or_else(|_| Bytes::new(), Bytes::from)
    }
}

/// The key of a shard's open segment.
pub fn open_key(shard: u16) -> String {
    format!("claims/{shard}/open")
}

/// The key of a shard's archived segment `seq`.
pub fn archive_key(shard: u16, seq: u64) -> String {
    format!("claims/{shard}/{seq}")
}
