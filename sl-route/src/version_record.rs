//! The version record: which software versions of each service serve now, or did so lately. The
//! store keeps it, so that instances which start without memory know the versions that began the
//! streams which may still be resumed. See docs/design/stream-origins.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sl_base::{Millis, ServiceId, UnixMillis};

/// The name of a software version; `None` for servers whose entries name none.
pub type VersionName = Option<Arc<str>>;

/// The software versions of each service, as written in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// The era of the store in which the record was written. In a later era, the record comes from
    /// an older copy of the store and may lack versions.
    pub era: u64,
    /// Whether the record had all versions of streams that may be resumed when it was written.
    pub is_complete: bool,
    /// Until when no stream begins at a version that the record lacks, by the clock of its writer. An
    /// instance that finds the record later knows nothing of the streams begun since. The epoch in a
    /// record that does not say.
    pub complete_until: UnixMillis,
    /// The versions that serve now or did within [`RUN_RETENTION`](crate::stream_origin::RUN_RETENTION).
    pub services: BTreeMap<ServiceId, BTreeSet<VersionName>>,
}

/// How long new streams are kept from a server whose version the record lacks, if another server can
/// take them and no record promises more. Writing the record takes some 100 ms; beyond this time the store is
/// taken to be down.
pub const RECORD_TIMEOUT: Millis = Millis(2_000);

/// For how long a record promises that no stream begins at a version that it lacks. Longer than an
/// outage of the store of some seconds together with a start of all instances.
pub const RECORD_VALIDITY: Millis = Millis(12_000);

/// The interval at which the promise of an unchanged record is renewed.
pub const RECORD_RENEWAL_INTERVAL: Millis = Millis(3_000);

/// The largest difference between the clocks of two instances at which the promise is kept: instances
/// hold themselves to it for so much longer.
pub const CLOCK_TOLERANCE: Millis = Millis(2_000);

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

    /// Whether both records name the same versions, whatever they promise for the time to come.
    pub(crate) fn says_the_same(&self, other: &VersionRecord) -> bool {
        (self.era, self.is_complete, &self.services)
            == (other.era, other.is_complete, &other.services)
    }

    /// The only version of a service; `None` if there are several or none, or if it has no name.
    pub fn only_version(&self, service: ServiceId) -> Option<&Arc<str>> {
        let mut versions = self.versions(service);
        let version = versions.next()?.as_ref();
        version.filter(|_| versions.next().is_none())
    }
}
