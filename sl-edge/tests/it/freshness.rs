//! For how long peers rely on a follower of the store.

use proptest::prelude::*;
use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_edge::store::freshness::{
    FIRST_WATCH_WAIT, FRESH_MARGIN, Freshness, WATCH_WAIT, current_at,
};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

#[test]
fn nobody_relies_on_a_follower_before_its_first_answer() {
    assert!(!Freshness::default().is_fresh(at(0)));
}

// Guards against a store that answers late: what a response says may be as old as the call.
#[test]
fn a_response_that_was_on_its_way_for_long_counts_from_when_the_watch_was_sent() {
    let mut freshness = Freshness::default();
    let received_at = at(FIRST_WATCH_WAIT.0 + FRESH_MARGIN.0);
    let current_at = current_at(at(0), FIRST_WATCH_WAIT, received_at, false);
    freshness.record_answer(current_at, FIRST_WATCH_WAIT);
    assert!(!freshness.is_fresh(received_at));
}

// Guards against followers that give way to others again and again while nothing changes.
#[rstest]
#[case::first(FIRST_WATCH_WAIT)]
#[case::other(WATCH_WAIT)]
fn watches_without_changes_keep_a_follower_fresh_with_slow_responses(#[case] wait: Millis) {
    let latency = 220;
    let mut freshness = Freshness::default();
    let mut sent_at = 0;
    for round in 0..20 {
        let received_at = sent_at + wait.0 + latency;
        assert!(round == 0 || freshness.is_fresh(at(received_at)));
        freshness.record_answer(current_at(at(sent_at), wait, at(received_at), true), wait);
        sent_at = received_at;
    }
}

// Guards against a follower that is not relied on after each change which ends a long watch late: its rank and
// those behind it took over from each other every few seconds.
#[test]
fn a_change_at_the_end_of_a_long_watch_keeps_a_follower_fresh_until_the_end_of_the_next_one() {
    let received_at = at(WATCH_WAIT.0 - 10);
    let mut freshness = Freshness::default();
    let current_at = current_at(at(0), WATCH_WAIT, received_at, false);
    freshness.record_answer(current_at, WATCH_WAIT);
    assert!(freshness.is_fresh(received_at.after(WATCH_WAIT).after(Millis(200))));
}

// Guards against the same at the first follower, whose responses count from when the watch was sent.
#[test]
fn a_change_at_the_end_of_a_short_watch_keeps_the_first_follower_fresh() {
    let received_at = at(FIRST_WATCH_WAIT.0 - 10);
    let mut freshness = Freshness::default();
    let current_at = current_at(at(0), FIRST_WATCH_WAIT, received_at, false);
    freshness.record_answer(current_at, FIRST_WATCH_WAIT);
    assert!(freshness.is_fresh(received_at.after(FIRST_WATCH_WAIT).after(Millis(100))));
}

proptest! {
    // Guards against a follower that is believed although the store does not answer any more.
    #[test]
    fn a_follower_without_answers_is_not_relied_on_for_longer_than_the_bound(
        sent in 0_u64..10_000,
        wait in 1_u64..2_000,
        took in 0_u64..5_000,
        is_empty: bool,
    ) {
        let received_at = at(sent + took);
        let mut freshness = Freshness::default();
        let current_at = current_at(at(sent), Millis(wait), received_at, is_empty);
        freshness.record_answer(current_at, FIRST_WATCH_WAIT);
        let bound = Millis(FIRST_WATCH_WAIT.0 + FRESH_MARGIN.0);
        prop_assert!(!freshness.is_fresh(received_at.after(bound)));
    }
}
