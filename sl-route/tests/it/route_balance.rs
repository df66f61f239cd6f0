//! The balance between routes under contention, and the fit of requests to their deadline.

use std::sync::Arc;

use rstest::rstest;
use sl_base::Millis;
use sl_route::{
    Arrival, Decision, Effect, Event, Notes, RetryPolicy, Route, ServerRecord, State,
    admission::AdmissionLimits,
    locality::LeaveReason,
    note::Note,
    route_balance::{Admission, RouteBalance, RouteStanding},
    share::ContendedUsage,
};

use crate::testbed::{
    DATA_CENTRE, START, arrival, arrive, at, document, options, prompt, record, route, sent_target,
    team,
};

const ELSEWHERE: &str = "elsewhere";

/// A request of the route `name` with a priority.
fn request(millis: u64, number: u64, name: &str, priority: u32) -> Arrival {
    let prompt = prompt(name, 1_000, &format!("own{number}"), 1_000);
    let route = Route {
        name: name.to_owned(),
        priority,
        ..Route::clone(&route(RetryPolicy::Stream, "model"))
    };
    let arrival = arrival(at(millis), number, RetryPolicy::Stream, Some(prompt));
    Arrival { route: Arc::new(route), ..arrival }
}

/// Number of requests of each route in [`balance`], one every 20 ms: for five times the window.
const BALANCE_STEPS: u64 = 1_000;

/// When the last requests of [`balance`] have been counted, in milliseconds.
const BALANCE_END_MS: u64 = BALANCE_STEPS * 20;

/// Counts in which of ten requests of each route the given number were admitted.
fn balance(routes: &[(&str, u32, u64)], refusal: Admission) -> RouteBalance {
    let mut balance = RouteBalance::default();
    for step in 0..BALANCE_STEPS {
        for &(name, priority, admitted) in routes {
            let admission = if step % 10 < admitted { Admission::Admitted } else { refusal };
            balance.record(at(step * 20), &request(step * 20, step, name, priority), admission);
        }
    }
    balance
}

fn lead(balance: &RouteBalance, name: &str, priority: u32) -> Option<f64> {
    let now = BALANCE_END_MS;
    balance.standing(at(now), &request(now, 1, name, priority)).map(|it| it.lead)
}

/// Guards against limits that change while demand is satisfied, or because callers announce lengths that
/// end after their deadline.
#[rstest]
#[case::all_admitted(10, Admission::NoCapacity, false)]
#[case::a_tenth_refused(8, Admission::NoCapacity, false)]
#[case::two_fifths_refused(2, Admission::NoCapacity, true)]
#[case::two_fifths_that_end_late(2, Admission::EndsLate, false)]
fn only_a_lack_of_time_or_slots_is_contention(
    #[case] admitted: u64,
    #[case] refusal: Admission,
    #[case] is_contended: bool,
) {
    let balance = balance(&[("a", 1, admitted), ("b", 1, 10)], refusal);
    assert_eq!(lead(&balance, "a", 1).is_some(), is_contended);
    assert_eq!(lead(&balance, "b", 1).is_some(), is_contended);
}

/// Guards against a balance that goes on after the engines have room again.
#[test]
fn contention_ends_with_the_refusals() {
    let mut balance = balance(&[("a", 1, 2)], Admission::NoCapacity);
    assert!(lead(&balance, "a", 1).is_some());
    for step in 0..1_000 {
        let now = BALANCE_END_MS + step * 20;
        balance.record(at(now), &request(now, step, "a", 1), Admission::Admitted);
    }
    let end = BALANCE_END_MS + 20_000;
    assert_eq!(balance.standing(at(end), &request(end, 1, "a", 1)), None);
}

/// Guards against a balance that keeps itself going: what it takes from a route that is ahead is refused as
/// well, though the engines would begin it in time.
#[test]
fn refusals_for_the_balance_do_not_prolong_the_contention() {
    let mut balance = balance(&[("a", 1, 2)], Admission::NoCapacity);
    for step in 0..500 {
        let now = BALANCE_END_MS + step * 20;
        balance.record(at(now), &request(now, step, "a", 1), Admission::Yields);
    }
    let end = BALANCE_END_MS + 10_000;
    assert_eq!(balance.standing(at(end), &request(end, 1, "a", 1)), None);
}

/// Guards against contention that is seen in the first refusals after the start, or after a pause of the
/// traffic: for five seconds the load `calm` was balanced, since engines with empty caches begin less.
#[rstest]
#[case::start(0)]
#[case::traffic_after_a_pause(120_000)]
fn refusals_of_the_first_second_are_no_contention(#[case] begins_at_ms: u64) {
    let mut balance = RouteBalance::default();
    for step in 0..begins_at_ms.min(1_000) {
        balance.record(at(step * 20), &request(step * 20, step, "a", 1), Admission::Admitted);
    }
    for step in 0..50 {
        let now = begins_at_ms + step * 20;
        let admission = if step % 2 == 0 { Admission::Admitted } else { Admission::NoCapacity };
        balance.record(at(now), &request(now, step, "a", 1), admission);
        assert_eq!(balance.standing(at(now), &request(now, step, "a", 1)), None, "{step}");
    }
}

/// Guards against metrics whose number of label values grows with the routes that were ever seen.
#[test]
fn the_busiest_routes_are_reported_up_to_a_bound() {
    let mut balance = balance(&[("large", 1, 4), ("small", 1, 9)], Admission::NoCapacity);
    let now = at(BALANCE_END_MS);
    // Of both routes together a third was refused for lack of time.
    assert_eq!(balance.contended_services(now), 1);
    for number in 0..200 {
        let request = request(BALANCE_END_MS, number, &format!("rare-{number}"), 1);
        balance.record(now, &request, Admission::EndsLate);
    }
    let routes = balance.routes(now);
    assert_eq!(routes.len(), 100);
    assert_eq!((routes[0].route, routes[1].route), ("large", "small"));
    assert!((routes[0].admitted_fraction - 0.4).abs() < 0.05, "{routes:?}");
    assert!((routes[1].admitted_fraction - 0.9).abs() < 0.05, "{routes:?}");
    assert_eq!(balance.ends_late(), 200);
    assert_eq!(balance.contended_services(now.after(Millis(60_000))), 0);
}

/// Guards against an instance that starts while demand exceeds capacity and does not balance: it sees so
/// within the window of its counts.
#[test]
fn an_instance_that_starts_in_contention_balances_within_the_window() {
    let mut balance = RouteBalance::default();
    for step in 0..200 {
        let now = step * 20;
        let admission = if step % 10 < 4 { Admission::Admitted } else { Admission::NoCapacity };
        balance.record(at(now), &request(now, step, "large", 1), admission);
        balance.record(at(now), &request(now, step, "small", 1), Admission::Admitted);
        balance.record(at(now), &request(now, step, "other", 1), Admission::NoCapacity);
    }
    let standing = |name: &str| balance.standing(at(4_000), &request(4_000, 1, name, 1)).unwrap();
    assert!(standing("other").lead < -0.9);
    assert!(standing("small").lead > 0.9);
}

/// Guards against a route that is refused much more than the others of its priority: large requests were
/// refused five times as often as small ones.
#[test]
fn a_route_below_the_mean_is_behind_and_one_above_it_ahead() {
    let balance = balance(&[("large", 1, 4), ("small", 1, 9)], Admission::NoCapacity);
    assert!(lead(&balance, "large", 1).unwrap() <= -0.9);
    assert!(lead(&balance, "small", 1).unwrap() >= 0.9);
    // A route without requests has no lead and no lag.
    assert_eq!(lead(&balance, "new", 1), Some(0.0));
}

/// Guards against less urgent routes that take what more urgent ones lack.
#[test]
fn less_urgent_routes_yield_to_more_urgent_ones_only() {
    let balance = balance(&[("urgent", 0, 5), ("other", 1, 5)], Admission::NoCapacity);
    assert!(lead(&balance, "other", 1).unwrap() >= 0.9);
    assert!(lead(&balance, "urgent", 0).unwrap().abs() < 0.1);
}

/// Guards against a balance between routes that overrides the shares of teams.
#[rstest]
#[case::far_behind(-1.0, None, 950.0)]
#[case::at_the_mean(0.0, None, 850.0)]
#[case::far_ahead(1.0, None, 0.0)]
#[case::behind_in_a_team_within_its_share(-1.0, Some(0.5), 950.0)]
#[case::ahead_in_a_team_below_half_its_share(1.0, Some(0.5), 825.0)]
#[case::ahead_in_a_team_within_its_share(1.0, Some(0.75), 381.25)]
#[case::ahead_in_a_team_near_its_share(1.0, Some(0.9), 145.0)]
#[case::behind_in_a_team_over_its_share(-1.0, Some(1.5), 233.3)]
#[case::ahead_in_a_team_over_its_share(1.0, Some(1.5), 233.3)]
fn the_time_to_wait_follows_the_lead_unless_the_team_is_over_its_share(
    #[case] lead: f64,
    #[case] ratio: Option<f64>,
    #[case] allowed_ms: f64,
) {
    let usage = ratio.map(|ratio| ContendedUsage { ratio, shortfall: 0.0 });
    let standing = RouteStanding { lead, admitted_fraction: 0.5 };
    let limits = AdmissionLimits::under_contention(1_000.0, 8_000.0, usage, standing);
    assert!((limits.allowed_ms - allowed_ms).abs() < 0.1, "{limits:?}");
    let unbalanced = AdmissionLimits::new(1_000.0, 8_000.0, usage);
    assert_eq!(limits.duplicate_prefill_weight, unbalanced.duplicate_prefill_weight);
    assert_eq!((limits.ends_within_ms, unbalanced.ends_within_ms), (8_000.0, f64::INFINITY));
}

/// An instance with one engine in a data centre whose streams take 100 ms for each event, beside other
/// requests. Under contention a request that is refused for lack of time comes with each of them.
fn slow_engine(data_centre: &str, cost_ms_per_mb: f64, is_contended: bool) -> State {
    let mut options = options(0);
    options.limits.data_centre_cost_ms_per_mb = cost_ms_per_mb;
    let mut state = State::new(options, START);
    state.step(START, Event::Document(document(1)));
    state.step(START, Event::ServerListed(engine("engine", data_centre)));
    let server = record("engine", "model").key();
    for attempt in 0..20 {
        let start = at(attempt * 100);
        note(&mut state, start, sent(attempt));
        if is_contended {
            refuse_one(&mut state, attempt);
        }
        note(&mut state, start.after(Millis(60)), Note::ResponseStarted { server, attempt });
        let end = Note::AttemptEnded {
            server,
            attempt,
            event_interval_micros: Some(100_000),
            refunded: None,
        };
        note(&mut state, start.after(Millis(90)), end);
    }
    note(&mut state, at(2_000), sent(100));
    state
}

fn engine(id: &str, data_centre: &str) -> ServerRecord {
    ServerRecord { data_centre: data_centre.into(), ..record(id, "model") }
}

fn sent(attempt: u64) -> Note {
    Note::AttemptSent {
        server: record("engine", "model").key(),
        attempt,
        prefill_tokens: 1_000,
        charge: None,
        parts: Vec::new(),
        fetch: None,
        stream: None,
    }
}

fn note(state: &mut State, now: sl_base::Timestamp, note: Note) {
    state.step(now, Event::NotesReceived { from: 9, notes: Notes { notes: vec![note] } });
}

/// A request that announces `output_tokens` and has eight seconds.
fn long_request(millis: u64, number: u64, output_tokens: u32) -> Arrival {
    let mut arrival = request(millis, number, "long", 1);
    arrival.team = Some(team(&format!("t{number}")));
    let prompt = arrival.prompt.as_mut().unwrap();
    prompt.max_output_tokens = 2 * output_tokens;
    prompt.expected_output_tokens = Some(output_tokens);
    arrival
}

/// A request that is refused for lack of time: it has had too little of it on its way.
fn refuse_one(state: &mut State, number: u64) {
    let mut late = request(number * 100, 1_000 + number, "late", 1);
    late.caller_deadline = at(number * 100 + 5);
    let effects = arrive(state, at(number * 100), late);
    assert!(sent_target(&effects).is_none());
}

/// Guards against streams that are begun, take a slot and reach their deadline. A
/// request that no engine could end in time says nothing true about its length, and without
/// contention nobody else needs the slot. The data centre of the engine and the cost of bytes make no
/// difference.
#[rstest]
#[case::ends_in_time(true, 120, true)]
#[case::ends_late(true, 450, false)]
#[case::ends_late_without_contention(false, 450, true)]
#[case::no_engine_could_end_it_in_time(true, 4_000, true)]
fn a_request_that_would_end_after_its_deadline_is_not_begun(
    #[case] is_contended: bool,
    #[case] output_tokens: u32,
    #[case] is_sent: bool,
    #[values(DATA_CENTRE, ELSEWHERE)] data_centre: &str,
    #[values(0.0, 10_000.0)] cost_ms_per_mb: f64,
) {
    let mut state = slow_engine(data_centre, cost_ms_per_mb, is_contended);
    let effects = arrive(&mut state, at(2_000), long_request(2_000, 1, output_tokens));
    assert_eq!(sent_target(&effects).is_some(), is_sent, "{effects:?}");
    let is_refused = effects.iter().any(|it| matches!(it, Effect::Refuse { .. }));
    assert_eq!(is_refused, !is_sent);
}

/// Guards against a cost of bytes that keeps a request at an engine where it would end late, while an
/// engine elsewhere ends it in time.
#[test]
fn a_request_that_would_end_late_in_its_data_centre_leaves_at_any_cost() {
    let mut state = slow_engine(DATA_CENTRE, 1_000_000.0, true);
    state.step(at(2_000), Event::ServerListed(engine(ELSEWHERE, ELSEWHERE)));
    let effects = arrive(&mut state, at(2_000), long_request(2_000, 1, 450));
    assert_eq!(sent_target(&effects).map(|it| &*it.id), Some(ELSEWHERE));
    let left = effects.iter().find_map(|it| match it {
        Effect::Log(Decision::AttemptSent { left_data_centre, .. }) => *left_data_centre,
        _ => None,
    });
    assert_eq!(left, Some(LeaveReason::NoOwnServer));
}
