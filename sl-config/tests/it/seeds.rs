//! Seeds of the property tests: fixed in CI, more by `SESAMELOCK_SEEDS`.

use proptest::test_runner::{Config, RngSeed};

/// Cases of a property at one seed.
const CASES: u32 = 256;

/// The seed that CI runs.
const SEED: u64 = 0x5e5a_3e10;

/// Cases of a property whose every case is a long schedule.
const LONG_CASES: u32 = 96;

/// `SESAMELOCK_SEEDS=n` multiplies the cases by `n`.
pub(crate) fn config() -> Config {
    with_cases(CASES)
}

/// The same for a property whose every case is a long schedule.
pub(crate) fn long() -> Config {
    with_cases(LONG_CASES)
}

fn with_cases(cases: u32) -> Config {
    let seeds = std::env::var("SESAMELOCK_SEEDS").ok();
    let factor: u32 = seeds.and_then(|it| it.parse().ok()).unwrap_or(1);
    Config {
        cases: cases * factor,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}
