//! The operators' commands against real daemons.

use std::process::{Command, Output};

use bench::{Fleet, eventually, instance::OPERATOR_KEY};

use crate::bed::{call, fleet, generate};

fn operate(fleet: &Fleet, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sesamelock"))
        .args(args)
        .env("SESAMELOCK_OPERATOR_KEY", OPERATOR_KEY)
        .env("SESAMELOCK_INSTANCE", format!("http://{}", fleet.instances[0].operator))
        .output()
        .unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_names_every_instance_and_server() {
    let fleet = fleet(3).await;
    eventually("a whole status", async || {
        let text = text(&operate(&fleet, &["status"]));
        let names = ["instance-0", "instance-1", "instance-2", "app-0", "engine-1"];
        names.iter().all(|it| text.contains(it)) && !text.contains("no answer")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_covers_what_other_instances_served() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller(1).await.unwrap();
    assert_eq!(caller.call(&generate("/chat/7", "a")).await.unwrap().status(), 200);
    eventually("the other's request", async || {
        let text = text(&operate(&fleet, &["report"]));
        text.contains("brewers") && text.contains("chat")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_begins_a_planned_stop() {
    let mut fleet = fleet(1).await;
    let address = format!("http://{}", fleet.instances[0].operator);
    let drained = operate(&fleet, &["drain", &address]);
    assert!(drained.status.success(), "{drained:?}");
    let ended = fleet.instances[0].ended(std::time::Duration::from_secs(15)).await;
    assert!(ended.unwrap().success());
}

async fn metrics(fleet: &Fleet) -> String {
    let mut probe = stand_ins::Caller::connect(fleet.instances[0].metrics).await.unwrap();
    probe.send(b"GET /metrics HTTP/1.1\r\nHost: probe\r\n\r\n").await.unwrap();
    probe.read_response("GET").await.unwrap().text().to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_outcomes() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    caller.call(&call("GET", "/nowhere/", "b")).await.unwrap();
    // Gauges of what grows old are set once a second.
    let left = "sesamelock_retries_left{name=";
    eventually("gauges", async || metrics(&fleet).await.contains(left)).await;
    let text = metrics(&fleet).await;
    for wanted in [
        "sesamelock_requests_total{route=\"status\",outcome=\"answered\"} 1",
        "sesamelock_store_calls_total{name=\"range 200\"}",
        "sesamelock_first_byte_seconds_count{name=\"status\"} 1",
        "sesamelock_document_version 1",
        "sesamelock_team_requests_total{name=\"brewers\",outcome=\"answered\"} 1",
        "outcome=\"begun\"} 1",
        "sesamelock_document_age_seconds ",
        "sesamelock_store_age_seconds ",
        "sesamelock_peer_age_seconds ",
        "sesamelock_lines_left_out_total 0",
    ] {
        assert!(text.contains(wanted), "{wanted} is not in\n{text}");
    }
}
