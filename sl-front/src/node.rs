//! What the ports need of the daemon behind them.

use std::future::Future;

use sl_base::Millis;

/// The daemon behind the ports.
pub trait Daemon: Clone + Send + Sync + 'static {
    /// Whether the balancer may send new work.
    fn is_ready(&self) -> bool;

    /// The metrics in OpenMetrics text.
    fn metrics(&self) -> impl Future<Output = String> + Send;

    /// The status report as JSON, or none where the daemon is on its way out.
    fn status(&self) -> impl Future<Output = Option<String>> + Send;

    /// The report on service-level burn as JSON, or none where the daemon is on its way out.
    fn report(&self) -> impl Future<Output = Option<String>> + Send;

    /// Begins a planned stop; everything still under way `within` from now is cut off. False
    /// where the daemon is on its way out already.
    fn drain(&self, within: Option<Millis>) -> impl Future<Output = bool> + Send;
}
