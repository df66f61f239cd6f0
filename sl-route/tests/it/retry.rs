//! What follows a failed attempt: again, refused, failed or passed on.

use rstest::rstest;
use sl_base::{Millis, RequestId};
use sl_route::{AttemptEnd, Effect, Event, Fault, RetryPolicy};

use crate::bed::{arrival, arrive, at, fail_attempt, prompt, request_effects, sent_target, state};

const APPS: [(&str, &str); 3] = [("a", "app"), ("b", "app"), ("c", "app")];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Again,
    Refused,
    Failed,
    PassedOn,
}

fn then(effects: Vec<Effect>) -> Then {
    match request_effects(effects).as_slice() {
        [Effect::Send { .. }] => Then::Again,
        [Effect::Refuse { .. }] => Then::Refused,
        [Effect::Fail { .. }] => Then::Failed,
        [Effect::ForwardServerError { .. }] => Then::PassedOn,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::not_connected(Fault::NotConnected, Then::Again, Then::Again)]
#[case::full(Fault::Full, Then::Again, Then::Again)]
#[case::other_server(Fault::WrongServer, Then::Again, Then::Again)]
#[case::lost(Fault::ConnectionLost, Then::Again, Then::Failed)]
#[case::stale(Fault::StaleConnection, Then::Again, Then::Failed)]
#[case::broken(Fault::TruncatedResponse, Then::Again, Then::Failed)]
#[case::garbled(Fault::InvalidResponse, Then::Again, Then::Failed)]
#[case::silent(Fault::ResponseTimeout, Then::Again, Then::Failed)]
#[case::unsealed(Fault::UnprovenRejection, Then::Again, Then::Failed)]
#[case::server_error(Fault::ServerError, Then::Again, Then::PassedOn)]
fn a_first_fault(#[case] fault: Fault, #[case] idempotent: Then, #[case] once: Then) {
    for (repeat, wanted) in
        [(RetryPolicy::Idempotent, idempotent), (RetryPolicy::NonIdempotent, once)]
    {
        let mut state = state(1, &APPS);
        arrive(&mut state, at(0), arrival(at(0), 1, repeat, None));
        assert_eq!(then(fail_attempt(&mut state, at(10), 1, fault)), wanted, "{repeat}");
    }
}

#[test]
fn not_run_is_said_only_where_no_attempt_may_have_run() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::Idempotent, None));
    assert_eq!(then(fail_attempt(&mut state, at(10), 1, Fault::ConnectionLost)), Then::Again);
    // The second attempt was turned away, but the first may have run.
    assert_eq!(then(fail_attempt(&mut state, at(20), 1, Fault::Full)), Then::Failed);
}

#[test]
fn every_server_full_is_a_refusal() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    assert_eq!(then(fail_attempt(&mut state, at(10), 1, Fault::Full)), Then::Again);
    assert_eq!(then(fail_attempt(&mut state, at(20), 1, Fault::Full)), Then::Refused);
}

#[test]
fn a_server_is_not_tried_twice() {
    let mut state = state(1, &APPS);
    let first =
        sent_target(&arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::Idempotent, None)))
            .unwrap()
            .server;
    let effects = fail_attempt(&mut state, at(10), 1, Fault::ConnectionLost);
    assert_ne!(sent_target(&effects).unwrap().server, first);
}

#[test]
fn connections_that_do_not_come_about_are_no_attempts() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    for _ in 0..2 {
        assert_eq!(then(fail_attempt(&mut state, at(10), 1, Fault::NotConnected)), Then::Again);
    }
    assert_eq!(then(fail_attempt(&mut state, at(20), 1, Fault::NotConnected)), Then::Refused);
}

#[test]
fn nothing_is_tried_once_the_time_is_up() {
    let mut state = state(1, &APPS);
    let mut late = arrival(at(0), 1, RetryPolicy::Idempotent, None);
    late.caller_deadline = at(100);
    arrive(&mut state, at(0), late);
    assert_eq!(then(fail_attempt(&mut state, at(95), 1, Fault::ConnectionLost)), Then::Failed);
}

#[test]
fn a_stream_goes_on_elsewhere_only_where_it_may_be_resumed() {
    let engines = [("e1", "model"), ("e2", "model")];
    for (repeat, wanted) in
        [(RetryPolicy::ResumableStream, Then::Again), (RetryPolicy::Stream, Then::Failed)]
    {
        let mut state = state(1, &engines);
        let prompt = prompt("a", 1_000, "b", 100);
        arrive(&mut state, at(0), arrival(at(0), 1, repeat, Some(prompt)));
        state.step(at(100), Event::ResponseStarted { request: RequestId(1) });
        let end =
            AttemptEnd::Failed { fault: Fault::TruncatedResponse, is_partially_delivered: true };
        let effects = state.step(at(200), Event::AttemptEnded { request: RequestId(1), end });
        assert_eq!(then(effects), wanted, "{repeat}");
    }
}

#[test]
fn retries_end_where_the_budget_does() {
    let mut state = state(1, &APPS);
    let mut again = 0;
    for number in 0..300 {
        arrive(&mut state, at(number), arrival(at(number), number, RetryPolicy::Idempotent, None));
        let effects = fail_attempt(&mut state, at(number), number, Fault::ServerError);
        if then(effects) == Then::Again {
            again += 1;
            fail_attempt(&mut state, at(number), number, Fault::ServerError);
        }
    }
    // 0.2 of 300 requests and a sixteenth of the allowance of 160, four fifths of both.
    assert!((40..=56).contains(&again), "{again}");
}

#[test]
fn a_caller_that_left_leaves_nothing_behind() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    state.step(at(10), Event::CallerDisconnected { request: RequestId(1) });
    assert_eq!(state.in_flight(), 0);
    assert_eq!(state.servers().map(|it| it.in_flight()).sum::<usize>(), 0);
    assert_eq!(request_effects(fail_attempt(&mut state, at(20), 1, Fault::ConnectionLost)), []);
}

#[test]
fn a_silent_server_is_given_up_on_in_time_for_another() {
    let mut state = state(1, &APPS);
    let effects = arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&effects).unwrap().response_deadline <= at(1_000));
    let effects = arrive(&mut state, at(0), arrival(at(0), 2, RetryPolicy::NonIdempotent, None));
    assert_eq!(sent_target(&effects).unwrap().response_deadline, at(0).after(Millis(8_000)));
}
