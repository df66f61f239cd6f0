//! A short soak of planned stops.

use std::{path::Path, time::Duration};

use bench::stops::{self, Options};
use rstest::rstest;

// Until a process exited, it accepted requests whose servers answered later than that, and a
// second SIGTERM ended it at once.
#[rstest]
#[case::seed_1(1)]
#[case::seed_3(3)]
#[tokio::test(flavor = "multi_thread")]
async fn stops_in_series_lose_no_request(#[case] seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_sesamelock")).to_owned();
    let duration = Duration::from_secs(15);
    let outcome = stops::run(Options { binary, seed, duration, instances: 3 }).await.unwrap();
    assert_eq!(outcome.violations, [], "{:?}\n{:?}", outcome.actions, outcome.logs);
    assert!(outcome.answered > 100 && outcome.stops > 3, "{outcome:?}");
}
