//! A short soak with a fixed seed, and one with each seed that has failed before.

use std::{path::Path, time::Duration};

use bench::soak::{self, Options};
use rstest::rstest;

#[rstest]
#[case::seed_1(1)]
// SIGHUP reached a process before it had installed its signal handler, and terminated it.
#[case::sighup_during_startup(2)]
#[tokio::test(flavor = "multi_thread")]
async fn a_soak_finds_no_violations(#[case] seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_sesamelock")).to_owned();
    let fault_duration = Duration::from_secs(5);
    let outcome = soak::run(Options { binary, seed, fault_duration, instances: 3 }).await.unwrap();
    assert_eq!(outcome.violations, [], "{:?}\n{:?}", outcome.faults, outcome.logs);
    assert!(outcome.answered > 20, "{outcome:?}");
}
