//! Limits of admission by a team's usage.

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use sl_route::{admission::AdmissionLimits, route_balance::RouteStanding, share::ContendedUsage};

/// Guards against a team that is refused for the sake of other requests before it has got any of
/// its share, and against one that goes on at twice its share while others wait.
#[rstest]
#[case::all_demand_satisfied(None, 850.0, 4.0)]
#[case::nothing_used(Some(0.0), 2_000.0, 0.0)]
#[case::a_quarter_used(Some(0.25), 887.5, 1.0)]
#[case::half_used(Some(0.5), 825.0, 2.0)]
#[case::three_quarters_used(Some(0.75), 762.5, 3.0)]
#[case::used_up(Some(1.0), 700.0, 4.0)]
#[case::half_over(Some(1.5), 233.3, 4.0)]
#[case::twice(Some(2.0), 0.0, 4.0)]
#[case::far_over(Some(7.0), 0.0, 4.0)]
fn limits_follow_the_part_of_its_share_that_a_team_has_used(
    #[case] usage: Option<f64>,
    #[case] allowed_ms: f64,
    #[case] duplicate_prefill_weight: f64,
) {
    let usage = usage.map(|ratio| ContendedUsage { ratio, shortfall: 0.0 });
    let limits = AdmissionLimits::new(1_000.0, 8_000.0, usage);
    assert!((limits.allowed_ms - allowed_ms).abs() < 0.1, "{limits:?}");
    assert_eq!(limits.duplicate_prefill_weight, duplicate_prefill_weight);
}

/// Guards against a team at one and a half times its share that goes on while another one lacks
/// a quarter of its own, so that it gets twice as much: with a limit of twice the share one team got 33.5
/// million tokens in a trial of the incident inc1, another one 9.4 of 22.4.
#[rstest]
#[case::none(0.0, true)]
#[case::a_tenth(0.1, true)]
#[case::a_quarter(0.25, false)]
#[case::two_fifths(0.4, false)]
#[case::all(1.0, false)]
fn a_shortfall_of_another_team_lowers_the_limit_on_usage(
    #[case] shortfall: f64,
    #[case] is_admitted: bool,
) {
    let usage = ContendedUsage { ratio: 1.5, shortfall };
    let limits = AdmissionLimits::new(1_000.0, 8_000.0, Some(usage));
    assert_eq!(limits.allowed_ms > 0.0, is_admitted, "{limits:?}");
    // A team at its share is as free as without a shortfall.
    let usage = ContendedUsage { ratio: 1.0, shortfall };
    assert_eq!(AdmissionLimits::new(1_000.0, 8_000.0, Some(usage)).allowed_ms, 700.0);
}

/// Guards against a limit on usage by which the best served team may get more than twice what the worst
/// served one gets: the users' rule on shares.
#[test]
fn the_limit_on_usage_is_at_most_twice_what_the_worst_served_team_has_got() {
    for percent in 0..=45 {
        let shortfall = f64::from(percent) / 100.0;
        let usage = ContendedUsage { ratio: 2.0 * (1.0 - shortfall), shortfall };
        let limits = AdmissionLimits::new(1_000.0, 8_000.0, Some(usage));
        assert_eq!(limits.allowed_ms, 0.0, "a shortfall of {shortfall}");
    }
}

/// Guards against a team below half of its share that is refused because its route is ahead of others,
/// while teams over their share keep their limits.
#[rstest]
#[case::nothing_used(0.0, 1.0)]
#[case::a_third_used(0.3, 1.0)]
#[case::half_used(0.5, 1.0)]
#[case::three_quarters_used(0.75, 0.5)]
#[case::used_up(0.999, 0.0)]
fn the_balance_of_routes_leaves_half_of_its_share_to_each_team(
    #[case] ratio: f64,
    #[case] fraction_left: f64,
) {
    let usage = Some(ContendedUsage { ratio, shortfall: 0.0 });
    let standing = RouteStanding { lead: 1.0, admitted_fraction: 1.0 };
    let balanced = AdmissionLimits::under_contention(1_000.0, 8_000.0, usage, standing);
    let fraction = balanced.allowed_ms / balanced.unbalanced_ms;
    assert!((fraction - fraction_left).abs() < 0.01, "{balanced:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0018),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_team_that_has_used_more_is_never_admitted_more_easily(
        usage in 0.0..4.0_f64,
        more in 0.0..4.0_f64,
        shortfall in 0.0..1.0_f64,
        remaining_ms in 0.0..10_000.0_f64,
    ) {
        let limits = |ratio| {
            let usage = ContendedUsage { ratio, shortfall };
            AdmissionLimits::new(1_000.0, remaining_ms, Some(usage))
        };
        let (less, more) = (limits(usage), limits(usage + more));
        prop_assert!(more.allowed_ms <= less.allowed_ms && less.allowed_ms <= remaining_ms);
        prop_assert!(more.duplicate_prefill_weight >= less.duplicate_prefill_weight);
    }
}
