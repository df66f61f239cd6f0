//! The version record: which software versions of each service serve now, or did so lately. The
//! store keeps it, so that instances which start without memory know the versions that began the
//! streams which may still be resumed. See docs/design/stream-origins.md.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use sl_base::{Millis, ServiceId, Timestamp};

use crate::stream_origin::RUN_RETENTION;

/// The name of a software version; `None` for servers whose entries name none.
pub type VersionName = Option<Arc<str>>;

/// The software versions of each service, as written in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// The era of the store in which the record was written. In a later era, the record comes from
    /// an older copy of the store and may lack versions.
    pub era: u64,
    /// Whether the record has all versions of streams that may be resumed. Not a time, since
    /// instances have no clock in common.
    pub is_complete: bool,
    /// The versions that serve now or did within [`RUN_RETENTION`].
    pub services: BTreeMap<ServiceId, BTreeSet<VersionName>>,
}

/// The longest time for which new streams are kept from a server because the record lacks its
/// version. Writing the record takes some 100 ms; beyond this time the store is taken to be down.
pub const RECORD_TIMEOUT: Millis = Millis(2_000);

impl VersionRecord {
    /// Whether the record has this version of the service.
    pub fn contains(&self, service: ServiceId, version: &VersionName) -> bool {
        self.services.get(&service).is_some_and(|it| it.contains(version))
    }

    /// The versions of a service.
    pub fn versions(&self, service: ServiceId) -> impl Iterator<Item = &VersionName> {
        self.services.get(&service).into_iter().flatten()
    }

    /// All services with their versions.
    pub fn iter(&self) -> impl Iterator<Item = (ServiceId, &VersionName)> {
        self.services.iter().flat_map(|(&service, it)| it.iter().map(move |it| (service, it)))
    }

    /// The only version of a service; `None` if there are several or none, or if it has no name.
    pub fn only_version(&self, service: ServiceId) -> Option<&Arc<str>> {
        let mut versions = self.versions(service);
        let version = versions.next()?.as_ref();
        version.filter(|_| versions.next().is_none())
    }
}

/// What an instance knows of the software versions that began streams, beyond the servers that it
/// has seen.
#[derive(Debug)]
pub struct KnownVersions {
    /// The era of the store; 0 before it is known.
    store_era: u64,
    /// The record as the store has it.
    record: Option<VersionRecord>,
    /// Versions that the record has had, and when they are forgotten: another instance may know of
    /// servers that this one has not seen.
    recorded: HashMap<(ServiceId, VersionName), Timestamp>,
    /// The record that was found at the start, if it had all versions. What began before this
    /// instance has started began at one of these.
    found: Option<VersionRecord>,
    /// When all streams have ended that began before this instance has started.
    found_until: Timestamp,
    /// When all versions are known that may have begun streams.
    complete_at: Timestamp,
    is_complete: bool,
}

impl KnownVersions {
    /// Knows nothing yet. Without a record in the store, nothing is known to be missing.
    pub fn new(now: Timestamp) -> KnownVersions {
        KnownVersions {
            store_era: 0,
            record: None,
            recorded: HashMap::new(),
            found: None,
            found_until: now.after(RUN_RETENTION),
            complete_at: now,
            is_complete: true,
        }
    }

    /// The store is in this era. In a later one, batches are gone, so that a record of the former
    /// era no longer shows where an unknown stream began.
    pub fn set_store_era(&mut self, era: u64) {
        if era > self.store_era {
            self.store_era = era;
            self.found = None;
        }
    }

    /// Applies the record that the store has. `is_first` if this instance has just started and has
    /// seen no server yet.
    pub fn apply(&mut self, now: Timestamp, record: Option<VersionRecord>, is_first: bool) {
        if let Some(record) = record.as_ref().filter(|_| is_first) {
            self.apply_first(now, record);
        }
        let previous = self.record.take();
        for (service, version) in record.iter().flat_map(VersionRecord::iter) {
            if !previous.as_ref().is_some_and(|it| it.contains(service, version)) {
                let forget_at = now.after(RUN_RETENTION);
                self.recorded.insert((service, version.clone()), forget_at);
            }
        }
        self.record = record;
    }

    fn apply_first(&mut self, now: Timestamp, record: &VersionRecord) {
        self.is_complete = record.is_complete && record.era == self.store_era;
        self.complete_at = if self.is_complete { now } else { now.after(RUN_RETENTION) };
        self.found = Some(record.clone()).filter(|_| self.is_complete);
    }

    /// Forgets the versions that are due.
    pub fn prune(&mut self, now: Timestamp) {
        self.recorded.retain(|_, forget_at| !forget_at.is_due(now));
        self.is_complete = self.complete_at.is_due(now);
    }

    /// Whether all versions are known that may have begun streams.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Whether new streams may begin at servers of this version: the record has it, or there is no
    /// record.
    pub fn is_recorded(&self, service: ServiceId, version: &VersionName) -> bool {
        self.record.as_ref().is_none_or(|it| it.contains(service, version))
    }

    /// The versions of a service that the record has, or had lately. A version may come twice.
    pub fn versions(&self, service: ServiceId) -> impl Iterator<Item = &VersionName> {
        let remembered = self.recorded.keys().filter(move |it| it.0 == service).map(|it| &it.1);
        self.record.iter().flat_map(move |it| it.versions(service)).chain(remembered)
    }

    /// All services that the record has.
    pub fn services(&self) -> impl Iterator<Item = ServiceId> {
        self.record.iter().flat_map(|it| it.services.keys().copied())
    }

    /// The version at which all streams of the service began that nobody knows of; `None` if that
    /// does not follow from the record that was found at the start.
    pub fn only_version_found(&self, now: Timestamp, service: ServiceId) -> Option<&Arc<str>> {
        let found = self.found.as_ref().filter(|_| !self.found_until.is_due(now))?;
        found.only_version(service)
    }

    /// The record that the store should have; `None` if it has that. `served` are the versions of
    /// the servers that are listed, or were lately.
    pub fn wanted_record<'a>(
        &'a self,
        now: Timestamp,
        served: impl Iterator<Item = (ServiceId, &'a VersionName)>,
    ) -> Option<VersionRecord> {
        let remembered = self.recorded.iter().filter(|(_, forget_at)| !forget_at.is_due(now));
        let remembered = remembered.map(|((service, version), _)| (*service, version));
        let mut services: BTreeMap<ServiceId, BTreeSet<VersionName>> = BTreeMap::new();
        for (service, version) in served.chain(remembered) {
            services.entry(service).or_default().insert(version.clone());
        }
        let wanted = VersionRecord { era: self.store_era, is_complete: self.is_complete, services };
        let is_written = wanted.services.is_empty() || self.record.as_ref() == Some(&wanted);
        (!is_written).then_some(wanted)
    }
}
