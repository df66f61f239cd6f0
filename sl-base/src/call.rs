//! Calls to the platform's key-value service as data, so that reducers can ask for
//! them and tests can lose their answers.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The version of a value: it rises with every write to the key, and zero means that
/// the key is absent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// What a key that does not exist is at.
    pub const ABSENT: Version = Version(0);
}

/// Pairs a reply with its call, within one life of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read a key.
    Get {
        /// The key to read.
        key: String,
    },
    /// Wait until the key's version differs from `seen`, or until the service's longest wait.
    Watch {
        /// The key to watch.
        key: String,
        /// The version that the caller knows.
        seen: Version,
    },
    /// Write the key if it is still at `expect` (compare-and-swap).
    Put {
        /// The key to write.
        key: String,
        /// The version that must still stand; [`Version::ABSENT`] creates.
        expect: Version,
        /// The new value, a megabyte at most.
        value: Bytes,
    },
    /// Remove the key if it is still at `expect`.
    Delete {
        /// The key to remove.
        key: String,
        /// The version that must still stand.
        expect: Version,
    },
}

/// What came of a [`Call`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The key's value.
    Value {
        /// The version of `value`.
        version: Version,
        /// What the key holds.
        value: Bytes,
    },
    /// The key does not exist.
    Absent,
    /// A watch ended with no change.
    Unchanged,
    /// The write or removal took effect at this version.
    Done {
        /// The key's new version.
        version: Version,
    },
    /// Another write came first; nothing was written.
    Conflict {
        /// The version that stands.
        version: Version,
    },
    /// The service refused the call before doing anything (rate or size limit).
    Refused,
    /// No answer came: a write may or may not have taken effect.
    Lost,
}
