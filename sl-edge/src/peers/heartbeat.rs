//! When an instance sends its state to its peers.

use sl_base::{Millis, Timestamp};

/// The interval between two messages with the sender's state. Peers learn from it which changes of
/// the platform's store they lack, however many notes are sent meanwhile.
pub const HEARTBEAT_INTERVAL: Millis = Millis(200);

/// The time of the next heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat {
    due_at: Timestamp,
}

impl Heartbeat {
    /// The first heartbeat is due at `now`.
    pub fn new(now: Timestamp) -> Heartbeat {
        Heartbeat { due_at: now }
    }

    /// Whether the messages that are sent at `now` have to contain the sender's state.
    pub fn take_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.due_at.is_due(now);
        if is_due {
            self.due_at = now.after(HEARTBEAT_INTERVAL);
        }
        is_due
    }
}
