//! The operators' commands, run against real instances.

use std::process::{Command, Output};

use bench::{Fleet, eventually, instance::OPERATOR_KEY};

use crate::testbed::{call, fleet, metrics, model_call};

pub fn run_command(fleet: &Fleet, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sesamelock"))
        .args(args)
        .env("SESAMELOCK_OPERATOR_KEY", OPERATOR_KEY)
        .env("SESAMELOCK_INSTANCE", format!("http://{}", fleet.instances[0].operator))
        .output()
        .unwrap()
}

pub fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_lists_every_instance_and_server() {
    let fleet = fleet(3).await;
    eventually("the status is complete", async || {
        let stdout_text = stdout_text(&run_command(&fleet, &["status"]));
        let names = ["instance-0", "instance-1", "instance-2", "app-0", "engine-1"];
        names.iter().all(|it| stdout_text.contains(it)) && !stdout_text.contains("no answer")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_covers_requests_that_other_instances_served() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller(1).await.unwrap();
    assert_eq!(caller.call(&model_call("/chat/7", "a")).await.unwrap().status(), 200);
    eventually("the report contains the request", async || {
        let stdout_text = stdout_text(&run_command(&fleet, &["report"]));
        stdout_text.contains("brewers") && stdout_text.contains("chat")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_starts_a_graceful_shutdown() {
    let mut fleet = fleet(1).await;
    let address = format!("http://{}", fleet.instances[0].operator);
    let output = run_command(&fleet, &["drain", &address]);
    assert!(output.status.success(), "{output:?}");
    let exit_status = fleet.instances[0].wait_for_exit(std::time::Duration::from_secs(15)).await;
    assert!(exit_status.unwrap().success());
}

/// Guards against an instance that is late without a figure that says what it was busy with.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_tell_work_for_callers_from_work_for_peers() {
    let fleet = fleet(2).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    caller.call(&call("GET", "/status/7", "b")).await.unwrap();
    eventually("connections, heads and the time for messages are counted", async || {
        let text = metrics(&fleet).await;
        let value = |name: &str| {
            let value = text.lines().find_map(|it| it.strip_prefix(name));
            value.and_then(|it| it.trim().parse::<f64>().ok()).unwrap_or_default()
        };
        let notes = value("sesamelock_note_seconds_total ");
        value("sesamelock_caller_connections_total ") == 1.0
            && value("sesamelock_request_heads_total ") == 2.0
            && notes > 0.0
    })
    .await;
    let log = fleet.instances[0].log();
    let load = log.lines().rfind(|it| it.contains("\"instance load\"")).unwrap();
    for field in ["connections", "heads", "notes_ms"] {
        assert!(load.contains(&format!("\"{field}\":")), "{field}: {load}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_by_outcome() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    caller.call(&call("GET", "/nowhere/", "b")).await.unwrap();
    // Gauges that change as time passes are updated once per second.
    let retries_left = "sesamelock_retries_left{name=";
    eventually("the gauges are set", async || metrics(&fleet).await.contains(retries_left)).await;
    let metrics_text = metrics(&fleet).await;
    for expected in [
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
        assert!(metrics_text.contains(expected), "{expected} is not in\n{metrics_text}");
    }
}
