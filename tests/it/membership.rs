//! Changed, removed and malformed server entries, and configurations, also while the store
//! does not respond.

use std::time::Duration;

use bench::eventually;
use rstest::rstest;
use stand_ins::{document, store::Fault};

use crate::testbed::{call, fleet};

#[rstest]
#[case::draining("draining")]
#[case::removed("removed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_or_removed_server_receives_no_new_requests(#[case] removal: &str) {
    let fleet = fleet(2).await;
    let server = fleet.apps().next().unwrap();
    match removal {
        "draining" => server.register(&fleet.store, "draining"),
        _ => fleet.store.remove(&server.key()),
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = server.executed_requests().len();
    for index in 0..10 {
        let mut caller = fleet.caller(index % 2).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(server.executed_requests().len(), before);
}

#[rstest]
#[case::invalid_json(b"{\"service\":".to_vec())]
#[case::no_address(br#"{"service":"app","state":"ready","slots":6}"#.to_vec())]
#[case::unknown_state(br#"{"service":"app","address":"127.0.0.1:1","state":"odd","slots":6}"#.to_vec())]
#[case::wrong_type(br#"{"service":"app","address":"127.0.0.1:1","state":"ready","slots":"6"}"#.to_vec())]
#[case::born_as_text(
    br#"{"service":"app","address":"127.0.0.1:1","state":"ready","slots":6,"born":"x"}"#.to_vec()
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_server_entry_is_ignored_and_affects_no_other_server(#[case] entry: Vec<u8>) {
    let fleet = fleet(1).await;
    fleet.store.put_bytes("servers/forged", entry);
    fleet.store.put_bytes("servers/", b"{}".to_vec());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut caller = fleet.caller(0).await.unwrap();
    for index in 0..6 {
        let response = caller.call(&call("GET", "/status/7", &format!("b-{index}"))).await.unwrap();
        assert_eq!(response.status(), 200);
        assert_eq!(fleet.execution_count(&format!("b-{index}")), 1);
    }
}

/// Entries of another writer among those of the servers.
fn odd_entries() -> Vec<Vec<u8>> {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let with = |field: &str, value: &str| {
        let entry = r#"{"service":"app","address":"127.0.0.1:1","state":"ready","slots":6}"#;
        format!(r#"{},"{field}":{value}}}"#, entry.trim_end_matches('}'))
    };
    let address =
        |it: &str| format!(r#"{{"service":"app","address":"{it}","state":"ready","slots":6}}"#);
    let entries = [
        nested(20_000),
        with("version", &nested(100)),
        with("warmup_left_ms", "1e308"),
        with("warmup_left_ms", "1e999"),
        with("sequence", "18446744073709551616"),
        with("slots", "4294967295"),
        address("127.0.0.1:0"),
        address("127.0.0.1:70000"),
        address("[fe80::1%lo]:80"),
        address("255.255.255.255:80"),
    ];
    entries.into_iter().map(String::into_bytes).chain([vec![0xff, 0xfe, 0x00]]).collect()
}

// Guards against an odd entry that is there when an instance starts, or that it gets from a peer because the
// store does not respond to it: the process ends, or does not follow the list any more.
#[rstest]
#[case::listed_at_the_start(false)]
#[case::caught_up_from_peers(true)]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_that_are_there_at_the_start_end_no_instance(#[case] from_peers: bool) {
    let mut fleet = fleet(2).await;
    fleet.instances[1].kill();
    for (index, entry) in odd_entries().into_iter().enumerate() {
        fleet.store.put_bytes(&format!("servers/odd-{index}"), entry.clone());
        fleet.store.put_bytes(&format!("sesamelock/instances/odd-{index}"), entry);
    }
    if from_peers {
        fleet.store_relays[1].blackhole();
    }
    fleet.instances[1].start().unwrap();
    fleet.wait_until_ready().await;
    for index in 0..20 {
        let id = format!("odd-{index}");
        let mut caller = fleet.caller(index % 2).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", &id)).await.unwrap();
        assert_eq!(
            (response.status(), fleet.execution_count(&id)),
            (200, 1),
            "{}",
            response.text()
        );
    }
    // A later change is followed all the same.
    let server = fleet.apps().next().unwrap();
    server.register(&fleet.store, "draining");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = server.executed_requests().len();
    for index in 0..10 {
        let mut caller = fleet.caller(index % 2).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", "later")).await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(server.executed_requests().len(), before);
    assert!(fleet.instances.iter_mut().all(|it| it.is_running()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_sent_to_the_address_of_another_server_is_not_executed() {
    let fleet = fleet(1).await;
    let (first, second) = (fleet.apps().next().unwrap(), fleet.apps().nth(1).unwrap());
    // The first server's entry names the address of the second.
    first.register_at(&fleet.store, second.address(), "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut caller = fleet.caller(0).await.unwrap();
    for index in 0..6 {
        let response = caller.call(&call("GET", "/status/7", &format!("c-{index}"))).await.unwrap();
        assert_eq!(response.status(), 200, "{}", response.text());
        assert!(response.text().ends_with("by app-1"));
    }
}

/// The status of a request on the route that [`with_added_route`] adds, at an instance.
pub async fn added_route_status(fleet: &bench::Fleet, index: usize) -> u16 {
    let mut caller = fleet.caller(index).await.unwrap();
    caller.call(&call("GET", "/added/7", "probe")).await.unwrap().status()
}

/// The standard configuration with another route.
pub fn with_added_route(version: u64) -> serde_json::Value {
    let mut document = document::standard(version);
    let added = document::route("added", "idempotent", "app", 2, 1_000);
    document["routes"].as_array_mut().unwrap().push(added);
    document
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_reaches_all_instances_and_is_never_replaced_by_an_older_one() {
    let fleet = fleet(3).await;
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    for index in 0..3 {
        eventually("the new route is served", async || {
            added_route_status(&fleet, index).await == 200
        })
        .await;
    }
    fleet.store.put(document::CONFIG_KEY, &document::standard(4));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for index in 0..3 {
        assert_eq!(added_route_status(&fleet, index).await, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_store_connection_gets_the_configuration_from_its_peers() {
    let fleet = fleet(3).await;
    let blocked_link = stand_ins::relay::Link {
        block_upstream: true,
        block_downstream: true,
        ..Default::default()
    };
    fleet.store_relays[2].set_link(blocked_link);
    let start = std::time::Instant::now();
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    eventually("the new route is served", async || added_route_status(&fleet, 2).await == 200)
        .await;
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Number of occurrences of `message` in the log of an instance.
fn log_count(fleet: &bench::Fleet, index: usize, message: &str) -> usize {
    fleet.instances[index].log().matches(message).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removal_reported_by_a_peer_applies_at_once_even_after_a_local_store_outage() {
    let fleet = fleet(4).await;
    let blocked_link = stand_ins::relay::Link {
        block_upstream: true,
        block_downstream: true,
        ..Default::default()
    };
    let (watch_left, watch_resumed) = ("store watch left to peers", "store watch resumed");
    let is_not_watching =
        |it: &usize| log_count(&fleet, *it, watch_left) > log_count(&fleet, *it, watch_resumed);
    eventually("one instance does not watch the store", async || {
        (0..4).filter(is_not_watching).count() == 1
    })
    .await;
    let non_watching = (0..4).find(is_not_watching).unwrap();
    let watching_peer = (non_watching + 1) % 4;
    // The instance that does not watch the store has to resume its watch when a peer loses the
    // store. It then loses the store itself, and leaves the watch to its peers again once that
    // peer has recovered.
    fleet.store_relays[watching_peer].set_link(blocked_link);
    eventually("the instance watches the store", async || {
        log_count(&fleet, non_watching, watch_resumed) > 0
    })
    .await;
    fleet.store_relays[non_watching].set_link(blocked_link);
    eventually("the instance loses the store", async || {
        log_count(&fleet, non_watching, "store unavailable") > 0
    })
    .await;
    fleet.store_relays[watching_peer].set_link(stand_ins::relay::Link::default());
    eventually("the instance leaves the watch to its peers", async || {
        is_not_watching(&non_watching)
    })
    .await;
    let removed_server = fleet.apps().next().unwrap();
    fleet.store.remove(&removed_server.key());
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = removed_server.executed_requests().len();
    for _ in 0..8 {
        let mut caller = fleet.caller(non_watching).await.unwrap();
        assert_eq!(caller.call(&call("GET", "/status/7", "a")).await.unwrap().status(), 200);
    }
    assert_eq!(removed_server.executed_requests().len(), before);
}

#[rstest]
#[case::silent(Fault::Silent)]
#[case::unavailable(Fault::Unavailable)]
#[case::reset(Fault::ResetsConnections)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_without_the_store(#[case] fault: Fault) {
    let mut fleet = fleet(2).await;
    fleet.store.set_fault(fault);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // An instance that starts now has no source of state but its peer.
    fleet.instances[1].kill();
    fleet.instances[1].start().unwrap();
    fleet.wait_until_ready().await;
    for index in 0..2 {
        let mut caller = fleet.caller(index).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", "d")).await.unwrap();
        assert_eq!(response.status(), 200, "{}", response.text());
    }
    fleet.store.set_fault(Fault::None);
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    for index in 0..2 {
        eventually("the new route is served", async || {
            added_route_status(&fleet, index).await == 200
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_change_is_missed_when_the_store_compacts_its_history() {
    let fleet = fleet(1).await;
    let removed_server = fleet.apps().next().unwrap();
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    fleet.store.remove(&removed_server.key());
    fleet.store.compact();
    eventually("the new route is served", async || added_route_status(&fleet, 0).await == 200)
        .await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = removed_server.executed_requests().len();
    for _ in 0..6 {
        assert_eq!(added_route_status(&fleet, 0).await, 200);
    }
    assert_eq!(removed_server.executed_requests().len(), before);
}

// A listing of which the same page comes again and again never ended, and one after which the
// history of the store does not reach back far enough was repeated at once: the instance called the
// store without a pause, in the first case keeping all pages in memory.
#[rstest]
#[case::pages_do_not_advance(Fault::RepeatsPages)]
#[case::history_is_forgotten(Fault::ForgetsHistory)]
#[tokio::test(flavor = "multi_thread")]
async fn a_listing_that_leads_nowhere_is_repeated_with_backoff(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    fleet.store.set_fault(fault);
    // The instance lists all entries anew.
    fleet.store.restore(fleet.store.backup());
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = fleet.store.call_count();
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    let calls = fleet.store.call_count() - before;
    assert!(calls <= 30, "{calls} calls in 2 s");
    let mut caller = fleet.caller(0).await.unwrap();
    assert_eq!(caller.call(&call("GET", "/status/7", "during")).await.unwrap().status(), 200);
    fleet.store.set_fault(Fault::None);
    let mut config = document::standard(2);
    config["tenants"][0]["api_keys"] = serde_json::json!([]);
    fleet.store.put(document::CONFIG_KEY, &config);
    eventually("the listing is applied", async || {
        caller.call(&call("GET", "/status/7", "after")).await.unwrap().status() == 401
    })
    .await;
}

/// Guards against a large fleet that calls a store which rejects it as often as before: all calls
/// count against the store's limits and cost, rejected ones too. After the leases are gone, each
/// instance tried to register twice a second.
#[tokio::test(flavor = "multi_thread")]
async fn instances_call_a_store_that_rejects_them_less_and_less() {
    let fleet = fleet(6).await;
    let prefix = "sesamelock/instances/";
    eventually("all are registered", async || fleet.store.keys(prefix).len() == 6).await;
    let backup = fleet.store.backup();
    fleet.store.set_fault(Fault::Unavailable);
    fleet.store.restore(backup);
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let (before, start) = (fleet.store.lease_call_count(), std::time::Instant::now());
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    let calls = fleet.store.lease_call_count() - before;
    assert!(calls <= 6 * 4, "{calls} calls in {:?}", start.elapsed());
    fleet.store.set_fault(Fault::None);
    eventually("all are registered", async || fleet.store.keys(prefix).len() == 6).await;
}
