use proptest::prelude::*;
use rstest::rstest;
use sl_base::{Incarnation, Millis};
use sl_member::{Change, Life, Message, Status};

use crate::{
    config,
    world::{Faults, World, id, listing},
};

/// A fault's end to a common view, as the users ask for it.
const HEALED_WITHIN: Millis = Millis(5_000);

fn settled(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, Faults::default(), seed);
    world.list_all(1);
    world.run(Millis(3_000));
    assert!(world.agrees());
    world
}

#[derive(Clone, Debug)]
enum Op {
    Kill(usize),
    Restart(usize),
    Pause(usize, u64),
    Split(usize),
    OneWay(usize, usize),
    Heal,
    Wait(u64),
}

fn op(nodes: usize) -> impl Strategy<Value = Op> {
    prop_oneof![
        1 => (0..nodes).prop_map(Op::Kill),
        2 => (0..nodes).prop_map(Op::Restart),
        1 => (0..nodes, 100..10_000_u64).prop_map(|(node, span)| Op::Pause(node, span)),
        1 => (1..nodes).prop_map(Op::Split),
        1 => (0..nodes, 0..nodes).prop_map(|(from, to)| Op::OneWay(from, to)),
        1 => Just(Op::Heal),
        4 => (100..8_000_u64).prop_map(Op::Wait),
    ]
}

fn apply(world: &mut World, op: &Op) {
    match *op {
        Op::Kill(node) => world.kill(node),
        Op::Restart(node) => world.restart(node),
        Op::Pause(node, span) => world.pause(node, Millis(span)),
        Op::Split(side) => world.split(side),
        Op::OneWay(from, to) => drop(world.cuts.insert((from, to))),
        Op::Heal => world.cuts.clear(),
        Op::Wait(span) => world.run(Millis(span)),
    }
}

proptest! {
    #![proptest_config(config(100))]

    /// Whatever happened: once it is over, all see the same again, nobody who answers is
    /// held dead for good, and nobody who is gone is held alive. The lists never change.
    #[test]
    fn views_agree_again_after_any_faults(
        seed in any::<u64>(),
        dropped in 0..20_u32,
        repeated in 0..20_u32,
        delayed in 0..20_u32,
        ops in proptest::collection::vec(op(7), 1..25),
    ) {
        let mut world = settled(7, seed);
        world.faults = Faults { dropped, repeated, delayed };
        for op in &ops {
            apply(&mut world, op);
        }
        world.faults = Faults::default();
        world.cuts.clear();
        // The longest pause and the last late messages.
        world.run(Millis(10_000));
        world.list_all(1);
        let took = world.until(Millis(10_000), World::agrees);
        prop_assert!(took.is_some(), "the views still differ");
        world.run(Millis(20_000));
        prop_assert!(world.agrees(), "the views differ again");
    }

    #[test]
    fn partition_heals_within_the_bound(seed in any::<u64>(), side in 1..9_usize) {
        let mut world = settled(9, seed);
        world.split(side);
        world.run(Millis(20_000));
        let seen = world.nodes[0].members.alive().len();
        prop_assert_eq!(seen, side);
        world.cuts.clear();
        prop_assert!(world.until(HEALED_WITHIN, World::agrees).is_some());
    }

    #[test]
    fn dead_member_is_found_within_the_bound(seed in any::<u64>(), node in 0..9_usize) {
        let mut world = settled(9, seed);
        world.kill(node);
        prop_assert!(world.until(HEALED_WITHIN, World::agrees).is_some());
        world.restart(node);
        world.list(node, &listing(1, 0..9));
        prop_assert!(world.until(HEALED_WITHIN, World::agrees).is_some());
    }

    /// Lost messages alone make nobody dead: suspicions are objected to in time.
    #[test]
    fn false_suspicion_is_refuted(seed in any::<u64>()) {
        let mut world = settled(9, seed);
        world.faults = Faults { dropped: 15, ..Faults::default() };
        let before = world.sent;
        world.run(Millis(20_000));
        prop_assert_eq!(world.deaths, 0);
        // Each lost message leads to few others, or the losses would feed themselves.
        let rate = (world.sent - before) / 20 / 9;
        prop_assert!(rate < 60, "{} messages a second", rate);
    }
}

/// One cut way between two instances makes nobody dead, because others reach both.
#[test]
fn others_vouch_for_a_member_behind_a_cut() {
    let mut world = settled(5, 1);
    world.cuts.insert((0, 1));
    world.cuts.insert((1, 0));
    world.run(Millis(60_000));
    assert!(world.agrees());
    assert_eq!(world.deaths, 0);
}

/// Long enough to be suspected and short enough to object.
#[rstest]
fn short_pause_makes_nobody_dead(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut world = settled(9, seed);
    world.pause(0, Millis(1_800));
    world.run(Millis(10_000));
    assert_eq!(world.deaths, 0);
    assert!(world.agrees());
}

/// The objection may wait behind the tick that comes first after a standstill.
#[test]
fn standstill_of_ones_own_turns_no_suspicion_into_a_death() {
    let mut world = settled(2, 1);
    world.kill(1);
    while world.nodes[0].members.status(id(1)) != Some(Status::Suspect) {
        world.run(Millis(50));
    }
    let later = world.now.after(Millis(10_000));
    let members = &mut world.nodes[0].members;
    members.tick(later);
    assert_eq!(members.status(id(1)), Some(Status::Suspect));
}

#[test]
fn pause_does_not_make_the_paused_one_hold_the_others_dead() {
    let mut world = settled(5, 1);
    let before = world.deaths;
    world.pause(0, Millis(20_000));
    world.run(Millis(20_001));
    assert!(world.nodes[0].members.isolated(world.now));
    world.run(Millis(200));
    assert_eq!(world.nodes[0].members.alive().len(), 5);
    assert!(!world.nodes[0].members.isolated(world.now));
    assert_eq!(world.deaths - before, 4, "the others held it dead meanwhile");
}

#[rstest]
#[case::alone_with_platform(1, true, false)]
#[case::alone_without_platform(1, false, true)]
#[case::cut_off_with_platform(3, true, false)]
#[case::cut_off_without_platform(3, false, true)]
fn counts_as_isolated(#[case] nodes: usize, #[case] platform: bool, #[case] isolated: bool) {
    let mut world = settled(nodes, 1);
    if nodes > 1 {
        world.split(1);
    }
    for _ in 0..10 {
        world.run(Millis(1_000));
        let now = world.now;
        world.nodes[0].members.on_platform(now, platform);
    }
    assert_eq!(world.nodes[0].members.isolated(world.now), isolated);
}

#[test]
fn newborn_without_a_list_learns_from_those_who_list_it() {
    let mut world = settled(5, 1);
    world.restart(4);
    assert!(world.until(HEALED_WITHIN, World::agrees).is_some());
}

#[test]
fn leaving_member_holds_no_role_but_stays_a_peer() {
    let mut world = settled(5, 1);
    world.nodes[2].members.leave();
    world.run(HEALED_WITHIN);
    for node in [0, 1, 3, 4] {
        let members = &world.nodes[node].members;
        assert!(!members.alive().contains(&id(2)));
        assert!(members.peers().any(|(peer, _)| peer == id(2)));
    }
    world.restart(2);
    world.list_all(1);
    assert!(world.until(HEALED_WITHIN, World::agrees).is_some());
}

#[test]
fn dead_and_unlisted_member_is_forgotten() {
    let mut world = settled(5, 1);
    world.kill(2);
    world.run(HEALED_WITHIN);
    assert_eq!(world.nodes[0].members.status(id(2)), Some(Status::Dead));
    for node in [0, 1, 3, 4] {
        world.list(node, &listing(2, [0, 1, 3, 4]));
    }
    world.run(Millis(70_000));
    for node in [0, 1, 3, 4] {
        assert_eq!(world.nodes[node].members.status(id(2)), None);
    }
}

#[test]
fn older_list_is_ignored() {
    let mut world = settled(3, 1);
    world.list(0, &listing(2, [0, 1, 2]));
    world.list(0, &listing(1, [0]));
    world.kill(2);
    world.run(Millis(100_000));
    // It would be forgotten by now if it were not listed.
    assert_eq!(world.nodes[0].members.status(id(2)), Some(Status::Dead));
}

fn ping(incarnation: u64, changes: Vec<Change>) -> Message {
    Message::Ping {
        address: ([127, 0, 0, 1], 7_002).into(),
        life: Life { incarnation: Incarnation(incarnation), objections: 0 },
        changes,
    }
}

fn suspicion(member: usize) -> Change {
    Change {
        member: id(member),
        address: ([127, 0, 0, 1], 7_000).into(),
        life: Life { incarnation: Incarnation(1), objections: 0 },
        status: Status::Suspect,
        leaving: false,
    }
}

#[rstest]
#[case::earlier_life(1, Status::Alive)]
#[case::present_life(2, Status::Suspect)]
fn message_of_an_earlier_life_is_ignored(#[case] incarnation: u64, #[case] held: Status) {
    let mut world = settled(3, 1);
    world.restart(2);
    world.list(2, &listing(1, 0..3));
    world.run(Millis(3_000));
    let now = world.now;
    let members = &mut world.nodes[0].members;
    let late = ping(incarnation, vec![suspicion(1)]);
    members.on_message(now, id(2), Incarnation(incarnation), late);
    assert_eq!(members.status(id(1)), Some(held));
}

/// What docs/CAPACITY.md counts with.
#[test]
fn fullest_ping_stays_below_a_quarter_kilobyte() {
    let size = |changes: usize| {
        let message = ping(1_800_000_000_000_000, vec![suspicion(0); changes]);
        postcard::to_stdvec(&message).map(|bytes| bytes.len())
    };
    println!("{:?} bytes without and {:?} with 8 changes", size(0), size(8));
    assert!(size(8).is_ok_and(|bytes| bytes < 256));
}

/// Messages per instance do not grow with the fleet.
#[test]
fn cost_is_constant_in_fleet_size() {
    let rate = |nodes: usize| {
        let mut world = settled(nodes, 1);
        let before = world.sent;
        world.run(Millis(20_000));
        (world.sent - before) as f64 / 20.0 / nodes as f64
    };
    let (small, large) = (rate(9), rate(60));
    println!("{small} probes a second and instance");
    assert!(large < small * 1.1, "{small} and {large} messages a second");
}
