//! The calls between instances.

use serde::{Deserialize, Serialize};
use sl_base::{Millis, status::InstanceStatus};
use sl_mirror::Contents;
use sl_report::Snapshot;
use sl_route::note::EngineCaches;

/// What an instance knows of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// What it knows.
    pub contents: Contents,
    /// Where the store was away lately: in how many milliseconds its entries are complete
    /// again, so that what is missing then is gone.
    pub settled_in: Option<Millis>,
}

/// What one instance may ask of another.
#[tarpc::service]
pub(crate) trait Control {
    /// Asks for what the instance knows of the platform's store, where that is newer than
    /// the revision that the caller knows.
    async fn contents(known: u64) -> Option<Told>;

    /// Asks what the instance believes of model engines.
    async fn beliefs() -> Option<EngineCaches>;

    /// Asks what the instance says of itself.
    async fn status() -> Option<InstanceStatus>;

    /// Asks for the instance's part of the burn report.
    async fn burn() -> Snapshot;
}
