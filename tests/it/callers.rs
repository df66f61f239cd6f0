//! Callers that disconnect, and callers that reuse their connections.

use std::time::Duration;

use bench::eventually;
use futures::future::join_all;
use nix::sys::signal::Signal;
use stand_ins::{Call, Server, document, server::Fault};

use crate::testbed::{call, fleet, model_call};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_soon_after_its_caller_disconnects() {
    let fleet = fleet(1).await;
    for server in &fleet.servers {
        server.set_fault(Fault::Hangs);
    }
    let in_flight = || fleet.servers.iter().map(Server::in_flight).sum::<usize>();
    for call in [call("GET", "/status/7", "gone-1"), model_call("/chat/7", "gone-2")] {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.send(&call.to_bytes()).await.unwrap();
        eventually("the request is in flight", async || in_flight() == 1).await;
        let disconnected_at = std::time::Instant::now();
        drop(caller);
        eventually("the request is cancelled", async || in_flight() == 0).await;
        assert!(disconnected_at.elapsed().as_millis() < 500, "{:?}", disconnected_at.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_request_on_a_reused_connection_uses_the_current_configuration() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let first = caller.call(&call("GET", "/status/7", "kept-1")).await.unwrap();
    assert_eq!(first.status(), 200);
    let mut document = document::standard(2);
    document["tenants"][0]["api_keys"] = serde_json::json!([]);
    fleet.store.put(document::CONFIG_KEY, &document);
    eventually("the key is refused on a new connection", async || {
        let mut other = fleet.caller(0).await.unwrap();
        other.call(&call("GET", "/status/7", "probe")).await.unwrap().status() == 401
    })
    .await;
    let second = caller.call(&call("GET", "/status/7", "kept-2")).await.unwrap();
    assert_eq!(second.status(), 401);
    assert_eq!(fleet.execution_count("kept-2"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let mut bytes = call("GET", "/status/1", "ahead-1").to_bytes();
    bytes.extend(call("GET", "/status/2", "ahead-2").to_bytes());
    caller.send(&bytes).await.unwrap();
    for attempt_id in ["ahead-1", "ahead-2"] {
        let response = caller.read_response("GET").await.unwrap();
        assert_eq!((response.status(), response.header("x-attempt-id")), (200, Some(attempt_id)));
    }
}

// The sizes that a caller states for the parts of its prompt are added up. A sum over 32 bits ended
// the connection without a response (debug build).
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_whatever_sizes_its_prompt_parts_state() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let parts =
        ["a1:1000,b2:400", "a1:4294967295,b2:4294967295", "c3:4294967295", "a1:1000,b2:400"];
    for (i, parts) in parts.into_iter().enumerate() {
        let request = model_call("/chat/7", &format!("size-{i}"));
        let request = Call { prompt: Some((1_400, 60, parts.to_owned())), ..request };
        assert_eq!(caller.call(&request).await.unwrap().status(), 200);
    }
}

/// More connections than a small instance serves within the time that callers wait.
const MANY_CONNECTIONS: usize = 400;

/// How long a caller tries to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What an instance of 0.09 cores reads within a second, at half a millisecond of a core for each request.
const WAITING_MAX: usize = 180;

// Guards against callers that wait until their deadline behind a thousand others at a late instance, whose
// tick, which would find it late, waits there as well: in a trial of issue 54 it was silent for five seconds.
#[tokio::test(flavor = "multi_thread")]
async fn no_more_callers_wait_at_a_suspended_instance_than_a_small_one_serves_in_a_second() {
    let fleet = fleet(1).await;
    let address = fleet.instances[0].caller;
    fleet.instances[0].signal(Signal::SIGSTOP);
    let connect = || tokio::time::timeout(CONNECT_TIMEOUT, tokio::net::TcpStream::connect(address));
    let connections = join_all((0..MANY_CONNECTIONS).map(|_| connect())).await;
    let waiting = connections.iter().filter(|it| matches!(it, Ok(Ok(_)))).count();
    fleet.instances[0].signal(Signal::SIGCONT);
    assert!((1..=WAITING_MAX).contains(&waiting), "{waiting}");
}
