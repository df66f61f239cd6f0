//! Placement of requests on servers, through the reducer.

use rstest::rstest;
use sl_base::{Millis, RequestId};
use sl_route::{
    Arrival, AttemptEnd, Decision, Effect, Event, Fault, Refusal, RetryPolicy, ServerState,
};

use crate::testbed::{
    arrival, arrive, at, complete, fail_attempt, prompt, record, request_effects, sent_target,
    state, team,
};

const ENGINES: [(&str, &str); 3] = [("e1", "model"), ("e2", "model"), ("e3", "model")];

fn model(now: u64, number: u64, shared: &str) -> Arrival {
    let prompt = prompt(shared, 10_000, &format!("own-{number}"), 500);
    arrival(at(now), number, RetryPolicy::Stream, Some(prompt))
}

#[test]
fn requests_with_a_shared_part_go_to_the_engine_that_caches_it() {
    let mut state = state(1, &ENGINES);
    let first = sent_target(&arrive(&mut state, at(0), model(0, 1, "a"))).unwrap().server;
    complete(&mut state, at(600), 1);
    for number in 2..8 {
        let now = number * 1_000;
        let effects = arrive(&mut state, at(now), model(now, number, "a"));
        assert_eq!(sent_target(&effects).unwrap().server, first);
        complete(&mut state, at(now + 100), number);
    }
}

/// Guards against refusals while other engines are idle: when much of the traffic shares one
/// part, the engine that caches it must not get all of these requests.
#[test]
fn a_hot_part_spreads_once_its_engine_is_overloaded() {
    let mut state = state(1, &ENGINES);
    let mut servers = std::collections::HashSet::new();
    for number in 1..60 {
        let effects = arrive(&mut state, at(number), model(number, number, "hot"));
        servers.extend(sent_target(&effects).map(|it| it.server));
    }
    assert!(servers.len() > 1);
}

/// Guards against accepting more work than can be prefilled in time: a burst must be refused
/// at once, beyond what the engines can take.
#[test]
fn requests_beyond_the_capacity_are_refused_at_once() {
    let mut state = state(1, &ENGINES);
    let (mut sent, mut refused) = (0, 0);
    for number in 1..400 {
        let effects =
            request_effects(arrive(&mut state, at(0), model(0, number, &format!("p{number}"))));
        match &effects[..] {
            [Effect::Send { .. }] => sent += 1,
            [Effect::Refuse { reason: Refusal::Overload, retry_after, .. }] => {
                assert!((Millis(100)..=Millis(4_000)).contains(retry_after));
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    // Each of the three engines prefills 40 tokens per millisecond according to the
    // configuration, so each takes three prompts of 10,500 tokens within 850 ms.
    assert_eq!((sent, refused), (9, 390));
}

/// Guards against refusals after the fleet has grown while the configured token rate is that
/// of a smaller fleet: the speed per engine derived from it is far too low.
#[test]
fn an_unmeasured_engine_gets_requests_despite_a_low_speed_prior() {
    let engines: Vec<String> = (0..1_000).map(|it| format!("e{it}")).collect();
    let engines: Vec<(&str, &str)> = engines.iter().map(|it| (it.as_str(), "model")).collect();
    let mut state = state(1, &engines);
    // The prior of 0.12 tokens per millisecond puts a prefill of 10 ms at 87 s.
    for number in 1..=20 {
        let now = 1_000 * number;
        let effects = arrive(&mut state, at(now), model(now, number, "a"));
        assert!(sent_target(&effects).is_some(), "{number}: {effects:?}");
        state.step(at(now + 300), Event::ResponseStarted { request: RequestId(number) });
    }
    let now = 30_000;
    let burst = (100..130).map(|it| arrive(&mut state, at(now), model(now, it, "b")));
    assert_eq!(burst.filter(|it| sent_target(it).is_some()).count(), 30);
}

/// Guards against refusing a team over its share while engines are idle, which helps nobody.
#[test]
fn an_idle_engine_accepts_requests_that_it_can_start_before_their_deadline() {
    let mut state = state(1, &[("e1", "model")]);
    let mut slow = model(0, 1, "a");
    slow.prompt = Some(prompt("a", 100_000, "own", 500));
    assert!(sent_target(&arrive(&mut state, at(0), slow.clone())).is_some());
    complete(&mut state, at(2_500), 1);
    for (number, shared, is_sent) in [(2, "b", true), (3, "c", false)] {
        let mut arrival = model(3_000, number, shared);
        arrival.prompt = Some(prompt(shared, 100_000, "own", 500));
        let effects = arrive(&mut state, at(3_000), arrival);
        assert_eq!(sent_target(&effects).is_some(), is_sent, "{effects:?}");
    }
}

#[test]
fn retry_after_times_are_spread() {
    let mut state = state(1, &[("e1", "model")]);
    let mut retry_afters = std::collections::BTreeSet::new();
    for number in 1..60 {
        let effects = arrive(&mut state, at(0), model(0, number, &format!("p{number}")));
        retry_afters.extend(effects.iter().filter_map(|it| match it {
            Effect::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        }));
    }
    assert!(retry_afters.len() > 30, "{retry_afters:?}");
}

/// One team requests twice the capacity of all engines and another one little: the refusals
/// must fall on the first.
#[test]
fn a_team_over_its_share_is_refused_before_others() {
    let mut state = state(1, &ENGINES);
    let mut refusals = Vec::new();
    let mut running = std::collections::VecDeque::new();
    for number in 0..200 {
        let now = number * 50;
        while running.front().is_some_and(|it: &(u64, u64)| it.0 <= now) {
            let (end, number) = running.pop_front().unwrap();
            complete(&mut state, at(end), number);
        }
        let name = if number % 10 == 9 { "small" } else { "large" };
        let mut arrival = model(now, number, &format!("p{number}"));
        arrival.team = Some(team(name));
        arrival.prompt.as_mut().unwrap().parts[1].tokens = 10_500;
        match &request_effects(arrive(&mut state, at(now), arrival))[..] {
            [Effect::Send { .. }] => running.push_back((now + 600, number)),
            [Effect::Refuse { reason, .. }] => refusals.push((now, name, *reason)),
            other => panic!("{other:?}"),
        }
    }
    let late = |name| refusals.iter().filter(|it| it.0 >= 2_000 && it.1 == name).count();
    assert!(refusals.iter().any(|it| it.2 == Refusal::TeamOverShare), "{refusals:?}");
    // Out of 144 and 16 requests after the first two seconds.
    assert!(late("large") >= 30, "{refusals:?}");
    assert!(late("small") <= 2, "{refusals:?}");
}

/// Guards against charging a team for requests that were lost with their engines: the team
/// received nothing, so it has priority over a team that was served.
#[test]
fn requests_without_a_response_are_not_charged_to_the_team() {
    let mut state = state(1, &ENGINES);
    for number in 0..16 {
        let mut arrival = model(0, number, &format!("p{number}"));
        arrival.team = Some(team(if number < 8 { "served" } else { "lost" }));
        arrive(&mut state, at(0), arrival);
        let request = RequestId(number);
        if number < 8 {
            complete(&mut state, at(0), number);
        } else {
            state.step(at(0), Event::CallerDisconnected { request });
        }
    }
    let mut is_sent = |name: &str, number: u64| {
        let mut arrival = model(300, number, &format!("p{number}"));
        arrival.team = Some(team(name));
        sent_target(&arrive(&mut state, at(300), arrival)).is_some()
    };
    // The two teams send in turn until the engines have no capacity left.
    let served = (100..140).step_by(2).filter(|it| is_sent("served", *it)).count();
    let lost = (101..141).step_by(2).filter(|it| is_sent("lost", *it)).count();
    assert!(lost > served, "{lost} {served}");
}

/// A request must not be sent to an engine that was removed, even if that engine cached its
/// shared part.
#[test]
fn a_removed_engine_gets_no_requests_for_the_part_that_it_cached() {
    let mut state = state(1, &ENGINES);
    let first = sent_target(&arrive(&mut state, at(0), model(0, 1, "a"))).unwrap().server;
    complete(&mut state, at(600), 1);
    // Further requests while the first engine is busy make another engine cache the part too.
    for number in 2..12 {
        arrive(&mut state, at(700), model(700, number, "a"));
    }
    let id = state.servers().find(|it| it.record.key() == first).unwrap().record.id.clone();
    state.step(at(800), Event::ServerRemoved { id });
    let effects = arrive(&mut state, at(800), model(800, 20, "a"));
    assert_ne!(sent_target(&effects).map(|it| it.server), Some(first));
}

/// Guards against overload on busy engines spreading to all others, which would evict the
/// parts that those cache.
#[test]
fn a_part_cached_by_a_busy_engine_is_not_prefilled_by_another_busy_one() {
    let mut state = state(1, &ENGINES);
    let holder = sent_target(&arrive(&mut state, at(0), model(0, 1, "a"))).unwrap().server;
    // Each engine first gives a speed sample, and then has prompts to prefill.
    for number in [2, 3] {
        arrive(&mut state, at(0), model(0, number, &format!("p{number}")));
    }
    for number in [1, 2, 3] {
        complete(&mut state, at(240), number);
    }
    for number in [4, 5, 6] {
        arrive(&mut state, at(700), model(700, number, &format!("p{number}")));
    }
    let mut number = 100;
    let targets = std::iter::from_fn(|| {
        number += 1;
        let effects = arrive(&mut state, at(700), model(700, number, "a"));
        sent_target(&effects).map(|it| it.server)
    });
    let elsewhere = targets.take(60).filter(|it| *it != holder).count();
    assert_eq!(elsewhere, 0);
    let other = arrive(&mut state, at(700), model(700, 200, "new"));
    assert!(sent_target(&other).is_some(), "an uncached prompt is still accepted");
}

/// Several engines fetch the same part from one engine; the transfers of an engine run one at
/// a time.
#[test]
fn a_fetch_waits_for_earlier_transfers() {
    let mut state = state(1, &ENGINES);
    arrive(&mut state, at(0), model(0, 1, "a"));
    complete(&mut state, at(600), 1);
    let mut fetches = Vec::new();
    for number in 2..80 {
        let effects = arrive(&mut state, at(700), model(700, number, "a"));
        fetches.extend(effects.iter().filter_map(|it| match it {
            Effect::Log(Decision::AttemptSent {
                fetch_tokens: 1..,
                prefill_tokens,
                expected_ms,
                backlog_ms,
                ..
            }) => Some(expected_ms - backlog_ms - f64::from(*prefill_tokens) / 40.0),
            _ => None,
        }));
    }
    assert_eq!(fetches.len(), 2, "each of the other engines fetches once: {fetches:?}");
    assert!(fetches[1] > fetches[0] + 15.0, "{fetches:?}");
}

#[test]
fn a_draining_server_gets_no_requests_and_its_restart_counts_as_a_new_server() {
    let mut state = state(1, &[("a", "app")]);
    let mut draining = record("a", "app");
    draining.state = ServerState::Draining;
    state.step(at(0), Event::ServerListed(draining));
    let refused = request_effects(arrive(
        &mut state,
        at(1),
        arrival(at(1), 1, RetryPolicy::Idempotent, None),
    ));
    assert!(
        matches!(refused[..], [Effect::Refuse { reason: Refusal::NoServer, .. }]),
        "{refused:?}"
    );
    let mut restarted = record("a", "app");
    restarted.started_at_ms = 2;
    state.step(at(2), Event::ServerListed(restarted.clone()));
    let effects = arrive(&mut state, at(3), arrival(at(3), 2, RetryPolicy::Idempotent, None));
    assert_eq!(sent_target(&effects).unwrap().server, restarted.key());
}

#[test]
fn a_server_whose_entry_is_missing_is_used_until_it_expires() {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::ServerMissing { id: "a".into(), expires_at: at(2_000) });
    let during =
        arrive(&mut state, at(1_000), arrival(at(1_000), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&during).is_some());
    state.step(at(2_001), Event::Tick);
    let after = arrive(&mut state, at(2_002), arrival(at(2_002), 2, RetryPolicy::Idempotent, None));
    assert!(sent_target(&after).is_none());
}

#[test]
fn a_server_confirmed_as_removed_is_dropped_at_once() {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::ServerMissing { id: "a".into(), expires_at: at(2_000) });
    state.step(at(500), Event::RemovalsConfirmed);
    let after = arrive(&mut state, at(501), arrival(at(501), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&after).is_none());
}

#[rstest]
#[case::before_it_expires(Event::Tick)]
#[case::before_its_removal_is_confirmed(Event::RemovalsConfirmed)]
fn a_missing_server_that_is_listed_again_is_kept(#[case] then: Event) {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::ServerMissing { id: "a".into(), expires_at: at(2_000) });
    state.step(at(1_000), Event::ServerListed(record("a", "app")));
    state.step(at(3_000), then);
    let after = arrive(&mut state, at(3_001), arrival(at(3_001), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&after).is_some());
}

#[test]
fn a_failing_server_is_avoided_at_once_and_used_again_after_recovery() {
    let mut state = state(1, &[("a", "app"), ("b", "app")]);
    let mut used = std::collections::HashMap::new();
    for number in 0..2_000 {
        let now = number * 20;
        let effects =
            arrive(&mut state, at(now), arrival(at(now), number, RetryPolicy::NonIdempotent, None));
        let server = sent_target(&effects).unwrap().id.clone();
        *used.entry(server.to_string()).or_insert(0) += 1;
        if &*server == "a" && now < 4_000 {
            fail_attempt(&mut state, at(now + 5), number, Fault::ConnectionLost);
        } else {
            complete(&mut state, at(now + 5), number);
        }
    }
    // The failing server gets some requests in between, and its share again after it has
    // recovered.
    assert!((100..=1_000).contains(&used["a"]), "{used:?}");
}

#[test]
fn requests_sent_by_peers_count_as_load() {
    let servers = [("a", "app"), ("b", "app")];
    let (mut here, mut there) = (state(1, &servers), state(2, &servers));
    let effects = arrive(&mut there, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    let taken = sent_target(&effects).unwrap().server;
    here.step(at(1), Event::NotesReceived { from: 2, notes: there.take_notes() });
    let effects = arrive(&mut here, at(2), arrival(at(2), 1, RetryPolicy::NonIdempotent, None));
    assert_ne!(sent_target(&effects).unwrap().server, taken);
    let end = AttemptEnd::Completed { status: 200, event_interval_micros: None };
    there.step(at(3), Event::AttemptEnded { request: RequestId(1), end });
    here.step(at(4), Event::NotesReceived { from: 2, notes: there.take_notes() });
    assert_eq!(here.servers().map(|it| it.in_flight()).sum::<usize>(), 1);
}

// Guards against prompts that are refused for good by the speed of an engine which has recovered: nothing else
// measures it again.
#[test]
fn an_idle_engine_shows_its_speed_anew_by_one_request_at_a_time() {
    let mut state = state(1, &ENGINES[..1]);
    let short = |now, number| {
        let prompt = prompt(&format!("p{number}"), 10_000, &format!("own-{number}"), 500);
        arrival(at(now), number, RetryPolicy::Stream, Some(prompt))
    };
    let long = |now, number| {
        let prompt = prompt(&format!("p{number}"), 90_000, &format!("own-{number}"), 500);
        arrival(at(now), number, RetryPolicy::Stream, Some(prompt))
    };
    let mut now = 0;
    for number in 1..=100 {
        assert!(sent_target(&arrive(&mut state, at(now), short(now, number))).is_some());
        now += 1_300;
        complete(&mut state, at(now), number);
    }
    // By then some 8 tokens a millisecond, which takes longer than the 8 s that a caller waits.
    assert!(sent_target(&arrive(&mut state, at(now), long(now, 101))).is_none());
    now += 8_000;
    assert!(sent_target(&arrive(&mut state, at(now), long(now, 102))).is_some());
    assert!(sent_target(&arrive(&mut state, at(now), long(now, 103))).is_none());
    complete(&mut state, at(now + 900), 102);
}
