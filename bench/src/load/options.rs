//! The options of a simulation.

use sl_base::Millis;

use super::{policy::Policy, processor::ProcessorCosts, traffic::Load};

/// Options of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of the requests, and of all decisions that are random.
    pub seed: u64,
    /// The load that callers generate.
    pub load: Load,
    /// How instances learn about the requests of other instances.
    pub policy: Policy,
    /// Number of instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of data centres, each with an equal part of the instances and engines.
    pub data_centres: usize,
    /// Milliseconds of waiting time that one megabyte between data centres is worth.
    pub data_centre_cost_ms_per_mb: f64,
    /// Whether routes are balanced against each other under contention.
    pub balances_routes: bool,
    /// What the work of instances takes of their processors; `None` if it takes no time.
    pub processor: Option<ProcessorCosts>,
    /// How long the entry of a lost engine stays listed. The engine refuses connections meanwhile.
    pub lease: Millis,
    /// How long callers send new requests.
    pub duration: Millis,
}

impl Options {
    /// Index of the data centre of an instance or engine with this index.
    pub(super) fn data_centre(self, index: usize) -> usize {
        index % self.data_centres
    }
}
