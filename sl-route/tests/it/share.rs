//! Fair shares of teams.

use rstest::rstest;
use sl_base::{Millis, TeamId};
use sl_route::share::Shares;

use crate::testbed::{START, at};

const A: TeamId = TeamId(1);
const B: TeamId = TeamId(2);
const C: TeamId = TeamId(3);

/// Tokens requested by and granted to each of three teams, and the first team's ratio of usage
/// to fair share.
#[rstest]
#[case::all_demand_satisfied([1_000, 1_000, 1_000], [1_000, 1_000, 1_000], 0.0)]
// Of 4,000 granted tokens, the others take 500 each; 3,000 are the first team's share.
#[case::one_requests_more([10_000, 500, 500], [3_000, 500, 500], 1.0)]
#[case::one_is_granted_everything([10_000, 2_000, 2_000], [4_000, 0, 0], 3.0)]
#[case::equal_demand_and_usage([10_000, 10_000, 10_000], [1_000, 1_000, 1_000], 1.0)]
#[case::the_first_is_under_its_share([1_000, 9_000, 9_000], [500, 2_000, 2_000], 0.286)]
fn a_share_is_max_min(#[case] requested: [u32; 3], #[case] granted: [u32; 3], #[case] usage: f64) {
    let mut shares = Shares::new(START, Millis(4_000));
    for (team, (requested, granted)) in
        [A, B, C].into_iter().zip(requested.into_iter().zip(granted))
    {
        shares.record_requested(at(1), team, requested);
        shares.record_granted(at(1), team, granted);
    }
    let measured = shares.share_usage(at(1), A);
    assert!((measured - usage).abs() < 0.01, "{measured} {usage}");
}

#[test]
fn refunded_tokens_do_not_count_as_usage() {
    let mut shares = Shares::new(START, Millis(4_000));
    for team in [A, B] {
        shares.record_requested(at(1), team, 100_000);
        shares.record_granted(at(1), team, 100_000);
    }
    assert_eq!(shares.share_usage(at(2), A), 0.0);
    shares.record_refund(at(1_500), B, 80_000);
    // Of 120,000 granted tokens, 60,000 are the share of each team.
    let (first, second) = (shares.share_usage(at(1_700), A), shares.share_usage(at(1_700), B));
    assert!((first - 1.67).abs() < 0.01 && (second - 0.33).abs() < 0.01, "{first} {second}");
}

#[test]
fn usage_before_the_window_does_not_count() {
    let mut shares = Shares::new(START, Millis(4_000));
    shares.record_requested(at(1), B, 100_000);
    shares.record_requested(at(1), A, 100_000);
    shares.record_granted(at(1), A, 100_000);
    assert!(shares.share_usage(at(100), A) > 1.5);
    shares.record_requested(at(5_000), B, 100_000);
    shares.record_granted(at(5_000), B, 50_000);
    assert_eq!(shares.share_usage(at(5_200), A), 0.0);
}

/// Guards against a limit on usage that lets a team get its tokens of a whole quota window within a
/// second: the users compare teams second by second (incident of issue 45).
#[rstest]
#[case::two_seconds(2_000)]
#[case::four_seconds(4_000)]
#[case::a_minute(60_000)]
fn usage_counts_for_two_seconds_at_most(#[case] quota_window_ms: u64) {
    let mut shares = Shares::new(START, Millis(quota_window_ms));
    for team in [A, B] {
        shares.record_requested(at(1), team, 100_000);
    }
    shares.record_granted(at(1), A, 100_000);
    assert!(shares.share_usage(at(1_700), A) > 1.5);
    shares.record_requested(at(2_300), A, 100_000);
    shares.record_requested(at(2_300), B, 100_000);
    shares.record_granted(at(2_300), B, 100_000);
    assert_eq!(shares.share_usage(at(2_400), A), 0.0);
}

#[rstest]
#[case::nobody([10_000, 500, 500], [3_000, 500, 500], Some(0.0))]
// The share is 2,000: the second team asked for no more than 1,000 of it.
#[case::a_part_of_a_small_demand([10_000, 1_000, 0], [2_500, 500, 0], Some(0.25))]
#[case::half_of_a_share([10_000, 10_000, 0], [3_000, 1_000, 0], Some(0.5))]
#[case::all_demand_satisfied([1_000, 1_000, 1_000], [1_000, 1_000, 1_000], None)]
fn the_shortfall_is_the_largest_part_of_a_share_that_a_team_lacks(
    #[case] requested: [u32; 3],
    #[case] granted: [u32; 3],
    #[case] shortfall: Option<f64>,
) {
    let mut shares = Shares::new(START, Millis(4_000));
    for (team, (requested, granted)) in
        [A, B, C].into_iter().zip(requested.into_iter().zip(granted))
    {
        shares.record_requested(at(1), team, requested);
        shares.record_granted(at(1), team, granted);
    }
    let measured = shares.contended_usage(at(1), A).map(|it| it.shortfall);
    assert_eq!(measured, shortfall);
}
