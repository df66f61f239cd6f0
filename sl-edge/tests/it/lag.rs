//! When an instance that does not get changes from its peers turns to the store.

use sl_base::{Millis, Timestamp};
use sl_edge::lag::{FALLBACK_PERIOD, Lag, PEER_FETCH_TIMEOUT, fallback_spread};

/// Requests are judged by a new configuration after this time.
const APPLY_MS: u64 = 2_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

// Guards against an instance that asks its peers again and again while they can't tell it what it lacks:
// it stayed at an older configuration for good.
#[test]
fn the_store_is_asked_soon_after_peers_did_not_help() {
    for instances in [5, 740] {
        let delay = fallback_spread(instances);
        let mut lag = Lag::default();
        let mut asked_at = Vec::new();
        for millis in (0..30_000).step_by(100) {
            if lag.record(at(millis), at(millis + 20), false, delay).is_some() {
                asked_at.push(millis);
            }
        }
        assert!(asked_at[0] <= PEER_FETCH_TIMEOUT.0 + delay.0, "{asked_at:?}");
        assert!(asked_at[0] <= APPLY_MS * 3 / 4, "{asked_at:?}");
        let gaps = asked_at.windows(2).map(|it| it[1] - it[0]);
        assert!(gaps.clone().count() > 0 && gaps.min() >= Some(FALLBACK_PERIOD.0), "{asked_at:?}");
    }
}

// Guards against calls of the store by instances which receive all changes, but are behind for a moment
// at each of them.
#[test]
fn an_instance_that_catches_up_does_not_turn_to_the_store() {
    let mut lag = Lag::default();
    for millis in (0..30_000).step_by(100) {
        let is_caught_up = millis % 300 == 0;
        assert_eq!(lag.record(at(millis), at(millis + 20), is_caught_up, Millis(0)), None);
    }
}
