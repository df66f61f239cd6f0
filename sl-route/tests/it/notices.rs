//! What servers announce in their responses: that they shut down, or that they want no requests
//! from an instance for a while.

use rstest::rstest;
use sl_base::Millis;
use sl_route::{
    Effect, Event, Fault, Refusal, RetryPolicy, ServerKey, ServerNotice, ServerRecord, State,
    note::Note,
};

use crate::testbed::{
    arrival, arrive, at, fail_attempt, record, request_effects, sent_target, state,
};

fn key(id: &str) -> ServerKey {
    record(id, "app").key()
}

fn announce(state: &mut State, millis: u64, id: &str, notice: ServerNotice) {
    state.step(at(millis), Event::ServerNotice { server: key(id), notice });
}

/// The server that a new request is sent to at `millis`; `None` if the request is refused.
fn send(state: &mut State, millis: u64, number: u64) -> Option<String> {
    let now = at(millis);
    let effects = arrive(state, now, arrival(now, number, RetryPolicy::Idempotent, None));
    sent_target(&effects).map(|it| it.id.to_string())
}

/// Sends eight requests and returns the servers that got any.
fn servers_used(state: &mut State, millis: u64) -> Vec<String> {
    let first = millis * 100;
    let mut used: Vec<String> =
        (first..first + 8).filter_map(|number| send(state, millis, number)).collect();
    used.sort();
    used.dedup();
    used
}

#[test]
fn a_server_that_leaves_gets_no_new_requests() {
    let mut state = state(0, &[("a", "app"), ("b", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Draining);
    assert_eq!(servers_used(&mut state, 20), ["b"]);
    assert!(!state.is_accepting(at(20), key("a")), "nor one that was placed before");
}

#[test]
fn peers_learn_of_a_server_that_leaves_once() {
    let mut teller = state(0, &[("a", "app"), ("b", "app")]);
    announce(&mut teller, 10, "a", ServerNotice::Draining);
    announce(&mut teller, 11, "a", ServerNotice::Draining);
    let notes = teller.take_notes();
    let draining = Note::ServerDraining { server: key("a") };
    assert_eq!(notes.notes.iter().filter(|it| **it == draining).count(), 1);
    let mut peer = state(1, &[("a", "app"), ("b", "app")]);
    peer.step(at(20), Event::NotesReceived { from: 0, notes });
    assert_eq!(servers_used(&mut peer, 30), ["b"]);
    assert!(!peer.has_notes() || !peer.take_notes().notes.contains(&draining));
}

#[test]
fn a_server_is_known_to_leave_before_it_is_listed() {
    let mut state = state(0, &[("b", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Draining);
    state.step(at(20), Event::ServerListed(record("a", "app")));
    assert_eq!(servers_used(&mut state, 30), ["b"]);
}

#[test]
fn a_retried_request_goes_elsewhere() {
    let mut state = state(0, &[("a", "app"), ("b", "app")]);
    let first = send(&mut state, 10, 1).expect("a server");
    let other = if first == "a" { "b" } else { "a" };
    announce(&mut state, 20, other, ServerNotice::Draining);
    let effects = fail_attempt(&mut state, at(30), 1, Fault::Full);
    assert_eq!(sent_target(&effects), None, "the other server leaves");
}

/// The address, or even the id, of a server that has ended may be used by another one.
#[test]
fn the_next_run_of_a_server_that_left_is_used() {
    let mut state = state(0, &[("a", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Draining);
    assert_eq!(send(&mut state, 20, 1), None);
    let next_run = ServerRecord { started_at_ms: 2, ..record("a", "app") };
    state.step(at(30), Event::ServerListed(next_run));
    assert_eq!(send(&mut state, 40, 2).as_deref(), Some("a"));
}

#[test]
fn a_busy_server_gets_requests_again_when_it_said() {
    let mut state = state(0, &[("a", "app"), ("b", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Pause { until: at(1_010) });
    assert_eq!(servers_used(&mut state, 20), ["b"]);
    assert!(!state.is_accepting(at(1_009), key("a")));
    assert_eq!(send(&mut state, 1_010, 1).as_deref(), Some("a"), "the idle one");
}

#[rstest]
#[case::shorter(500)]
#[case::at_once(11)]
fn a_later_notice_does_not_shorten_the_pause(#[case] until: u64) {
    let mut state = state(0, &[("a", "app"), ("b", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Pause { until: at(1_010) });
    announce(&mut state, 11, "a", ServerNotice::Pause { until: at(until) });
    assert_eq!(servers_used(&mut state, 600), ["b"]);
}

#[test]
fn a_pause_of_more_than_an_hour_counts_as_an_hour() {
    let mut state = state(0, &[("a", "app")]);
    let notice = ServerNotice::Pause { until: at(0).after(Millis(u64::MAX / 4)) };
    announce(&mut state, 0, "a", notice);
    assert_eq!(send(&mut state, 3_599_000, 1), None);
    assert_eq!(send(&mut state, 3_600_001, 2).as_deref(), Some("a"));
}

/// Guards against callers that wait, or that count as having lost an attempt, because every
/// server asked for a pause.
#[test]
fn a_request_is_refused_at_once_while_all_servers_are_busy() {
    let mut state = state(0, &[("a", "app"), ("b", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Pause { until: at(60_000) });
    announce(&mut state, 10, "b", ServerNotice::Pause { until: at(9_000) });
    let now = at(20);
    let effects = arrive(&mut state, now, arrival(now, 1, RetryPolicy::Idempotent, None));
    let [Effect::Refuse { reason: Refusal::TurnedAway, retry_after, .. }] =
        request_effects(effects)[..]
    else {
        panic!("one refusal");
    };
    assert!((Millis(100)..=Millis(4_000)).contains(&retry_after), "{retry_after:?}");
    assert_eq!(state.in_flight(), 0);
}

#[test]
fn a_pause_concerns_this_instance_alone() {
    let mut state = state(0, &[("a", "app")]);
    announce(&mut state, 10, "a", ServerNotice::Pause { until: at(1_000) });
    assert!(!state.has_notes());
}

#[test]
fn an_engine_that_leaves_is_not_asked_for_its_cache() {
    let mut state = state(0, &[("e", "model")]);
    let server = record("e", "model").key();
    state.step(at(10), Event::ServerNotice { server, notice: ServerNotice::Draining });
    let effects = state.step(at(1_000), Event::Tick);
    assert!(!effects.iter().any(|it| matches!(it, Effect::ListCache { .. })));
}
