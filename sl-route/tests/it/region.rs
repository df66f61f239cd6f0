//! Requests are served only in the regions that their route and team allow.

use std::{net::SocketAddr, sync::Arc};

use rstest::rstest;
use sl_base::RequestId;
use sl_route::{
    AllowedRegions, Arrival, AttemptEnd, Effect, Event, Fault, Options, Refusal, Regions,
    RetryPolicy, Route, ServerRecord, State, Team,
};

use crate::testbed::{
    START, arrival, arrive, at, complete, document, fail_attempt, options, prompt, record,
    request_effects, sent_target,
};

const DATA_CENTRES: [&str; 3] = ["north", "south", "unknown"];

fn regions() -> Regions {
    let pairs = [("north", "cymru"), ("south", "lloegr")];
    pairs.into_iter().map(|(a, b)| (a.to_owned(), b.to_owned())).collect()
}

fn allowed(names: &[&str]) -> AllowedRegions {
    names.iter().map(ToString::to_string).collect()
}

/// A server of the service in each data centre, whose id is the data centre.
fn state(service: &str) -> State {
    let mut state = State::new(Options { regions: regions(), ..options(1) }, START);
    state.step(START, Event::Document(document(1)));
    for (index, data_centre) in DATA_CENTRES.into_iter().enumerate() {
        state.step(START, Event::ServerListed(located(service, data_centre, index as u16)));
    }
    state
}

fn located(service: &str, data_centre: &str, index: u16) -> ServerRecord {
    ServerRecord {
        data_centre: data_centre.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + index)),
        ..record(data_centre, service)
    }
}

fn limited(arrival: Arrival, route: &[&str], team: &[&str]) -> Arrival {
    let route = Route { allowed_regions: allowed(route), ..(*arrival.route).clone() };
    let team = arrival.team.map(|it| Team { allowed_regions: allowed(team), ..(*it).clone() });
    Arrival { route: Arc::new(route), team: team.map(Arc::new), ..arrival }
}

/// The data centres that a number of requests are sent to, sorted.
fn used(state: &mut State, route: &[&str], team: &[&str]) -> Vec<String> {
    let mut used = Vec::new();
    for number in 0..30 {
        let now = at(number);
        let request = arrival(now, number, RetryPolicy::Idempotent, None);
        let effects = arrive(state, now, limited(request, route, team));
        match sent_target(&effects) {
            Some(target) => used.push(target.id.to_string()),
            None => {
                let refused = request_effects(effects);
                let expected =
                    |it: &Effect| matches!(it, Effect::Refuse { reason: Refusal::NoServer, .. });
                assert!(matches!(&refused[..], [it] if expected(it)), "{refused:?}");
            }
        }
    }
    (0..30).for_each(|number| {
        complete(state, at(100), number);
    });
    used.sort();
    used.dedup();
    used
}

// Guards against a request that leaves the regions of its route or its team, one that is limited
// although neither has a list, and one that is held instead of refused when no region is left.
#[rstest]
#[case::no_list(&[], &[], &["north", "south", "unknown"])]
#[case::route(&["cymru"], &[], &["north"])]
#[case::team(&[], &["lloegr"], &["south"])]
#[case::both(&["cymru", "lloegr"], &["lloegr"], &["south"])]
#[case::disjoint(&["cymru"], &["lloegr"], &[])]
#[case::without_servers(&["alba"], &[], &[])]
#[case::all(&["cymru", "lloegr"], &[], &["north", "south"])]
fn a_request_is_sent_only_to_allowed_regions(
    #[case] route: &[&str],
    #[case] team: &[&str],
    #[case] expected: &[&str],
) {
    assert_eq!(used(&mut state("app"), route, team), expected);
}

// Guards against a list that binds nobody because the settings name no regions.
#[test]
fn without_known_regions_a_limited_request_is_refused() {
    let mut state = state("app");
    state.step(at(0), Event::Regions(Regions::default()));
    assert_eq!(used(&mut state, &["cymru"], &[]), Vec::<String>::new());
    assert_eq!(used(&mut state, &[], &[]), DATA_CENTRES);
}

// Guards against regions that change in the settings and count only after a restart.
#[test]
fn changed_regions_take_effect() {
    let mut state = state("app");
    let changed = [("unknown".to_owned(), "cymru".to_owned())];
    state.step(at(0), Event::Regions(changed.into_iter().collect()));
    assert_eq!(used(&mut state, &["cymru"], &[]), ["unknown"]);
}

// Guards against a retry, a move from a silent server or a fetch that leaves the allowed regions.
#[test]
fn retries_moves_and_fetches_stay_in_the_allowed_regions() {
    let mut state = state("model");
    let request = |millis: u64, number: u64| {
        let prompt = Some(prompt("shared", 1_000, &number.to_string(), 400));
        arrival(at(millis), number, RetryPolicy::ResumableStream, prompt)
    };
    // All engines outside of the region hold the part.
    for (index, data_centre) in DATA_CENTRES.into_iter().enumerate().skip(1) {
        let server = located("model", data_centre, index as u16).key();
        let parts = request(0, 0).prompt.unwrap().parts[..1].to_vec();
        state.step(at(0), Event::CacheListed { server, parts });
    }
    for number in 1..40 {
        let effects = arrive(&mut state, at(1), limited(request(1, number), &["cymru"], &[]));
        if let Some(target) = sent_target(&effects) {
            assert_eq!((&*target.id, target.fetch_from), ("north", None));
        }
    }
    let silent = Event::AttemptSilent { request: RequestId(1), is_partially_delivered: true };
    assert_eq!(sent_target(&state.step(at(1_700), silent)), None);
    assert_eq!(sent_target(&fail_attempt(&mut state, at(1_800), 1, Fault::ConnectionLost)), None);
    let end = AttemptEnd::Failed { fault: Fault::Full, is_partially_delivered: true };
    let effects = state.step(at(1_900), Event::AttemptEnded { request: RequestId(2), end });
    assert_eq!(sent_target(&effects), None);
}
