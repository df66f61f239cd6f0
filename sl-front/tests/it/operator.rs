use std::sync::atomic::Ordering;

use reqwest::Client;
use rstest::rstest;
use sl_base::Millis;

use crate::fake::{OPERATOR_KEY, TestServer};

#[rstest]
#[case("/live", 200)]
#[case("/ready", 200)]
#[case("/metrics", 200)]
#[case("/status", 404)]
#[tokio::test]
async fn the_metrics_port_needs_no_key(#[case] path: &str, #[case] status: u16) {
    let test = TestServer::start().await;
    let url = format!("http://{}{path}", test.server.metrics);
    assert_eq!(reqwest::get(url).await.unwrap().status(), status);
}

#[tokio::test]
async fn an_instance_that_is_not_ready_responds_with_503() {
    let test = TestServer::start().await;
    test.daemon.ready.store(false, Ordering::Relaxed);
    let url = format!("http://{}/ready", test.server.metrics);
    assert_eq!(reqwest::get(url).await.unwrap().status(), 503);
}

#[rstest]
#[case::none(None, 401)]
#[case::another(Some("the caller's key"), 401)]
#[case::right(Some(OPERATOR_KEY), 200)]
#[tokio::test]
async fn the_operator_port_requires_an_operator_key(
    #[case] key: Option<&str>,
    #[case] status: u16,
) {
    let test = TestServer::start().await;
    let mut call = Client::new().get(format!("http://{}/status", test.server.operator));
    if let Some(key) = key {
        call = call.bearer_auth(key);
    }
    assert_eq!(call.send().await.unwrap().status(), status);
}

#[tokio::test]
async fn a_drain_passes_its_timeout_to_the_daemon() {
    let test = TestServer::start().await;
    let url = format!("http://{}/drain", test.server.operator);
    let client = Client::new();
    assert_eq!(client.post(&url).send().await.unwrap().status(), 401);
    for query in ["", "?within_ms=1500"] {
        let call = client.post(format!("{url}{query}"));
        let response = call.bearer_auth(OPERATOR_KEY).send().await.unwrap();
        assert_eq!(response.status(), 202);
    }
    let timeouts = test.daemon.drain_calls.lock().unwrap().clone();
    assert_eq!(timeouts, [None, Some(Millis(1_500))]);
}
