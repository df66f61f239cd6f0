use std::{
    io::{BufRead, BufReader, Write},
    process::{Child, Command, Stdio},
};

use serde_json::Value;
use stand_ins::Kind;

use crate::support::{http, spec};

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(args: &[&str]) -> (Running, Value) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_stand-ins"))
        .args(args)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let stdout = child.stdout.take().unwrap();
    let running = Running(child);
    BufReader::new(stdout).read_line(&mut line).unwrap();
    (running, serde_json::from_str(&line).unwrap())
}

#[tokio::test]
async fn every_kind_starts_and_says_where() {
    let (_platform, platform) = start(&["platform", "--list-lag-ms", "0"]);
    let listed = r#"{"name":"s","pool":"p","data_centre":"d","address":"127.0.0.1:1","slots":1,"leaving":false}"#;
    let servers = format!("http://{}/admin/servers", platform["admin"].as_str().unwrap());
    let set = http().post(servers).body(listed).send().await.unwrap();
    assert!(set.status().is_success());

    let target = platform["address"].as_str().unwrap();
    let (_relay, relay) = start(&["relay", "--target", target]);
    let list = format!("http://{}/list", relay["address"].as_str().unwrap());
    let list: Value = http().get(list).send().await.unwrap().json().await.unwrap();
    assert_eq!(list["servers"][0]["name"], "s");

    let mut specs = tempfile::NamedTempFile::new().unwrap();
    let text = serde_json::to_vec(&[spec("s", 1, Kind::Plain { service_ms: 0 })]).unwrap();
    specs.write_all(&text).unwrap();
    let path = specs.path().to_str().unwrap();
    let (_backends, backends) = start(&["backends", "--specs", path]);
    let server = backends["servers"][0]["address"].as_str().unwrap();
    let answer = http().get(format!("http://{server}/status")).send().await;
    assert!(answer.unwrap().status().is_success());
}
