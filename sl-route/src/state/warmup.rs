//! Servers that are cold: they have just started, or lost what they had warmed up, and bear few
//! requests for a while. See docs/design/cold-servers.md.

use sl_base::Timestamp;

use super::State;
use crate::ServerKey;

impl State {
    /// Records that the server is cold until the given time, unless it is known to be cold for
    /// longer.
    pub fn mark_cold(&mut self, server: ServerKey, until: Timestamp) {
        if let Some(server) = self.servers.get_mut(&server) {
            server.cold_until = server.cold_until.max(until);
        }
    }
}
