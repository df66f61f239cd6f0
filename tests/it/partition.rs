//! Links between instances that are cut, or fall silent while open.

use std::time::{Duration, Instant};

use bench::Fleet;
use reqwest::Method;
use sl_base::{listing::ListedInstance, status::FleetStatus};
use stand_ins::Relay;

use crate::bed::{booking, chat, eventually, options, runs_of};

/// Two instances, each of which the other reaches through a relay only.
struct Pair {
    fleet: Fleet,
    relays: Vec<Relay>,
}

async fn pair() -> Pair {
    let mut fleet = Fleet::prepare(options(2)).await.unwrap();
    let text = fleet.site.text();
    fleet.accept(&text).await.unwrap();
    let mut relays = Vec::new();
    for instance in &mut fleet.instances {
        let any = "127.0.0.1:0".parse().unwrap();
        let relay = Relay::start(any, instance.control).await.unwrap();
        fleet
            .platform
            .list_instance(ListedInstance { control: relay.address(), ..instance.listed() });
        relays.push(relay);
        instance.start().unwrap();
    }
    fleet.ready(Duration::from_secs(10)).await.unwrap();
    let pair = Pair { fleet, relays };
    pair.until_alive().await;
    pair
}

impl Pair {
    /// What each instance holds the other for.
    async fn seen(&self) -> Vec<String> {
        let mut seen = Vec::new();
        for at in 0..2 {
            let call = self.fleet.operate(at, Method::GET, "/status");
            let status: FleetStatus = call.send().await.unwrap().json().await.unwrap();
            let name = &self.fleet.instances[at].name;
            let own = status.instances.iter().find(|it| it.name == *name);
            let members = own.map(|it| it.members.as_slice()).unwrap_or_default();
            seen.extend(members.iter().map(|it| it.status.clone()));
        }
        seen
    }

    async fn until_alive(&self) {
        eventually("both alive", async || self.seen().await == ["alive", "alive"]).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn links_that_fall_silent_are_replaced_and_nobody_is_blamed() {
    let pair = pair().await;
    for relay in &pair.relays {
        relay.silence_old();
    }
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end {
        assert_eq!(pair.seen().await, ["alive", "alive"]);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn both_sides_of_a_partition_serve_and_no_key_runs_twice() {
    let mut pair = pair().await;
    for relay in &pair.relays {
        relay.silence();
    }
    eventually("the partition is noticed", async || {
        let seen = pair.seen().await;
        seen.iter().all(|it| it != "alive")
    })
    .await;
    let mut calls = Vec::new();
    for n in 0..20 {
        for at in 0..2 {
            let call = booking(&pair.fleet, at, &format!("split-{n}"));
            calls.push(tokio::spawn(call.send()));
        }
    }
    for call in calls {
        call.await.unwrap().unwrap();
    }
    for n in 0..20 {
        assert_eq!(runs_of(&pair.fleet, &format!("split-{n}")), 1);
    }
    for at in 0..2 {
        let answer = chat(&pair.fleet, at, 4).send().await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    let text = pair.fleet.site.text().replace("share = 8", "share = 7");
    let revision = pair.fleet.accept(&text).await.unwrap();
    let start = Instant::now();
    for at in 0..2 {
        eventually("the revision on both sides", async || {
            let text = pair.fleet.metrics(at).await.unwrap();
            text.contains(&format!("sesamelock_config_revision {revision}\n"))
        })
        .await;
    }
    assert!(start.elapsed().as_secs() < 4, "{:?}", start.elapsed());
    for relay in &pair.relays {
        relay.heal();
    }
    let start = Instant::now();
    pair.until_alive().await;
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
}
