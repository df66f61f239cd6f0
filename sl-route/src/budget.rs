//! The fleet's budget of retries, as the part of it that this instance may use.
//!
//! The parts add up to no more than the whole: an instance counts the requests that it took
//! in itself, and its part of the allowance is that of the largest fleet it has lately seen,
//! so that a wrong view of the members does not overdraw the budget.

use std::collections::{HashMap, VecDeque};

use sl_base::{Millis, PoolId, Timestamp};

/// The bound that the operator sets on the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries for each request to a service.
    pub ratio: f64,
    /// Retries to a service besides, for each window.
    pub allowance: f64,
    /// The window over which both are counted.
    pub window: Millis,
}

impl Default for Options {
    fn default() -> Options {
        Options { ratio: 0.1, allowance: 10.0, window: Millis(10_000) }
    }
}

/// What this instance has used of the budget.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    instances: usize,
    services: HashMap<PoolId, ServiceUsage>,
}

#[derive(Clone, Debug, Default)]
struct ServiceUsage {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// The size of a fleet of which nothing is known yet.
const INSTANCES_DEFAULT: usize = 16;

/// The part of the bound that is used at most: other instances count by other clocks.
const USABLE_FRACTION: f64 = 0.8;

impl Budget {
    /// A budget of which nothing is used.
    pub fn new(options: Options) -> Budget {
        Budget { options, instances: INSTANCES_DEFAULT, services: HashMap::new() }
    }

    /// Sets the bound.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Sets the size of the fleet.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Timestamp, service: PoolId) {
        let usage = self.service_usage(now, service);
        usage.requests.push_back(now);
    }

    /// Retries to `service` that are left at `now`.
    pub fn available(&mut self, now: Timestamp, service: PoolId) -> f64 {
        let Options { ratio, allowance, .. } = self.options;
        let allowance = allowance / self.instances as f64;
        let usage = self.service_usage(now, service);
        let bound = ratio * usage.requests.len() as f64 + allowance;
        bound * USABLE_FRACTION - usage.retries.len() as f64
    }

    /// Takes one retry to `service`, where one is left.
    pub fn try_take(&mut self, now: Timestamp, service: PoolId) -> bool {
        if self.available(now, service) < 1.0 {
            return false;
        }
        self.service_usage(now, service).retries.push_back(now);
        true
    }

    fn service_usage(&mut self, now: Timestamp, service: PoolId) -> &mut ServiceUsage {
        let window = self.options.window;
        let usage = self.services.entry(service).or_default();
        for times in [&mut usage.requests, &mut usage.retries] {
            while times.front().is_some_and(|it| it.after(window).is_due(now)) {
                times.pop_front();
            }
        }
        usage
    }
}
