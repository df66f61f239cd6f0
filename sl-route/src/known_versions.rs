//! What an instance knows of the software versions that began streams: what the version record proves, and what
//! the instance itself promises by it. See docs/design/stream-origins.md.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use sl_base::{Millis, ServiceId, Timestamp, UnixMillis, WallClock};
use strum::{Display, IntoStaticStr};

use crate::{
    stream_origin::RUN_RETENTION,
    version_record::{
        CLOCK_TOLERANCE, RECORD_RENEWAL_INTERVAL, RECORD_VALIDITY, VersionName, VersionRecord,
    },
};

/// Why a version record does not prove at which versions streams began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum NoProof {
    /// The record comes from an older copy of the store.
    EarlierEra,
    /// The writer of the record did not know all versions.
    Incomplete,
    /// Streams may have begun at other versions since the promise of the record has ended.
    Expired,
    /// The record promises more than it may by the clock of this instance.
    ClocksDiffer,
}

/// What an instance knows of the software versions that began streams, beyond the servers that it
/// has seen.
#[derive(Debug)]
pub struct KnownVersions {
    /// The era of the store; 0 before it is known.
    store_era: u64,
    wall_clock: WallClock,
    /// The record as the store has it.
    record: Option<VersionRecord>,
    /// Until then, no stream begins at a version that the record lacks: an instance that starts after the
    /// loss of all others relies on that.
    promised_until: Timestamp,
    /// When the promise is due to be renewed.
    renew_at: Timestamp,
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
    pub fn new(now: Timestamp, wall_clock: WallClock) -> KnownVersions {
        KnownVersions {
            store_era: 0,
            wall_clock,
            record: None,
            promised_until: now,
            renew_at: now,
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
        if let Some(record) = &record {
            self.apply_promise(now, record);
            if is_first {
                self.apply_first(now, record);
            } else {
                self.apply_later(now, record);
            }
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

    /// Holds this instance to what the record promises.
    fn apply_promise(&mut self, now: Timestamp, record: &VersionRecord) {
        let previous = self.record.as_ref().map(|it| it.complete_until);
        if record.complete_until == UnixMillis::default() || previous == Some(record.complete_until)
        {
            return;
        }
        let remaining = match previous {
            None => self.wall_clock.remaining(now, record.complete_until).min(RECORD_VALIDITY),
            // Made after this instance has started, so not long ago, whatever the clocks say.
            Some(_) => RECORD_VALIDITY,
        };
        if remaining > Millis(0) {
            let until = now.after(Millis(remaining.0 + CLOCK_TOLERANCE.0));
            self.promised_until = self.promised_until.max(until);
        }
        self.renew_at = now.after(RECORD_RENEWAL_INTERVAL);
    }

    /// Applies a record that was written after this instance has started: a peer which knows all versions
    /// is running, and this instance knows them from the record, too.
    fn apply_later(&mut self, now: Timestamp, record: &VersionRecord) {
        let previous = self.record.as_ref().map(|it| it.complete_until);
        let is_written = previous.is_some_and(|it| it != record.complete_until);
        if is_written && record.is_complete && record.era == self.store_era {
            self.complete_at = self.complete_at.min(now);
            self.is_complete = true;
        }
    }

    fn apply_first(&mut self, now: Timestamp, record: &VersionRecord) {
        self.is_complete = self.proof(now, record).is_ok();
        self.complete_at = if self.is_complete { now } else { now.after(RUN_RETENTION) };
        self.found = Some(record.clone()).filter(|_| self.is_complete);
    }

    /// Whether all streams that may be resumed began at versions of the record.
    ///
    /// # Errors
    ///
    /// [`NoProof`] if streams may have begun at other versions.
    pub fn proof(&self, now: Timestamp, record: &VersionRecord) -> Result<(), NoProof> {
        if record.era != self.store_era {
            return Err(NoProof::EarlierEra);
        }
        if !record.is_complete {
            return Err(NoProof::Incomplete);
        }
        let remaining = self.wall_clock.remaining(now, record.complete_until);
        if remaining == Millis(0) {
            return Err(NoProof::Expired);
        }
        if remaining.0 > RECORD_VALIDITY.0 + CLOCK_TOLERANCE.0 {
            return Err(NoProof::ClocksDiffer);
        }
        Ok(())
    }

    /// Records that a server is listed whose version the record lacks, while a promise holds. The store may
    /// execute a write late that was sent before, and whose promise begins when it was sent; later writes
    /// have the version.
    pub fn extend_promise(&mut self, now: Timestamp) {
        if !self.promised_until.is_due(now) {
            let until = now.after(Millis(RECORD_VALIDITY.0 + CLOCK_TOLERANCE.0));
            self.promised_until = self.promised_until.max(until);
        }
    }

    /// Until when no stream begins at a version that the record lacks.
    pub fn promised_until(&self) -> Timestamp {
        self.promised_until
    }

    /// The record as the store has it.
    pub fn record(&self) -> Option<&VersionRecord> {
        self.record.as_ref()
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
        let complete_until = self.wall_clock.time(now.after(RECORD_VALIDITY));
        let (era, is_complete) = (self.store_era, self.is_complete);
        let wanted = VersionRecord { era, is_complete, complete_until, services };
        let is_said = self.record.as_ref().is_some_and(|it| it.says_the_same(&wanted));
        let is_written = is_said && !self.renew_at.is_due(now);
        (!wanted.services.is_empty() && !is_written).then_some(wanted)
    }
}
