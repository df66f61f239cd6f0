//! Instances and links that fail.

use std::time::Duration;

use bench::{eventually, fleet::is_ready};
use nix::sys::signal::Signal;
use stand_ins::{document, store};

use crate::bed::{call, fleet, generate};

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_fleet_comes_back_from_the_store_alone() {
    let mut fleet = fleet(3).await;
    for instance in &mut fleet.instances {
        instance.kill();
    }
    for instance in &mut fleet.instances {
        instance.start().unwrap();
    }
    fleet.ready().await;
    for at in 0..3 {
        let mut caller = fleet.caller(at).await.unwrap();
        assert_eq!(caller.call(&call("GET", "/status/7", "a")).await.unwrap().status(), 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_knows_no_configuration_says_so_and_is_not_ready() {
    let mut fleet = fleet(1).await;
    fleet.store.set_fault(store::Fault::Silent);
    fleet.instances[0].kill();
    fleet.instances[0].start().unwrap();
    eventually("the port is open", async || fleet.caller(0).await.is_ok()).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let answer = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    assert_eq!((answer.status(), answer.header("x-sesamelock-code")), (503, Some("1016")));
    assert!(!is_ready(&fleet.instances[0]).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_connection_that_falls_silent_is_replaced() {
    let fleet = fleet(1).await;
    fleet.store_relays[0].blackhole();
    let mut document = document::standard(9);
    let added = document::route("added", "idempotent", "app", 2, 1_000);
    document["routes"].as_array_mut().unwrap().push(added);
    fleet.store.put(document::CONFIG_KEY, &document);
    eventually("the new route", async || {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.call(&call("GET", "/added/7", "probe")).await.unwrap().status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_read_again_and_nothing_is_dropped() {
    let fleet = fleet(1).await;
    let instance = &fleet.instances[0];
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&generate("/chat/7", "during").to_bytes()).await.unwrap();
    let text = std::fs::read_to_string(instance.settings()).unwrap();
    std::fs::write(instance.settings(), text.replace("allowance = 58", "allowance = 7")).unwrap();
    instance.signal(Signal::SIGHUP);
    eventually("the change is logged", async || instance.log().contains("settings changed")).await;
    std::fs::write(instance.settings(), "no settings").unwrap();
    instance.signal(Signal::SIGHUP);
    eventually("the fault is logged", async || instance.log().contains("invalid settings ignored"))
        .await;
    let answer = caller.read_response("POST").await.unwrap();
    assert_eq!((answer.status(), answer.is_complete), (200, true));
    assert_eq!(caller.call(&call("GET", "/status/7", "after")).await.unwrap().status(), 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_stops_no_request() {
    use std::process::{Command, Stdio};
    let fleet = fleet(1).await;
    // A second daemon with the same settings but other ports, whose output is never read.
    let text = std::fs::read_to_string(fleet.instances[0].settings()).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("blocked.ini");
    let caller_port = bench::instance::free_port();
    let mut text = text.replace("name = instance-0", "name = blocked");
    for old in
        [&fleet.instances[0].control, &fleet.instances[0].operator, &fleet.instances[0].metrics]
    {
        text = text.replace(&old.to_string(), &bench::instance::free_port().to_string());
    }
    let text = text.replace(&fleet.instances[0].caller.to_string(), &caller_port.to_string());
    std::fs::write(&path, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_sesamelock"))
        .args(["run", "--settings"])
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    eventually("it serves", async || {
        let Ok(mut caller) = stand_ins::Caller::connect(caller_port).await else {
            return false;
        };
        caller.call(&call("GET", "/status/7", "p")).await.is_ok_and(|it| it.status() == 200)
    })
    .await;
    let mut caller = stand_ins::Caller::connect(caller_port).await.unwrap();
    // Far more lines than a pipe and the channel before it hold.
    for at in 0..3_000 {
        let answer = caller.call(&call("GET", "/status/7", &format!("l-{at}"))).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert!(answer.time_to_first_byte < Duration::from_secs(2));
    }
    // Whoever begins to read finds out how much is missing.
    let mut out = child.stdout.take().unwrap();
    let reading = std::thread::spawn(move || {
        let mut all = String::new();
        let _ = std::io::Read::read_to_string(&mut out, &mut all);
        all
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    child.kill().unwrap();
    child.wait().unwrap();
    // How fast requests come decides which bound comes first, that on lines a second or that
    // on bytes that wait; `sl-edge` tests each alone.
    let text = reading.join().unwrap();
    let tells = ["log lines dropped", "lines left out"];
    assert!(tells.iter().any(|it| text.contains(it)), "{text}");
}
