//! Integration tests of the burn report.

mod burn;
mod record;
mod render;

use sl_base::{Millis, Timestamp};
use sl_report::{Objective, Options, Recorder};

const START: Timestamp = Timestamp::from_micros(1_000_000_000_000);

fn recorder(instance: &str, from: Timestamp) -> Recorder {
    Recorder::new(Options { instance: instance.to_owned(), started_at: from, max_series: 8 })
}

/// Objective of the route `chat`: 90 % of responses start within 1 s, 99 % of requests are
/// answered. Other routes have none.
fn objective(route: &str) -> Option<Objective> {
    let chat =
        Objective { first_byte_within: Millis(1_000), latency_ppm: 900_000, answered_ppm: 990_000 };
    (route == "chat").then_some(chat)
}
