use proptest::test_runner::{Config, RngSeed};

/// The same seed every time; `SESAMELOCK_SEEDS=n` multiplies the cases by `n`.
pub fn seeds() -> Config {
    let more: u32 =
        std::env::var("SESAMELOCK_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(1);
    let usual = Config::default();
    Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        cases: usual.cases * more,
        ..usual
    }
}
