//! Connections that an instance may have open to one server.

use sl_route::{Effect, Event, Fault, Refusal, RetryPolicy, State};

use crate::testbed::{
    arrival, arrive, at, complete, fail_attempt, prompt, request_effects, sent_target, state,
};

/// Guards against a team whose callers all reach one small instance, and whose requests are
/// refused because that instance's few connections to the preferred engines are in use: in the
/// trials of the incident inc1 one request in ten of such a team ended so, with engines to spare.
#[test]
fn a_request_goes_to_an_engine_to_which_a_connection_is_left() {
    let mut state = one_connection_each();
    let first = send(&mut state, 1).expect("an idle engine");
    let second = send(&mut state, 2).expect("the other engine");
    assert_ne!(first, second);
    let own = prompt("shared", 1_000, "own3", 100);
    let effects = arrive(&mut state, at(30), arrival(at(30), 3, RetryPolicy::Stream, Some(own)));
    assert!(matches!(
        request_effects(effects)[..],
        [Effect::Refuse { reason: Refusal::Overload, .. }]
    ));
}

#[test]
fn a_connection_is_left_again_once_its_attempt_has_ended() {
    let mut state = one_connection_each();
    let first = send(&mut state, 1);
    send(&mut state, 2);
    complete(&mut state, at(500), 1);
    assert_eq!(send(&mut state, 3), first);
    fail_attempt(&mut state, at(600), 3, Fault::ConnectionLost);
    fail_attempt(&mut state, at(600), 2, Fault::ConnectionLost);
    assert!(state.servers().all(|it| it.own_in_flight == 0));
}

/// Two engines, each with a hundred connections for all instances, and one of them for this.
fn one_connection_each() -> State {
    let mut state = state(0, &[("a", "model"), ("b", "model")]);
    state.step(at(0), Event::ConnectionShare(0.01));
    state
}

fn send(state: &mut State, number: u64) -> Option<String> {
    let own = prompt("shared", 1_000, &format!("own{number}"), 100);
    let now = at(number * 10);
    let effects = arrive(state, now, arrival(now, number, RetryPolicy::Stream, Some(own)));
    sent_target(&effects).map(|it| it.id.to_string())
}
