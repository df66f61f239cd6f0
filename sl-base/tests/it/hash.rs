use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::{
    InstanceId,
    hash::{owner, ranked_members},
};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_role_moves_only_when_its_holder_leaves(
        key: u64,
        members in prop::collection::btree_set(any::<u32>(), 2..20),
        pick: prop::sample::Index,
    ) {
        let members: Vec<InstanceId> = members.into_iter().map(InstanceId).collect();
        let gone = members[pick.index(members.len())];
        let before = owner(key, members.iter().copied());
        let after = owner(key, members.iter().copied().filter(|&it| it != gone));
        if before == Some(gone) {
            prop_assert_eq!(after, ranked_members(key, members, 2).get(1).copied());
        } else {
            prop_assert_eq!(after, before);
        }
    }
}

#[test]
fn roles_spread_evenly() {
    let members: Vec<InstanceId> = (0..9).map(|it| InstanceId::of(&format!("i-{it}"))).collect();
    let mut held = vec![0; members.len()];
    for key in 0..9_000 {
        let holder = owner(key, members.iter().copied());
        let place = members.iter().position(|&it| Some(it) == holder).unwrap();
        held[place] += 1;
    }
    assert!(held.iter().all(|&it| (800..1_200).contains(&it)), "{held:?}");
}
