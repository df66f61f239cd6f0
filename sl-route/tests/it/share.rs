//! Teams' shares of what engines produce.

use rstest::rstest;
use sl_base::{Millis, TeamId};
use sl_route::share::Shares;

use crate::bed::{START, at};

const A: TeamId = TeamId(1);
const B: TeamId = TeamId(2);
const C: TeamId = TeamId(3);

/// What each of three teams asked for and was given, and what the first one has of its share.
#[rstest]
#[case::enough_for_all([1_000, 1_000, 1_000], [1_000, 1_000, 1_000], 0.0)]
// 4,000 in all: 500 for each of the others, 3,000 are the first one's share.
#[case::one_asks_for_more([10_000, 500, 500], [3_000, 500, 500], 1.0)]
#[case::one_has_it_all([10_000, 2_000, 2_000], [4_000, 0, 0], 3.0)]
#[case::all_are_even([10_000, 10_000, 10_000], [1_000, 1_000, 1_000], 1.0)]
#[case::the_first_is_short([1_000, 9_000, 9_000], [500, 2_000, 2_000], 0.286)]
fn a_share_is_max_min(#[case] asked: [u32; 3], #[case] given: [u32; 3], #[case] used: f64) {
    let mut shares = Shares::new(START, Millis(4_000));
    for (team, (asked, given)) in [A, B, C].into_iter().zip(asked.into_iter().zip(given)) {
        shares.record_requested(at(1), team, asked);
        shares.record_granted(at(1), team, given);
    }
    let seen = shares.usage(at(1), A);
    assert!((seen - used).abs() < 0.01, "{seen} {used}");
}

#[test]
fn what_came_to_nothing_is_not_what_a_team_has() {
    let mut shares = Shares::new(START, Millis(4_000));
    for team in [A, B] {
        shares.record_requested(at(1), team, 100_000);
        shares.record_granted(at(1), team, 100_000);
    }
    assert_eq!(shares.usage(at(2), A), 0.0);
    shares.record_refund(at(1_500), B, 80_000);
    // 120,000 in all: 60,000 for each.
    let (first, second) = (shares.usage(at(1_700), A), shares.usage(at(1_700), B));
    assert!((first - 1.67).abs() < 0.01 && (second - 0.33).abs() < 0.01, "{first} {second}");
}

#[test]
fn what_was_given_long_ago_counts_no_more() {
    let mut shares = Shares::new(START, Millis(4_000));
    shares.record_requested(at(1), B, 100_000);
    shares.record_requested(at(1), A, 100_000);
    shares.record_granted(at(1), A, 100_000);
    assert!(shares.usage(at(100), A) > 1.5);
    shares.record_requested(at(5_000), B, 100_000);
    shares.record_granted(at(5_000), B, 50_000);
    assert_eq!(shares.usage(at(5_200), A), 0.0);
}
