//! The remote procedures that instances call on each other.

use serde::{Deserialize, Serialize};
use sl_base::{Millis, ServiceId, StreamId, status::InstanceStatus};
use sl_mirror::{Change, Update, UpdatePage, Version};
use sl_report::Snapshot;
use sl_route::{ServerKey, note::EngineCaches, stream_origin::StreamOrigin};

/// A page of what a peer lacks of an instance's copy of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePage {
    /// A part of the entries that changed, or of all of them.
    pub page: UpdatePage,
    /// See [`StoreUpdate::complete_in`].
    pub complete_in: Option<Millis>,
    /// See [`StoreUpdate::document`]; in the first page only.
    pub document: Option<Change>,
}

/// Some of the caches of the model engines, as an instance estimates them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CachesPage {
    /// The caches of some engines, in the order of their keys, and in the first page the bars.
    pub caches: EngineCaches,
    /// The engine after which the next page begins; `None` in the last page.
    pub next: Option<ServerKey>,
}

/// The part of an instance's copy of the platform's store that the calling peer lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// The entries that changed, or all of them.
    pub update: Update,
    /// Time until the store's entries are complete again after an outage; `None` where no
    /// recent outage was seen. Until then, the lease of a missing entry may merely have expired
    /// because of the outage; an entry that is missing afterwards was removed.
    pub complete_in: Option<Millis>,
    /// The configuration in force at the sender, if the caller has an earlier one and `update`
    /// does not contain it: a restored store may list an earlier one for a while.
    pub document: Option<Change>,
}

/// What the calling instance has of the platform's store already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStore {
    /// The version up to which the instance has every change.
    pub version: Version,
    /// The version of the configuration in force.
    pub document_version: u64,
}

/// The calls between instances. Requests are encoded by method index: the order of
/// the methods is part of the wire format.
#[tarpc::service]
pub(crate) trait Control {
    /// Returns what changed in the platform's store beyond what is `known`, or `None` where
    /// the called instance knows of nothing, is shutting down, or needs several pages for it. For
    /// instances of older builds, like the call that follows.
    async fn store_update(known: KnownStore) -> Option<StoreUpdate>;

    /// Returns the instance's estimate of the KV caches of the model engines, or `None` where
    /// the instance is shutting down.
    async fn engine_caches() -> Option<EngineCaches>;

    /// Returns the status of the called instance, or `None` where it is shutting down.
    async fn status() -> Option<InstanceStatus>;

    /// Returns the instance's part of the fleet's burn-rate report.
    async fn report_snapshot() -> Snapshot;

    /// Returns where a stream began, or `None` where the called instance does not know or is
    /// shutting down.
    async fn stream_origin(stream: StreamId) -> Option<StreamOrigin>;

    /// Returns where a stream of the service began, also if the called instance only deduces that from
    /// the version record that it found at its start; or `None`.
    async fn deduced_origin(stream: StreamId, service: ServiceId) -> Option<StreamOrigin>;

    /// Returns a page of what changed in the platform's store beyond what is `known`, from the key after
    /// `after` on, or `None` where the called instance knows of nothing or is shutting down.
    async fn store_page(known: KnownStore, after: Option<String>) -> Option<StorePage>;

    /// Returns a page of the instance's estimate of the KV caches of the model engines, from the engine after
    /// `after` on, or `None` where the instance is shutting down.
    async fn caches_page(after: Option<ServerKey>) -> Option<CachesPage>;
}
