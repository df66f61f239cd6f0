//! Interface from the ports to the daemon.

use std::future::Future;

use sl_base::Millis;

/// The daemon whose state the ports report and which they can drain.
pub trait Daemon: Clone + Send + Sync + 'static {
    /// Whether the load balancer may send new requests to this instance.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text format.
    fn metrics(&self) -> impl Future<Output = String> + Send;

    /// Returns the fleet's status as JSON, or `None` if the daemon is shutting down.
    fn status(&self) -> impl Future<Output = Option<String>> + Send;

    /// Returns the burn-rate report as JSON, or `None` if the daemon is shutting down.
    fn report(&self) -> impl Future<Output = Option<String>> + Send;

    /// Starts a graceful shutdown. Requests still in flight after `timeout` are cut off; `None`
    /// uses the timeout from the settings. Returns false if the daemon is already shutting down.
    fn drain(&self, timeout: Option<Millis>) -> impl Future<Output = bool> + Send;
}
