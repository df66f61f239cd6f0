//! Crashed engines are told apart from engines that broke off single responses.

use sl_base::RequestId;
use sl_route::{
    AttemptEnd, Decision, Effect, Event, Fault, PromptPart, RetryPolicy, State,
    crash_detector::{Crash, CrashDetector, Loss, LossPhase, LostRequest, RUNS_MAX, Suspect},
    effect::ServerCrash,
    note::AttemptKey,
    server::ServerKey,
};

use crate::testbed::{arrival, arrive, at, fail_attempt, prompt, state};

const RUN: ServerKey = ServerKey(1);

fn request(fingerprint: u64) -> LostRequest {
    LostRequest { fingerprint, crashes_before: 0 }
}

/// The loss of an attempt whose request has the same number as its only shared part.
fn loss(phase: LossPhase, number: u64) -> Loss {
    let attempt = AttemptKey { instance: 1, attempt: number };
    Loss { attempt, phase, request: request(number), parts: vec![number], is_own: true }
}

// Guards against counting a response that the server alone broke off as a crash.
#[test]
fn a_run_that_responds_after_a_loss_has_not_crashed() {
    let mut detector = CrashDetector::default();
    detector.record_loss(at(0), RUN, loss(LossPhase::HeadOnly, 1));
    detector.record_alive(at(100), RUN);
    assert_eq!(detector.take_confirmed(at(1_000)), []);
}

// Guards against a response that started before the crash, and whose note came after it.
#[test]
fn a_sign_of_life_at_the_time_of_the_loss_does_not_count() {
    let mut detector = CrashDetector::default();
    detector.record_loss(at(0), RUN, loss(LossPhase::HeadOnly, 1));
    detector.record_alive(at(10), RUN);
    detector.record_alive(at(50), RUN);
    assert_eq!(detector.take_confirmed(at(299)), []);
    assert_eq!(detector.take_confirmed(at(300)).len(), 1);
}

// Guards against counting an attempt twice, as its note is sent twice.
#[test]
fn a_loss_that_is_reported_twice_counts_once() {
    let mut detector = CrashDetector::default();
    detector.record_loss(at(0), RUN, loss(LossPhase::HeadOnly, 1));
    detector.record_loss(at(100), RUN, loss(LossPhase::HeadOnly, 1));
    assert_eq!(detector.take_confirmed(at(300))[0].lost, 1);
}

// Guards against suspecting all requests of a crashed engine, most of which it had not begun.
#[test]
fn only_attempts_in_the_most_suspect_phase_are_suspects() {
    let mut detector = CrashDetector::default();
    detector.record_loss(at(0), RUN, loss(LossPhase::NoResponse, 1));
    detector.record_loss(at(1), RUN, loss(LossPhase::HeadOnly, 2));
    detector.record_loss(at(2), RUN, loss(LossPhase::JustStarted, 3));
    detector.record_loss(at(3), RUN, loss(LossPhase::Running, 4));
    let suspects = vec![Suspect { fingerprint: 2, parts: vec![2] }];
    let requests = vec![request(1), request(2), request(3)];
    let crash = Crash {
        run: RUN,
        at: at(0),
        lost: 4,
        is_own: true,
        was_unreachable: false,
        suspects,
        requests,
    };
    assert_eq!(detector.take_confirmed(at(300)), [crash]);
}

// Guards against waiting for a sign of life of an engine that is known to be gone.
#[test]
fn a_run_that_refuses_connections_has_crashed_as_soon_as_peers_had_time_to_report_losses() {
    let mut detector = CrashDetector::default();
    detector.record_loss(at(0), RUN, loss(LossPhase::HeadOnly, 1));
    detector.record_unreachable(RUN);
    assert_eq!(detector.take_confirmed(at(99)), []);
    assert_eq!(detector.take_confirmed(at(100)).len(), 1);
}

// Guards against unbounded tables where many servers fail.
#[test]
fn the_number_of_runs_is_bounded() {
    let mut detector = CrashDetector::default();
    for run in 0..10_000 {
        detector.record_loss(at(run), ServerKey(run), loss(LossPhase::HeadOnly, 1));
        detector.take_confirmed(at(run));
    }
    assert!(detector.len() <= 2 * RUNS_MAX, "{}", detector.len());
}

fn logged_crashes(state: &mut State, millis: u64) -> Vec<Effect> {
    let effects = state.step(at(millis), Event::Tick);
    let is_crash = |it: &Effect| matches!(it, Effect::Log(Decision::ServerCrashed(_)));
    effects.into_iter().filter(is_crash).collect()
}

// Guards against incidents in which no line tells which engine crashed, and under what.
#[test]
fn a_crash_is_logged_with_the_shared_parts_of_its_suspects() {
    let mut state = state(1, &[("a", "model")]);
    for (number, shared) in [(1, "bad"), (2, "good")] {
        let prompt = prompt(shared, 100, "own", 10);
        arrive(&mut state, at(0), arrival(at(0), number, RetryPolicy::Stream, Some(prompt)));
    }
    state.step(at(10), Event::ResponseStarted { request: RequestId(2) });
    fail_attempt(&mut state, at(900), 1, Fault::TruncatedResponse);
    let end = AttemptEnd::Failed { fault: Fault::TruncatedResponse, is_partially_delivered: true };
    state.step(at(901), Event::AttemptEnded { request: RequestId(2), end });
    assert_eq!(logged_crashes(&mut state, 1_199), []);
    let parts = vec![PromptPart::new("m", "bad", 100).key];
    let requests = vec![1];
    let crash = ServerCrash { server: "a".into(), lost: 2, suspects: 1, requests, parts };
    let decision = Decision::ServerCrashed(crash);
    assert_eq!(logged_crashes(&mut state, 1_200), [Effect::Log(decision)]);
}
