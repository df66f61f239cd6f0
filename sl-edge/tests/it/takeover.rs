//! Which instances on standby take over from missing followers, and when.

use sl_base::{Millis, Timestamp};
use sl_edge::store::takeover::{GROUP_INTERVAL, Takeover};

/// The fewest instances of the largest fleet.
const LARGEST_FLEET: usize = 744;

/// Followers that an instance on standby relies on.
const FOLLOWERS: usize = 3;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

/// How many of the instances take over within `millis` if no follower is left.
fn taken_over(instances: usize, millis: u64) -> usize {
    let is_due = |rank: &usize| {
        let mut takeover = Takeover::default();
        takeover.is_due(at(0), 0, *rank) || takeover.is_due(at(millis), 0, *rank)
    };
    (0..instances).filter(is_due).count()
}

// Guards against a fleet in which all instances call the store at once because three can't.
#[test]
fn few_instances_call_the_store_at_first() {
    assert_eq!(taken_over(LARGEST_FLEET, 0), 12);
    assert!(taken_over(LARGEST_FLEET, GROUP_INTERVAL.0) <= 96);
}

// Guards against instances which wait for others that the store turns away, too.
#[test]
fn every_instance_calls_the_store_within_a_fifth_of_a_second_if_nobody_else_reaches_it() {
    for instances in [9, 13, 81, 295, LARGEST_FLEET] {
        assert_eq!(taken_over(instances, 200), instances);
    }
}

#[test]
fn nobody_takes_over_while_enough_followers_rank_before() {
    let mut takeover = Takeover::default();
    assert!((0..100).all(|it| !takeover.is_due(at(it * 50), FOLLOWERS, 3)));
}

// Guards against a second shortage that counts from the first one, so that all call the store at once.
#[test]
fn a_shortage_that_ended_does_not_count_for_the_next_one() {
    let mut takeover = Takeover::default();
    let rank = LARGEST_FLEET - 1;
    assert!(!takeover.is_due(at(0), 2, rank));
    assert!(!takeover.is_due(at(100), FOLLOWERS, rank));
    assert!(!takeover.is_due(at(600), 2, rank));
}
