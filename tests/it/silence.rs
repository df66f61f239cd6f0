//! A server that sends nothing for a while and then goes on has not failed.

use std::time::Duration;

use bench::Fleet;
use nix::sys::signal::Signal;
use rstest::rstest;
use stand_ins::{Call, Server, server::Fault};

use crate::testbed::{call, fleet, model_call};

/// How long the instances take to learn of a draining server.
const DRAIN_DELAY: Duration = Duration::from_millis(500);

/// A fleet in which one server of the service drains, and the other one has `fault`.
async fn fleet_with_one_server(service: &str, fault: Fault) -> Fleet {
    let fleet = fleet(1).await;
    let servers: Vec<&Server> =
        fleet.servers.iter().filter(|it| it.spec.service == service).collect();
    servers[1].register(&fleet.store, "draining");
    servers[0].set_fault(fault);
    tokio::time::sleep(DRAIN_DELAY).await;
    fleet
}

// Guards against streams that are cut off because their server is silent for longer than a timeout,
// although it would have gone on and no other server takes over.
#[rstest]
#[case::before_the_response(Fault::StallsBeforeResponse)]
#[case::between_events(Fault::StallsBetweenEvents)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_not_cut_off_when_its_server_is_silent_for_a_while(#[case] fault: Fault) {
    let fleet = fleet_with_one_server("model", fault).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&model_call("/sheet/7", "silent")).await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
    assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>());
    assert_eq!(fleet.execution_count("silent"), 1);
}

// Guards against repeatable requests that fail because their server is silent for longer than a
// timeout, although it would have responded and no other server takes over.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_does_not_fail_when_its_server_is_silent_for_a_while() {
    let fleet = fleet_with_one_server("app", Fault::StallsBeforeResponse).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("GET", "/status/7", "silent")).await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
    assert_eq!(fleet.execution_count("silent"), 1);
}

// Guards against waiting for a silent server while another one could respond.
#[rstest]
#[case::stream_before_the_response("engine", Fault::StallsBeforeResponse)]
#[case::stream_between_events("engine", Fault::StallsBetweenEvents)]
#[case::plain("app", Fault::StallsBeforeResponse)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_moves_to_another_server_when_its_server_is_silent(
    #[case] kind: &str,
    #[case] fault: Fault,
) {
    let fleet = fleet(1).await;
    let stalled = fleet.servers.iter().find(|it| it.spec.id == format!("{kind}-0")).unwrap();
    stalled.set_fault(fault);
    let request = |id: &str| -> Call {
        match kind {
            "engine" => model_call("/sheet/7", id),
            _ => call("GET", "/status/7", id),
        }
    };
    let mut caller = fleet.caller(0).await.unwrap();
    let mut moved = 0;
    for index in 0..4 {
        let id = format!("moved-{index}");
        let response = caller.call(&request(&id)).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
        moved += usize::from(fleet.execution_count(&id) == 2);
    }
    assert!(moved > 0, "no request was sent to the stalled server first");
}

/// How long an instance is suspended, until after a silent stream may move.
const STREAM_SUSPENSION: Duration = Duration::from_millis(2_500);

/// How long an instance is suspended, until after a request without a stream may move, and before
/// its timeout.
const REQUEST_SUSPENSION: Duration = Duration::from_millis(800);

/// Suspends the instance for `duration`.
async fn suspend(fleet: &Fleet, duration: Duration) {
    fleet.instances[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(duration).await;
    fleet.instances[0].signal(Signal::SIGCONT);
}

// Guards against streams that move to another server, since the timers of an instance that was
// suspended are due before the events that have arrived meanwhile are read.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_move_when_its_events_arrived_during_a_suspension() {
    let fleet = fleet(1).await;
    let mut callers = Vec::new();
    for index in 0..4 {
        let mut caller = fleet.caller(0).await.unwrap();
        let call = model_call("/sheet/7", &format!("suspended-{index}"));
        caller.send(&call.to_bytes()).await.unwrap();
        callers.push(caller);
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    suspend(&fleet, STREAM_SUSPENSION).await;
    for (index, mut caller) in callers.into_iter().enumerate() {
        let response = caller.read_response("POST").await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>());
        assert_eq!(fleet.execution_count(&format!("suspended-{index}")), 1, "{index}");
    }
}

// Guards against requests that fail although their response arrived during a suspension.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_arrived_during_a_suspension_is_delivered() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::StallsBeforeResponse);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&call("GET", "/status/7", "suspended").to_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    suspend(&fleet, REQUEST_SUSPENSION).await;
    let response = caller.read_response("GET").await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
    assert_eq!(fleet.execution_count("suspended"), 1);
}

// Guards against a stream that is cut off because it moved from a silent server, which would have
// gone on, to one that rejects it or cannot be reached.
#[rstest]
#[case::rejected(true)]
#[case::unreachable(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_a_second_server_that_does_not_take_it(#[case] is_reachable: bool) {
    let fleet = fleet_with_one_server("model", Fault::StallsBetweenEvents).await;
    let second = fleet.engines().nth(1).unwrap();
    second.set_fault(Fault::Full);
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&model_call("/sheet/7", "moved").to_bytes()).await.unwrap();
    tokio::time::sleep(DRAIN_DELAY).await;
    let address = if is_reachable { second.address() } else { bench::ports::free_port() };
    second.register_at(&fleet.store, address, "ready");
    let response = caller.read_response("POST").await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
    assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>());
}
