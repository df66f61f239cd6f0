use proptest::prelude::*;
use rstest::rstest;
use sl_edge::connection_share::connection_share;

#[rstest]
#[case::alone(0.25, &[], 1.0)]
#[case::equal(0.25, &[0.25, 0.25, 0.25], 0.25)]
#[case::large(0.5, &[0.1, 0.1, 0.1, 0.1, 0.1], 1.0 / 3.0)]
#[case::small(0.1, &[0.5, 0.1, 0.1, 0.1, 0.1], 0.4 / 3.0)]
fn a_larger_instance_has_a_larger_share(
    #[case] cores: f32,
    #[case] others: &[f32],
    #[case] expected: f64,
) {
    let share = connection_share(cores, others.iter().copied().map(Some));
    assert!((share - expected).abs() < 1e-6, "{share}");
}

proptest! {
    /// Each instance knows the cores of some of the others only.
    #[test]
    fn the_shares_add_up_to_at_most_the_whole(
        fleet in prop::collection::vec(0.01_f32..2.0, 1..90),
        unknown in prop::collection::vec(prop::collection::vec(any::<bool>(), 90), 90),
    ) {
        let share = |index: usize| {
            let others = fleet.iter().enumerate().filter(|it| it.0 != index);
            let largest = fleet.iter().copied().fold(0.0, f32::max);
            // The largest instance is known everywhere.
            let known = others.map(|(n, cores)| {
                (!unknown[index][n] || *cores >= largest).then_some(*cores)
            });
            connection_share(fleet[index], known)
        };
        let whole: f64 = (0..fleet.len()).map(share).sum();
        prop_assert!(whole <= 1.0 + 1e-4, "{}", whole);
    }
}
