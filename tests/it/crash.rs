//! Strikes against a request that crashes servers reach the instances that never saw it.

use std::time::Duration;

use bench::Fleet;
use reqwest::Method;
use sl_base::Code;
use stand_ins::backends;

use crate::bed::{TEAM, eventually, fleet, header};

/// Within how long every instance knows of strikes.
const SHARED_WITHIN: Duration = Duration::from_secs(3);

async fn crash(fleet: &Fleet, at: usize) -> String {
    let body = format!("{{\"prompt\":\"{}\"}}", backends::CRASH_MARK);
    let call = fleet.call(at, TEAM, Method::POST, "/v1/chat/completions");
    let answer = call.body(body).send().await.unwrap();
    header(&answer, "x-sesamelock-code").to_owned()
}

fn crashes(fleet: &Fleet) -> u32 {
    let servers = fleet.backends.servers();
    servers.iter().map(|it| it.crashes).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_refuses_what_crashed_servers_elsewhere() {
    let fleet = fleet(3).await;
    let refused = Code::CrashesServers.number().to_string();
    eventually("the final answer where it was sent", async || crash(&fleet, 0).await == refused)
        .await;
    tokio::time::sleep(SHARED_WITHIN).await;
    let before = crashes(&fleet);
    for at in 1..3 {
        assert_eq!(crash(&fleet, at).await, refused, "at {at}");
    }
    assert_eq!(crashes(&fleet), before);
}
