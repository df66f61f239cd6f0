//! A server that sends nothing for a while and then goes on has not failed.

use std::time::Duration;

use bench::Fleet;
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
