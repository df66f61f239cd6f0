use std::time::Duration;

use stand_ins::{Platform, platform::Options};
use tokio::time::Instant;

use crate::support::{http, until};

const SPAN_MS: u64 = 400;

#[tokio::test]
async fn a_key_lasts_as_long_as_its_lease() {
    let platform = Platform::start(Options::default()).await.unwrap();
    let url = |path: &str| format!("{}{path}", platform.url());
    let grant = http().post(url(&format!("/lease?ttl-ms={SPAN_MS}")));
    let lease = grant.send().await.unwrap().text().await.unwrap();
    let put = |key: &str| {
        http().put(url(key)).header("If-None-Match", "*").header("X-Lease", lease.clone()).body("v")
    };
    assert_eq!(put("/kv/k").send().await.unwrap().status(), 200);
    let renew = || http().post(url(&format!("/lease/{lease}"))).send();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(2 * SPAN_MS) {
        assert_eq!(renew().await.unwrap().status(), 200);
        tokio::time::sleep(Duration::from_millis(SPAN_MS / 8)).await;
    }
    let read = || http().get(url("/kv/k")).send();
    assert_eq!(read().await.unwrap().status(), 200, "it outlived one span");
    until("the key is gone", async || read().await.unwrap().status() == 404).await;
    assert_eq!(renew().await.unwrap().status(), 404);
    assert_eq!(put("/kv/k").send().await.unwrap().status(), 410);
}

#[tokio::test]
async fn a_write_says_what_it_is_based_on() {
    let platform = Platform::start(Options::default()).await.unwrap();
    let url = format!("{}/kv/k", platform.url());
    let blind = http().put(&url).body("v").send().await.unwrap();
    assert_eq!(blind.status(), 428);
    assert_eq!(platform.counters().keys, 0);
}
