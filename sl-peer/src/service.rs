//! The calls between instances.

use serde::{Deserialize, Serialize};
use sl_base::{Millis, status::InstanceStatus};
use sl_mirror::Update;
use sl_report::Snapshot;
use sl_route::note::EngineCaches;

/// What an instance knows of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// What it knows.
    pub update: Update,
    /// Where the store was away lately: in how many milliseconds its entries are complete
    /// again, so that what is missing then is gone.
    pub complete_in: Option<Millis>,
}

/// What one instance may ask of another.
#[tarpc::service]
pub(crate) trait Control {
    /// Asks for what the instance knows of the platform's store, where that is newer than
    /// the revision that the caller knows.
    async fn store_update(known: u64) -> Option<StoreUpdate>;

    /// Asks what the instance believes of model engines.
    async fn engine_caches() -> Option<EngineCaches>;

    /// Asks what the instance says of itself.
    async fn status() -> Option<InstanceStatus>;

    /// Asks for the instance's part of the burn report.
    async fn report_snapshot() -> Snapshot;
}
