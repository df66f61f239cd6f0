//! Failures of instances and of network links.

use std::time::Duration;

use bench::{eventually, fleet::is_ready};
use nix::sys::signal::Signal;
use stand_ins::{document, store};

use crate::testbed::{call, fleet, model_call};

#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_that_was_killed_recovers_from_the_store_alone() {
    let mut fleet = fleet(3).await;
    for instance in &mut fleet.instances {
        instance.kill();
    }
    for instance in &mut fleet.instances {
        instance.start().unwrap();
    }
    fleet.wait_until_ready().await;
    for i in 0..3 {
        let mut caller = fleet.caller(i).await.unwrap();
        assert_eq!(caller.call(&call("GET", "/status/7", "a")).await.unwrap().status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_configuration_refuses_requests_and_is_not_ready() {
    let mut fleet = fleet(1).await;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.instances[0].kill();
    fleet.instances[0].start().unwrap();
    eventually("the caller port accepts connections", async || fleet.caller(0).await.is_ok()).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    assert_eq!((response.status(), response.header("x-sesamelock-code")), (503, Some("1016")));
    assert!(!is_ready(&fleet.instances[0]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_connection_that_stops_delivering_bytes_is_replaced() {
    let fleet = fleet(1).await;
    fleet.store_relays[0].blackhole();
    let mut document = document::standard(9);
    let added = document::route("added", "idempotent", "app", 2, 1_000);
    document["routes"].as_array_mut().unwrap().push(added);
    fleet.store.put(document::CONFIG_KEY, &document);
    eventually("the new route is served", async || {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.call(&call("GET", "/added/7", "probe")).await.unwrap().status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded_without_dropping_requests() {
    let fleet = fleet(1).await;
    let instance = &fleet.instances[0];
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&model_call("/chat/7", "during").to_bytes()).await.unwrap();
    let text = std::fs::read_to_string(instance.settings()).unwrap();
    std::fs::write(instance.settings(), text.replace("allowance = 58", "allowance = 7")).unwrap();
    instance.signal(Signal::SIGHUP);
    eventually("the settings change is logged", async || {
        instance.log().contains("settings changed")
    })
    .await;
    std::fs::write(instance.settings(), "no settings").unwrap();
    instance.signal(Signal::SIGHUP);
    eventually("the invalid settings are logged", async || {
        instance.log().contains("invalid settings ignored")
    })
    .await;
    let response = caller.read_response("POST").await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true));
    assert_eq!(caller.call(&call("GET", "/status/7", "after")).await.unwrap().status(), 200);
}

// The sum of the weights of a route's services overflowed, which ended the connection of each
// request of the route without a response (debug build).
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_if_the_weights_of_their_services_are_the_largest() {
    let fleet = fleet(1).await;
    let mut config = document::standard(2);
    let share = serde_json::json!({"service": "app", "weight": u32::MAX});
    config["routes"][0]["traffic_split"] = serde_json::json!([share, share]);
    fleet.store.put(document::CONFIG_KEY, &config);
    // Ample time to apply a configuration.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut caller = fleet.caller(0).await.unwrap();
    for i in 0..8 {
        let response = caller.call(&call("GET", "/status/7", &format!("w-{i}"))).await.unwrap();
        assert_eq!(response.status(), 200);
    }
}

// A multiple of a duration overflowed, which ended the connection of a request without a response
// (debug build).
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_if_durations_of_the_configuration_are_enormous() {
    const ENORMOUS_MS: f64 = 1e300;
    let fleet = fleet(1).await;
    let mut config = document::standard(2);
    for route in config["routes"].as_array_mut().unwrap() {
        for name in ["timeout_ms", "target_latency_ms", "target_gap_ms"] {
            route[name] = ENORMOUS_MS.into();
        }
    }
    for name in ["header_timeout_ms", "idle_timeout_ms"] {
        config["limits"][name] = ENORMOUS_MS.into();
    }
    fleet.store.put(document::CONFIG_KEY, &config);
    // Ample time to apply a configuration.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let requests = [
        call("GET", "/status/7", "d-1"),
        call("POST", "/book/7", "d-2"),
        model_call("/chat/7", "d-3"),
        model_call("/sheet/7", "d-4"),
    ];
    let mut caller = fleet.caller(0).await.unwrap();
    for request in requests {
        let response = caller.call(&request).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{request:?}");
    }
}

/// A child process that does not outlive a test which panics.
struct KilledOnDrop(std::process::Child);

impl Drop for KilledOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_log_output_is_not_read() {
    use std::process::{Command, Stdio};
    let fleet = fleet(1).await;
    // A second instance with the same settings but other ports, whose output is not read.
    let text = std::fs::read_to_string(fleet.instances[0].settings()).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("blocked.ini");
    let caller_port = bench::ports::free_port();
    let mut text = text.replace("name = instance-0", "name = blocked");
    for old in
        [&fleet.instances[0].control, &fleet.instances[0].operator, &fleet.instances[0].metrics]
    {
        text = text.replace(&old.to_string(), &bench::ports::free_port().to_string());
    }
    let text = text.replace(&fleet.instances[0].caller.to_string(), &caller_port.to_string());
    std::fs::write(&path, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_sesamelock"))
        .args(["run", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut child = KilledOnDrop(child);
    eventually("the second instance serves requests", async || {
        let Ok(mut caller) = stand_ins::Caller::connect(caller_port).await else {
            return false;
        };
        caller.call(&call("GET", "/status/7", "p")).await.is_ok_and(|it| it.status() == 200)
    })
    .await;
    let mut caller = stand_ins::Caller::connect(caller_port).await.unwrap();
    // Far more log lines than the pipe and the log channel can buffer.
    for i in 0..3_000 {
        let response = caller.call(&call("GET", "/status/7", &format!("l-{i}"))).await.unwrap();
        assert_eq!(response.status(), 200);
        assert!(response.time_to_first_byte < Duration::from_secs(2));
        if response.header("connection") == Some("close") {
            caller = stand_ins::Caller::connect(caller_port).await.unwrap();
        }
    }
    // A reader that starts now is told that log lines are missing.
    let mut stdout = child.0.stdout.take().unwrap();
    let reader = std::thread::spawn(move || {
        let mut output = String::new();
        let _ = std::io::Read::read_to_string(&mut stdout, &mut output);
        output
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    drop(child);
    // The rate of requests decides which limit is reached first: that on lines per second or
    // that on buffered bytes. `sl-edge` tests each limit alone.
    let text = reader.join().unwrap();
    let notices = ["log lines dropped", "lines left out"];
    assert!(notices.iter().any(|it| text.contains(it)), "{text}");
}
