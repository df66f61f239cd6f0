use sl_base::{Code, Millis, Outcome};
use sl_report::{Sample, record::OVERFLOW_LABEL};
use strum::IntoEnumIterator;

use crate::{START, recorder};

#[test]
fn the_number_of_series_is_bounded() {
    let mut recorder = recorder("a", START);
    for team in 0..100 {
        recorder.record(START, &format!("team-{team}"), "chat", Sample::Unanswered);
    }
    let snapshot = recorder.snapshot(START);
    assert_eq!(snapshot.series.len(), 9);
    assert!(snapshot.series.iter().any(|it| it.team == OVERFLOW_LABEL));
}

#[test]
fn idle_series_are_evicted_at_the_limit() {
    let mut recorder = recorder("a", START);
    for team in 0..8 {
        recorder.record(START, &format!("team-{team}"), "chat", Sample::Unanswered);
    }
    let later = START.after(Millis(2 * 60 * 60_000));
    recorder.record(later, "new", "chat", Sample::Unanswered);
    let snapshot = recorder.snapshot(later);
    assert_eq!(snapshot.series.len(), 1);
    assert_eq!(snapshot.series[0].team, "new");
}

#[test]
fn requests_with_an_unknown_outcome_count_as_samples() {
    for code in Code::iter().filter(|it| it.outcome() == Outcome::Unknown) {
        assert!(Sample::of(code).is_some(), "{code}");
    }
}
