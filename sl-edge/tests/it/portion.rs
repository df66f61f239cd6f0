use proptest::prelude::*;
use rstest::rstest;
use sl_edge::portion::connection_share;

#[rstest]
#[case::alone(0.25, &[], 1.0)]
#[case::equal(0.25, &[0.25, 0.25, 0.25], 0.25)]
#[case::large(0.5, &[0.1, 0.1, 0.1, 0.1, 0.1], 1.0 / 3.0)]
#[case::small(0.1, &[0.5, 0.1, 0.1, 0.1, 0.1], 0.4 / 3.0)]
fn a_large_instance_has_more_connections(
    #[case] cores: f32,
    #[case] others: &[f32],
    #[case] part: f64,
) {
    let found = connection_share(cores, others.iter().copied().map(Some));
    assert!((found - part).abs() < 1e-6, "{found}");
}

proptest! {
    /// Each instance knows another part of the fleet.
    #[test]
    fn the_parts_make_no_more_than_the_whole(
        fleet in prop::collection::vec(0.01_f32..2.0, 1..90),
        unknown in prop::collection::vec(prop::collection::vec(any::<bool>(), 90), 90),
    ) {
        let part = |me: usize| {
            let others = fleet.iter().enumerate().filter(|it| it.0 != me);
            let largest = fleet.iter().copied().fold(0.0, f32::max);
            // The largest ones are heard of everywhere.
            let known = others.map(|(n, cores)| {
                (!unknown[me][n] || *cores >= largest).then_some(*cores)
            });
            connection_share(fleet[me], known)
        };
        let whole: f64 = (0..fleet.len()).map(part).sum();
        prop_assert!(whole <= 1.0 + 1e-4, "{}", whole);
    }
}
