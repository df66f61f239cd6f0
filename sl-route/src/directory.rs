//! The backend servers that are listed in the platform's store.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use sl_base::{Millis, ServiceId, Timestamp};
use strum::IntoStaticStr;

use crate::ServerKey;

/// A backend server's entry in the platform's store, which the server writes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// The server's id, which may stay the same across restarts.
    pub id: Arc<str>,
    /// When the server started, in milliseconds since the Unix epoch. After a restart its queue
    /// and caches are empty.
    pub started_at_ms: u64,
    /// The service to which the server belongs.
    pub service: ServiceId,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The data centre in which the server runs.
    pub data_centre: Arc<str>,
    /// The version of the server's software; `None` if the entry names none.
    pub version: Option<Arc<str>>,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Counts the server's writes of its entry within one run; 0 if it does not count them.
    pub sequence: u64,
    /// How much longer the server is cold, from when it wrote the entry; 0 if it is not, or does not
    /// say.
    pub warmup_left: Millis,
}

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server is shutting down and only finishes the requests it already has.
    Draining,
}

impl ServerRecord {
    /// Whether this record is of an earlier run of the server than `known`.
    fn precedes_run_of(&self, known: &ServerRecord) -> bool {
        self.started_at_ms < known.started_at_ms
    }

    /// Whether this record was written before the same run reported in `listed` that it drains.
    fn takes_back_drain(&self, listed: &ServerRecord) -> bool {
        let takes_back = listed.state == ServerState::Draining && self.state == ServerState::Ready;
        takes_back && self.key() == listed.key() && self.sequence < listed.sequence
    }

    /// Whether this record was written no later than the last entry of the same run, which was
    /// removed. Unknown, and so not assumed, for a server that does not count its writes.
    fn takes_back_removal(&self, removed: &ServerRecord) -> bool {
        let is_counted = self.sequence > 0;
        is_counted && self.key() == removed.key() && self.sequence <= removed.sequence
    }

    /// Whether the same run wrote `later` after this record. A server that does not count its writes
    /// is taken to write whatever is listed.
    pub(crate) fn is_rewritten_by(&self, later: &ServerRecord) -> bool {
        let is_later = later.sequence == 0 || self.sequence < later.sequence;
        is_later && self.key() == later.key()
    }

    /// Whether the records say the same of the server, whenever they were written.
    fn says_the_same(&self, other: &ServerRecord) -> bool {
        *self == ServerRecord { sequence: self.sequence, ..other.clone() }
    }

    /// The key of this run of the server. Another software version is another run, even if the
    /// entry states the same start.
    pub fn key(&self) -> ServerKey {
        let key = ServerKey::of(&self.id, self.started_at_ms);
        self.version.as_ref().map_or(key, |it| key.of_version(it))
    }
}

/// The listed servers by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    entries: HashMap<Arc<str>, ListedServer>,
    /// Entries that were removed lately, as they were last.
    removed: HashMap<Arc<str>, RemovedServer>,
    /// Until then, entries may come from the older copy that the store was restored from.
    restore_ends_at: Timestamp,
    /// No missing entry expires before this time; `None` without one.
    next_expiry: Option<Timestamp>,
}

#[derive(Clone, Debug)]
struct RemovedServer {
    record: ServerRecord,
    removed_at: Timestamp,
}

/// How long entries are listed from a restored store that their servers may not have written
/// again.
pub(crate) const RESTORE_PERIOD: Millis = Millis(5_000);

/// How long a removed entry is remembered.
const REMOVED_RETENTION: Millis = Millis(60_000);

/// Bound on the removed entries that are remembered.
const REMOVED_MAX: usize = 8_192;

#[derive(Clone, Debug)]
struct ListedServer {
    record: ServerRecord,
    /// Set when the entry is missing after an outage of the platform's store: the entry is
    /// dropped at this time unless it reappears before.
    expires_at: Option<Timestamp>,
    /// Until when the server is cold by its entry.
    cold_until: Timestamp,
}

impl Directory {
    /// Adds or replaces an entry. Returns whether the entry is new or has changed.
    pub fn put(&mut self, record: ServerRecord) -> bool {
        let cold_until = self.cold_until(&record.id);
        let entry = ListedServer { record, expires_at: None, cold_until };
        let previous = self.entries.insert(entry.record.id.clone(), entry.clone());
        previous.is_none_or(|it| !it.record.says_the_same(&entry.record))
    }

    /// Records until when a server is cold by its entry.
    pub fn set_cold_until(&mut self, id: &str, cold_until: Timestamp) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cold_until = cold_until;
        }
    }

    /// Until when the server `id` is cold by its entry.
    pub fn cold_until(&self, id: &str) -> Timestamp {
        self.entries.get(id).map_or(Timestamp::default(), |it| it.cold_until)
    }

    /// Removes an entry. Returns whether it was listed.
    pub fn remove(&mut self, now: Timestamp, id: &str) -> bool {
        let Some((id, entry)) = self.entries.remove_entry(id) else {
            return false;
        };
        self.removed.retain(|_, it| !it.removed_at.after(REMOVED_RETENTION).is_due(now));
        if self.removed.len() < REMOVED_MAX {
            self.removed.insert(id, RemovedServer { record: entry.record, removed_at: now });
        }
        true
    }

    /// Records that the store was restored from an older copy at `now`.
    pub fn begin_restore(&mut self, now: Timestamp) {
        self.restore_ends_at = now.after(RESTORE_PERIOD);
    }

    /// Whether `record` comes from the older copy that the store was restored from: it would
    /// bring back a run that has ended, a removed entry, or a server that shuts down as ready.
    /// Servers write their entries again after a restore, with a higher sequence.
    pub fn is_outdated(&self, now: Timestamp, record: &ServerRecord) -> bool {
        if self.restore_ends_at.is_due(now) {
            return false;
        }
        match (self.get(&record.id), self.removed.get(&record.id)) {
            (Some(listed), _) => record.precedes_run_of(listed) || record.takes_back_drain(listed),
            (None, Some(removed)) => {
                record.precedes_run_of(&removed.record)
                    || record.takes_back_removal(&removed.record)
            }
            (None, None) => false,
        }
    }

    /// Marks an entry as missing after an outage of the platform's store. The entry is dropped
    /// at `expires_at` unless it reappears before.
    pub fn mark_missing(&mut self, id: &str, expires_at: Timestamp) {
        if let Some(entry) = self.entries.get_mut(id) {
            let expires_at = *entry.expires_at.get_or_insert(expires_at);
            self.next_expiry = Some(self.next_expiry.map_or(expires_at, |it| it.min(expires_at)));
        }
    }

    /// Whether a missing entry may have expired at `now`.
    pub fn has_expired(&self, now: Timestamp) -> bool {
        self.next_expiry.is_some_and(|it| it.is_due(now))
    }

    /// Lets all missing entries expire at `now`, because they are known to have been removed.
    pub fn confirm_removals(&mut self, now: Timestamp) {
        for entry in self.entries.values_mut() {
            entry.expires_at = entry.expires_at.map(|it| it.min(now));
        }
        self.next_expiry = self.next_expiry.map(|it| it.min(now));
    }

    /// Drops the missing entries that have expired at `now`, and returns their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let has_expired = |it: &ListedServer| it.expires_at.is_some_and(|at| at.is_due(now));
        let expired: Vec<Arc<str>> = self
            .entries
            .values()
            .filter(|it| has_expired(it))
            .map(|it| it.record.id.clone())
            .collect();
        for id in &expired {
            self.entries.remove(id);
        }
        self.next_expiry = self.entries.values().filter_map(|it| it.expires_at).min();
        expired
    }

    /// The records of all entries, including missing ones that have not expired.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.entries.values().map(|it| &it.record)
    }

    /// The record of the server `id`.
    pub fn get(&self, id: &str) -> Option<&ServerRecord> {
        self.entries.get(id).map(|it| &it.record)
    }
}
