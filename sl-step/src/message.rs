//! What instances tell each other.

use serde::{Deserialize, Serialize};
use sl_base::Revision;

/// A message between peers. Any may be lost, repeated, late or out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The revision that the sender runs.
    Running(Revision),
}
