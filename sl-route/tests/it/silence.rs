//! An attempt whose server is silent is given up only for another server that takes over.

use std::sync::Arc;

use rstest::rstest;
use sl_base::RequestId;
use sl_route::{
    AttemptEnd, Decision, Document, Effect, Event, Fault, Limits, RetryPolicy, State,
    effect::RetryDenial,
};

use crate::testbed::{
    arrival, arrive, at, complete, document, fail_attempt, prompt, request_effects, sent_target,
    state,
};

const ENGINES: [(&str, &str); 2] = [("e1", "model"), ("e2", "model")];

const REQUEST: RequestId = RequestId(1);

/// A state with one stream, of which events have been delivered.
fn state_with_stream(servers: &[(&str, &str)], retry_policy: RetryPolicy) -> State {
    let mut state = state(1, servers);
    let prompt = Some(prompt("a", 1_000, "b", 100));
    arrive(&mut state, at(0), arrival(at(0), 1, retry_policy, prompt));
    state.step(at(100), Event::ResponseStarted { request: REQUEST });
    state
}

fn report_silence(state: &mut State, now: u64) -> Vec<Effect> {
    let event = Event::AttemptSilent { request: REQUEST, is_partially_delivered: true };
    state.step(at(now), event)
}

// Guards against streams that are cut off because their server is silent and no other server takes
// over: here, since there is none, or since the route does not allow it.
#[rstest]
#[case::no_other_server(&ENGINES[..1], RetryPolicy::ResumableStream, RetryDenial::NoServer)]
#[case::not_resumable(&ENGINES, RetryPolicy::Stream, RetryDenial::NotRepeatable)]
fn an_attempt_continues_on_a_silent_server_without_another_one(
    #[case] servers: &[(&str, &str)],
    #[case] retry_policy: RetryPolicy,
    #[case] expected: RetryDenial,
) {
    let mut state = state_with_stream(servers, retry_policy);
    let effects = report_silence(&mut state, 1_700);
    let denial = effects.iter().find_map(|it| match it {
        Effect::Log(Decision::AttemptSilent { denial, .. }) => Some(*denial),
        _ => None,
    });
    assert_eq!(denial, Some(expected));
    let waits = |effects: Vec<Effect>| match request_effects(effects).as_slice() {
        [Effect::KeepWaiting { request: REQUEST, until }] => *until,
        other => panic!("{other:?}"),
    };
    assert!(waits(effects) > at(1_700));
    assert!(waits(report_silence(&mut state, 7_990)) <= at(8_000), "beyond the deadline");
    assert_eq!(state.in_flight(), 1);
    assert_eq!(state.servers().map(|it| it.in_flight()).sum::<usize>(), 1);
    complete(&mut state, at(7_995), 1);
    assert_eq!(state.in_flight(), 0);
    assert_eq!(state.servers().map(|it| it.in_flight()).sum::<usize>(), 0);
}

// Guards against waiting for a silent server while another one can continue the stream.
#[test]
fn an_attempt_moves_from_a_silent_server_to_another_one() {
    let mut state = state_with_stream(&ENGINES, RetryPolicy::ResumableStream);
    let first = state.servers().find(|it| it.in_flight() == 1).unwrap().key;
    let effects = report_silence(&mut state, 1_700);
    assert_ne!(sent_target(&effects).unwrap().server, first);
    let first = state.servers().find(|it| it.key == first).unwrap();
    assert_eq!(first.in_flight(), 0);
    assert!(first.health.is_avoided(at(1_700)));
}

// Guards against a stream that stays with a silent server although another one has come meanwhile.
#[test]
fn a_server_that_comes_later_takes_over_from_a_silent_one() {
    let mut state = state_with_stream(&ENGINES[..1], RetryPolicy::ResumableStream);
    assert!(sent_target(&report_silence(&mut state, 1_700)).is_none());
    let record = crate::testbed::record("e2", "model");
    state.step(at(1_800), Event::ServerListed(record));
    assert!(sent_target(&report_silence(&mut state, 1_950)).is_some());
}

// Guards against a change of the configuration that ends a stream whose server is silent.
#[test]
fn a_change_of_the_configuration_does_not_end_a_request_on_a_silent_server() {
    let mut state = state_with_stream(&ENGINES[..1], RetryPolicy::ResumableStream);
    report_silence(&mut state, 1_700);
    state.step(at(1_800), Event::Document(document(2)));
    let effects = request_effects(report_silence(&mut state, 1_950));
    assert!(matches!(effects.as_slice(), [Effect::KeepWaiting { .. }]), "{effects:?}");
}

// Guards against one silence that counts as several failures of the server.
#[test]
fn the_silence_of_one_attempt_is_one_failure_of_its_server() {
    let failure_rate = |reports: u64, fails: bool| {
        let mut state = state_with_stream(&ENGINES[..1], RetryPolicy::ResumableStream);
        for _ in 0..reports {
            report_silence(&mut state, 1_700);
        }
        if fails {
            fail_attempt(&mut state, at(1_700), 1, Fault::ResponseTimeout);
        }
        state.servers().next().unwrap().health.failure_rate(at(1_700))
    };
    assert_eq!(failure_rate(1, false), failure_rate(4, false));
    assert_eq!(failure_rate(1, false), failure_rate(4, true));
}

// Guards against a request that gets no decision, or a failure, because its silent server or its
// service is no longer listed.
#[rstest]
#[case::server(true)]
#[case::service(false)]
fn a_removal_does_not_end_a_request_on_a_silent_server(#[case] removes_server: bool) {
    let mut state = state_with_stream(&ENGINES[..1], RetryPolicy::ResumableStream);
    report_silence(&mut state, 1_700);
    let removal = if removes_server {
        Event::ServerRemoved { id: "e1".into() }
    } else {
        Event::Document(Arc::new(Document::new(2, [], [], Limits::default(), [])))
    };
    state.step(at(1_800), removal);
    let effects = request_effects(report_silence(&mut state, 1_950));
    assert!(matches!(effects.as_slice(), [Effect::KeepWaiting { .. }]), "{effects:?}");
    complete(&mut state, at(2_000), 1);
    assert_eq!(state.in_flight(), 0);
}

// Guards against a stream that is cut off because the server that should take over from a silent
// one does not run it: it was rejected, or the server cannot be reached.
#[rstest]
#[case::rejected(Fault::Full)]
#[case::unreachable(Fault::NotConnected)]
#[case::refused(Fault::ConnectionRefused)]
fn a_request_returns_to_the_silent_server_once_if_no_other_one_takes_over(#[case] fault: Fault) {
    let mut state = state_with_stream(&ENGINES, RetryPolicy::ResumableStream);
    let first = state.servers().find(|it| it.in_flight() == 1).unwrap().key;
    assert_ne!(sent_target(&report_silence(&mut state, 1_700)).unwrap().server, first);
    let end = AttemptEnd::Failed { fault, is_partially_delivered: true };
    let returned = state.step(at(1_710), Event::AttemptEnded { request: REQUEST, end });
    assert_eq!(sent_target(&returned).unwrap().server, first);
    let failed = state.step(at(1_720), Event::AttemptEnded { request: REQUEST, end });
    assert!(matches!(request_effects(failed).as_slice(), [Effect::Fail { .. }]));
    assert_eq!(state.in_flight(), 0);
    assert_eq!(state.servers().map(|it| it.in_flight()).sum::<usize>(), 0);
}

// Guards against requests that fail because silent servers, which mostly go on, have used up the
// retries.
#[test]
fn requests_on_silent_servers_leave_half_of_the_retries_to_failures() {
    const REQUESTS: u64 = 40;
    let mut state = state(1, &ENGINES);
    for number in 0..REQUESTS {
        let prompt = Some(prompt("a", 1_000, &number.to_string(), 100));
        arrive(&mut state, at(0), arrival(at(0), number, RetryPolicy::ResumableStream, prompt));
    }
    let silent = (0..REQUESTS).map(|number| Event::AttemptSilent {
        request: RequestId(number),
        is_partially_delivered: false,
    });
    let moved = silent.filter(|it| sent_target(&state.step(at(10), it.clone())).is_some()).count();
    let failed = (0..REQUESTS)
        .filter(|it| {
            sent_target(&fail_attempt(&mut state, at(20), *it, Fault::ConnectionLost)).is_some()
        })
        .count();
    // (0.2 * 40 + 160 / 16) * 0.8 = 14.4 retries in all.
    assert_eq!((moved, failed), (8, 6));
}
