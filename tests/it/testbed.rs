//! Starts fleets and builds requests for the tests.

use std::{path::Path, time::Duration};

use bench::{
    Fleet, Instance,
    fleet::{Options, eventually},
};
use serde_json::json;
use stand_ins::{Call, Response, document, server::Fault};

/// Starts a fleet of `instances` with two plain backend servers and two model engines.
pub async fn fleet(instances: usize) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_sesamelock")).to_owned();
    Fleet::start(Options { binary, instances, apps: 2, engines: 2 }).await.unwrap()
}

/// Starts a fleet with one instance whose graceful shutdown ends within `stop_within`.
pub async fn fleet_stopping_within(stop_within: Duration) -> Fleet {
    let mut fleet = fleet(1).await;
    let instance = &mut fleet.instances[0];
    instance.kill();
    instance.set_stop_within(stop_within).unwrap();
    instance.start().unwrap();
    fleet.wait_until_ready().await;
    fleet
}

/// Has an operator stop the first instance within `within`.
pub async fn drain(fleet: &Fleet, within: Duration) {
    fleet.instances[0].drain(Some(within)).await.unwrap();
}

/// Adds the route `/upload/` of `kind`, whose requests may take longer than a shutdown, and may be
/// sent to as many servers as `attempts`.
pub async fn add_upload_route(fleet: &Fleet, kind: &str, attempts: u32) {
    let mut config = document::standard(2);
    let route = document::route("upload", kind, "app", attempts, 8_000);
    config["routes"].as_array_mut().unwrap().push(route);
    fleet.store.put(document::CONFIG_KEY, &config);
    eventually("the new route is served", async || {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.call(&call("POST", "/upload/7", "probe")).await.unwrap().status() == 200
    })
    .await;
}

/// A request of the team `brewers`.
pub fn call(method: &'static str, target: &str, attempt_id: &str) -> Call {
    let call = Call::new(method, document::HOST, target, attempt_id);
    Call { api_key: Some(document::BREWERS_KEY.to_owned()), ..call }
}

/// A model request of the team `brewers`.
pub fn model_call(target: &str, attempt_id: &str) -> Call {
    let prompt = Some((1_400, 60, "a1:1000,b2:400".to_owned()));
    Call { prompt, ..call("POST", target, attempt_id) }
}

/// The metrics of the first instance.
pub async fn metrics(fleet: &Fleet) -> String {
    let mut probe = stand_ins::Caller::connect(fleet.instances[0].metrics).await.unwrap();
    probe.send(b"GET /metrics HTTP/1.1\r\nHost: probe\r\n\r\n").await.unwrap();
    probe.read_response("GET").await.unwrap().text().to_owned()
}

/// Streams that are begun in a test; enough for both engines to get some.
const STREAMS: usize = 8;

/// A fleet with one engine of each of two versions. The first breaks off its streams.
pub async fn fleet_of_two_versions(instances: usize) -> Fleet {
    let fleet = fleet(instances).await;
    let second = fleet.engines().nth(1).unwrap();
    second.set_version(json!("v2"));
    second.register(&fleet.store, "ready");
    settle(&fleet).await;
    fleet.engines().next().unwrap().set_fault(Fault::TruncatesResponse);
    fleet
}

/// Waits until all instances have the store's entries.
pub async fn settle(fleet: &Fleet) {
    settle_at(fleet, &fleet.instances).await;
}

/// Waits until these instances have the store's entries.
pub async fn settle_at(fleet: &Fleet, instances: &[Instance]) {
    let revision = fleet.store.revision();
    for instance in instances {
        eventually("the instance has the entries", async || {
            let mut probe = stand_ins::Caller::connect(instance.metrics).await.unwrap();
            probe.send(b"GET /metrics HTTP/1.1\r\nHost: probe\r\n\r\n").await.unwrap();
            let text = probe.read_response("GET").await.unwrap().text().to_owned();
            let value = text.lines().find_map(|it| it.strip_prefix("sesamelock_store_revision "));
            value.and_then(|it| it.parse::<u64>().ok()).is_some_and(|it| it >= revision)
        })
        .await;
    }
}

/// The request by which a caller resumes the stream that its attempt `began` brought.
pub fn resuming(began: &str, attempt_id: &str, response: &Response) -> Call {
    let mut call = model_call("/sheet/7", attempt_id);
    let last = response.event_ids().last().copied().unwrap();
    call.headers.push(("Last-Event-Id", last.to_string()));
    call.headers.push(("Resumes", began.to_owned()));
    call
}

/// Begins streams at the instance with `index`; returns the ids and the responses of those that
/// were cut off after their first events.
pub async fn cut_streams(fleet: &Fleet, index: usize) -> Vec<(String, Response)> {
    let mut cut = Vec::new();
    for number in 0..STREAMS {
        let id = format!("began-{index}-{number}");
        let mut caller = fleet.caller(index).await.unwrap();
        let response = caller.call(&model_call("/sheet/7", &id)).await.unwrap();
        if response.status() == 200 && !response.is_complete {
            cut.push((id, response));
        }
    }
    assert!(!cut.is_empty(), "no stream was sent to the engine that breaks off");
    cut
}
