//! The backend servers that the platform lists.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use sl_base::{PoolId, Timestamp};
use strum::IntoStaticStr;

use crate::ServerKey;

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Its id, which it may keep over a restart.
    pub id: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch. A later start knows nothing
    /// of what the earlier one held.
    pub started_at_ms: u64,
    /// The service that it belongs to.
    pub service: PoolId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServerState {
    /// It does.
    Ready,
    /// It is leaving and finishes what it has.
    Draining,
}

impl ServerRecord {
    /// The key of this life of the server.
    pub fn key(&self) -> ServerKey {
        ServerKey::of(&self.id, self.started_at_ms)
    }
}

/// The listed servers by id.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    records: HashMap<Arc<str>, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    record: ServerRecord,
    /// Since the platform's service came back without the entry: it is gone at this time,
    /// unless it is back before.
    expires_at: Option<Timestamp>,
}

impl Directory {
    /// Takes an entry over; true where it changes anything.
    pub fn put(&mut self, record: ServerRecord) -> bool {
        let listed = Entry { record, expires_at: None };
        let before = self.records.insert(listed.record.id.clone(), listed.clone());
        before.is_none_or(|it| it.record != listed.record)
    }

    /// Drops an entry; true where it stood.
    pub fn remove(&mut self, id: &str) -> bool {
        self.records.remove(id).is_some()
    }

    /// Marks an entry that is missing after an outage of the platform's service; it is gone
    /// at `gone_at`, unless it is back before.
    pub fn mark_missing(&mut self, id: &str, gone_at: Timestamp) {
        if let Some(listed) = self.records.get_mut(id) {
            listed.expires_at.get_or_insert(gone_at);
        }
    }

    /// Counts all entries that are missing as gone at `now`.
    pub fn confirm_missing(&mut self, now: Timestamp) {
        for listed in self.records.values_mut() {
            listed.expires_at = listed.expires_at.map(|it| it.min(now));
        }
    }

    /// Drops the entries that have been missing for too long, and gives their ids.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let is_gone = |it: &Entry| it.expires_at.is_some_and(|at| at.is_due(now));
        let gone: Vec<Arc<str>> =
            self.records.values().filter(|it| is_gone(it)).map(|it| it.record.id.clone()).collect();
        for id in &gone {
            self.records.remove(id);
        }
        gone
    }

    /// All entries.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.records.values().map(|it| &it.record)
    }

    /// The entry of `id`.
    pub fn get(&self, id: &str) -> Option<&ServerRecord> {
        self.records.get(id).map(|it| &it.record)
    }
}
