//! The platform's store comes back from an older copy: what was written since is gone, leases too,
//! and its revisions are given out again.

use std::time::Duration;

use bench::{Fleet, eventually};
use stand_ins::document;

use crate::testbed::{call, fleet};

const INSTANCES_PREFIX: &str = "sesamelock/instances/";

async fn status(fleet: &Fleet, instance: usize, target: &str) -> u16 {
    let mut caller = fleet.caller(instance).await.unwrap();
    caller.call(&call("GET", target, "a")).await.unwrap().status()
}

fn with_added_route(version: u64) -> serde_json::Value {
    let mut document = document::standard(version);
    let added = document::route("added", "idempotent", "app", 2, 1_000);
    document["routes"].as_array_mut().unwrap().push(added);
    document
}

async fn wait_until_added_route_is_served(fleet: &Fleet, instance: usize) {
    eventually("the new route is served", async || {
        status(fleet, instance, "/added/7").await == 200
    })
    .await;
}

fn is_registered(fleet: &Fleet, instances: usize) -> bool {
    fleet.store.keys(INSTANCES_PREFIX).len() == instances
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_register_again_in_a_restored_store() {
    let fleet = fleet(3).await;
    eventually("all instances are registered", async || is_registered(&fleet, 3)).await;
    let backup = fleet.store.backup();
    for _ in 0..2 {
        fleet.store.restore(backup.clone());
        assert!(is_registered(&fleet, 0), "the leases are gone");
        let start = std::time::Instant::now();
        eventually("all instances are registered", async || is_registered(&fleet, 3)).await;
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restored_configuration_does_not_replace_the_one_in_force() {
    let mut fleet = fleet(3).await;
    let backup = fleet.store.backup();
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    for index in 0..3 {
        wait_until_added_route_is_served(&fleet, index).await;
    }
    fleet.store.restore(backup);
    tokio::time::sleep(Duration::from_millis(700)).await;
    for index in 0..3 {
        assert_eq!(status(&fleet, index, "/added/7").await, 200);
    }
    // An instance that starts now finds only the earlier one in the store.
    fleet.instances[1].kill();
    fleet.instances[1].start().unwrap();
    fleet.wait_until_ready().await;
    wait_until_added_route_is_served(&fleet, 1).await;
    // A version that is truly new counts, at a revision that was given out before.
    fleet.store.put(document::CONFIG_KEY, &document::standard(6));
    for index in 0..3 {
        eventually("the route is gone", async || status(&fleet, index, "/added/7").await == 404)
            .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_a_restored_store_lacks_are_used_until_they_have_written_again() {
    let fleet = fleet(3).await;
    for server in fleet.apps() {
        fleet.store.remove(&server.key());
    }
    let backup = fleet.store.backup();
    for server in fleet.apps() {
        server.register(&fleet.store, "ready");
    }
    for index in 0..3 {
        eventually("requests are served", async || status(&fleet, index, "/status/7").await == 200)
            .await;
    }
    fleet.store.restore(backup);
    for round in 0..30 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if round == 10 {
            for server in fleet.apps() {
                server.register(&fleet.store, "ready");
            }
        }
        assert_eq!(status(&fleet, round % 3, "/status/7").await, 200, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_left_before_a_restore_gets_no_requests_after() {
    let fleet = fleet(3).await;
    let server = fleet.apps().next().unwrap();
    let backup = fleet.store.backup();
    server.register(&fleet.store, "draining");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = server.executed_requests().len();
    fleet.store.restore(backup);
    for round in 0..20 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(status(&fleet, round % 3, "/status/7").await, 200);
    }
    assert_eq!(server.executed_requests().len(), before);
}
