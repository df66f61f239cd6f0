//! This instance's part of the retry budget of the fleet.
//!
//! The parts of all instances add up to no more than the budget: each instance counts only
//! the requests that it received itself, and divides the allowance by the number of instances
//! that are in the fleet or were until lately, so that an incomplete view of the members does
//! not overdraw the budget.

use std::collections::{HashMap, VecDeque};

use sl_base::{Millis, ServiceId, Timestamp};

/// The operator's limit on retries, for the whole fleet.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Retries per request to a service.
    pub ratio: f64,
    /// Retries to a service per window in addition to the ratio.
    pub allowance: f64,
    /// The window over which requests and retries are counted.
    pub window: Millis,
}

impl Default for Options {
    fn default() -> Options {
        Options { ratio: 0.1, allowance: 10.0, window: Millis(10_000) }
    }
}

/// Requests and retries that this instance counted.
#[derive(Clone, Debug)]
pub struct Budget {
    options: Options,
    instances: usize,
    services: HashMap<ServiceId, ServiceUsage>,
}

/// Times of requests and retries within the window, the oldest first.
#[derive(Clone, Debug, Default)]
struct ServiceUsage {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// Fleet size assumed until the actual one is known. High, so that a new instance uses little
/// of the allowance.
const INSTANCES_DEFAULT: usize = 16;

/// Fraction of this instance's part that may be used. The margin covers differences between
/// the clocks of instances.
const USABLE_FRACTION: f64 = 0.8;

impl Budget {
    /// Creates a budget with nothing used.
    pub fn new(options: Options) -> Budget {
        Budget { options, instances: INSTANCES_DEFAULT, services: HashMap::new() }
    }

    /// Replaces the limit. Requests and retries within the new window stay counted.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Sets the number of instances in the fleet.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: Timestamp, service: ServiceId) {
        let usage = self.service_usage(now, service);
        usage.requests.push_back(now);
    }

    /// Retries to `service` that are still allowed at `now`; may be fractional or negative.
    pub fn available(&mut self, now: Timestamp, service: ServiceId) -> f64 {
        let Options { ratio, allowance, .. } = self.options;
        let allowance = allowance / self.instances as f64;
        let usage = self.service_usage(now, service);
        let bound = ratio * usage.requests.len() as f64 + allowance;
        bound * USABLE_FRACTION - usage.retries.len() as f64
    }

    /// Whether more retries to `service` are left than are used.
    pub fn is_half_left(&mut self, now: Timestamp, service: ServiceId) -> bool {
        let available = self.available(now, service);
        available > self.service_usage(now, service).retries.len() as f64
    }

    /// Takes one retry to `service` from the budget; false if none is left.
    pub fn try_take(&mut self, now: Timestamp, service: ServiceId) -> bool {
        if self.available(now, service) < 1.0 {
            return false;
        }
        self.service_usage(now, service).retries.push_back(now);
        true
    }

    fn service_usage(&mut self, now: Timestamp, service: ServiceId) -> &mut ServiceUsage {
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
