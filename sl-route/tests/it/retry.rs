//! The reaction to a failed attempt: retry, refuse, fail or forward the server's error.

use std::sync::Arc;

use rstest::rstest;
use sl_base::{Millis, RequestId};
use sl_route::{
    AttemptEnd, Decision, Effect, Event, Fault, RetryPolicy, Route, effect::RetryDenial,
};

use crate::testbed::{
    arrival, arrive, at, fail_attempt, prompt, request_effects, sent_target, state,
};

const APPS: [(&str, &str); 3] = [("a", "app"), ("b", "app"), ("c", "app")];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reaction {
    Retried,
    Refused,
    Failed,
    ServerErrorForwarded,
}

fn reaction(effects: Vec<Effect>) -> Reaction {
    match request_effects(effects).as_slice() {
        [Effect::Send { .. }] => Reaction::Retried,
        [Effect::Refuse { .. }] => Reaction::Refused,
        [Effect::Fail { .. }] => Reaction::Failed,
        [Effect::ForwardServerError { .. }] => Reaction::ServerErrorForwarded,
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::not_connected(Fault::NotConnected, Reaction::Retried, Reaction::Retried)]
#[case::refused(Fault::ConnectionRefused, Reaction::Retried, Reaction::Retried)]
#[case::full(Fault::Full, Reaction::Retried, Reaction::Retried)]
#[case::wrong_server(Fault::WrongServer, Reaction::Retried, Reaction::Retried)]
#[case::connection_lost(Fault::ConnectionLost, Reaction::Retried, Reaction::Failed)]
#[case::stale_connection(Fault::StaleConnection, Reaction::Retried, Reaction::Failed)]
#[case::truncated_response(Fault::TruncatedResponse, Reaction::Retried, Reaction::Failed)]
#[case::invalid_response(Fault::InvalidResponse, Reaction::Retried, Reaction::Failed)]
#[case::response_timeout(Fault::ResponseTimeout, Reaction::Retried, Reaction::Failed)]
#[case::unproven_rejection(Fault::UnprovenRejection, Reaction::Retried, Reaction::Failed)]
#[case::unmatched_rejection(Fault::UnmatchedRejection, Reaction::Retried, Reaction::Failed)]
#[case::server_error(Fault::ServerError, Reaction::Retried, Reaction::ServerErrorForwarded)]
fn reaction_to_the_first_fault(
    #[case] fault: Fault,
    #[case] idempotent: Reaction,
    #[case] non_idempotent: Reaction,
) {
    for (retry_policy, expected) in
        [(RetryPolicy::Idempotent, idempotent), (RetryPolicy::NonIdempotent, non_idempotent)]
    {
        let mut state = state(1, &APPS);
        arrive(&mut state, at(0), arrival(at(0), 1, retry_policy, None));
        assert_eq!(
            reaction(fail_attempt(&mut state, at(10), 1, fault)),
            expected,
            "{retry_policy}"
        );
    }
}

#[test]
fn a_request_is_refused_only_if_no_attempt_may_have_run() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::Idempotent, None));
    assert_eq!(
        reaction(fail_attempt(&mut state, at(10), 1, Fault::ConnectionLost)),
        Reaction::Retried
    );
    // The server rejected the second attempt, but the first may have run.
    assert_eq!(reaction(fail_attempt(&mut state, at(20), 1, Fault::Full)), Reaction::Failed);
}

#[test]
fn a_request_is_refused_when_all_attempts_find_full_servers() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    assert_eq!(reaction(fail_attempt(&mut state, at(10), 1, Fault::Full)), Reaction::Retried);
    assert_eq!(reaction(fail_attempt(&mut state, at(20), 1, Fault::Full)), Reaction::Refused);
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
fn failed_connections_do_not_count_as_attempts() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    for _ in 0..2 {
        assert_eq!(
            reaction(fail_attempt(&mut state, at(10), 1, Fault::NotConnected)),
            Reaction::Retried
        );
    }
    assert_eq!(
        reaction(fail_attempt(&mut state, at(20), 1, Fault::NotConnected)),
        Reaction::Refused
    );
}

/// Guards against a caller that is refused because the address of a lost server belongs to another one
/// now, where the route allows one attempt: nothing has run, and another server is free. In a trial of
/// the incident of issue 42 half of the refusals of teams below half of their share were of this kind.
#[test]
fn a_request_that_reached_the_wrong_server_goes_to_another_one_where_one_attempt_is_allowed() {
    let mut state = state(1, &APPS);
    let mut request = arrival(at(0), 1, RetryPolicy::NonIdempotent, None);
    request.route = Arc::new(Route { max_attempts: 1, ..(*request.route).clone() });
    arrive(&mut state, at(0), request);
    for _ in 0..2 {
        let effects = fail_attempt(&mut state, at(10), 1, Fault::WrongServer);
        assert_eq!(reaction(effects), Reaction::Retried);
    }
    assert_eq!(
        reaction(fail_attempt(&mut state, at(20), 1, Fault::WrongServer)),
        Reaction::Refused
    );
}

/// Guards against retries beyond the budget: a server that rejects a request counts it as an arrival.
#[test]
fn retries_of_requests_that_reached_the_wrong_server_take_from_the_budget() {
    let mut state = state(1, &APPS);
    let retries = (0..300).filter(|&number| {
        let request = arrival(at(number), number, RetryPolicy::Idempotent, None);
        arrive(&mut state, at(number), request);
        let effects = fail_attempt(&mut state, at(number), number, Fault::WrongServer);
        state.step(at(number), Event::CallerDisconnected { request: RequestId(number) });
        reaction(effects) == Reaction::Retried
    });
    let retries = retries.count();
    assert!((40..=56).contains(&retries), "{retries}");
}

#[test]
fn no_retry_is_made_shortly_before_the_deadline() {
    let mut state = state(1, &APPS);
    let mut request = arrival(at(0), 1, RetryPolicy::Idempotent, None);
    request.caller_deadline = at(100);
    arrive(&mut state, at(0), request);
    assert_eq!(
        reaction(fail_attempt(&mut state, at(95), 1, Fault::ConnectionLost)),
        Reaction::Failed
    );
}

#[test]
fn a_partially_delivered_stream_is_retried_only_if_resumable() {
    let engines = [("e1", "model"), ("e2", "model")];
    for (retry_policy, expected) in
        [(RetryPolicy::ResumableStream, Reaction::Retried), (RetryPolicy::Stream, Reaction::Failed)]
    {
        let mut state = state(1, &engines);
        let prompt = prompt("a", 1_000, "b", 100);
        arrive(&mut state, at(0), arrival(at(0), 1, retry_policy, Some(prompt)));
        state.step(at(100), Event::ResponseStarted { request: RequestId(1) });
        let end =
            AttemptEnd::Failed { fault: Fault::TruncatedResponse, is_partially_delivered: true };
        let effects = state.step(at(200), Event::AttemptEnded { request: RequestId(1), end });
        assert_eq!(reaction(effects), expected, "{retry_policy}");
    }
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut state = state(1, &APPS);
    let mut retries = 0;
    for number in 0..300 {
        arrive(&mut state, at(number), arrival(at(number), number, RetryPolicy::Idempotent, None));
        let effects = fail_attempt(&mut state, at(number), number, Fault::ServerError);
        if reaction(effects) == Reaction::Retried {
            retries += 1;
            fail_attempt(&mut state, at(number), number, Fault::ServerError);
        }
    }
    // (0.2 * 300 + 160 / 16) * 0.8 = 56: the ratio, plus the allowance divided by the assumed
    // size of the fleet, of which an instance uses at most four fifths.
    assert!((40..=56).contains(&retries), "{retries}");
}

#[test]
fn a_disconnected_caller_leaves_no_request_in_flight() {
    let mut state = state(1, &APPS);
    arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::NonIdempotent, None));
    state.step(at(10), Event::CallerDisconnected { request: RequestId(1) });
    assert_eq!(state.in_flight(), 0);
    assert_eq!(state.servers().map(|it| it.in_flight()).sum::<usize>(), 0);
    assert_eq!(request_effects(fail_attempt(&mut state, at(20), 1, Fault::ConnectionLost)), []);
}

#[test]
fn the_response_deadline_leaves_time_for_a_retry() {
    let mut state = state(1, &APPS);
    let effects = arrive(&mut state, at(0), arrival(at(0), 1, RetryPolicy::Idempotent, None));
    assert!(sent_target(&effects).unwrap().silent_at <= at(1_000));
    let effects = arrive(&mut state, at(0), arrival(at(0), 2, RetryPolicy::NonIdempotent, None));
    assert_eq!(sent_target(&effects).unwrap().silent_at, at(0).after(Millis(8_000)));
}

// Guards against log lines that do not tell a used-up retry budget from a lack of servers.
#[test]
fn a_failed_attempt_says_why_it_is_not_retried() {
    let denial = |servers: &[(&str, &str)], retry_policy, now| {
        let mut state = state(1, servers);
        arrive(&mut state, at(0), arrival(at(0), 1, retry_policy, None));
        let effects = fail_attempt(&mut state, now, 1, Fault::ConnectionLost);
        effects.into_iter().find_map(|it| match it {
            Effect::Log(Decision::AttemptFailed { denial, .. }) => Some(denial),
            _ => None,
        })
    };
    let idempotent = RetryPolicy::Idempotent;
    assert_eq!(denial(&APPS, idempotent, at(10)), Some(None));
    assert_eq!(denial(&APPS[..1], idempotent, at(10)), Some(Some(RetryDenial::NoServer)));
    assert_eq!(denial(&APPS, idempotent, at(7_990)), Some(Some(RetryDenial::NoTime)));
    let not_repeatable = Some(Some(RetryDenial::NotRepeatable));
    assert_eq!(denial(&APPS, RetryPolicy::NonIdempotent, at(10)), not_repeatable);
}
