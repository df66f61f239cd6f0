//! How far expected times hold, by kind of attempt.

use rstest::rstest;
use sl_base::{RequestId, Timestamp};
use sl_route::{
    Event, RetryPolicy, State,
    estimates::{AttemptCounts, AttemptKind, Estimates},
};

use crate::testbed::{arrival, arrive, at, prompt, sent_target, state};

/// Guards against estimates of attempts with a planned transfer, and of retries, that hide among the others.
#[rstest]
#[case::first(1, false, AttemptKind::First)]
#[case::first_fetched(1, true, AttemptKind::FirstFetched)]
#[case::retry(2, false, AttemptKind::Retry)]
#[case::retry_fetched(3, true, AttemptKind::RetryFetched)]
fn estimates_are_reported_by_kind_once_a_second(
    #[case] attempt: u32,
    #[case] is_fetched: bool,
    #[case] kind: AttemptKind,
) {
    assert_eq!(AttemptKind::new(attempt, is_fetched), kind);
    assert_eq!(kind.is_fetched(), is_fetched);
    let mut estimates = Estimates::new(at(0));
    estimates.record_sent(kind, 500);
    estimates.record_started(kind, 80.0, 120.0);
    assert_eq!(estimates.take_report(at(999)), []);
    let counts = AttemptCounts {
        sent: 1,
        prefill_tokens: 500,
        started: 1,
        expected_ms: 80.0,
        took_ms: 120.0,
    };
    assert_eq!(estimates.take_report(at(1_000)), [(kind, counts)]);
    assert_eq!(estimates.take_report(at(2_000)), []);
}

/// Guards against a planned transfer of a part that the donor has not prefilled: nothing would be moved, and
/// the engine would prefill the part after all, much later than expected.
#[rstest]
#[case::queued(false)]
#[case::prefilled(true)]
fn a_part_is_moved_only_once_its_donor_has_prefilled_it(#[case] is_prefilled: bool) {
    let mut state = state(0, &[("one", "model"), ("other", "model")]);
    let sends_with_transfer = |state: &mut State, now: Timestamp, number: u64| {
        let prompt = prompt("shared", 13_000, &format!("own{number}"), 3_000);
        let arrival = arrival(now, number, RetryPolicy::Stream, Some(prompt));
        let effects = arrive(state, now, arrival);
        sent_target(&effects).is_some_and(|it| it.fetch_from.is_some())
    };
    assert!(!sends_with_transfer(&mut state, at(0), 1));
    if is_prefilled {
        state.step(at(300), Event::ResponseStarted { request: RequestId(1) });
    }
    let fetched = (2..=60).filter(|it| sends_with_transfer(&mut state, at(300), *it)).count();
    assert_eq!(fetched > 0, is_prefilled);
}
