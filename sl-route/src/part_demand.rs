//! How often the shared parts of prompts are asked for at this instance, so that a cold engine gets
//! those first that warm its cache for many requests.

use std::collections::HashMap;

use sl_base::{Millis, Timestamp};

use crate::Prompt;

/// Counts of requests by the shared parts of their prompts, which are halved at intervals.
#[derive(Clone, Debug)]
pub struct PartDemand {
    counts: HashMap<u64, u32>,
    halve_at: Timestamp,
}

/// How often the counts are halved.
const HALVING_INTERVAL: Millis = Millis(5_000);

/// Bound on the number of parts; further ones are not counted.
const PARTS_MAX: usize = 4_096;

impl PartDemand {
    /// No requests so far.
    pub fn new(now: Timestamp) -> PartDemand {
        PartDemand { counts: HashMap::new(), halve_at: now.after(HALVING_INTERVAL) }
    }

    /// Counts a request.
    pub fn record(&mut self, now: Timestamp, prompt: &Prompt) {
        if self.halve_at.is_due(now) {
            self.halve_at = now.after(HALVING_INTERVAL);
            self.counts.values_mut().for_each(|it| *it /= 2);
            self.counts.retain(|_, it| *it > 0);
        }
        for part in prompt.shared_parts() {
            if self.counts.len() < PARTS_MAX || self.counts.contains_key(&part.key) {
                *self.counts.entry(part.key).or_default() += 1;
            }
        }
    }

    /// Whether all shared parts of the prompt are asked for at least as often as the mean part. A
    /// prompt without shared parts is not popular.
    pub fn is_popular(&self, prompt: &Prompt) -> bool {
        let total: u64 = self.counts.values().map(|it| u64::from(*it)).sum();
        let parts = self.counts.len() as u64;
        let count = |key| u64::from(self.counts.get(&key).copied().unwrap_or(0));
        let shared = prompt.shared_parts();
        !shared.is_empty() && shared.iter().all(|it| count(it.key) * parts >= total)
    }
}
