//! Fairness and utilisation of the policies, on the same load.

use std::collections::BTreeMap;

use rstest::rstest;
use sl_base::{Millis, TeamId};
use sl_slots::{Options, Policy};

use crate::fleet::{Fleet, Load, UNIT, team, uneven};

/// Servers of differing speeds: slots, and units a second and slot.
const SERVERS: [(u32, u64); 12] = [
    (4, 60),
    (4, 60),
    (4, 90),
    (4, 90),
    (4, 120),
    (4, 120),
    (4, 120),
    (4, 150),
    (4, 150),
    (4, 200),
    (4, 200),
    (4, 240),
];
const NODES: usize = 9;
const WARM_UP: Millis = Millis(5_000);
const REPORT_EVERY_SECONDS: u64 = 1;

/// The gap, in units at share one, that coordination may leave between two backlogged
/// teams: two of the largest requests, all that the servers do between two reports, the
/// tolerance, and what runs at once of the largest requests by share.
fn bound(fleet: &Fleet) -> u64 {
    let shares: u64 = fleet.loads.iter().map(|load| u64::from(load.share)).sum();
    2 * fleet.max_cost
        + fleet.rate() * REPORT_EVERY_SECONDS
        + Options::default().tolerance / UNIT
        + fleet.slots_in_all() * fleet.max_cost / shares
}

struct Measured {
    gap: u64,
    last_gap: u64,
    utilisation: f64,
}

fn gap(fleet: &Fleet, since: &BTreeMap<TeamId, u64>) -> u64 {
    let received = fleet.received();
    let rose = received.iter().map(|(team, units)| units - since[team]);
    rose.clone().max().unwrap_or(0) - rose.min().unwrap_or(0)
}

/// Lets the fleet run, and does `change` in each second before it goes on.
fn measure(fleet: &mut Fleet, seconds: u64, mut change: impl FnMut(&mut Fleet, u64)) -> Measured {
    fleet.run(WARM_UP);
    let since = fleet.received();
    let busy = fleet.busy_micros;
    let mut measured = Measured { gap: 0, last_gap: 0, utilisation: 0.0 };
    for second in 0..seconds {
        change(fleet, second);
        fleet.run(Millis(1_000));
        measured.last_gap = gap(fleet, &since);
        measured.gap = measured.gap.max(measured.last_gap);
    }
    let could = (seconds * 1_000_000 * fleet.slots_in_all()) as f64;
    measured.utilisation = (fleet.busy_micros - busy) as f64 / could;
    measured
}

fn fleet(policy: Policy, seed: u64) -> Fleet {
    let options = Options { policy, ..Options::default() };
    let mut fleet = Fleet::new(seed, NODES, &SERVERS, options);
    fleet.set_loads(uneven(seed, NODES, 8));
    fleet
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn lent_slots_keep_the_gap_within_the_bound_and_a_fifth_of_the_baseline(#[case] seed: u64) {
    let mut lent = fleet(Policy::Lent, seed);
    let bound = bound(&lent);
    let lent = measure(&mut lent, 60, |_, _| {});
    let alone = measure(&mut fleet(Policy::Uncoordinated, seed), 60, |_, _| {});
    println!(
        "seed {seed}: bound {bound}, lent gap {} util {:.4}, alone gap {} util {:.4}",
        lent.gap, lent.utilisation, alone.gap, alone.utilisation
    );
    assert!(alone.gap > bound, "the baseline breaks the bound");
    assert!(lent.gap <= bound, "{} of {bound}", lent.gap);
    assert!(lent.gap * 5 <= alone.gap, "{} to {}", lent.gap, alone.gap);
    assert!(lent.utilisation >= 0.97, "{}", lent.utilisation);
}

/// With all work on a few instances, a fixed split leaves slots idle and lending does not.
#[rstest]
fn work_on_few_instances_uses_all_servers() {
    let on_two = |policy| {
        let mut fleet = fleet(policy, 5);
        let loads = (0..4).map(|n| Load { team: team(n), share: 1, nodes: vec![n % 2], depth: 30 });
        fleet.set_loads(loads.collect());
        measure(&mut fleet, 20, |_, _| {})
    };
    let (lent, split) = (on_two(Policy::Lent), on_two(Policy::FixedSplit));
    println!(
        "lent {:.4} split {:.4} gap {} {}",
        lent.utilisation, split.utilisation, lent.gap, split.gap
    );
    assert!(lent.utilisation >= 0.97, "{}", lent.utilisation);
    assert!(split.utilisation < 0.5, "{}", split.utilisation);
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_killed_instance_leaves_the_gap_within_the_bound(#[case] seed: u64) {
    let mut fleet = fleet(Policy::Lent, seed);
    let bound = bound(&fleet);
    let measured = measure(&mut fleet, 60, |fleet, second| match second {
        20 => fleet.restart(3),
        40 => fleet.restart(5),
        _ => {}
    });
    println!(
        "killed seed {seed}: gap {} of {bound} util {:.4}",
        measured.gap, measured.utilisation
    );
    assert!(measured.gap <= bound, "{} of {bound}", measured.gap);
    assert!(measured.utilisation >= 0.95, "{}", measured.utilisation);
}

/// Both sides of a cut use the servers on their own; after it, teams that were served
/// less catch up.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn the_gap_closes_after_a_cut(#[case] seed: u64) {
    let mut fleet = fleet(Policy::Lent, seed);
    let bound = bound(&fleet);
    let measured = measure(&mut fleet, 90, |fleet, second| match second {
        10 => fleet.faults.cut_off = [0, 1].into(),
        13 => {
            fleet.set_live(&[0, 1]);
            fleet.set_live(&[2, 3, 4, 5, 6, 7, 8]);
        }
        30 => fleet.faults.cut_off.clear(),
        32 => fleet.set_live(&[0, 1, 2, 3, 4, 5, 6, 7, 8]),
        _ => {}
    });
    println!(
        "cut seed {seed}: worst {} last {} of {bound} util {:.4}",
        measured.gap, measured.last_gap, measured.utilisation
    );
    assert!(measured.last_gap <= bound, "{} of {bound}", measured.last_gap);
}

/// A share of one against a thousand: the small team's requests still run.
#[rstest]
fn a_small_share_is_served() {
    let mut fleet = fleet(Policy::Lent, 1);
    fleet.set_loads(vec![
        Load { team: team(0), share: 1_000, nodes: (0..NODES).collect(), depth: 20 },
        Load { team: team(1), share: 1, nodes: vec![4], depth: 20 },
    ]);
    let mut served = Vec::new();
    for _ in 0..4 {
        fleet.run(Millis(40_000));
        served.push(fleet.served.get(&team(1)).copied().unwrap_or(0));
    }
    println!("{served:?}");
    assert!(served.is_sorted_by(|a, b| a < b), "{served:?}");
}
