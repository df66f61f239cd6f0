//! The platform's keys and leases. Versions come from one counter, so that a key which
//! was removed and made anew never has a version for the second time.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::watch, time::Instant};

#[derive(Clone, Debug)]
pub(crate) struct Store(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Tables {
    last_version: u64,
    last_lease: u64,
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Lease>,
}

#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) version: u64,
    pub(crate) value: Bytes,
    lease: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    span: Duration,
    until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    Done(u64),
    Conflict(u64),
    NoLease,
}

impl Store {
    pub(crate) fn new() -> Store {
        Store(Arc::new(Shared { tables: Mutex::default(), changed: watch::Sender::new(0) }))
    }

    pub(crate) fn get(&self, key: &str) -> Option<Entry> {
        self.lock().entries.get(key).cloned()
    }

    /// Waits until the key's version is not `seen`; none where it stays until `until`.
    pub(crate) async fn changed(
        &self,
        key: &str,
        seen: u64,
        until: Instant,
    ) -> Option<Option<Entry>> {
        let mut changed = self.0.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let entry = self.get(key);
            if entry.as_ref().map_or(0, |it| it.version) != seen {
                return Some(entry);
            }
            tokio::time::timeout_at(until, changed.changed()).await.ok()?.ok()?;
        }
    }

    pub(crate) fn put(&self, key: &str, expect: u64, value: Bytes, lease: Option<u64>) -> Written {
        let mut tables = self.lock();
        let stands = tables.version(key);
        if stands != expect {
            return Written::Conflict(stands);
        }
        if lease.is_some_and(|id| !tables.leases.contains_key(&id)) {
            return Written::NoLease;
        }
        tables.last_version += 1;
        let version = tables.last_version;
        let entry = Entry { version, value, lease };
        tables.entries.insert(key.to_owned(), entry);
        self.tell();
        Written::Done(version)
    }

    pub(crate) fn delete(&self, key: &str, expect: u64) -> Written {
        let mut tables = self.lock();
        let stands = tables.version(key);
        if stands != expect || stands == 0 {
            return Written::Conflict(stands);
        }
        tables.last_version += 1;
        tables.entries.remove(key);
        self.tell();
        Written::Done(tables.last_version)
    }

    pub(crate) fn grant(&self, span: Duration) -> u64 {
        let mut tables = self.lock();
        tables.last_lease += 1;
        let id = tables.last_lease;
        let until = Instant::now() + span;
        tables.leases.insert(id, Lease { span, until });
        tokio::spawn(self.clone().watch_lease(id));
        id
    }

    pub(crate) fn keep_alive(&self, id: u64) -> bool {
        let mut tables = self.lock();
        let Some(lease) = tables.leases.get_mut(&id) else {
            return false;
        };
        lease.until = Instant::now() + lease.span;
        true
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().entries.len()
    }

    async fn watch_lease(self, id: u64) {
        while let Some(until) = self.lapse(id) {
            tokio::time::sleep_until(until).await;
        }
    }

    // Removes the lease and its keys if it is over; else tells until when it lasts.
    fn lapse(&self, id: u64) -> Option<Instant> {
        let mut tables = self.lock();
        let until = tables.leases.get(&id)?.until;
        if until > Instant::now() {
            return Some(until);
        }
        tables.leases.remove(&id);
        tables.entries.retain(|_, it| it.lease != Some(id));
        tables.last_version += 1;
        self.tell();
        None
    }

    fn tell(&self) {
        self.0.changed.send_modify(|it| *it += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.0.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |it| it.version)
    }
}
