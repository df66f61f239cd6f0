//! How badly an instance needs slots of a pool.

use serde::{Deserialize, Serialize};

/// The work that waits on one instance for one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Requests that wait.
    pub waiting: u32,
    /// The least fleet-wide virtual time among the teams that wait; meaningless where none does.
    pub least: u64,
}

impl Need {
    /// Nothing waits.
    pub const NONE: Need = Need { waiting: 0, least: 0 };

    /// Whether anything waits.
    pub const fn is_some(self) -> bool {
        self.waiting > 0
    }
}
