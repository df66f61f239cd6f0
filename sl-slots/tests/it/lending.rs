//! What a home may lend and a holder may use, under faults.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;
use sl_base::Millis;
use sl_slots::Options;

use crate::fleet::{Faults, Fleet, Load, POOL, team, uneven};

const SERVERS: [(u32, u64); 5] = [(1, 60), (3, 100), (4, 240), (2, 120), (8, 90)];
const NODES: usize = 5;

/// A few cases with a fixed seed; more by `SESAMELOCK_SEEDS`.
fn config() -> Config {
    let cases = std::env::var("SESAMELOCK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    Config {
        cases: cases.unwrap_or(24),
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

fn links() -> impl Strategy<Value = Faults> {
    (0..40_u32, 0..30_u32, 0..900_u64).prop_map(|(drop_percent, repeat_percent, delay_ms)| Faults {
        drop_percent,
        repeat_percent,
        delay_ms,
        ..Faults::default()
    })
}

fn links_and_pauses() -> impl Strategy<Value = Faults> {
    (links(), prop::collection::btree_set(0..NODES, 0..3))
        .prop_map(|(faults, paused)| Faults { paused, ..faults })
}

fn fleet(seed: u64, options: Options) -> Fleet {
    let mut fleet = Fleet::new(seed, NODES, &SERVERS, options);
    fleet.set_loads(uneven(seed, NODES, 4));
    fleet
}

/// Asserts that nobody sent a server more than its slots at once.
fn check_in_use(fleet: &Fleet) -> Result<(), TestCaseError> {
    for backend in &fleet.backends {
        prop_assert!(backend.most <= backend.server.slots as usize);
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_more_than_the_slots_are_in_use_without_a_change_of_homes(
        seed: u64,
        phases in prop::collection::vec((links_and_pauses(), 100..6_000_u64), 1..6),
    ) {
        let options = Options { lost_after: Millis(120_000), ..Options::default() };
        let mut fleet = fleet(seed, options);
        for (faults, span) in phases {
            fleet.faults = faults;
            fleet.run(Millis(span));
            check_in_use(&fleet)?;
        }
    }

    #[test]
    fn slots_are_in_use_again_soon_after_faults_end(
        seed: u64,
        phases in prop::collection::vec((links_and_pauses(), prop::collection::btree_set(0..NODES, 0..NODES), 100..6_000_u64),
            1..4,
        ),
        reborn in prop::collection::vec(0..NODES, 0..3),
    ) {
        let options = Options::default();
        let settled = Millis(options.lease.0 + options.lost_after.0 + 2 * options.renew_every.0);
        let mut fleet = fleet(seed, options);
        for (faults, cut_off, span) in phases {
            fleet.faults = Faults { cut_off, ..faults };
            fleet.run(Millis(span));
        }
        for n in reborn {
            fleet.restart(n);
        }
        fleet.faults = Faults::default();
        fleet.run(settled);
        let busy = fleet.busy_micros;
        fleet.run(Millis(5_000));
        let percent = (fleet.busy_micros - busy) * 100 / (5_000_000 * fleet.slots_in_all());
        prop_assert!(percent >= 97, "{percent} % in use");
    }

    #[test]
    fn a_leaving_server_gets_nothing_new_after_the_lease_from_one_who_did_not_hear(
        seed: u64,
        links in links(),
        deaf in 0..NODES,
        server in 0..SERVERS.len(),
        paused: bool,
        cut: bool,
        silent_for in 0..4_000_u64,
    ) {
        let options = Options::default();
        let lease = options.lease;
        let mut fleet = fleet(seed, options);
        fleet.run(Millis(4_500));
        fleet.faults = links;
        fleet.run(Millis(1_000));
        let home = fleet.nodes[0].slots.home_of(fleet.backends[server].server.id);
        prop_assume!(home != Some(fleet.nodes[deaf].id));
                let known_at = fleet.now;
        fleet.set_leaving(server, &others(deaf));
        if paused {
            fleet.faults.paused.insert(deaf);
        }
        if cut {
            fleet.faults.cut_off.insert(deaf);
        }
        fleet.run(Millis(silent_for));
        fleet.faults.paused.clear();
        fleet.run(Millis(8_000));
        prop_assert!(fleet.backends[server].last_dispatch <= known_at + lease.0 * 1_000);
    }
}

/// A new home waits until what the lost one lent has run out or was reported, also with
/// work of its own, while the holder's renewal is still on its way.
#[rstest]
fn a_new_home_lends_nothing_that_may_be_lent_already() {
    let mut fleet = Fleet::new(1, NODES, &SERVERS, Options::default());
    let line = fleet.line_of_last();
    let (lost, next, holder) = (line[0], line[1], line[2]);
    fleet.set_loads(vec![lone(holder, 40)]);
    fleet.run(Millis(6_000));
    assert_eq!(fleet.in_use(), fleet.slots_in_all());
    fleet.kill(lost);
    fleet.latency_ms = 500;
    fleet.set_live(&others(lost));
    fleet.set_loads(vec![lone(holder, 40), lone(next, 40)]);
    fleet.run(Millis(6_000));
    check_in_use(&fleet).expect("within the slots");
}

/// A grant that comes late gives no right beyond the renewal that it answers.
#[rstest]
fn a_late_grant_gives_no_longer_right() {
    let options = Options::default();
    let lease = options.lease;
    let mut fleet = Fleet::new(1, NODES, &SERVERS, options);
    fleet.max_cost = 20;
    fleet.latency_ms = 600;
    let line = fleet.line_of_last();
    let holder = line[2];
    fleet.set_loads(vec![lone(holder, 40)]);
    fleet.run(Millis(9_000));
    let last = SERVERS.len() - 1;
    assert!(fleet.now - fleet.backends[last].last_dispatch < 1_000_000, "it was in use");
    let known_at = fleet.now;
    fleet.set_leaving(last, &others(holder));
    fleet.faults.cut_off.insert(holder);
    fleet.run(Millis(8_000));
    assert!(fleet.backends[last].last_dispatch > known_at);
    assert!(fleet.backends[last].last_dispatch <= known_at + lease.0 * 1_000);
}

/// Once a holder is held dead, its slots are lent again as soon as its lease has run out.
#[test]
fn slots_of_a_dead_holder_are_in_use_again_after_its_lease() {
    let options = Options::default();
    let lease = options.lease;
    let mut fleet = Fleet::new(1, NODES, &SERVERS, options);
    let (dead, other) = (0, 1);
    fleet.set_loads(vec![lone(dead, 40), lone(other, 40)]);
    fleet.run(Millis(6_000));
    fleet.kill(dead);
    fleet.set_loads(vec![lone(other, 80)]);
    fleet.run(Millis(2_000));
    fleet.set_live(&others(dead));
    fleet.run(Millis(lease.0 - 2_000 + 1_500));
    assert_eq!(fleet.in_use(), fleet.slots_in_all());
}

fn others(lost: usize) -> Vec<usize> {
    (0..NODES).filter(|&n| n != lost).collect()
}

fn lone(node: usize, depth: u32) -> Load {
    Load { team: team(0), share: 1, nodes: vec![node], depth }
}

#[rstest]
fn one_instance_with_all_the_work_gets_all_the_slots() {
    let mut fleet = Fleet::new(1, NODES, &SERVERS, Options::default());
    fleet.set_loads(vec![lone(2, 40)]);
    fleet.run(Millis(4_000));
    let busy = fleet.busy_micros;
    fleet.run(Millis(2_000));
    let percent = (fleet.busy_micros - busy) * 100 / (2_000_000 * fleet.slots_in_all());
    assert!(percent >= 99, "{percent} % in use");
}

/// Idle slots that one instance kept go to another as soon as work waits there: two round
/// trips and two gaps between renewals.
#[rstest]
fn kept_idle_slots_are_called_back() {
    let options = Options::default();
    let gap = options.urgent_gap;
    let mut fleet = Fleet::new(1, NODES, &SERVERS, options);
    fleet.max_cost = 20;
    fleet.set_loads(vec![lone(2, 40)]);
    fleet.run(Millis(5_000));
    fleet.set_loads(vec![Load { depth: 0, ..lone(2, 0) }]);
    fleet.run(Millis(2_000));
    assert_eq!(fleet.in_use(), 0);
    fleet.max_cost = 2_000;
    fleet.set_loads(vec![lone(3, 40)]);
    fleet.run(Millis(4 * fleet.latency_ms + 2 * gap.0 + 5));
    assert_eq!(fleet.in_use(), fleet.slots_in_all());
}

/// The next instance in the hash order takes over a server whose home is gone, and what
/// others held of it goes on without a pause.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn the_next_home_takes_over(#[case] seed: u64) {
    let mut fleet = fleet(seed, Options::default());
    fleet.run(Millis(6_000));
    let lost = fleet.line_of_last()[0];
    fleet.kill(lost);
    fleet.run(Millis(1_000));
    fleet.set_live(&others(lost));
    fleet.run(Millis(10_000));
    let busy = fleet.busy_micros;
    fleet.run(Millis(5_000));
    let percent = (fleet.busy_micros - busy) * 100 / (5_000_000 * fleet.slots_in_all());
    assert!(percent >= 97, "{percent} % in use");
    check_in_use(&fleet).expect("within the slots");
}

/// An instance that stops sees its queue through on lent slots and hands all of them back.
#[rstest]
fn a_stopping_instance_hands_its_slots_back() {
    let mut fleet = Fleet::new(3, NODES, &SERVERS, Options::default());
    fleet.max_cost = 200;
    let on = |node| Load { team: team(node), ..lone(node, 12) };
    fleet.set_loads((0..NODES).map(on).collect());
    fleet.run(Millis(6_000));
    fleet.set_live(&[0, 1, 2, 3]);
    let (now, staying) = (fleet.timestamp(), fleet.live(&[0, 1, 2, 3]));
    fleet.nodes[4].slots.set_members(now, &staying);
    fleet.nodes[4].slots.drain(now);
    let mut loads: Vec<Load> = (0..4).map(on).collect();
    loads.push(Load { depth: 0, ..on(4) });
    fleet.set_loads(loads);
    assert!(fleet.nodes[4].fair.need(POOL).is_some());
    fleet.run(Millis(10_000));
    assert!(!fleet.nodes[4].fair.need(POOL).is_some());
    assert!(fleet.nodes[4].slots.is_idle());
    for backend in &fleet.backends {
        assert_eq!(fleet.nodes[4].slots.window(backend.server.id), 0);
    }
    let busy = fleet.busy_micros;
    fleet.run(Millis(3_000));
    let percent = (fleet.busy_micros - busy) * 100 / (3_000_000 * fleet.slots_in_all());
    assert!(percent >= 97, "{percent} % in use");
}
