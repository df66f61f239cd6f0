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
    fn a_role_moves_only_when_its_owner_leaves(
        key: u64,
        members in prop::collection::btree_set(any::<u32>(), 2..20),
        removed_index: prop::sample::Index,
    ) {
        let members: Vec<InstanceId> = members.into_iter().map(InstanceId).collect();
        let removed = members[removed_index.index(members.len())];
        let before = owner(key, members.iter().copied());
        let after = owner(key, members.iter().copied().filter(|&it| it != removed));
        if before == Some(removed) {
            prop_assert_eq!(after, ranked_members(key, members, 2).get(1).copied());
        } else {
            prop_assert_eq!(after, before);
        }
    }
}

#[test]
fn roles_are_distributed_evenly() {
    let members: Vec<InstanceId> = (0..9).map(|it| InstanceId::of(&format!("i-{it}"))).collect();
    let mut role_counts = vec![0; members.len()];
    for key in 0..9_000 {
        let owner_of_key = owner(key, members.iter().copied());
        let index = members.iter().position(|&it| Some(it) == owner_of_key).unwrap();
        role_counts[index] += 1;
    }
    assert!(role_counts.iter().all(|&it| (800..1_200).contains(&it)), "{role_counts:?}");
}
