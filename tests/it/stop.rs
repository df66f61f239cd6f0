//! A planned stop cuts nothing off that it can finish.

use std::time::Duration;

use bench::{eventually, fleet::is_ready};
use nix::sys::signal::Signal;
use stand_ins::server::Fault;

use crate::bed::{call, fleet, generate};

#[tokio::test(flavor = "multi_thread")]
async fn what_is_under_way_is_finished_and_connections_end_in_order() {
    let mut fleet = fleet(1).await;
    let mut streaming = fleet.caller(0).await.unwrap();
    streaming.send(&generate("/chat/7", "during").to_bytes()).await.unwrap();
    let mut idle = fleet.caller(0).await.unwrap();
    assert_eq!(idle.call(&call("GET", "/status/7", "before")).await.unwrap().status(), 200);
    fleet.instances[0].signal(Signal::SIGTERM);
    eventually("it is not ready", async || !is_ready(&fleet.instances[0]).await).await;
    idle.closed().await;
    // Until the balancer has noticed, callers still come.
    let mut late = fleet.caller(0).await.unwrap();
    let answer = late.call(&call("GET", "/status/7", "late")).await.unwrap();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    let answer = streaming.read_response("POST").await.unwrap();
    assert_eq!((answer.status(), answer.is_complete), (200, true));
    let ended = fleet.instances[0].ended(Duration::from_secs(15)).await.unwrap();
    assert!(ended.success());
    assert!(fleet.instances[0].log().contains("\"cut\":0"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_would_not_end_in_time_is_refused_as_not_run() {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(Fault::Hangs);
    }
    let mut held = fleet.caller(0).await.unwrap();
    held.send(&generate("/chat/7", "held").to_bytes()).await.unwrap();
    fleet.instances[0].signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let mut late = fleet.caller(0).await.unwrap();
    let answer = late.call(&generate("/chat/7", "late")).await.unwrap();
    assert_eq!((answer.status(), answer.header("x-sesamelock-code")), (503, Some("1014")));
    assert_eq!(fleet.runs_of("late"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_it_at_once() {
    let mut fleet = fleet(1).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    let ended = fleet.instances[0].ended(Duration::from_secs(2)).await.unwrap();
    assert!(ended.success());
}

/// Sends requests on new connections until none comes about any more; gives those that a
/// server ran and that got no whole answer.
async fn unanswered(fleet: &bench::Fleet, who: usize) -> Vec<String> {
    let mut unanswered = Vec::new();
    for at in 0.. {
        let Ok(mut caller) = fleet.caller(0).await else {
            break;
        };
        let attempt = format!("end-{who}-{at}");
        let answer = caller.call(&call("GET", "/status/7", &attempt)).await;
        if !answer.is_ok_and(|it| it.is_complete) && fleet.runs_of(&attempt) > 0 {
            unanswered.push(attempt);
        }
    }
    unanswered
}

#[tokio::test(flavor = "multi_thread")]
async fn no_request_that_came_at_the_very_end_is_cut_off() {
    let fleet = fleet(1).await;
    fleet.store.set_fault(stand_ins::store::Fault::Silent);
    fleet.instances[0].signal(Signal::SIGTERM);
    let callers = (0..8).map(|who| unanswered(&fleet, who));
    let unanswered: Vec<String> =
        futures::future::join_all(callers).await.into_iter().flatten().collect();
    assert_eq!(unanswered, Vec::<String>::new());
}
