//! Where work goes.

use rstest::rstest;
use sl_base::{Millis, RequestId};
use sl_route::{
    Arrival, AttemptEnd, Decision, Effect, Event, Fault, Refusal, RetryPolicy, ServerState,
};

use crate::bed::{
    arrival, arrive, at, complete, fail_attempt, prompt, record, request_effects, sent_target,
    state, team,
};

const ENGINES: [(&str, &str); 3] = [("e1", "model"), ("e2", "model"), ("e3", "model")];

fn model(now: u64, number: u64, shared: &str) -> Arrival {
    let prompt = prompt(shared, 10_000, &format!("own-{number}"), 500);
    arrival(at(now), number, RetryPolicy::Stream, Some(prompt))
}

#[test]
fn requests_with_a_shared_part_go_where_it_is_kept() {
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

/// The pattern of a hot part: much of the traffic is about one thing.
#[test]
fn a_hot_part_spreads_once_its_engine_has_too_much_to_do() {
    let mut state = state(1, &ENGINES);
    let mut servers = std::collections::HashSet::new();
    for number in 1..60 {
        let effects = arrive(&mut state, at(number), model(number, number, "hot"));
        servers.extend(sent_target(&effects).map(|it| it.server));
    }
    assert!(servers.len() > 1);
}

/// The pattern of a burst: more work comes at once than can be read in time.
#[test]
fn what_cannot_be_served_in_time_is_refused_at_once_and_what_is_sent_gets_through() {
    let mut state = state(1, &ENGINES);
    let (mut sent_on, mut refused) = (0, 0);
    for number in 1..400 {
        let effects =
            request_effects(arrive(&mut state, at(0), model(0, number, &format!("p{number}"))));
        match &effects[..] {
            [Effect::Send { .. }] => sent_on += 1,
            [Effect::Refuse { reason: Refusal::Overload, retry_after, .. }] => {
                assert!((Millis(100)..=Millis(4_000)).contains(retry_after));
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    // Three engines read 40 tokens in a millisecond each, as the configuration says of all:
    // 850 ms hold three prompts of 10,500 tokens on each.
    assert_eq!((sent_on, refused), (9, 390));
}

/// The pattern of a fleet that has grown while the configuration still says what a smaller
/// one produces: an even part of that is no reason to refuse.
#[test]
fn an_engine_that_nobody_has_tried_is_tried_however_slow_it_is_guessed_to_be() {
    let engines: Vec<String> = (0..1_000).map(|it| format!("e{it}")).collect();
    let engines: Vec<(&str, &str)> = engines.iter().map(|it| (it.as_str(), "model")).collect();
    let mut state = state(1, &engines);
    // What each reads in 10 ms is guessed to take 87 s.
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

/// The pattern of a team over its share while engines rest: nobody gains by a refusal.
#[test]
fn an_idle_engine_takes_what_it_can_still_answer() {
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
fn refused_callers_come_back_spread_over_time() {
    let mut state = state(1, &[("e1", "model")]);
    let mut afters = std::collections::BTreeSet::new();
    for number in 1..60 {
        let effects = arrive(&mut state, at(0), model(0, number, &format!("p{number}")));
        afters.extend(effects.iter().filter_map(|it| match it {
            Effect::Refuse { retry_after, .. } => Some(*retry_after),
            _ => None,
        }));
    }
    assert!(afters.len() > 30, "{afters:?}");
}

/// The pattern of a team at many times its usual: it asks for twice what all engines read,
/// another one for little.
#[test]
fn a_team_over_its_share_yields_to_others() {
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
            [Effect::Refuse { reason: why, .. }] => refusals.push((now, name, *why)),
            other => panic!("{other:?}"),
        }
    }
    let late = |name| refusals.iter().filter(|it| it.0 >= 2_000 && it.1 == name).count();
    assert!(refusals.iter().any(|it| it.2 == Refusal::TeamOverShare), "{refusals:?}");
    // Of 144 and 16 requests after the first two seconds.
    assert!(late("large") >= 30, "{refusals:?}");
    assert!(late("small") <= 2, "{refusals:?}");
}

/// The pattern of engines that are lost with what was sent to them: a team whose requests
/// came to nothing there has had nothing, and goes before the one that was served.
#[test]
fn a_team_whose_requests_came_to_nothing_has_its_share_left() {
    let mut state = state(1, &ENGINES);
    for number in 0..16 {
        let mut arrival = model(0, number, &format!("p{number}"));
        arrival.team = Some(team(if number < 8 { "lucky" } else { "unlucky" }));
        arrive(&mut state, at(0), arrival);
        let request = RequestId(number);
        if number < 8 {
            complete(&mut state, at(0), number);
        } else {
            state.step(at(0), Event::CallerDisconnected { request });
        }
    }
    let mut sent_of = |name: &str, number: u64| {
        let mut arrival = model(300, number, &format!("p{number}"));
        arrival.team = Some(team(name));
        sent_target(&arrive(&mut state, at(300), arrival)).is_some()
    };
    // One after the other, until the engines have enough to do.
    let lucky = (100..140).step_by(2).filter(|it| sent_of("lucky", *it)).count();
    let unlucky = (101..141).step_by(2).filter(|it| sent_of("unlucky", *it)).count();
    assert!(unlucky > lucky, "{unlucky} {lucky}");
}

/// The pattern of engines that are lost.
#[test]
fn a_lost_engine_is_left_and_its_part_is_fetched_where_another_keeps_it() {
    let mut state = state(1, &ENGINES);
    let first = sent_target(&arrive(&mut state, at(0), model(0, 1, "a"))).unwrap().server;
    complete(&mut state, at(600), 1);
    // A copy comes about where a second request meets the first engine busy.
    for number in 2..12 {
        arrive(&mut state, at(700), model(700, number, "a"));
    }
    let id = state.servers().find(|it| it.record.key() == first).unwrap().record.id.clone();
    state.step(at(800), Event::ServerRemoved { id });
    let effects = arrive(&mut state, at(800), model(800, 20, "a"));
    assert_ne!(sent_target(&effects).map(|it| it.server), Some(first));
}

/// The pattern of an overload in which the requests of busy engines would spread over all
/// others, whose caches would lose what they keep.
#[test]
fn a_busy_engines_part_is_not_read_again_by_another_busy_one() {
    let mut state = state(1, &ENGINES);
    let keeper = sent_target(&arrive(&mut state, at(0), model(0, 1, "a"))).unwrap().server;
    // Each engine shows how fast it reads, and then has something to read.
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
    let sent_on = std::iter::from_fn(|| {
        number += 1;
        let effects = arrive(&mut state, at(700), model(700, number, "a"));
        sent_target(&effects).map(|it| it.server)
    });
    let elsewhere = sent_on.take(60).filter(|it| *it != keeper).count();
    assert_eq!(elsewhere, 0);
    let other = arrive(&mut state, at(700), model(700, 200, "new"));
    assert!(sent_target(&other).is_some(), "what nobody keeps is read");
}

/// The pattern of a hot part that many engines fetch from the one that keeps it.
#[test]
fn a_fetch_waits_for_those_before_it() {
    let mut state = state(1, &ENGINES);
    arrive(&mut state, at(0), model(0, 1, "a"));
    complete(&mut state, at(600), 1);
    let mut fetches = Vec::new();
    for number in 2..80 {
        let effects = arrive(&mut state, at(700), model(700, number, "a"));
        fetches.extend(effects.iter().filter_map(|it| match it {
            Effect::Log(Decision::AttemptSent {
                fetch_tokens: 1..,
                prefill_tokens: to_read,
                expected_ms,
                backlog_ms,
                ..
            }) => Some(expected_ms - backlog_ms - f64::from(*to_read) / 40.0),
            _ => None,
        }));
    }
    assert_eq!(fetches.len(), 2, "each of the others fetches once: {fetches:?}");
    assert!(fetches[1] > fetches[0] + 15.0, "{fetches:?}");
}

#[test]
fn a_leaving_server_gets_nothing_and_its_return_counts_as_another() {
    let mut state = state(1, &[("a", "app")]);
    let mut leaving = record("a", "app");
    leaving.state = ServerState::Draining;
    state.step(at(0), Event::ServerListed(leaving));
    let refused = request_effects(arrive(
        &mut state,
        at(1),
        arrival(at(1), 1, RetryPolicy::Idempotent, None),
    ));
    assert!(
        matches!(refused[..], [Effect::Refuse { reason: Refusal::NoServer, .. }]),
        "{refused:?}"
    );
    let mut reborn = record("a", "app");
    reborn.started_at_ms = 2;
    state.step(at(2), Event::ServerListed(reborn.clone()));
    let effects = arrive(&mut state, at(3), arrival(at(3), 2, RetryPolicy::Idempotent, None));
    assert_eq!(sent_target(&effects).unwrap().server, reborn.key());
}

#[test]
fn an_entry_that_lapsed_with_the_store_away_is_used_until_it_is_gone() {
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
fn an_entry_that_is_confirmed_as_removed_is_gone_at_once() {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::ServerMissing { id: "a".into(), expires_at: at(2_000) });
    state.step(at(500), Event::RemovalsConfirmed);
    let after = arrive(&mut state, at(501), arrival(at(501), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&after).is_none());
}

#[rstest]
#[case::in_time(Event::Tick)]
#[case::before_it_would_be_confirmed(Event::RemovalsConfirmed)]
fn an_entry_that_came_back_is_not_gone(#[case] then: Event) {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::ServerMissing { id: "a".into(), expires_at: at(2_000) });
    state.step(at(1_000), Event::ServerListed(record("a", "app")));
    state.step(at(3_000), then);
    let after = arrive(&mut state, at(3_001), arrival(at(3_001), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&after).is_some());
}

#[test]
fn a_server_that_fails_is_left_at_once_and_not_for_ever() {
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
    // It is tried now and then while it fails, and has its part again long after.
    assert!((100..=1_000).contains(&used["a"]), "{used:?}");
}

#[test]
fn the_requests_of_other_instances_count() {
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
