//! Servers that come, leave and lie, and a configuration that only ever goes forward.

use std::time::Duration;

use bench::eventually;
use rstest::rstest;
use stand_ins::{document, store::Fault};

use crate::bed::{call, fleet};

#[rstest]
#[case::draining("draining")]
#[case::removed("removed")]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_nothing_new(#[case] how: &str) {
    let fleet = fleet(2).await;
    let leaving = fleet.apps().next().unwrap();
    match how {
        "draining" => leaving.register(&fleet.store, "draining"),
        _ => fleet.store.remove(&leaving.key()),
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = leaving.executed_requests().len();
    for at in 0..10 {
        let mut caller = fleet.caller(at % 2).await.unwrap();
        let answer = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
}

#[rstest]
#[case::no_json(b"{\"service\":".to_vec())]
#[case::no_address(br#"{"service":"app","state":"ready","slots":6}"#.to_vec())]
#[case::other_state(br#"{"service":"app","address":"127.0.0.1:1","state":"odd","slots":6}"#.to_vec())]
#[case::other_type(br#"{"service":"app","address":"127.0.0.1:1","state":"ready","slots":"6"}"#.to_vec())]
#[case::born_as_text(
    br#"{"service":"app","address":"127.0.0.1:1","state":"ready","slots":6,"born":"x"}"#.to_vec()
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_entry_names_no_server_and_disturbs_no_other(#[case] entry: Vec<u8>) {
    let fleet = fleet(1).await;
    fleet.store.put_bytes("servers/forged", entry);
    fleet.store.put_bytes("servers/", b"{}".to_vec());
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut caller = fleet.caller(0).await.unwrap();
    for at in 0..6 {
        let answer = caller.call(&call("GET", "/status/7", &format!("b-{at}"))).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert_eq!(fleet.runs_of(&format!("b-{at}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_address_that_another_server_has_now_runs_nothing() {
    let fleet = fleet(1).await;
    let (first, second) = (fleet.apps().next().unwrap(), fleet.apps().nth(1).unwrap());
    // The first server's entry names the address of the second.
    first.register_at(&fleet.store, second.address(), "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut caller = fleet.caller(0).await.unwrap();
    for at in 0..6 {
        let answer = caller.call(&call("GET", "/status/7", &format!("c-{at}"))).await.unwrap();
        assert_eq!(answer.status(), 200, "{}", answer.text());
        assert!(answer.text().ends_with("by app-1"));
    }
}

async fn version_of(fleet: &bench::Fleet, at: usize) -> u16 {
    let mut caller = fleet.caller(at).await.unwrap();
    caller.call(&call("GET", "/added/7", "probe")).await.unwrap().status()
}

fn with_added_route(version: u64) -> serde_json::Value {
    let mut document = document::standard(version);
    let added = document::route("added", "idempotent", "app", 2, 1_000);
    document["routes"].as_array_mut().unwrap().push(added);
    document
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_everywhere_and_never_goes_back() {
    let fleet = fleet(3).await;
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    for at in 0..3 {
        eventually("the new route", async || version_of(&fleet, at).await == 200).await;
    }
    fleet.store.put(document::CONFIG_KEY, &document::standard(4));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for at in 0..3 {
        assert_eq!(version_of(&fleet, at).await, 200);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_the_store_turns_away_hears_from_its_fellows() {
    let fleet = fleet(3).await;
    let cut = stand_ins::relay::Link {
        block_upstream: true,
        block_downstream: true,
        ..Default::default()
    };
    fleet.store_relays[2].set_link(cut);
    let start = std::time::Instant::now();
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    eventually("the new route", async || version_of(&fleet, 2).await == 200).await;
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// How often the instance has said this so far.
fn said(fleet: &bench::Fleet, at: usize, what: &str) -> usize {
    fleet.instances[at].log().matches(what).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_removal_that_a_fellow_tells_counts_at_once_also_after_an_outage_of_ones_own() {
    let fleet = fleet(4).await;
    let cut = stand_ins::relay::Link {
        block_upstream: true,
        block_downstream: true,
        ..Default::default()
    };
    let (others, here) = ("store watch left to peers", "store watch resumed");
    let standing_by = |it: &usize| said(&fleet, *it, others) > said(&fleet, *it, here);
    eventually("one stands by", async || (0..4).filter(standing_by).count() == 1).await;
    let last = (0..4).find(standing_by).unwrap();
    let follower = (last + 1) % 4;
    // The last one has to follow the store, loses it as well, and is relieved again.
    fleet.store_relays[follower].set_link(cut);
    eventually("the last one follows", async || said(&fleet, last, here) > 0).await;
    fleet.store_relays[last].set_link(cut);
    eventually("it is lost there", async || said(&fleet, last, "store unavailable") > 0).await;
    fleet.store_relays[follower].set_link(stand_ins::relay::Link::default());
    eventually("the last one stands by", async || standing_by(&last)).await;
    let leaving = fleet.apps().next().unwrap();
    fleet.store.remove(&leaving.key());
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = leaving.executed_requests().len();
    for _ in 0..8 {
        let mut caller = fleet.caller(last).await.unwrap();
        assert_eq!(caller.call(&call("GET", "/status/7", "a")).await.unwrap().status(), 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
}

#[rstest]
#[case::silent(Fault::Silent)]
#[case::busy(Fault::Unavailable)]
#[case::reset(Fault::ResetsConnections)]
#[tokio::test(flavor = "multi_thread")]
async fn service_goes_on_without_the_store(#[case] fault: Fault) {
    let mut fleet = fleet(2).await;
    fleet.store.set_fault(fault);
    tokio::time::sleep(Duration::from_millis(500)).await;
    // One that is born now knows nothing but what its fellow tells.
    fleet.instances[1].kill();
    fleet.instances[1].start().unwrap();
    fleet.ready().await;
    for at in 0..2 {
        let mut caller = fleet.caller(at).await.unwrap();
        let answer = caller.call(&call("GET", "/status/7", "d")).await.unwrap();
        assert_eq!(answer.status(), 200, "{}", answer.text());
    }
    fleet.store.set_fault(Fault::None);
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    for at in 0..2 {
        eventually("the new route", async || version_of(&fleet, at).await == 200).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_history_hides_no_change() {
    let fleet = fleet(1).await;
    let leaving = fleet.apps().next().unwrap();
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    fleet.store.remove(&leaving.key());
    fleet.store.compact();
    eventually("the new route", async || version_of(&fleet, 0).await == 200).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = leaving.executed_requests().len();
    for _ in 0..6 {
        assert_eq!(version_of(&fleet, 0).await, 200);
    }
    assert_eq!(leaving.executed_requests().len(), before);
}
