//! How much of what each route asks for is admitted at this instance.
//!
//! Under contention, routes with large requests or short targets are refused more often. A route that is refused much more
//! than the others of its service and priority gets looser limits, and one that is refused less
//! gets stricter ones (docs/design/admission-balance.md).

use std::collections::{BTreeMap, HashMap};

use sl_base::{ServiceId, Timestamp};

use crate::Arrival;

/// Requests asked for and admitted by service, priority and route, as decaying counts.
#[derive(Clone, Debug, Default)]
pub struct RouteBalance {
    services: HashMap<ServiceId, ServiceCounts>,
    ends_late: u64,
}

/// What was admitted of a route, over all services and priorities.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteAdmission<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Requests in the window, older ones with less weight.
    pub asked: f64,
    /// The fraction of them that was admitted.
    pub admitted_fraction: f64,
}

/// Where a route stands under contention.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouteStanding {
    /// From -1, for a route whose admitted fraction is a quarter or more below the mean, over 0 at the
    /// mean to 1 for a quarter or more above it.
    pub lead: f64,
    /// The fraction of the route's requests that was admitted, drawn towards the mean while there are
    /// few.
    pub admitted_fraction: f64,
}

/// How a request ended at the decision on its admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request was sent to an engine.
    Admitted,
    /// It was refused because no engine has a slot, or begins it in time.
    NoCapacity,
    /// It was refused only because its route has to leave the engines to others, and would have been sent
    /// with the usual limits. If that were contention, the balance would keep itself going.
    Yields,
    /// It was refused because it would end after its deadline. That is no sign of contention, since the
    /// length that callers announce may be far off.
    EndsLate,
}

#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    all: Counts,
    /// By the sort key of urgency, the most urgent first.
    priorities: BTreeMap<(u32, u32), PriorityCounts>,
}

#[derive(Clone, Debug, Default)]
struct PriorityCounts {
    all: Counts,
    routes: HashMap<Box<str>, Counts>,
}

/// Numbers of requests, decayed to `updated_at`.
#[derive(Clone, Copy, Debug)]
struct Counts {
    asked: f64,
    admitted: f64,
    short: f64,
    /// The weight of the time for which requests were counted in the window, from 0 to 1.
    observed: f64,
    updated_at: Timestamp,
}

/// Time constant of the counts, in milliseconds.
const WINDOW_MS: f64 = 4_000.0;

/// Fraction of refused requests up to which there is no contention: the shortfall that is tolerated for
/// teams as well. Some requests are also refused where an instance or an engine has just started.
const REFUSED_TOLERANCE: f64 = 0.25;

/// The lead of a route for each part of the mean by which its admitted fraction differs. A quarter is
/// the shortfall that is tolerated for teams as well.
const LEAD_PER_DEVIATION: f64 = 4.0;

/// Number of requests at the mean fraction that are added to each route, so that a few requests say
/// little.
const PRIOR_REQUESTS: f64 = 4.0;

/// Number of routes that are reported at most: each one is a label value of a metric.
const REPORTED_ROUTES_MAX: usize = 100;

/// Counts with fewer requests in the window start again from nothing.
const ASKED_MIN: f64 = 0.01;

impl RouteBalance {
    /// Records the decision on a new request to an engine.
    pub fn record(&mut self, now: Timestamp, arrival: &Arrival, admission: Admission) {
        self.ends_late += u64::from(admission == Admission::EndsLate);
        let service = self.services.entry(arrival.service).or_default();
        service.all.record(now, admission);
        let priority = service.priorities.entry(arrival.priority()).or_default();
        priority.all.record(now, admission);
        let name = arrival.route.name.as_str();
        if let Some(counts) = priority.routes.get_mut(name) {
            return counts.record(now, admission);
        }
        priority.routes.retain(|_, it| it.decayed(now).asked >= ASKED_MIN);
        priority.routes.entry(name.into()).or_default().record(now, admission);
    }

    /// Number of requests since the start that were refused because they would end after their deadline.
    pub fn ends_late(&self) -> u64 {
        self.ends_late
    }

    /// Number of services whose requests are refused for lack of time or slots.
    pub fn contended_services(&self, now: Timestamp) -> usize {
        self.services.values().filter(|it| it.all.decayed(now).is_contended()).count()
    }

    /// What was admitted of the routes with the most requests in the window.
    pub fn routes(&self, now: Timestamp) -> Vec<RouteAdmission<'_>> {
        let mut totals: HashMap<&str, (f64, f64)> = HashMap::new();
        let priorities = self.services.values().flat_map(|it| it.priorities.values());
        for (name, counts) in priorities.flat_map(|it| &it.routes) {
            let counts = counts.decayed(now);
            let (asked, admitted) = totals.entry(name).or_default();
            *asked += counts.asked;
            *admitted += counts.admitted;
        }
        let routes = totals.into_iter().filter(|(_, (asked, _))| *asked >= ASKED_MIN);
        let mut routes: Vec<_> = routes
            .map(|(route, (asked, admitted))| RouteAdmission {
                route,
                asked,
                admitted_fraction: admitted / asked,
            })
            .collect();
        routes.sort_by(|a, b| b.asked.total_cmp(&a.asked).then(a.route.cmp(b.route)));
        routes.truncate(REPORTED_ROUTES_MAX);
        routes
    }

    /// Where the route of a request stands; `None` without contention.
    pub fn standing(&self, now: Timestamp, arrival: &Arrival) -> Option<RouteStanding> {
        let service = self.services.get(&arrival.service)?;
        if !service.all.decayed(now).is_contended() {
            return None;
        }
        let key = arrival.priority();
        let priority = service.priorities.get(&key)?;
        let mean = priority.all.admitted / priority.all.asked.max(f64::MIN_POSITIVE);
        let route = priority.routes.get(arrival.route.name.as_str()).copied().unwrap_or_default();
        let admitted_fraction = route.decayed(now).admitted_fraction(mean);
        let deviation = if mean > 0.0 { admitted_fraction / mean - 1.0 } else { 0.0 };
        let more_urgent = service.priorities.range(..key).map(|(_, it)| it.all.decayed(now));
        let yielding = more_urgent.map(Counts::shortage).fold(-1.0, f64::max);
        let lead = (deviation * LEAD_PER_DEVIATION).max(yielding).clamp(-1.0, 1.0);
        Some(RouteStanding { lead, admitted_fraction })
    }
}

impl Counts {
    fn decayed(self, now: Timestamp) -> Counts {
        let factor = (-now.millis_since(self.updated_at) / WINDOW_MS).exp();
        Counts {
            asked: self.asked * factor,
            admitted: self.admitted * factor,
            short: self.short * factor,
            observed: 1.0 - (1.0 - self.observed) * factor,
            updated_at: self.updated_at.max(now),
        }
    }

    fn record(&mut self, now: Timestamp, admission: Admission) {
        let decayed = self.decayed(now);
        let is_new = decayed.asked < ASKED_MIN;
        *self = if is_new { Counts { updated_at: now, ..Counts::default() } } else { decayed };
        self.asked += 1.0;
        match admission {
            Admission::Admitted => self.admitted += 1.0,
            Admission::NoCapacity => self.short += 1.0,
            Admission::Yields | Admission::EndsLate => {}
        }
    }

    /// Whether requests are refused for lack of time or slots. Time in which no requests were counted
    /// counts as time without refusals, so that the first few refusals after a start are no contention.
    fn is_contended(self) -> bool {
        self.asked >= 1.0 && self.short * self.observed > self.asked * REFUSED_TOLERANCE
    }

    fn admitted_fraction(self, mean: f64) -> f64 {
        (self.admitted + PRIOR_REQUESTS * mean) / (self.asked + PRIOR_REQUESTS)
    }

    /// How far less urgent requests have to yield to these, on the scale of [`RouteStanding::lead`]; -1
    /// if these lack nothing.
    fn shortage(self) -> f64 {
        if !self.is_contended() {
            return -1.0;
        }
        (self.short / self.asked * LEAD_PER_DEVIATION).min(1.0)
    }
}

impl Default for Counts {
    fn default() -> Counts {
        let updated_at = Timestamp::from_micros(0);
        Counts { asked: 0.0, admitted: 0.0, short: 0.0, observed: 0.0, updated_at }
    }
}
