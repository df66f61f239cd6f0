//! What servers announce in their responses: that they shut down, or that they want no requests
//! for a while.

use std::time::{Duration, Instant};

use stand_ins::server::Fault;

use crate::testbed::{call, fleet, model_call};

async fn serve_some(fleet: &bench::Fleet, instance: usize, requests: usize) {
    for index in 0..requests {
        let mut caller = fleet.caller(instance).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", &format!("n-{index}"))).await.unwrap();
        assert_eq!(response.status(), 200, "{}", response.text());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_announces_its_shutdown_gets_no_more_requests_from_any_instance() {
    let fleet = fleet(3).await;
    let server = fleet.apps().next().unwrap();
    server.set_fault(Fault::AnnouncesDrain);
    serve_some(&fleet, 0, 6).await;
    assert_eq!(server.executed_requests().len(), 1, "the response announced the shutdown");
    tokio::time::sleep(Duration::from_millis(300)).await;
    for instance in 0..3 {
        serve_some(&fleet, instance, 6).await;
    }
    assert_eq!(server.executed_requests().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_announces_its_shutdown_finishes_its_stream_and_gets_no_other() {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(Fault::AnnouncesDrain);
    }
    let mut statuses = Vec::new();
    for index in 0..6 {
        let mut caller = fleet.caller(0).await.unwrap();
        let request = model_call("/chat/7", &format!("s-{index}"));
        statuses.push(caller.call(&request).await.unwrap().status());
    }
    assert_eq!(statuses, [200, 200, 503, 503, 503, 503], "each engine serves one stream");
    assert!(fleet.engines().all(|it| it.executed_requests().len() == 1));
}

/// The bound is that of the users: two requests between half a second after the response and the
/// end of the pause. The callers' requests are far more.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_asks_for_a_pause_gets_nothing_until_its_end() {
    let fleet = fleet(1).await;
    turn_away(&fleet, Fault::RequestsPause);
    send_for(&fleet, Duration::from_millis(2_500)).await;
    for server in fleet.apps() {
        let times = server.turned_away();
        let log = fleet.instances[0].log();
        assert!((2..=3).contains(&times.len()), "one each second: {times:?}\n{log}");
        for pair in times.windows(2) {
            assert!(pair[1] - pair[0] >= Duration::from_millis(990), "{times:?}\n{log}");
        }
    }
}

fn turn_away(fleet: &bench::Fleet, fault: Fault) {
    for server in fleet.apps() {
        server.set_fault(fault);
    }
}

/// Sends requests for a while, whatever becomes of them.
async fn send_for(fleet: &bench::Fleet, duration: Duration) {
    let start = Instant::now();
    while start.elapsed() < duration {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.call(&call("GET", "/status/7", "w")).await.unwrap();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against callers that are held while all servers ask for a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_at_once_while_all_servers_ask_for_a_pause() {
    let fleet = fleet(1).await;
    turn_away(&fleet, Fault::RequestsPause);
    for index in 0..6 {
        let mut caller = fleet.caller(0).await.unwrap();
        let start = Instant::now();
        let response = caller.call(&call("GET", "/status/7", &format!("p-{index}"))).await.unwrap();
        assert_eq!(response.status(), 503);
        assert!(response.header("Retry-After").is_some());
        assert!(start.elapsed() < Duration::from_millis(300), "{:?}", start.elapsed());
        assert_eq!(fleet.execution_count(&format!("p-{index}")), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_pause_is_ignored_and_logged_once() {
    let fleet = fleet(1).await;
    turn_away(&fleet, Fault::MalformedPause);
    send_for(&fleet, Duration::from_millis(800)).await;
    assert!(fleet.apps().all(|it| it.turned_away().len() > 2), "requests are sent on");
    assert_eq!(fleet.instances[0].log().matches("malformed data ignored").count(), 1);
}
