//! Tests of the fleet's members.

mod members;
mod world;

use proptest::test_runner::{Config, RngSeed};

/// The same seeds every time; `SESAMELOCK_SEEDS` multiplies the cases and moves the seed.
fn config(cases: u32) -> Config {
    let more: u32 =
        std::env::var("SESAMELOCK_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(0);
    Config {
        cases: cases * (more + 1),
        rng_seed: RngSeed::Fixed(u64::from(more)),
        failure_persistence: None,
        ..Config::default()
    }
}
