//! Callers that leave, and callers that keep their connections.

use bench::eventually;
use stand_ins::{Server, document, server::Fault};

use crate::bed::{call, fleet, generate};

#[tokio::test(flavor = "multi_thread")]
async fn a_run_ends_soon_after_its_caller_left() {
    let fleet = fleet(1).await;
    for server in &fleet.servers {
        server.set_fault(Fault::Hangs);
    }
    let running = || fleet.servers.iter().map(Server::in_flight).sum::<usize>();
    for call in [call("GET", "/status/7", "gone-1"), generate("/chat/7", "gone-2")] {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.send(&call.to_bytes()).await.unwrap();
        eventually("the request runs", async || running() == 1).await;
        let left = std::time::Instant::now();
        drop(caller);
        eventually("the run ends", async || running() == 0).await;
        assert!(left.elapsed().as_millis() < 500, "{:?}", left.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_kept_connection_knows_the_configuration_of_its_next_request() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let first = caller.call(&call("GET", "/status/7", "kept-1")).await.unwrap();
    assert_eq!(first.status(), 200);
    let mut document = document::standard(2);
    document["tenants"][0]["api_keys"] = serde_json::json!([]);
    fleet.store.put(document::CONFIG_KEY, &document);
    eventually("the key is refused elsewhere", async || {
        let mut other = fleet.caller(0).await.unwrap();
        other.call(&call("GET", "/status/7", "probe")).await.unwrap().status() == 401
    })
    .await;
    let second = caller.call(&call("GET", "/status/7", "kept-2")).await.unwrap();
    assert_eq!(second.status(), 401);
    assert_eq!(fleet.runs_of("kept-2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_sent_ahead_are_answered_in_order() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let mut bytes = call("GET", "/status/1", "ahead-1").to_bytes();
    bytes.extend(call("GET", "/status/2", "ahead-2").to_bytes());
    caller.send(&bytes).await.unwrap();
    for attempt in ["ahead-1", "ahead-2"] {
        let answer = caller.read_response("GET").await.unwrap();
        assert_eq!((answer.status(), answer.header("x-attempt-id")), (200, Some(attempt)));
    }
}
