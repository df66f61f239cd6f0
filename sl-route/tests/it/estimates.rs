//! How far expected times hold, by kind of attempt.

use rstest::rstest;
use sl_route::estimates::{AttemptCounts, AttemptKind, Estimates};

use crate::testbed::at;

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
