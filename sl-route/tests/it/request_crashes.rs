//! Requests that crash servers are barred, and other requests are not.

use rstest::rstest;
use sl_base::RequestId;
use sl_route::{
    AttemptEnd, Effect, Event, Failure, Fault, RetryPolicy, ServerKey, State,
    request_crashes::RequestCrashes,
};

use crate::testbed::{
    START, arrival, arrive, at, complete, fail_attempt, record, request_effects, sent_target, state,
};

#[test]
fn three_crashes_bar_a_request_until_they_expire() {
    let mut tracker = RequestCrashes::default();
    assert!(!tracker.record_crash(at(0), 7, ServerKey(1)));
    assert!(!tracker.record_crash(at(1), 7, ServerKey(2)));
    assert!(!tracker.is_barred(at(1), 7));
    assert!(tracker.record_crash(at(2), 7, ServerKey(3)));
    assert!(tracker.is_barred(at(2), 7));
    assert!(!tracker.is_barred(at(2), 8));
    assert!(!tracker.is_barred(at(70_000), 7));
}

#[test]
fn a_request_that_completes_is_cleared() {
    let mut tracker = RequestCrashes::default();
    tracker.record_crash(at(0), 7, ServerKey(1));
    tracker.record_crash(at(1), 7, ServerKey(2));
    tracker.clear(7);
    assert!(!tracker.record_crash(at(2), 7, ServerKey(3)));
}

#[test]
fn a_barred_request_fails_at_once_on_every_instance() {
    let servers = [("a", "app"), ("b", "app"), ("c", "app"), ("d", "app")];
    let (mut here, mut there) = (state(1, &servers), state(2, &servers));
    let crashing = |now, number| {
        let mut arrival = arrival(now, number, RetryPolicy::Idempotent, None);
        arrival.fingerprint = 99;
        arrival
    };
    let mut crashes = 0;
    for number in 0..2 {
        let now = at(number * 1_000);
        assert!(sent_target(&arrive(&mut here, now, crashing(now, number))).is_some());
        crashes += 1;
        while crashes < 3
            && sent_target(&fail_attempt(&mut here, now, number, Fault::ConnectionLost)).is_some()
        {
            crashes += 1;
        }
    }
    fail_attempt(&mut here, at(1_500), 1, Fault::ConnectionLost);
    there.step(at(1_600), sl_route::Event::NotesReceived { from: 1, notes: here.take_notes() });
    for instance in [&mut here, &mut there] {
        let effects = request_effects(arrive(instance, at(2_000), crashing(at(2_000), 50)));
        let request = sl_base::RequestId(50);
        assert_eq!(effects, [Effect::Fail { request, reason: Failure::CrashesServers }]);
        let other = arrival(START, 51, RetryPolicy::Idempotent, None);
        assert!(sent_target(&arrive(instance, at(2_000), other)).is_some());
    }
}

/// Sends requests with the fingerprint 99 until three servers failed under them with `fault`, and
/// passes the notes on to `there`.
fn crash_three_servers(here: &mut State, there: &mut State, fault: Fault) {
    let servers = ["a", "b", "c"];
    for (index, number) in (0..servers.len()).zip(1..) {
        let now = at(number * 3_000);
        let mut arrival = arrival(now, number, RetryPolicy::NonIdempotent, None);
        arrival.fingerprint = 99;
        let effects = arrive(here, now, arrival);
        let target = sent_target(&effects).unwrap();
        assert_eq!(&*target.id, servers[index]);
        if fault == Fault::TruncatedResponse {
            here.step(now, Event::ResponseStarted { request: RequestId(number) });
        }
        let end = AttemptEnd::Failed { fault, is_partially_delivered: false };
        here.step(now, Event::AttemptEnded { request: RequestId(number), end });
        here.step(now, Event::ServerRemoved { id: servers[index].into() });
        if let Some(next) = servers.get(index + 1) {
            here.step(now, Event::ServerListed(record(next, "app")));
        }
    }
    here.step(at(9_500), Event::ServerListed(record("d", "app")));
    there.step(at(9_500), Event::NotesReceived { from: 1, notes: here.take_notes() });
}

fn is_sent(state: &mut State, millis: u64) -> bool {
    let mut arrival = arrival(at(millis), millis, RetryPolicy::NonIdempotent, None);
    arrival.fingerprint = 99;
    sent_target(&arrive(state, at(millis), arrival)).is_some()
}

// Guards against a request that crashes servers after they began the response, or on connections
// that were used before, as most are.
#[rstest]
#[case::lost(Fault::ConnectionLost)]
#[case::stale(Fault::StaleConnection)]
#[case::truncated(Fault::TruncatedResponse)]
fn a_request_is_barred_however_its_connections_ended(#[case] fault: Fault) {
    let (mut here, mut there) = (state(1, &[("a", "app")]), state(2, &[("d", "app")]));
    crash_three_servers(&mut here, &mut there, fault);
    assert!(!is_sent(&mut here, 9_600));
    assert!(!is_sent(&mut there, 9_600));
}

// Guards against barring a request for one server that breaks off responses.
#[test]
fn a_server_counts_once() {
    let mut tracker = RequestCrashes::default();
    for millis in 0..9 {
        assert!(!tracker.record_crash(at(millis), 7, ServerKey(1)));
    }
}

// Guards against peers that hear of the crashes, and not of the completions in between.
#[test]
fn a_request_that_completes_is_cleared_at_peers() {
    let (mut here, mut there) = (state(1, &[("a", "app")]), state(2, &[("d", "app")]));
    assert!(is_sent(&mut there, 100));
    crash_three_servers(&mut here, &mut there, Fault::StaleConnection);
    complete(&mut there, at(9_600), 100);
    here.step(at(9_700), Event::NotesReceived { from: 2, notes: there.take_notes() });
    assert!(is_sent(&mut here, 9_800));
}
