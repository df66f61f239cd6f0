//! The version record: which software versions of each service serve now, or did so lately. The
//! store keeps it, so that instances which start without memory know the versions that began the
//! streams which may still be resumed. See docs/design/stream-origins.md.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use sl_base::{Millis, ServiceId, Timestamp};

/// The name of a software version; `None` for servers whose entries name none.
pub type VersionName = Option<Arc<str>>;

/// The software versions of each service, as written in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionRecord {
    /// The era of the store in which the record was written. In a later era, the record comes from
    /// an older copy of the store and may lack versions.
    pub era: u64,
    /// From when on the record has all versions of streams that may be resumed. Before, it may lack
    /// versions that its writer could not know.
    pub complete_at: Timestamp,
    /// The versions that serve now or did within [`RUN_RETENTION`](crate::stream_origin::RUN_RETENTION).
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
