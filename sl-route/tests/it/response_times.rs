//! Estimates of plain servers' response times: what they refuse, and how soon they end.

use std::sync::Arc;

use proptest::prelude::*;
use rstest::rstest;
use sl_base::{Millis, RequestId, Timestamp};
use sl_route::{
    Arrival, AttemptEnd, Event, Fault, RetryPolicy, Route, State,
    response_times::{HOLDS_MAX, HOLDS_MIN, ResponseTimes, WorkKind},
};

use crate::testbed::{arrival, arrive, at, route, sent_target, state};

/// The longest time from the recovery of servers until a route is served as before.
const RECOVERY: Millis = Millis(10_000);

const SERVERS: [(&str, &str); 4] = [("a", "app"), ("b", "app"), ("c", "app"), ("d", "app")];

/// Requests of one route: their work on a sound server, their time limit and how often one comes.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    work_ms: u64,
    timeout_ms: u64,
    every_ms: u64,
}

/// Servers are this many times slower from `from_ms` to `until_ms`, the first `count` of them.
#[derive(Clone, Copy)]
struct Slowness {
    factor: u64,
    from_ms: u64,
    until_ms: u64,
    count: usize,
}

/// What became of the requests of one route.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// When requests came, and whether they were answered in time.
    requests: Vec<(u64, bool)>,
    /// Requests that were sent to a server which could not answer them in time.
    hopeless: usize,
    /// Requests that were refused although an idle server could have answered them.
    refused_wrongly: usize,
}

impl Counts {
    /// The fraction of the requests in a time that were answered in time.
    fn served(&self, from_ms: u64, until_ms: u64) -> f64 {
        let judged = self.requests.iter().filter(|it| (from_ms..until_ms).contains(&it.0));
        let judged: Vec<bool> = judged.map(|it| it.1).collect();
        judged.iter().filter(|it| **it).count() as f64 / judged.len().max(1) as f64
    }
}

/// A request whose server responds, or whose time is over.
struct Due {
    at_ms: u64,
    number: u64,
    is_response: bool,
}

fn route_of(load: Load) -> Arc<Route> {
    Arc::new(Route {
        name: load.name.to_owned(),
        prefix: format!("/{}/", load.name),
        timeout: Millis(load.timeout_ms),
        max_attempts: 1,
        ..Route::clone(&route(RetryPolicy::NonIdempotent, "app"))
    })
}

/// Plays `loads` on four servers of 64 slots for `length_ms`, one instance.
fn play(loads: &[Load], slowness: Option<Slowness>, length_ms: u64) -> Vec<Counts> {
    let mut state = state(0, &[]);
    for (id, service) in SERVERS {
        let record = sl_route::ServerRecord { slots: 64, ..crate::testbed::record(id, service) };
        state.step(at(0), Event::ServerListed(record));
    }
    let mut counts = vec![Counts::default(); loads.len()];
    let mut due: Vec<Due> = Vec::new();
    let mut number = 0;
    for now in 0..length_ms {
        let (ended, waiting) = due.into_iter().partition(|it: &Due| it.at_ms <= now);
        due = waiting;
        let ended: Vec<Due> = ended;
        ended.into_iter().for_each(|it| end(&mut state, now, &it));
        if now % 100 == 0 {
            state.step(at(now), Event::Tick);
        }
        for (index, load) in loads.iter().enumerate() {
            if now % load.every_ms != index as u64 % load.every_ms {
                continue;
            }
            number += 1;
            let slow_servers = slowness
                .filter(|it| (it.from_ms..it.until_ms).contains(&now))
                .map_or((1, 0), |it| (it.factor, it.count));
            let arrival = Arrival {
                route: route_of(*load),
                ..arrival(at(now), number, RetryPolicy::NonIdempotent, None)
            };
            let effects = arrive(&mut state, at(now), arrival);
            let target = sent_target(&effects);
            let work_on = |id: &str| {
                let place = SERVERS.iter().position(|it| it.0 == id).unwrap();
                if place < slow_servers.1 { load.work_ms * slow_servers.0 } else { load.work_ms }
            };
            let count = &mut counts[index];
            let Some(target) = target else {
                let could_serve = SERVERS.iter().any(|it| work_on(it.0) <= load.timeout_ms);
                count.refused_wrongly += usize::from(could_serve);
                count.requests.push((now, false));
                continue;
            };
            let work_ms = work_on(&target.id);
            let is_response = work_ms <= load.timeout_ms;
            count.hopeless += usize::from(!is_response);
            count.requests.push((now, is_response));
            due.push(Due { at_ms: now + work_ms.min(load.timeout_ms), number, is_response });
        }
    }
    counts
}

fn end(state: &mut State, now: u64, due: &Due) {
    let request = RequestId(due.number);
    let end = if due.is_response {
        state.step(at(now), Event::ResponseStarted { request });
        AttemptEnd::Completed { status: 200, event_interval_micros: None }
    } else {
        AttemptEnd::Failed { fault: Fault::DeadlineExceeded, is_partially_delivered: false }
    };
    state.step(at(now), Event::AttemptEnded { request, end });
}

const LONG: Load = Load { name: "long", work_ms: 450, timeout_ms: 8_000, every_ms: 50 };

const SHORT: Load = Load { name: "short", work_ms: 15, timeout_ms: 300, every_ms: 100 };

// Guards against an estimate of long work that refuses short work on sound servers, with no disruption at all.
#[rstest]
#[case::often(100)]
#[case::rarely(10_000)]
fn short_work_is_served_beside_long_work(#[case] every_ms: u64) {
    let counts = play(&[LONG, Load { every_ms, ..SHORT }], None, 60_000);
    assert_eq!(counts[1].served(0, 60_000), 1.0, "{:?}", counts[1].refused_wrongly);
}

// Guards against refusals that go on for as long as no other request shows that the servers have recovered.
#[rstest]
fn a_route_is_served_again_within_seconds_of_a_recovery(
    #[values(1_000, 6_500, 30_000)] slow_ms: u64,
    #[values(1, 2, 4)] slow_servers: usize,
    #[values(100, 1_000, 10_000)] every_ms: u64,
    #[values(50, 1_000, 60_000)] long_every_ms: u64,
) {
    let until_ms = 5_000 + slow_ms;
    // The short work takes longer than its limit while servers are slow.
    let slowness = Slowness { factor: 30, from_ms: 5_000, until_ms, count: slow_servers };
    let loads =
        [Load { every_ms: long_every_ms, timeout_ms: 20_000, ..LONG }, Load { every_ms, ..SHORT }];
    let length_ms = until_ms + RECOVERY.0 + 60_000;
    let counts = play(&loads, Some(slowness), length_ms);
    let served = counts[1].served(until_ms + RECOVERY.0, length_ms);
    assert_eq!(served, 1.0, "{:?}", counts[1].refused_wrongly);
}

// Guards against a flood of requests on servers that are too slow for them.
#[test]
fn requests_that_no_server_answers_in_time_are_refused_at_once() {
    let slowness = Slowness { factor: 30, from_ms: 5_000, until_ms: 35_000, count: 4 };
    let counts = play(&[Load { every_ms: 10, ..SHORT }], Some(slowness), 35_000);
    let asked = counts[0].requests.iter().filter(|it| it.0 >= 5_000).count();
    let hopeless = counts[0].hopeless as f64 / asked as f64;
    assert!(hopeless <= 0.1, "{hopeless}");
}

// Guards against one slow server of four that gets much of the work, and against sound ones that get none.
#[test]
fn one_slow_server_costs_few_requests() {
    let slowness = Slowness { factor: 30, from_ms: 5_000, until_ms: 65_000, count: 1 };
    let counts = play(&[Load { every_ms: 10, ..SHORT }], Some(slowness), 65_000);
    let served = counts[0].served(5_000, 65_000);
    assert!(served >= 0.99, "{served}");
}

// Guards against a single slow response, as the first one on a new connection is, that leaves a server unused.
#[rstest]
#[case::first_response(0)]
#[case::later_response(8)]
fn servers_share_the_work_after_one_slow_response(#[case] slow_number: u64) {
    const REQUESTS: u64 = 24;
    const EVERY_MS: u64 = 60;
    let mut state = state(0, &SERVERS[..2]);
    let mut sent = Vec::new();
    for number in 0..REQUESTS {
        let now = number * EVERY_MS;
        let arrival = Arrival {
            route: route_of(SHORT),
            ..arrival(at(now), number, RetryPolicy::NonIdempotent, None)
        };
        let effects = arrive(&mut state, at(now), arrival);
        sent.push(sent_target(&effects).unwrap().id.clone());
        let took_ms = if number == slow_number { 3 * SHORT.work_ms } else { SHORT.work_ms };
        end(&mut state, now + took_ms, &Due { at_ms: now + took_ms, number, is_response: true });
    }
    let shares = SERVERS[..2].iter().map(|it| sent.iter().filter(|id| ***id == *it.0).count());
    assert!(shares.min() >= Some(REQUESTS as usize / 4), "{sent:?}");
}

fn kind(name: &'static str) -> WorkKind {
    WorkKind::of(&route_of(Load { name, ..SHORT }))
}

fn sample(times: &mut ResponseTimes, kind: WorkKind, sent: u64, took: u64) -> Timestamp {
    times.record_sent(at(sent), kind);
    times.record_response(at(sent + took), kind, at(sent));
    at(sent + took)
}

// Guards against a table that grows with the routes of a service.
#[test]
fn the_times_of_a_bounded_number_of_kinds_are_kept() {
    let mut times = ResponseTimes::default();
    let names: Vec<&'static str> = (0..100).map(|it| &*format!("r{it}").leak()).collect();
    for (index, name) in names.iter().enumerate() {
        sample(&mut times, kind(name), index as u64, 10);
    }
    let kept = names.iter().filter(|it| times.last_ms(kind(it)).is_some()).count();
    assert_eq!(kept, 16);
}

// Guards against a lost response that counts as a slow server.
#[test]
fn a_lost_response_says_nothing_of_the_time_that_others_take() {
    let (mut times, kind) = (ResponseTimes::default(), kind("a"));
    sample(&mut times, kind, 0, 10);
    sample(&mut times, kind, 200, 10);
    times.record_unanswered(at(700), kind, at(100));
    assert_eq!(times.expected_ms(at(700), kind), Some(10.0));
    times.record_unanswered(at(900), kind, at(300));
    assert!(times.expected_ms(at(900), kind) > Some(10.0));
}

// Guards against responses from before a recovery that are recorded after it.
#[test]
fn a_response_to_an_older_request_does_not_count_in_a_new_average() {
    let (mut times, kind) = (ResponseTimes::default(), kind("a"));
    let ended = sample(&mut times, kind, 0, 3_000);
    let renewed = ended.after(HOLDS_MAX);
    times.record_sent(renewed, kind);
    times.record_response(renewed.after(Millis(10)), kind, renewed);
    times.record_response(renewed.after(Millis(20)), kind, at(2_500));
    assert_eq!(times.expected_ms(renewed.after(Millis(20)), kind), Some(10.0));
}

proptest! {
    // Guards against an average that keeps requests away for longer than it was seen.
    #[test]
    fn an_average_holds_for_no_longer_than_it_was_seen(
        samples in prop::collection::vec((0_u64..3_000, 1_u64..5_000), 1..20),
    ) {
        let (mut times, kind) = (ResponseTimes::default(), kind("a"));
        let (mut sent, mut last) = (0, at(0));
        for (pause, took) in samples {
            sent += pause;
            last = last.max(sample(&mut times, kind, sent, took));
        }
        let seen = Millis(last.millis_since(at(0)) as u64).clamp(HOLDS_MIN, HOLDS_MAX);
        prop_assert!(times.expected_ms(last.after(seen), kind).is_none());
    }
}
