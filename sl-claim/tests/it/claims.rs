use proptest::prelude::*;
use rstest::rstest;
use sl_base::{Code, Millis, RequestId};
use sl_claim::{Decision, Options, Settled};

use crate::{
    config,
    world::{Faults, World, key},
};

const NODES: usize = 4;

/// Small bounds, so that segments are sealed, archived and forgotten all the time.
fn small() -> Options {
    Options {
        shards: 2,
        segment_bytes: 300,
        key_life: Millis(120_000),
        clock_skew: Millis(20_000),
        idle_for: Millis(3_000),
        backoff_max: Millis(1_000),
        ..Options::default()
    }
}

#[derive(Clone, Debug)]
enum Op {
    Claim { node: usize, key: u32, copies: usize },
    Kill(usize),
    Pause(usize, u64),
    Outage(u64),
    Members(usize, usize),
    Wait(u64),
}

fn op(keys: u32) -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => (0..NODES, 0..keys, 1..3_usize)
            .prop_map(|(node, key, copies)| Op::Claim { node, key, copies }),
        1 => (0..NODES).prop_map(Op::Kill),
        1 => (0..NODES, 100..15_000_u64).prop_map(|(node, span)| Op::Pause(node, span)),
        1 => (100..6_000_u64).prop_map(Op::Outage),
        1 => (0..NODES, 1..=NODES).prop_map(|(node, sees)| Op::Members(node, sees)),
        6 => (1..1_500_u64).prop_map(Op::Wait),
    ]
}

fn faults() -> impl Strategy<Value = Faults> {
    let percent = || prop_oneof![Just(0_u32), 0..30_u32];
    let calls = (percent(), percent(), percent(), percent());
    let messages = (percent(), percent(), percent());
    (calls, messages, 0..3_000_u64).prop_map(|(calls, messages, clocks)| Faults {
        lost_before: calls.0,
        lost_after: calls.1,
        late: calls.2,
        refused: calls.3,
        dropped: messages.0,
        repeated: messages.1,
        delayed: messages.2,
        clocks,
    })
}

fn apply(world: &mut World, op: &Op) {
    match *op {
        Op::Claim { node, key: n, copies } => {
            for copy in 0..copies {
                world.claim((node + copy) % NODES, key(n));
            }
        }
        Op::Kill(node) => world.kill(node),
        Op::Pause(node, span) => world.pause(node, Millis(span)),
        Op::Outage(span) => world.outage_until = world.now.after(Millis(span)),
        Op::Members(node, sees) => {
            let seen = (0..sees).map(|n| crate::world::id((node + n) % NODES));
            world.nodes[node].claims.set_members(seen);
        }
        Op::Wait(span) => world.run(Millis(span)),
    }
}

proptest! {
    #![proptest_config(config(300))]

    /// The world checks at every step: no key is granted twice within its life unless it
    /// was released, every request is decided once and by its deadline, and a repeat is
    /// told `key-ran` only of what ran.
    #[test]
    fn no_key_is_granted_twice(
        seed in any::<u64>(),
        faults in faults(),
        ops in proptest::collection::vec(op(12), 1..150),
    ) {
        let mut world = World::new(NODES, small(), faults, seed);
        for op in &ops {
            apply(&mut world, op);
        }
        world.run(Millis(20_000));
        prop_assert_eq!(world.undecided(), 0);
    }

    /// The same over several lives of a key, so that archives are forgotten and deleted
    /// while paused processes still hold old views and old writes are under way.
    #[test]
    fn no_key_is_granted_twice_while_old_ones_are_forgotten(
        seed in any::<u64>(),
        faults in faults(),
        ops in proptest::collection::vec((op(6), 0..20_000_u64), 30..120),
    ) {
        let options = Options { key_life: Millis(30_000), clock_skew: Millis(12_000), ..small() };
        let mut world = World::new(NODES, options, faults, seed);
        for (op, span) in &ops {
            apply(&mut world, op);
            world.run(Millis(*span));
        }
        world.run(Millis(20_000));
        prop_assert_eq!(world.undecided(), 0);
    }

    /// Whatever happened before: once the platform and the peers are well again, new keys
    /// are granted, and repeats of them are told the truth.
    #[test]
    fn new_keys_are_granted_once_all_is_well(
        seed in any::<u64>(),
        faults in faults(),
        ops in proptest::collection::vec(op(12), 1..60),
    ) {
        let mut world = World::new(NODES, small(), faults, seed);
        for op in &ops {
            apply(&mut world, op);
        }
        world.faults = Faults::default();
        world.run(Millis(30_000));
        world.settle_as = Some(Settled::Ran { status: 201 });
        for node in 0..NODES {
            let n = 1_000 + node as u32;
            let first = world.claim(node, key(n)).expect("no node is paused");
            world.run(Millis(5_000));
            prop_assert_eq!(decision(&world, node, first), Some(Decision::Granted));
            let other = (node + 1) % NODES;
            let repeat = world.claim(other, key(n)).expect("no node is paused");
            world.run(Millis(2_500));
            let ran = refused(&world, other, repeat);
            prop_assert_eq!(ran, Some(Code::KeyRan));
        }
    }
}

fn decision(world: &World, node: usize, request: RequestId) -> Option<Decision> {
    let incarnation = world.nodes[node].incarnation;
    world.decisions.get(&(node, incarnation, request)).copied()
}

fn refused(world: &World, node: usize, request: RequestId) -> Option<Code> {
    match decision(world, node, request)? {
        Decision::Granted => None,
        Decision::Refused { code, .. } => Some(code),
    }
}

fn well(nodes: usize) -> World {
    World::new(nodes, Options::default(), Faults::default(), 7)
}

#[rstest]
#[case::ran(Settled::Ran { status: 201 }, Some(Code::KeyRan))]
#[case::unknown(Settled::Unknown, Some(Code::KeyUnknown))]
#[case::not_run(Settled::NotRun, None)]
fn repeat_is_told_the_recorded_outcome(#[case] settled: Settled, #[case] told: Option<Code>) {
    for (first, second) in [(0, 1), (1, 0), (2, 2), (2, 0)] {
        let mut world = well(3);
        world.settle_as = Some(settled);
        let request = world.claim(first, key(1)).unwrap();
        world.run(Millis(4_000));
        assert_eq!(decision(&world, first, request), Some(Decision::Granted));
        assert_eq!(world.recorded.get(&(first, 1, request)), Some(&true));
        let repeat = world.claim(second, key(1)).unwrap();
        world.run(Millis(1_000));
        assert_eq!(refused(&world, second, repeat), told);
    }
}

#[test]
fn repeat_at_the_same_instance_is_told_that_it_runs() {
    let mut world = well(1);
    world.claim(0, key(1)).unwrap();
    world.run(Millis(20));
    let repeat = world.claim(0, key(1)).unwrap();
    assert_eq!(refused(&world, 0, repeat), Some(Code::KeyRunning));
}

#[test]
fn successor_without_memory_does_not_take_the_claim_up() {
    let mut world = well(1);
    world.settle_as = Some(Settled::Unknown);
    world.claim(0, key(1)).unwrap();
    world.run(Millis(10));
    world.kill(0);
    let repeat = world.claim(0, key(1)).unwrap();
    world.run(Millis(1_000));
    assert_eq!(refused(&world, 0, repeat), Some(Code::KeyUnknown));
}

#[test]
fn outage_refuses_as_not_run_and_the_key_is_free_afterwards() {
    let mut world = well(3);
    world.outage_until = world.now.after(Millis(6_000));
    let request = world.claim(0, key(1)).unwrap();
    world.run(Millis(2_000));
    assert_eq!(refused(&world, 0, request), Some(Code::ClaimUnavailable));
    world.run(Millis(12_000));
    let again = world.claim(1, key(1)).unwrap();
    world.run(Millis(1_000));
    assert_eq!(decision(&world, 1, again), Some(Decision::Granted));
}

#[test]
fn claim_whose_answer_was_lost_is_granted() {
    let mut world = well(1);
    world.faults.lost_after = 100;
    let request = world.claim(0, key(1)).unwrap();
    world.run(Millis(1_050));
    world.faults.lost_after = 0;
    world.run(Millis(900));
    assert_eq!(decision(&world, 0, request), Some(Decision::Granted));
}

#[test]
fn key_is_free_after_its_life_and_its_archives_are_deleted() {
    let mut world = World::new(2, small(), Faults::default(), 7);
    world.settle_as = Some(Settled::Ran { status: 201 });
    for n in 0..100 {
        world.claim(0, key(n)).unwrap();
        world.run(Millis(100));
    }
    let before = world.keys().len();
    assert!(before > 10, "{before} keys");
    world.run(Millis(200_000));
    let again = world.claim(1, key(3)).unwrap();
    world.claim(0, key(4)).unwrap();
    world.run(Millis(10_000));
    assert_eq!(decision(&world, 1, again), Some(Decision::Granted));
    let after = world.keys().len();
    assert!(after < 8, "{after} keys");
}

/// Many claims share a write, and an idle fleet makes no calls at all.
#[test]
fn writes_grow_with_time_and_not_with_claims() {
    let mut world = well(9);
    world.settle_as = Some(Settled::Ran { status: 201 });
    for n in 0..2_000 {
        world.claim(n as usize % 9, key(n)).unwrap();
        world.run(Millis(1));
    }
    world.run(Millis(10_000));
    let puts = world.calls["put"];
    let granted = world.grants.len();
    println!("{granted} claims: {:?}, {} bytes put", world.calls, world.put_bytes);
    assert_eq!(granted, 2_000);
    // 16 shards, 20 writes a second each, 5 s, and two more for each seal.
    assert!(puts < 16 * 20 * 5 + 100, "{puts} writes");
    let calls = world.calls.clone();
    world.run(Millis(60_000));
    assert_eq!(world.calls, calls);
}

/// The write took effect, but its answer and those of all readings are lost until the
/// claim is given up: the key is released as soon as the platform answers again.
#[test]
fn claim_given_up_in_doubt_is_released() {
    let mut world = well(1);
    world.faults.lost_after = 100;
    world.settle_as = Some(Settled::Unknown);
    let warm = world.claim(0, key(0)).unwrap();
    world.run(Millis(2_100));
    assert_eq!(refused(&world, 0, warm), Some(Code::ClaimUnavailable));
    world.faults.lost_after = 0;
    world.run(Millis(10_000));
    world.claim(0, key(1)).unwrap();
    world.run(Millis(10));
    world.faults.lost_after = 100;
    let doubtful = world.claim(0, key(1_000)).unwrap();
    world.run(Millis(2_100));
    assert_eq!(refused(&world, 0, doubtful), Some(Code::ClaimUnavailable));
    world.faults.lost_after = 0;
    world.run(Millis(15_000));
    let again = world.claim(0, key(1_000)).unwrap();
    world.run(Millis(1_000));
    assert_eq!(decision(&world, 0, again), Some(Decision::Granted));
}

/// The same where the write takes effect only after the claim was given up.
#[rstest]
fn late_write_of_a_claim_given_up_does_not_stand(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let options = Options { shards: 1, ..Options::default() };
    let mut world = World::new(1, options, Faults::default(), seed);
    world.settle_as = Some(Settled::Unknown);
    world.claim(0, key(0)).unwrap();
    world.run(Millis(5_000));
    world.faults.late = 100;
    let late = world.claim(0, key(1)).unwrap();
    world.faults.late = 0;
    world.outage_until = world.now.after(Millis(2_100));
    world.run(Millis(20_000));
    assert_eq!(refused(&world, 0, late), Some(Code::ClaimUnavailable));
    let again = world.claim(0, key(1)).unwrap();
    world.run(Millis(1_000));
    assert_eq!(decision(&world, 0, again), Some(Decision::Granted));
}

#[test]
fn release_by_another_instance_is_seen_by_a_repeat() {
    let mut world = well(2);
    world.runs_on = true;
    for node in 0..2 {
        world.nodes[node].claims.set_members([]);
    }
    let first = world.claim(0, key(1)).unwrap();
    world.run(Millis(500));
    let second = world.claim(1, key(1)).unwrap();
    world.run(Millis(500));
    assert_eq!(refused(&world, 1, second), Some(Code::KeyUnknown));
    world.settle(0, first, Settled::NotRun);
    world.run(Millis(500));
    let third = world.claim(1, key(1)).unwrap();
    world.run(Millis(500));
    assert_eq!(decision(&world, 1, third), Some(Decision::Granted));
}

/// An owner whose clock is ahead does not forget a key before its life is over.
#[test]
fn clock_that_is_ahead_does_not_end_a_life_early() {
    let skew = Millis(3_000);
    let options = Options { shards: 1, key_life: Millis(30_000), clock_skew: skew, ..small() };
    let mut world = World::new(2, options, Faults::default(), 7);
    world.runs_on = true;
    world.nodes[1].clock = skew.0;
    for node in 0..2 {
        world.nodes[node].claims.set_members([]);
    }
    for n in 0..20 {
        world.claim(0, key(n)).unwrap();
    }
    world.run(Millis(28_000));
    let repeat = world.claim(1, key(1)).unwrap();
    world.run(Millis(1_500));
    assert_eq!(refused(&world, 1, repeat), Some(Code::KeyUnknown));
}

/// The platform lost what it held: who remembers better grants nothing more.
#[test]
fn service_that_lost_its_data_grants_nothing_to_who_remembers() {
    let options = Options { shards: 1, ..Options::default() };
    let mut world = World::new(1, options, Faults::default(), 7);
    world.settle_as = Some(Settled::Ran { status: 201 });
    world.claim(0, key(1)).unwrap();
    world.run(Millis(5_000));
    world.kv.clear();
    let repeat = world.claim(0, key(1)).unwrap();
    let new = world.claim(0, key(2)).unwrap();
    world.run(Millis(2_100));
    assert_eq!(refused(&world, 0, repeat), Some(Code::KeyRan));
    assert_eq!(refused(&world, 0, new), Some(Code::ClaimUnavailable));
}
