//! Limits of admission by a team's usage.

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use sl_route::admission::AdmissionLimits;

/// Guards against a team that is refused for the sake of other requests before it has got half
/// of its share, and against one that goes on at twice its share while others wait.
#[rstest]
#[case::all_demand_satisfied(None, 850.0, 4.0)]
#[case::nothing_used(Some(0.0), 950.0, 0.0)]
#[case::half_used(Some(0.5), 950.0, 0.0)]
#[case::three_quarters_used(Some(0.75), 825.0, 2.0)]
#[case::used_up(Some(1.0), 700.0, 4.0)]
#[case::half_over(Some(1.5), 233.3, 4.0)]
#[case::twice(Some(2.0), 0.0, 4.0)]
#[case::far_over(Some(7.0), 0.0, 4.0)]
fn limits_follow_the_part_of_its_share_that_a_team_has_used(
    #[case] usage: Option<f64>,
    #[case] allowed_ms: f64,
    #[case] duplicate_prefill_weight: f64,
) {
    let limits = AdmissionLimits::new(1_000.0, 8_000.0, usage);
    assert!((limits.allowed_ms - allowed_ms).abs() < 0.1, "{limits:?}");
    assert_eq!(limits.duplicate_prefill_weight, duplicate_prefill_weight);
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
        remaining_ms in 0.0..10_000.0_f64,
    ) {
        let less = AdmissionLimits::new(1_000.0, remaining_ms, Some(usage));
        let more = AdmissionLimits::new(1_000.0, remaining_ms, Some(usage + more));
        prop_assert!(more.allowed_ms <= less.allowed_ms && less.allowed_ms <= remaining_ms);
        prop_assert!(more.duplicate_prefill_weight >= less.duplicate_prefill_weight);
    }
}
