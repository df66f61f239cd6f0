//! What the store keeps of crashes, and what instances make of it.

use std::collections::BTreeMap;

use sl_base::{Millis, Timestamp};
use sl_route::{
    Effect, Event, Failure, RetryPolicy, ServerKey, State,
    crash_causes::{BAR_INITIAL, Cause, CrashCauses, PROBE_DELAY, Proof, Reaction},
    crash_detector::{Crash, LostRequest, Suspect},
    crash_record::{CrashRecord, KEPT_CAUSES_MAX, KeptBar, KeptCause, SINGLE_CRASH_DELAY},
};

use crate::testbed::{arrival, arrive, at, complete, request_effects, sent_target, state};

/// The fingerprint of the request that crashes servers.
const BAD: u64 = 7;

fn crash(millis: u64, run: u64, fingerprint: u64) -> Crash {
    Crash {
        run: ServerKey(run),
        at: at(millis),
        lost: 1,
        is_own: true,
        was_unreachable: false,
        suspects: vec![Suspect { fingerprint, parts: Vec::new() }],
        requests: vec![LostRequest { fingerprint, crashes_before: 0 }],
    }
}

/// Causes that have counted crashes under [`BAD`], one a second.
fn counted(crashes: u64) -> CrashCauses {
    let mut causes = CrashCauses::default();
    for run in 0..crashes {
        causes.record_crash(at(run * 1_000), &crash(run * 1_000, run, BAD), at(run * 1_000));
    }
    causes
}

/// All runs that crashed have ended.
fn has_ended(_: ServerKey) -> bool {
    true
}

/// The causes of an instance that has just started and has read the record.
fn restarted(now: Timestamp, record: &CrashRecord) -> CrashCauses {
    let mut causes = CrashCauses::default();
    for (&cause, kept) in &record.causes {
        causes.apply_kept(now, cause, kept, now);
    }
    causes
}

fn is_barred(causes: &CrashCauses, now: Timestamp) -> bool {
    causes.is_barred(now, [Cause::Request(BAD)])
}

// Guards against crashes that count anew after each start, between any two of them.
#[test]
fn crashes_and_bars_outlast_any_number_of_starts() {
    let mut causes = CrashCauses::default();
    for run in 0..3 {
        let now = at(run * 10_000);
        assert!(!is_barred(&causes, now), "after {run} crashes");
        causes.record_crash(now, &crash(run * 10_000, run, BAD), now);
        let later = now.after(SINGLE_CRASH_DELAY);
        causes = restarted(later, &causes.record(later, 1, has_ended));
    }
    assert!(is_barred(&causes, at(30_000)));
    causes = restarted(at(30_000), &causes.record(at(30_000), 1, has_ended));
    assert!(is_barred(&causes, at(30_000)));
    assert!(!is_barred(&causes, at(30_000).after(BAR_INITIAL).after(Millis(60_000))));
}

// Guards against a record with each sound request that one crash leaves suspect.
#[test]
fn a_single_crash_is_kept_only_if_nothing_clears_it() {
    let mut causes = counted(1);
    assert!(causes.record(at(900), 1, has_ended).causes.is_empty());
    assert_eq!(causes.record(at(1_000), 1, has_ended).causes.len(), 1);
    causes.record_served(at(1_100), Cause::Request(BAD), Proof::Completed, true);
    assert!(causes.record(at(1_200), 1, has_ended).causes.is_empty());
}

// Guards against a start that finds a bar for servers which only broke off their last responses, and go on.
#[test]
fn a_crash_is_kept_once_its_run_has_ended() {
    let causes = counted(3);
    let record = causes.record(at(5_000), 1, |it| it.0 < 2);
    assert_eq!(record.causes[&Cause::Request(BAD)].runs, [0, 1].map(ServerKey).into());
}

// Guards against one attempt of a barred request after each start.
#[test]
fn the_one_attempt_of_a_barred_request_is_not_made_again_after_a_start() {
    let mut causes = counted(3);
    let probe_at = at(2_000).after(PROBE_DELAY);
    assert!(causes.try_probe(probe_at, BAD));
    let mut causes = restarted(probe_at, &causes.record(probe_at, 1, has_ended));
    assert!(!causes.try_probe(probe_at.after(BAR_INITIAL), BAD));
    // Another instance than the one that made it knows by the crash.
    let mut peer = counted(3);
    peer.record_crash(probe_at, &crash(7_000, 9, BAD), probe_at);
    assert!(!peer.try_probe(probe_at, BAD));
}

// Guards against a record that brings back what a request has just disproved.
#[test]
fn an_older_record_does_not_undo_a_proof() {
    let mut causes = counted(3);
    let record = causes.record(at(2_000), 1, has_ended);
    causes.record_served(at(2_500), Cause::Request(BAD), Proof::Completed, false);
    let kept = &record.causes[&Cause::Request(BAD)];
    let reaction = causes.apply_kept(at(3_000), Cause::Request(BAD), kept, at(3_000));
    assert_eq!(reaction, Reaction::Contradicted);
    assert!(!is_barred(&causes, at(3_000)));
}

// Guards against a record that grows with each request that a crash leaves suspect, and loses the bars then.
#[test]
fn the_record_is_bounded_and_keeps_the_bars() {
    let mut causes = counted(3);
    for run in 10..10 + 2 * KEPT_CAUSES_MAX as u64 {
        causes.record_crash(at(run * 1_000), &crash(run * 1_000, run, 100 + run), at(run * 1_000));
    }
    let record = causes.record(at(200_000), 1, has_ended);
    assert_eq!(record.causes.len(), KEPT_CAUSES_MAX);
    assert!(record.causes[&Cause::Request(BAD)].bar.is_some());
}

fn barred(era: u64) -> CrashRecord {
    let bar = KeptBar { left_min: 10, renewals: 0, is_probed: true };
    let runs = [1, 2, 3].map(ServerKey).into();
    let kept = KeptCause { runs, bar: Some(bar), ..KeptCause::default() };
    CrashRecord { era, causes: BTreeMap::from([(Cause::Request(BAD), kept)]) }
}

fn list(state: &mut State, millis: u64, record: Option<CrashRecord>) {
    state.step(at(millis), Event::CrashRecordListed(record));
}

/// Whether the bad request is sent to a server.
fn is_sent(state: &mut State, millis: u64, number: u64) -> bool {
    let bad = arrival(at(millis), number, RetryPolicy::Idempotent, None);
    let bad = sl_route::Arrival { fingerprint: BAD, ..bad };
    let effects = request_effects(arrive(state, at(millis), bad));
    let is_failed =
        |it: &Effect| matches!(it, Effect::Fail { reason: Failure::CrashesServers, .. });
    assert!(sent_target(&effects).is_some() || effects.iter().any(is_failed), "{effects:?}");
    sent_target(&effects).is_some()
}

// Guards against bars that stay at instances which missed the note of a completion, and against clearing all
// of them since the store was restored from a copy without them, or its entry was removed.
#[test]
fn what_the_record_no_longer_has_is_cleared_unless_the_store_has_lost_it() {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::StoreEra(1));
    list(&mut state, 0, Some(barred(1)));
    assert!(!is_sent(&mut state, 10, 1));
    list(&mut state, 20, None);
    assert!(!is_sent(&mut state, 30, 2), "the entry was removed");
    assert_eq!(state.wanted_crash_record(at(30)), Some(barred(1)));
    list(&mut state, 40, Some(barred(1)));
    assert_eq!(state.wanted_crash_record(at(40)), None);
    state.step(at(50), Event::StoreEra(2));
    list(&mut state, 50, Some(CrashRecord { era: 1, ..CrashRecord::default() }));
    assert!(!is_sent(&mut state, 60, 3), "the store was restored");
    assert_eq!(state.wanted_crash_record(at(60)), Some(barred(2)));
    list(&mut state, 70, Some(barred(2)));
    list(&mut state, 80, Some(CrashRecord { era: 2, ..CrashRecord::default() }));
    assert!(is_sent(&mut state, 90, 4), "another instance has cleared it");
}

// Guards against a bar that was kept and outlasts the proof that the request is sound.
#[test]
fn a_request_that_completes_ends_the_bar_in_the_store_too() {
    let mut state = state(1, &[("a", "app")]);
    state.step(at(0), Event::StoreEra(1));
    let mut record = barred(1);
    for kept in record.causes.values_mut() {
        kept.bar.iter_mut().for_each(|it| it.is_probed = false);
    }
    list(&mut state, 0, Some(record));
    assert!(!is_sent(&mut state, 10, 1));
    let probe_at = PROBE_DELAY.0;
    assert!(is_sent(&mut state, probe_at, 2), "the one attempt");
    complete(&mut state, at(probe_at + 50), 2);
    assert!(is_sent(&mut state, probe_at + 60, 3));
    let wanted = state.wanted_crash_record(at(probe_at + 100));
    assert_eq!(wanted, Some(CrashRecord { era: 1, ..CrashRecord::default() }));
}
