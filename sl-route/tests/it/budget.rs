//! The retries of all instances together stay within the fleet's budget.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::{Millis, ServiceId};
use sl_route::budget::{Budget, Options};

use crate::testbed::at;

const OPTIONS: Options = Options { ratio: 0.2, allowance: 58.0, window: Millis(10_000) };

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0003),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A fleet whose instances know its size stays within the limit in every window, however
    /// requests are spread over instances and time.
    #[test]
    fn a_fleet_stays_within_the_limit(
        instances in 1_usize..12,
        tries in prop::collection::vec((0_usize..12, 0_u64..30_000, any::<bool>()), 1..600),
    ) {
        let service = ServiceId::of("s");
        let mut fleet: Vec<Budget> = (0..instances).map(|_| Budget::new(OPTIONS)).collect();
        for budget in &mut fleet {
            budget.set_instances(instances);
        }
        let mut tries = tries;
        tries.sort_by_key(|it| it.1);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (instance, millis, is_retry) in tries {
            let budget = &mut fleet[instance % instances];
            if is_retry {
                if budget.try_take(at(millis), service) {
                    retries.push(millis);
                }
            } else {
                budget.record_request(at(millis), service);
                requests.push(millis);
            }
            let within = |it: &&u64| **it + OPTIONS.window.0 > millis;
            let bound = 0.2 * requests.iter().filter(within).count() as f64 + 58.0;
            prop_assert!(retries.iter().filter(within).count() as f64 <= bound);
        }
    }
}

#[test]
fn used_retries_are_available_again_after_the_window() {
    let service = ServiceId::of("s");
    let mut budget = Budget::new(OPTIONS);
    budget.set_instances(1);
    let taken = (0..100).filter(|_| budget.try_take(at(0), service)).count();
    assert!((30..=58).contains(&taken), "{taken}");
    assert!(!budget.try_take(at(9_999), service));
    assert!(budget.try_take(at(10_000), service));
}

#[test]
fn a_new_instance_without_known_peers_uses_a_small_part() {
    let mut budget = Budget::new(OPTIONS);
    let taken = (0..100).filter(|_| budget.try_take(at(0), ServiceId::of("s"))).count();
    assert!(taken <= 58 / 9, "{taken}");
}
