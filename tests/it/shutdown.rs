//! A graceful shutdown cuts off no request that can complete in time.

use std::time::Duration;

use bench::{eventually, fleet::is_ready};
use nix::sys::signal::Signal;
use stand_ins::{Call, server::Fault};

use crate::testbed::{add_upload_route, call, fleet, model_call};

#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_complete_and_idle_connections_are_closed_during_a_shutdown() {
    let mut fleet = fleet(1).await;
    let mut streaming = fleet.caller(0).await.unwrap();
    streaming.send(&model_call("/chat/7", "during").to_bytes()).await.unwrap();
    eventually("the stream is executed", async || fleet.execution_count("during") == 1).await;
    let mut idle = fleet.caller(0).await.unwrap();
    assert_eq!(idle.call(&call("GET", "/status/7", "before")).await.unwrap().status(), 200);
    fleet.instances[0].signal(Signal::SIGTERM);
    eventually("the instance is not ready", async || !is_ready(&fleet.instances[0]).await).await;
    // Callers still connect until the load balancer has noticed that the instance is not ready.
    let mut late = fleet.caller(0).await.unwrap();
    idle.closed().await;
    let response = late.call(&call("GET", "/status/7", "late")).await.unwrap();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    let response = streaming.read_response("POST").await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true));
    let exit_status = fleet.instances[0].wait_for_exit(Duration::from_secs(15)).await.unwrap();
    assert!(exit_status.success());
    assert!(fleet.instances[0].log().contains("\"cut\":0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_end_before_the_shutdown_is_refused_as_not_run() {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(Fault::Hangs);
    }
    let mut hanging = fleet.caller(0).await.unwrap();
    hanging.send(&model_call("/chat/7", "held").to_bytes()).await.unwrap();
    eventually("the stream is executed", async || fleet.execution_count("held") == 1).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let mut late = fleet.caller(0).await.unwrap();
    let response = late.call(&model_call("/chat/7", "late")).await.unwrap();
    assert_eq!((response.status(), response.header("x-sesamelock-code")), (503, Some("1014")));
    assert_eq!(fleet.execution_count("late"), 0);
}

// For an operator at a terminal. SIGTERM, which platforms repeat, changes nothing when it comes
// again.
#[tokio::test(flavor = "multi_thread")]
async fn sigint_during_a_shutdown_ends_the_process_at_once() {
    let mut fleet = fleet(1).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.instances[0].signal(Signal::SIGINT);
    let exit_status = fleet.instances[0].wait_for_exit(Duration::from_secs(2)).await.unwrap();
    assert!(exit_status.success());
}

/// Sends requests on new connections until connecting fails. Returns the attempt ids of the
/// requests that a server executed and that received no complete response.
async fn unanswered(fleet: &bench::Fleet, caller_number: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    for i in 0.. {
        let Ok(mut caller) = fleet.caller(0).await else {
            break;
        };
        let attempt_id = format!("end-{caller_number}-{i}");
        let response = caller.call(&call("GET", "/status/7", &attempt_id)).await;
        if !response.is_ok_and(|it| it.is_complete) && fleet.execution_count(&attempt_id) > 0 {
            unanswered.push(attempt_id);
        }
    }
    unanswered
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_that_arrives_just_before_the_exit_is_cut_off() {
    let fleet = fleet(1).await;
    fleet.store.set_fault(stand_ins::store::Fault::Silent);
    fleet.instances[0].signal(Signal::SIGTERM);
    let callers = (0..8).map(|caller_number| unanswered(&fleet, caller_number));
    let unanswered: Vec<String> =
        futures::future::join_all(callers).await.into_iter().flatten().collect();
    assert_eq!(unanswered, Vec::<String>::new());
}

/// Time in which the instance has read the head of a request: one whose head comes later may be
/// refused.
const HEAD_READ_TIME: Duration = Duration::from_millis(300);

/// The start of a request with a body of ten bytes, five of which are missing.
fn half_request(attempt_id: &str) -> Vec<u8> {
    let whole = Call { body: "0123456789".into(), ..call("POST", "/upload/7", attempt_id) };
    let mut bytes = whole.to_bytes();
    bytes.truncate(bytes.len() - 5);
    bytes
}

// A request whose body was still being received did not count as in flight, so the instance
// exited while the caller was sending it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_slow_body_is_served_during_a_shutdown() {
    let mut fleet = fleet(1).await;
    add_upload_route(&fleet, "non_idempotent", 1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&half_request("slow")).await.unwrap();
    tokio::time::sleep(HEAD_READ_TIME).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    // Longer than a shutdown takes without requests.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    caller.send(b"56789").await.unwrap();
    let response = caller.read_response("POST").await.unwrap();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    let exit_status = fleet.instances[0].wait_for_exit(Duration::from_secs(5)).await.unwrap();
    assert!(exit_status.success());
}

// Without an answer, the caller does not know whether it may repeat the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_stays_incomplete_is_refused_before_the_exit() {
    let fleet = fleet(1).await;
    add_upload_route(&fleet, "non_idempotent", 1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&half_request("incomplete")).await.unwrap();
    tokio::time::sleep(HEAD_READ_TIME).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    let response = caller.read_response("POST").await.unwrap();
    assert_eq!((response.status(), response.header("x-sesamelock-code")), (503, Some("1014")));
    assert_eq!(fleet.execution_count("incomplete"), 0);
}

/// Time between a response and the next request on the same connection.
const PAUSE: Duration = Duration::from_millis(5);

/// Sends requests on one connection after the other until connecting fails. Returns the attempt
/// ids of the requests that got no response, though others were answered on their connection
/// and it was open when they were sent.
async fn unanswered_in_use(fleet: &bench::Fleet, caller_number: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    for connection in 0.. {
        let Ok(mut caller) = fleet.caller(0).await else {
            break;
        };
        for i in 0.. {
            let attempt_id = format!("use-{caller_number}-{connection}-{i}");
            match caller.call(&call("POST", "/book/7", &attempt_id)).await {
                Ok(response) if response.header("connection") == Some("close") => break,
                Ok(_) => tokio::time::sleep(PAUSE).await,
                Err(_) if i == 0 => break,
                Err(_) => unanswered.push(attempt_id),
            }
            if !caller.is_idle() {
                break;
            }
        }
    }
    unanswered
}

// Connections that were idle for the few milliseconds between two requests were closed at once,
// while their next request was in transit.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_connections_in_use_are_answered_during_a_shutdown() {
    let fleet = fleet(1).await;
    let callers = (0..64).map(|caller_number| unanswered_in_use(&fleet, caller_number));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fleet.instances[0].signal(Signal::SIGTERM);
    };
    let (unanswered, ()) = tokio::join!(futures::future::join_all(callers), stop);
    let unanswered: Vec<String> = unanswered.into_iter().flatten().collect();
    assert_eq!(unanswered, Vec::<String>::new());
}

// The second of two requests that a caller sends without waiting is in the buffer of the instance
// while the first is served, when the shutdown starts.
#[tokio::test(flavor = "multi_thread")]
async fn a_pipelined_request_is_served_during_a_shutdown() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let mut both = model_call("/chat/7", "first").to_bytes();
    both.extend_from_slice(&call("GET", "/status/7", "second").to_bytes());
    caller.send(&both).await.unwrap();
    eventually("the first is executed", async || fleet.execution_count("first") == 1).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    let first = caller.read_response("POST").await.unwrap();
    assert_eq!((first.status(), first.is_complete), (200, true));
    let second = caller.read_response("GET").await.unwrap();
    assert_eq!((second.status(), second.header("connection")), (200, Some("close")));
}

// A request behind a response that announces the close is not answered, so it must not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_behind_the_last_response_of_a_connection_is_not_executed() {
    let fleet = fleet(1).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    eventually("the instance is not ready", async || !is_ready(&fleet.instances[0]).await).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let mut both = call("POST", "/book/7", "first").to_bytes();
    both.extend_from_slice(&call("POST", "/book/7", "second").to_bytes());
    caller.send(&both).await.unwrap();
    let first = caller.read_response("POST").await.unwrap();
    assert_eq!((first.status(), first.header("connection")), (200, Some("close")));
    caller.closed().await;
    assert_eq!((fleet.execution_count("first"), fleet.execution_count("second")), (1, 0));
}
