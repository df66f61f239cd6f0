use sl_base::{Code, Millis, Outcome};
use sl_report::{Sample, record::OVERFLOW};
use strum::IntoEnumIterator;

use crate::{START, recorder};

#[test]
fn the_number_of_series_is_bounded() {
    let mut it = recorder("a", START);
    for team in 0..100 {
        it.record(START, &format!("team-{team}"), "chat", Sample::Unanswered);
    }
    let snapshot = it.snapshot(START);
    assert_eq!(snapshot.series.len(), 9);
    assert!(snapshot.series.iter().any(|it| it.team == OVERFLOW));
}

#[test]
fn idle_series_make_room() {
    let mut it = recorder("a", START);
    for team in 0..8 {
        it.record(START, &format!("team-{team}"), "chat", Sample::Unanswered);
    }
    let later = START.after(Millis(2 * 60 * 60_000));
    it.record(later, "new", "chat", Sample::Unanswered);
    let snapshot = it.snapshot(later);
    assert_eq!(snapshot.series.len(), 1);
    assert_eq!(snapshot.series[0].team, "new");
}

#[test]
fn unknown_outcomes_always_count() {
    for code in Code::iter().filter(|it| it.outcome() == Outcome::Unknown) {
        assert!(Sample::of(code).is_some(), "{code}");
    }
}
