//! Runs of servers that must not get new requests any more, whatever the platform's store lists
//! later.
//!
//! A server announces in its responses that it shuts down, often before its entry in the store
//! says so. After a restore of the store from an older copy, the entry may even show the server
//! as ready again. A run never takes back that it shuts down: the same server comes back as
//! another run, with another key.

use sl_base::{IdMap, Millis, Timestamp};

use crate::ServerKey;

/// The runs of servers that shut down, until they are forgotten.
#[derive(Clone, Debug, Default)]
pub struct DrainingRuns(IdMap<ServerKey, Timestamp>);

/// A run is forgotten after this time. Servers end long before.
const RETENTION: Millis = Millis(600_000);

/// Bound on the number of runs tracked; the oldest is forgotten for a further one.
const RUNS_MAX: usize = 8_192;

impl DrainingRuns {
    /// Adds a run; true if it is new.
    pub fn insert(&mut self, now: Timestamp, run: ServerKey) -> bool {
        if self.0.len() >= RUNS_MAX {
            self.make_room(now);
        }
        self.0.insert(run, now.after(RETENTION)).is_none()
    }

    /// Whether the run shuts down.
    pub fn contains(&self, run: ServerKey) -> bool {
        self.0.contains_key(&run)
    }

    fn make_room(&mut self, now: Timestamp) {
        self.0.retain(|_, expires_at| !expires_at.is_due(now));
        if self.0.len() < RUNS_MAX {
            return;
        }
        let oldest = self.0.iter().min_by_key(|(_, expires_at)| **expires_at);
        if let Some(oldest) = oldest.map(|(&run, _)| run) {
            self.0.remove(&oldest);
        }
    }
}
