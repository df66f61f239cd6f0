//! The calls between instances.

use sl_base::status::InstanceStatus;
use sl_report::Snapshot;

use crate::Sealed;

/// What one instance may ask of another.
#[tarpc::service]
pub(crate) trait Control {
    /// Hands messages over; the answer says that they were taken.
    async fn deliver(messages: Vec<Sealed>);
    /// Asks what the instance says of itself.
    async fn status() -> InstanceStatus;
    /// Asks for the instance's part of the burn report.
    async fn burn() -> Snapshot;
}
