//! Starts fleets and builds requests for the tests.

use std::path::Path;

use bench::{Fleet, fleet::Options};
use stand_ins::{Call, document};

/// Starts a fleet of `instances` with two plain backend servers and two model engines.
pub async fn fleet(instances: usize) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_sesamelock")).to_owned();
    Fleet::start(Options { binary, instances, apps: 2, engines: 2 }).await.unwrap()
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
