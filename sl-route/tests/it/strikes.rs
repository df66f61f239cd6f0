//! Requests that crash servers are barred, and other requests are not.

use sl_route::{Effect, Failure, Fault, RetryPolicy, strikes::CrashTracker};

use crate::testbed::{
    START, arrival, arrive, at, fail_attempt, request_effects, sent_target, state,
};

#[test]
fn three_crashes_bar_a_request_until_they_expire() {
    let mut tracker = CrashTracker::default();
    assert!(!tracker.record_crash(at(0), 7));
    assert!(!tracker.record_crash(at(1), 7));
    assert!(!tracker.is_barred(at(1), 7));
    assert!(tracker.record_crash(at(2), 7));
    assert!(tracker.is_barred(at(2), 7));
    assert!(!tracker.is_barred(at(2), 8));
    assert!(!tracker.is_barred(at(70_000), 7));
}

#[test]
fn a_request_that_completes_is_cleared() {
    let mut tracker = CrashTracker::default();
    tracker.record_crash(at(0), 7);
    tracker.record_crash(at(1), 7);
    tracker.clear(7);
    assert!(!tracker.record_crash(at(2), 7));
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
