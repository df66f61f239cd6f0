//! A small site for tests: Te Byw's routes and teams, and as many instances as a test needs.

use std::time::Duration;

use bench::{Fleet, Options, Site};
use reqwest::{Method, RequestBuilder, Response};

pub const TEAM: &str = "team-01";

pub fn options(instances: usize) -> Options {
    let site = Site::te_byw().with_instances(instances);
    Options::new(env!("CARGO_BIN_EXE_sesamelock"), site)
}

pub async fn fleet(instances: usize) -> Fleet {
    match Fleet::start(options(instances)).await {
        Ok(fleet) => fleet,
        Err(e) => panic!("{e}"),
    }
}

/// A booking with its idempotency key.
pub fn booking(fleet: &Fleet, at: usize, key: &str) -> RequestBuilder {
    fleet
        .call(at, TEAM, Method::POST, "/bookings")
        .header("Idempotency-Key", key)
        .body("{\"crate\":7}")
}

/// A chat request that streams `tokens` tokens.
pub fn chat(fleet: &Fleet, at: usize, tokens: u32) -> RequestBuilder {
    fleet
        .call(at, TEAM, Method::POST, "/v1/chat/completions")
        .body(format!("{{\"stream\":true,\"max_tokens\":{tokens}}}"))
}

pub fn header<'a>(answer: &'a Response, name: &str) -> &'a str {
    let value = answer.headers().get(name);
    value.and_then(|it| it.to_str().ok()).unwrap_or_default()
}

/// Runs of a key, as the backend servers recorded them.
pub fn runs_of(fleet: &Fleet, key: &str) -> usize {
    let runs = fleet.backends.runs();
    runs.iter().filter(|it| it.key.as_deref() == Some(key)).count()
}

/// Waits until `done` holds, for ten seconds at most.
pub async fn eventually(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + Duration::from_secs(10);
    while !done().await {
        assert!(tokio::time::Instant::now() < end, "never came: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
