use platform::Addresses;
use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::InstanceId;
use sl_edge::roles::{RelayCandidate, RelayRoles};

/// The largest fleet without relays.
const DIRECT_FLEET_MAX: usize = 16;

fn fleet() -> impl Strategy<Value = Vec<RelayCandidate>> {
    let one = (0.05_f32..0.5, 0_u32..5);
    prop::collection::vec(one, 2..90).prop_map(|all| {
        let peer = |(n, (cores, data_centre)): (usize, (f32, u32))| {
            let port = u16::try_from(n).unwrap() + 1;
            let address = ([127, 0, 0, 1], port).into();
            let addresses = Addresses { notes: address, control: address };
            RelayCandidate {
                id: InstanceId::of(&format!("edge-{n}")),
                addresses,
                data_centre,
                cores,
            }
        };
        all.into_iter().enumerate().map(peer).collect()
    })
}

fn roles(fleet: &[RelayCandidate], index: usize) -> Option<RelayRoles> {
    let others = fleet.iter().enumerate().filter(|it| it.0 != index).map(|it| *it.1).collect();
    RelayRoles::assign(fleet[index], others)
}

proptest! {
    #[test]
    fn only_a_fleet_above_the_limit_has_relays(fleet in fleet()) {
        let has_relays = roles(&fleet, 0).is_some();
        prop_assert_eq!(has_relays, fleet.len() > DIRECT_FLEET_MAX);
    }

    /// Otherwise the notes of an instance would reach some peers twice or not at all.
    #[test]
    fn each_instance_is_served_by_exactly_the_relay_that_it_sends_to(fleet in fleet()) {
        prop_assume!(fleet.len() > DIRECT_FLEET_MAX);
        let all: Vec<RelayRoles> = (0..fleet.len()).map(|it| roles(&fleet, it).unwrap()).collect();
        for (index, own) in all.iter().enumerate().filter(|it| !it.1.is_relay) {
            let relay = own.own_relay().unwrap();
            let serving: Vec<InstanceId> = all
                .iter()
                .zip(&fleet)
                .filter(|it| it.0.is_relay && it.0.served_peers().any(|it| it.id == fleet[index].id))
                .map(|it| it.1.id)
                .collect();
            prop_assert_eq!(serving, [relay.id]);
        }
    }

    #[test]
    fn the_largest_instances_are_relays_and_as_many_as_the_square_root(fleet in fleet()) {
        prop_assume!(fleet.len() > DIRECT_FLEET_MAX);
        let is_relay = |index: usize| roles(&fleet, index).unwrap().is_relay;
        let (relays, others): (Vec<usize>, Vec<usize>) = (0..fleet.len()).partition(|it| is_relay(*it));
        prop_assert_eq!(relays.len(), (fleet.len() as f64).sqrt().ceil() as usize);
        let least = relays.iter().map(|it| fleet[*it].cores).fold(f32::INFINITY, f32::min);
        prop_assert!(others.iter().all(|it| fleet[*it].cores <= least));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0022),
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against bytes between data centres that grow with the relays there: each message
    /// crosses to each other data centre that has a relay once, and reaches each instance once.
    #[test]
    fn a_message_reaches_each_instance_once_and_each_data_centre_once(fleet in fleet()) {
        prop_assume!(fleet.len() > DIRECT_FLEET_MAX);
        let all: Vec<RelayRoles> = (0..fleet.len()).map(|it| roles(&fleet, it).unwrap()).collect();
        let at = |id: InstanceId| fleet.iter().position(|it| it.id == id).unwrap();
        for (index, own) in all.iter().enumerate() {
            let first = own.own_relay().filter(|_| !own.is_relay).map_or(index, |it| at(it.id));
            let mut reached = vec![0; fleet.len()];
            reached[index] += 1;
            if first != index {
                reached[first] += 1;
            }
            let entries: Vec<usize> = all[first].remote_entries().iter().map(|it| at(it.id)).collect();
            let mut entered: Vec<u32> = entries.iter().map(|it| fleet[*it].data_centre).collect();
            entered.sort_unstable();
            let count = entered.len();
            entered.dedup();
            prop_assert_eq!(entered.len(), count);
            let mut relays: Vec<usize> = std::iter::once(first).chain(entries.clone()).collect();
            for &relay in &entries {
                reached[relay] += 1;
            }
            for relay in relays.clone() {
                let local: Vec<usize> = all[relay].local_relays().map(|it| at(it.id)).collect();
                local.iter().for_each(|it| reached[*it] += 1);
                relays.extend(local);
            }
            for relay in relays {
                let served = all[relay].served_peers().map(|it| at(it.id));
                // The writer gets its own message back from its relay, and ignores it.
                served.filter(|it| *it != index).for_each(|it| reached[it] += 1);
            }
            prop_assert!(reached.iter().all(|it| *it == 1), "{reached:?}");
        }
    }
}
