//! Who holds a claim.

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, InstanceId, RequestId};

/// One request within one life of one instance. No other process can ever hold an equal
/// token, so that a process reborn without memory cannot take up its forerunner's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Token {
    /// The instance that the caller's request came to.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The request.
    pub request: RequestId,
}
