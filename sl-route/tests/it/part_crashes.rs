//! Prompt parts under which engines crash are barred, and others are not.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::{Millis, RequestId, Timestamp};
use sl_route::{
    Effect, Event, Failure, Fault, Notes, Prompt, PromptPart, RetryPolicy, ServerKey, State,
    crash_causes::{BAR_INITIAL, CAUSES_MAX, Cause, CrashCauses, Proof, Reaction},
    crash_detector::{Crash, LostRequest, Suspect},
    note::{Bar, Note},
};

use crate::{
    fleet::{Bad, CrashPhase, Fleet, Outcome, Scenario, Servers},
    testbed::{
        arrival, arrive, at, fail_attempt, prompt, record, request_effects, sent_target, state,
    },
};

/// How long each fleet runs.
const SPAN: Millis = Millis(40_000);

/// Attempts with the bad part that may reach engines after the fleet had time to learn.
const LATE_BAD_ATTEMPTS_MAX: u32 = 3;

const SEEDS: std::ops::Range<u64> = 0..5;

const SCENARIO: Scenario = Scenario {
    instances: 4,
    engines: 9,
    servers: Servers::Engines,
    bad: Bad::Part,
    crash_phase: CrashPhase::HeadOnly,
    sound_requests: None,
    crashes_free: 5,
    bad_interval: Some(Millis(500)),
    sound_interval: Millis(10),
    lost_percent: 20,
    restart_interval: None,
    fleet_restart_interval: None,
    rack_interval: None,
    broken_percent: 0,
};

fn check(scenario: Scenario) {
    for seed in SEEDS {
        let sound = Scenario { bad_interval: None, ..scenario };
        let Outcome { sound_sent: usual, .. } = Fleet::new(sound, seed).run(SPAN);
        let outcome = Fleet::new(scenario, seed).run(SPAN);
        assert!(outcome.crashes >= 3, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_bars, 0, "seed {seed}: {outcome:?}");
        assert!(
            outcome.late_bad_attempts <= LATE_BAD_ATTEMPTS_MAX,
            "seed {seed}: {outcome:?}, sent without crashes: {usual}"
        );
        assert!(outcome.sound_sent * 2 >= usual, "seed {seed}: {outcome:?}, without: {usual}");
    }
}

// Guards against requests that share one bad part, and are otherwise all different, crashing the
// engines one after the other: no request comes back often enough to be recognised by itself.
#[test]
fn a_part_that_crashes_engines_is_barred_in_the_whole_fleet() {
    check(SCENARIO);
}

// Guards against instances that forget the part when they start again.
#[test]
fn a_barred_part_stays_barred_while_instances_restart() {
    check(Scenario { restart_interval: Some(Millis(4_000)), ..SCENARIO });
}

// Guards against a fleet that forgets the part when all of its instances start again, and learns it
// anew by three crashes each time.
#[test]
fn a_barred_part_stays_barred_while_the_whole_fleet_restarts() {
    let fleet_restart_interval = Some(Millis(13_000));
    check(Scenario { fleet_restart_interval, bad_interval: Some(Millis(3_000)), ..SCENARIO });
}

fn check_no_bars(scenario: Scenario) {
    for seed in SEEDS {
        let outcome = Fleet::new(scenario, seed).run(SPAN);
        assert_eq!(outcome.sound_bars, 0, "seed {seed}: {outcome:?}");
    }
}

// Guards against blaming the parts in use for a rack that fails: each of its engines loses
// requests with them.
#[test]
fn racks_that_fail_bar_no_part_that_is_in_use() {
    check_no_bars(Scenario { bad_interval: None, rack_interval: Some(Millis(8_000)), ..SCENARIO });
}

// Guards against taking responses that engines broke off for crashes of these engines.
#[test]
fn responses_that_are_broken_off_bar_no_part() {
    check_no_bars(Scenario { bad_interval: None, broken_percent: 40, ..SCENARIO });
}

/// A crash under requests that are otherwise all different, each with the parts of one suspect.
fn crash(millis: u64, run: u64, suspects: &[&[u64]]) -> Crash {
    let suspects = suspects
        .iter()
        .zip(0..)
        .map(|(parts, index)| Suspect { fingerprint: run * 1_000 + index, parts: parts.to_vec() });
    let suspects: Vec<Suspect> = suspects.collect();
    let requests = suspects.iter().map(|it| it.fingerprint);
    let requests = requests.map(|fingerprint| LostRequest { fingerprint, crashes_before: 0 });
    let requests = requests.collect();
    Crash {
        run: ServerKey(run),
        at: at(millis),
        lost: 1,
        is_own: true,
        was_unreachable: false,
        suspects,
        requests,
    }
}

/// Applies a crash of the run with the number `run` to the parts; returns those barred by it.
fn apply(causes: &mut CrashCauses, millis: u64, run: u64, suspects: &[&[u64]]) -> Vec<u64> {
    let now = at(millis);
    let barred = causes.record_crash(now, &crash(millis, run, suspects), now);
    let part = |bar: Bar| match bar.cause {
        Cause::Part(part) => part,
        Cause::Request(_) => panic!("{bar:?} although no request came twice"),
    };
    barred.into_iter().map(part).collect()
}

// Guards against barring parts for single failures of engines, and against missing the cause.
#[test]
fn the_third_crash_bars_a_part() {
    let mut parts = CrashCauses::default();
    assert_eq!(apply(&mut parts, 0, 1, &[&[7]]), []);
    assert_eq!(apply(&mut parts, 1_000, 2, &[&[7]]), []);
    assert!(!parts.is_barred(at(1_000), [Cause::Part(7)]));
    assert_eq!(apply(&mut parts, 2_000, 3, &[&[7]]), [7]);
    assert!(parts.is_barred(at(2_000), [Cause::Part(7)]));
    assert!(!parts.is_barred(at(2_000), [Cause::Part(8)]));
}

// Guards against counting a run several times, whose losses come late or which only broke off
// responses, and a rack as several crashes.
#[test]
fn a_run_counts_once_and_so_do_runs_that_crash_together() {
    let mut parts = CrashCauses::default();
    for millis in [0, 1_000, 2_000, 3_000] {
        assert_eq!(apply(&mut parts, millis, 1, &[&[7]]), []);
    }
    for run in 2..10 {
        assert_eq!(apply(&mut parts, 4_000 + run, run, &[&[7]]), []);
    }
}

// Guards against barring all parts of the requests that crash engines, which sound ones share.
#[test]
fn of_parts_that_explain_the_same_crashes_only_the_last_is_barred() {
    let mut parts = CrashCauses::default();
    for run in 0..2 {
        apply(&mut parts, run * 1_000, run, &[&[1, 2, 10 + run]]);
    }
    assert_eq!(apply(&mut parts, 2_000, 2, &[&[1, 2, 12]]), [2]);
    for run in 3..9 {
        assert_eq!(apply(&mut parts, run * 1_000, run, &[&[1, 2, 10 + run]]), []);
    }
    assert!(!parts.is_barred(at(9_000), [Cause::Part(1)]));
}

// Guards against parts that crash engines again after a bar, and against bars that never end.
#[test]
fn after_a_bar_one_crash_bars_again_for_twice_as_long_and_a_completion_clears() {
    let mut parts = CrashCauses::default();
    for run in 0..3 {
        apply(&mut parts, run * 1_000, run, &[&[7]]);
    }
    let ended = 2_000 + BAR_INITIAL.0;
    assert!(parts.is_barred(at(ended - 1), [Cause::Part(7)]));
    assert!(!parts.is_barred(at(ended), [Cause::Part(7)]));
    assert_eq!(apply(&mut parts, ended, 4, &[&[7]]), [7]);
    let ended_again = ended + 2 * BAR_INITIAL.0;
    assert!(parts.is_barred(at(ended_again - 1), [Cause::Part(7)]));
    assert!(!parts.is_barred(at(ended_again), [Cause::Part(7)]));
    assert!(parts.record_served(at(ended_again), Cause::Part(7), Proof::Completed, true));
    assert_eq!(apply(&mut parts, ended_again + 1_000, 5, &[&[7]]), []);
}

// Guards against unbounded tables where many requests are lost.
#[test]
fn the_number_of_parts_is_bounded() {
    let mut parts = CrashCauses::default();
    for run in 0..3 {
        apply(&mut parts, run * 1_000, run, &[&[7]]);
    }
    for run in 0..2 * CAUSES_MAX as u64 {
        apply(&mut parts, 10_000 + run, 10 + run, &[&[100 + run]]);
    }
    assert!(parts.len() <= CAUSES_MAX, "{}", parts.len());
    assert!(parts.is_barred(at(20_000), [Cause::Part(7)]), "the barred part was forgotten");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0026),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against barring a part for crashes that others caused: whatever crashes, a part with
    /// which a request completes after every second crash at the latest is not barred.
    #[test]
    fn a_part_with_which_requests_complete_is_not_barred(
        crashes in prop::collection::vec((0_u64..2_000, prop::collection::vec(2_u64..6, 0..4), any::<bool>()), 0..40),
        is_complete in any::<bool>(),
    ) {
        const SOUND: u64 = 1;
        let mut parts = CrashCauses::default();
        let (mut millis, mut crashes_since) = (0, 0);
        for (run, (pause, mut suspect, completes)) in crashes.into_iter().enumerate() {
            millis += pause;
            suspect.insert(suspect.len() / 2, SOUND);
            let barred = apply(&mut parts, millis, run as u64, &[&suspect]);
            prop_assert!(!barred.contains(&SOUND));
            crashes_since += 1;
            if completes || crashes_since == 2 {
                let proof = if is_complete { Proof::Completed } else { Proof::Running };
                parts.record_served(at(millis), Cause::Part(SOUND), proof, true);
                crashes_since = 0;
            }
        }
    }
}

// Guards against a completion from before the crashes, for which an instance would have its peers
// drop the bar.
#[test]
fn a_completion_contradicts_no_bar_for_later_crashes() {
    let mut parts = CrashCauses::default();
    apply(&mut parts, 0, 1, &[&[7]]);
    parts.record_served(at(500), Cause::Part(7), Proof::Completed, true);
    for run in 2..4 {
        apply(&mut parts, run * 1_000, run, &[&[7]]);
    }
    let announced = Bar { cause: Cause::Part(7), for_ms: 60_000, renewals: 0, crashes: 3 };
    assert_eq!(parts.apply(at(3_500), announced, at(4_500)), Reaction::Applied);
    assert_eq!(parts.apply(at(4_000), announced, at(5_000)), Reaction::Known);
}

const BAD: &str = "bad";

fn barred_part(id: &str) -> Note {
    let cause = Cause::Part(PromptPart::new("m", id, 0).key);
    Note::Barred(Bar { cause, for_ms: 60_000, renewals: 0, crashes: 3 })
}

fn receive(state: &mut State, now: Timestamp, note: Note) -> Vec<Effect> {
    state.step(now, Event::NotesReceived { from: 9, notes: Notes { notes: vec![note] } })
}

fn reaction(state: &mut State, now: Timestamp, number: u64, prompt: Prompt) -> Vec<Effect> {
    let arrival = arrival(now, number, RetryPolicy::ResumableStream, Some(prompt));
    request_effects(arrive(state, now, arrival))
}

// Guards against instances that send a barred part to engines until they have seen crashes.
#[test]
fn an_instance_that_has_just_started_applies_an_announcement() {
    let mut state = state(1, &[("a", "model")]);
    receive(&mut state, at(0), barred_part(BAD));
    state.take_notes();
    let failed = Effect::Fail { request: RequestId(1), reason: Failure::CrashesServers };
    assert_eq!(reaction(&mut state, at(1), 1, prompt(BAD, 100, "own", 10)), [failed]);
    assert_eq!(state.take_notes().notes, [], "the request counts as demand of its team");
    let other = reaction(&mut state, at(2), 2, prompt("good", 100, "own", 10));
    assert!(sent_target(&other).is_some());
}

// Guards against losing the bars with the only instance that announces them.
#[test]
fn an_instance_announces_the_bars_that_it_has_learned() {
    let mut state = state(1, &[("a", "model")]);
    receive(&mut state, at(0), barred_part(BAD));
    let caches = state.engine_caches(at(10), None).0;
    assert_eq!(caches.bars.len(), 1);
    state.step(at(1_600), Event::Tick);
    let is_bar = |it: &Note| matches!(it, Note::Barred(_));
    assert!(state.take_notes().notes.iter().any(is_bar));
    receive(&mut state, at(1_700), barred_part(BAD));
    state.step(at(2_100), Event::Tick);
    assert!(!state.take_notes().notes.iter().any(is_bar), "a peer has just announced it");
}

// Guards against barring what belongs to one request or session: nothing else shares it.
#[test]
fn the_last_part_of_a_prompt_is_never_barred() {
    let mut state = state(1, &[("a", "model")]);
    receive(&mut state, at(0), barred_part("own"));
    let effects = reaction(&mut state, at(1), 1, prompt("good", 100, "own", 10));
    assert!(sent_target(&effects).is_some());
    for number in 2..6 {
        let id = format!("engine-{number}");
        let now = at(number * 1_000);
        state.step(now, Event::ServerListed(record(&id, "model")));
        let parts = vec![PromptPart::new("m", "single", 100)];
        let single = Prompt { parts, input_tokens: 100, ..Prompt::default() };
        let effects = reaction(&mut state, now, number, single);
        assert!(sent_target(&effects).is_some(), "{effects:?}");
        fail_attempt(&mut state, at(number * 1_000 + 100), number, Fault::TruncatedResponse);
    }
}

// Guards against repeating a request under which the next engine would crash.
#[test]
fn a_request_with_a_part_that_is_barred_meanwhile_is_not_repeated() {
    let mut state = state(1, &[("a", "model"), ("b", "model")]);
    let effects = reaction(&mut state, at(0), 1, prompt(BAD, 100, "own", 10));
    assert!(sent_target(&effects).is_some());
    receive(&mut state, at(10), barred_part(BAD));
    let effects = fail_attempt(&mut state, at(20), 1, Fault::TruncatedResponse);
    assert!(sent_target(&effects).is_none(), "{effects:?}");
}

// Guards against a bar that stays at a peer which missed the note of a completion.
#[test]
fn an_instance_contradicts_the_announcement_of_a_part_with_which_a_request_completed() {
    let mut state = state(1, &[("a", "model")]);
    reaction(&mut state, at(0), 1, prompt(BAD, 100, "own", 10));
    receive(&mut state, at(10), barred_part(BAD));
    crate::testbed::complete(&mut state, at(600), 1);
    state.take_notes();
    receive(&mut state, at(700), barred_part(BAD));
    let notes = state.take_notes().notes;
    assert!(notes.iter().any(|it| matches!(it, Note::CausesServed { .. })), "{notes:?}");
    let effects = reaction(&mut state, at(710), 2, prompt(BAD, 100, "own-2", 10));
    assert!(sent_target(&effects).is_some());
}
