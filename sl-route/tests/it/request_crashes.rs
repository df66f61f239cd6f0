//! Requests that crash servers are barred, and other requests are not.

use rstest::rstest;
use sl_base::{Millis, RequestId};
use sl_route::{
    AttemptEnd, Effect, Event, Failure, Fault, Notes, RetryPolicy, ServerKey, State,
    crash_causes::{
        BAR_INITIAL, CAUSES_MAX, CRASHES_TIED_MAX, Cause, CrashCauses, PROBE_DELAY, Proof,
    },
    crash_detector::{Crash, LostRequest, Suspect},
    note::{Bar, Note},
};

use crate::{
    fleet::{Bad, CrashPhase, Fleet, Outcome, Scenario, Servers},
    testbed::{
        START, arrival, arrive, at, complete, fail_attempt, prompt, record, request_effects,
        sent_target, state,
    },
};

/// How long each fleet runs.
const SPAN: Millis = Millis(40_000);

/// Attempts of a request that may reach servers after the fleet had time to learn that it has
/// crashed three.
const LATE_BAD_ATTEMPTS_MAX: u32 = 3;

const SEEDS: std::ops::Range<u64> = 0..5;

/// One bad request comes again and again, beside sound ones that do so as well, share its prompt
/// parts but the last, and run on the same servers.
const SCENARIO: Scenario = Scenario {
    instances: 4,
    engines: 9,
    servers: Servers::Engines,
    bad: Bad::Request,
    crash_phase: CrashPhase::HeadOnly,
    sound_requests: Some(40),
    crashes_free: 3,
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
        assert_eq!(outcome.sound_failed, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.sound_bars, 0, "seed {seed}: {outcome:?}");
        assert!(
            outcome.late_bad_attempts <= LATE_BAD_ATTEMPTS_MAX,
            "seed {seed}: {outcome:?}, sent without crashes: {usual}"
        );
        assert!(outcome.sound_sent * 2 >= usual, "seed {seed}: {outcome:?}, without: {usual}");
    }
}

// Guards against a request that comes again whole, to any instance, and crashes one server after
// the other: however far the response had come, and whatever sound requests do on the same servers.
#[rstest]
fn a_request_that_crashes_servers_is_barred_in_the_whole_fleet(
    #[values(Servers::Engines, Servers::Plain)] servers: Servers,
    #[values(CrashPhase::NoResponse, CrashPhase::HeadOnly, CrashPhase::Started)]
    crash_phase: CrashPhase,
) {
    check(Scenario { servers, crash_phase, ..SCENARIO });
}

// Guards against instances that forget the request when they start again.
#[rstest]
fn a_barred_request_stays_barred_while_instances_restart(
    #[values(Servers::Engines, Servers::Plain)] servers: Servers,
) {
    check(Scenario { servers, restart_interval: Some(Millis(4_000)), ..SCENARIO });
}

// Guards against barring sound requests that come again: racks that fail and responses that are
// broken off end their attempts as well.
#[rstest]
fn failures_without_a_bad_request_bar_no_request_that_comes_again(
    #[values(Servers::Engines, Servers::Plain)] servers: Servers,
) {
    let scenario = Scenario { servers, bad_interval: None, ..SCENARIO };
    for seed in SEEDS {
        for scenario in [
            Scenario { rack_interval: Some(Millis(8_000)), ..scenario },
            Scenario { broken_percent: 40, ..scenario },
        ] {
            let outcome = Fleet::new(scenario, seed).run(SPAN);
            assert_eq!(outcome.sound_failed, 0, "seed {seed}: {outcome:?}");
        }
    }
}

const FINGERPRINT: u64 = 7;

/// Applies a crash of a run under one request alone; true if the request is barred by it.
fn crash(causes: &mut CrashCauses, millis: u64, run: u64) -> bool {
    !crash_under(causes, millis, run, &[FINGERPRINT]).is_empty()
}

/// Applies a crash of a run under some requests; returns those barred by it.
fn crash_under(
    causes: &mut CrashCauses,
    millis: u64,
    run: u64,
    fingerprints: &[u64],
) -> Vec<Cause> {
    let lost = |fingerprint: &u64| LostRequest { fingerprint: *fingerprint, crashes_before: 0 };
    let requests = fingerprints.iter().map(lost).collect();
    let (run, at) = (ServerKey(run), at(millis));
    let crash = Crash {
        run,
        at,
        lost: 1,
        is_own: true,
        was_unreachable: false,
        suspects: Vec::new(),
        requests,
    };
    causes.record_crash(at, &crash, at).into_iter().map(|it| it.cause).collect()
}

fn is_barred(causes: &CrashCauses, millis: u64, fingerprint: u64) -> bool {
    causes.is_barred(at(millis), [Cause::Request(fingerprint)])
}

#[test]
fn three_crashes_bar_a_request_until_they_expire() {
    let mut causes = CrashCauses::default();
    assert!(!crash(&mut causes, 0, 1));
    assert!(!crash(&mut causes, 1_000, 2));
    assert!(!is_barred(&causes, 1_000, FINGERPRINT));
    assert!(crash(&mut causes, 2_000, 3));
    assert!(is_barred(&causes, 2_000, FINGERPRINT));
    assert!(!is_barred(&causes, 2_000, 8));
    assert!(is_barred(&causes, 2_000 + BAR_INITIAL.0 - 1, FINGERPRINT));
    assert!(!is_barred(&causes, 2_000 + BAR_INITIAL.0, FINGERPRINT));
}

#[test]
fn a_request_that_completes_is_cleared() {
    let mut causes = CrashCauses::default();
    crash(&mut causes, 0, 1);
    crash(&mut causes, 1_000, 2);
    causes.record_served(at(1_500), Cause::Request(FINGERPRINT), Proof::Completed, true);
    assert!(!crash(&mut causes, 2_000, 3));
}

// Guards against barring a sound request that was on the same three servers as the bad one: which
// of them is bad shows when one of them completes, or is lost without the other.
#[test]
fn of_two_requests_that_explain_the_same_crashes_the_one_that_crashes_more_is_barred() {
    const SOUND: u64 = 8;
    let mut causes = CrashCauses::default();
    for run in 0..3 {
        assert_eq!(crash_under(&mut causes, run * 1_000, run, &[SOUND, FINGERPRINT]), []);
    }
    assert_eq!(crash_under(&mut causes, 3_000, 3, &[FINGERPRINT]), []);
    assert_eq!(crash_under(&mut causes, 4_000, 4, &[FINGERPRINT]), [Cause::Request(FINGERPRINT)]);
    assert!(!is_barred(&causes, 4_000, SOUND));
}

// Guards against barring a sound request at an instance that missed the notes of how the bad one,
// which was on the same servers, was lost.
#[test]
fn a_request_is_not_barred_while_another_explains_all_of_its_crashes_but_one() {
    let mut causes = CrashCauses::default();
    for run in 0..2 {
        crash_under(&mut causes, run * 1_000, run, &[FINGERPRINT, 8]);
    }
    assert!(!crash(&mut causes, 2_000, 2));
    causes.record_served(at(2_500), Cause::Request(8), Proof::Completed, false);
    assert!(crash(&mut causes, 3_000, 3));
}

// Guards against two bad requests that always come together, of which neither would be barred.
#[test]
fn requests_that_explain_five_crashes_equally_well_are_all_barred() {
    let mut causes = CrashCauses::default();
    for run in 0..CRASHES_TIED_MAX as u64 - 1 {
        assert_eq!(crash_under(&mut causes, run * 1_000, run, &[1, 2]), []);
    }
    let both = [Cause::Request(1), Cause::Request(2)];
    assert_eq!(crash_under(&mut causes, 9_000, 9, &[1, 2]), both);
}

// Guards against a sound request that stays barred with the bad one that it came with, and against
// a bad one that is sent again and again to find that out.
#[test]
fn a_barred_request_is_sent_once_by_one_instance_and_cleared_if_it_completes() {
    let servers = [("a", "app"), ("b", "app")];
    let (mut here, mut there) = (state(1, &servers), state(2, &servers));
    let bar = Bar { cause: Cause::Request(99), for_ms: 60_000, renewals: 0, crashes: 3 };
    for (instance, peer) in [(&mut here, 2), (&mut there, 1)] {
        let notes = Notes { notes: vec![Note::Barred(bar)] };
        instance.step(at(0), Event::NotesReceived { from: peer, notes });
    }
    let due = PROBE_DELAY.0;
    for instance in [&mut here, &mut there] {
        assert!(!is_sent(instance, due - 1));
    }
    for (instance, peer) in [(&mut here, 2), (&mut there, 1)] {
        let notes = Notes { notes: Vec::new() };
        instance.step(at(due), Event::NotesReceived { from: peer, notes });
    }
    let sent = [is_sent(&mut here, due), is_sent(&mut there, due)];
    assert_eq!(sent.iter().filter(|it| **it).count(), 1);
    let (prober, other) = if sent[0] { (&mut here, &mut there) } else { (&mut there, &mut here) };
    assert!(!is_sent(prober, due + 1_000));
    complete(prober, at(due + 1_100), due);
    let notes = prober.take_notes();
    other.step(at(due + 1_200), Event::NotesReceived { from: 1, notes });
    for instance in [prober, other] {
        assert!(is_sent(instance, due + 1_300));
    }
}

// Guards against a full table, in which no further request would ever be counted.
#[test]
fn a_request_is_counted_however_many_others_were_lost() {
    let mut causes = CrashCauses::default();
    for number in 0..2 * CAUSES_MAX as u64 {
        crash_under(&mut causes, number, number, &[1_000 + number]);
    }
    let start = 3 * CAUSES_MAX as u64;
    for run in 0..2 {
        assert!(!crash(&mut causes, start + run * 1_000, start + run));
        for number in 0..CAUSES_MAX as u64 / 2 {
            let number = start * (run + 2) + number;
            crash_under(&mut causes, number, number, &[1_000 + number]);
        }
    }
    assert!(causes.len() <= CAUSES_MAX, "{}", causes.len());
    assert!(crash(&mut causes, start * 9, start * 9));
}

// Guards against blaming a prompt part for one request that comes again: others with it are sound.
#[test]
fn a_part_is_not_barred_for_the_crashes_of_one_request() {
    let mut causes = CrashCauses::default();
    let bar = |causes: &mut CrashCauses, run: u64, fingerprint| {
        let suspects = vec![Suspect { fingerprint, parts: vec![1] }];
        let requests = vec![LostRequest { fingerprint, crashes_before: 0 }];
        let (run, at) = (ServerKey(run), at(run * 1_000));
        let crash =
            Crash { run, at, lost: 1, is_own: true, was_unreachable: false, suspects, requests };
        let bars = causes.record_crash(at, &crash, at).into_iter();
        bars.map(|it| it.cause).collect::<Vec<_>>()
    };
    for run in 0..2 {
        assert_eq!(bar(&mut causes, run, FINGERPRINT), []);
    }
    assert_eq!(bar(&mut causes, 2, FINGERPRINT), [Cause::Request(FINGERPRINT)]);
    assert!(!causes.is_barred(at(2_000), [Cause::Part(1)]));
    // A second request that crashes a server shows that the part is the cause.
    assert_eq!(bar(&mut causes, 3, 8), [Cause::Part(1)]);
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
    let mut causes = CrashCauses::default();
    for index in 0..9 {
        assert!(!crash(&mut causes, index * 1_000, 1));
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

// Guards against a model request that comes again whole after three engines crashed under it, and
// is taken for one of the many that each crash of an engine ends.
#[rstest]
#[case::lost(Fault::ConnectionLost, false)]
#[case::stale(Fault::StaleConnection, false)]
#[case::head_only(Fault::TruncatedResponse, false)]
#[case::started(Fault::TruncatedResponse, true)]
fn a_model_request_is_barred_however_its_connections_ended(
    #[case] fault: Fault,
    #[case] has_started: bool,
) {
    let mut here = state(1, &[("a", "model")]);
    let mut there = state(2, &[("d", "model")]);
    let bad = |millis| {
        let prompt = Some(prompt("shared", 100, "own", 10));
        let arrival = arrival(at(millis), millis, RetryPolicy::Stream, prompt);
        sl_route::Arrival { fingerprint: 99, ..arrival }
    };
    for (index, millis) in [3_000, 6_000, 9_000].into_iter().enumerate() {
        let effects = arrive(&mut here, at(millis), bad(millis));
        assert!(sent_target(&effects).is_some());
        if has_started {
            here.step(at(millis), Event::ResponseStarted { request: RequestId(millis) });
        }
        let end = AttemptEnd::Failed { fault, is_partially_delivered: has_started };
        here.step(at(millis), Event::AttemptEnded { request: RequestId(millis), end });
        here.step(at(millis), Event::ServerRemoved { id: ["a", "b", "c"][index].into() });
        let next = ["b", "c", "d"][index];
        here.step(at(millis + 400), Event::ServerListed(record(next, "model")));
        there.step(at(millis + 400), Event::NotesReceived { from: 1, notes: here.take_notes() });
        let sound = prompt("shared", 100, "own-sound", 10);
        let sound = arrival(at(millis + 410), millis + 1, RetryPolicy::Stream, Some(sound));
        let effects = arrive(&mut here, at(millis + 410), sound);
        assert!(sent_target(&effects).is_some());
        complete(&mut here, at(millis + 500), millis + 1);
    }
    for instance in [&mut here, &mut there] {
        let effects = request_effects(arrive(instance, at(9_600), bad(9_600)));
        let request = RequestId(9_600);
        assert_eq!(effects, [Effect::Fail { request, reason: Failure::CrashesServers }]);
    }
}
