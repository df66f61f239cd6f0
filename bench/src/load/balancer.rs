//! The balancer between callers and instances. It assigns the connections of a caller to an instance of
//! the caller's data centre by a hash of the caller and the seed, and takes instances out of rotation that are not
//! ready.

use sl_base::hash;

use super::options::Options;

/// What the balancer knows of the instances.
pub(super) struct Balancer {
    options: Options,
    /// For each instance, the checks in a row that found it not ready.
    misses: Vec<u32>,
}

/// Checks in a row after which an instance gets no new connections.
const MISSES_MAX: u32 = 2;

/// A data centre with less than one in so many of its instances in rotation gets all of them back.
const ROTATION_DIVISOR: usize = 2;

impl Balancer {
    pub(super) fn new(options: Options) -> Balancer {
        Balancer { options, misses: vec![0; options.instances] }
    }

    /// Records a check of an instance's readiness.
    pub(super) fn record_check(&mut self, instance: usize, is_ready: bool) {
        let misses = &mut self.misses[instance];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    /// Whether the instance gets new connections.
    pub(super) fn is_in_rotation(&self, instance: usize) -> bool {
        self.misses[instance] < MISSES_MAX
    }

    /// The instance that the connection of a caller reaches. Each retry reaches another one.
    pub(super) fn select(&self, data_centre: usize, caller: u64, retry: u32) -> usize {
        let all: Vec<u64> = (0..self.options.instances)
            .filter(|it| self.options.data_centre(*it) == data_centre)
            .map(|it| it as u64)
            .collect();
        let ready: Vec<u64> =
            all.iter().copied().filter(|it| self.is_in_rotation(*it as usize)).collect();
        let is_reduced = ready.len() * ROTATION_DIVISOR < all.len();
        let candidates = if is_reduced { all } else { ready };
        let count = candidates.len();
        let ranked =
            hash::ranked_members(hash::weight(self.options.seed, caller), candidates, count);
        ranked[retry as usize % count] as usize
    }
}
