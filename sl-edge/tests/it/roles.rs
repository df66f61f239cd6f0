use platform::Addresses;
use proptest::prelude::*;
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
