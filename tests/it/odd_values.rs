//! Configurations and server entries with values that no type holds, or that are written in an unusual way.

use std::time::Duration;

use bench::eventually;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::document;

use crate::testbed::{call, fleet};

/// The standard configuration without the key of the brewers, as text with `change`.
fn without_key(change: impl FnOnce(&mut Value)) -> Value {
    let mut configuration = document::standard(5);
    configuration["tenants"][0]["api_keys"] = json!(["another-key"]);
    change(&mut configuration);
    configuration
}

// Guards against a configuration that is ignored as a whole because of one value: a key that it takes away
// was accepted for good.
#[rstest]
#[case::a_priority_above_255(|it: &mut Value| it["tenants"][1]["priority"] = json!(300))]
#[case::a_priority_with_a_fraction(|it: &mut Value| it["routes"][0]["priority"] = json!(0.5))]
#[case::a_version_with_a_fraction(|it: &mut Value| it["version"] = json!(5.0))]
#[case::a_version_that_differs_by_a_fraction(|it: &mut Value| it["version"] = json!(1.5))]
#[case::slots_above_their_type(|it: &mut Value| it["services"][1]["engine"]["slots"] = json!(1e300))]
#[case::a_negative_limit_of_connections(|it: &mut Value| it["services"][0]["max_connections"] = json!(-1))]
#[case::an_unknown_route_type(|it: &mut Value| it["routes"][1]["route_type"] = json!("odd"))]
#[case::no_team_at_all(|it: &mut Value| it["tenants"] = json!([]))]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_is_taken_away_is_rejected_whatever_else_is_written(
    #[case] change: fn(&mut Value),
) {
    let fleet = fleet(2).await;
    fleet.store.put(document::CONFIG_KEY, &without_key(change));
    for index in 0..2 {
        let rejected = async || {
            let mut caller = fleet.caller(index).await.unwrap();
            caller.call(&call("GET", "/status/7", "a")).await.unwrap().status() == 401
        };
        eventually("the key is rejected", rejected).await;
    }
    let is_logged = async || fleet.instances[0].log().contains("configuration in force");
    eventually("the log says that the configuration is in force", is_logged).await;
}

// Guards against servers that all count as removed because of how they write a number.
#[rstest]
#[case::a_fraction_of_zero(json!(6.0))]
#[case::a_fraction(json!(6.5))]
#[case::above_its_type(json!(1e12))]
#[case::null(json!(null))]
#[tokio::test(flavor = "multi_thread")]
async fn servers_stay_in_service_however_they_write_numbers(#[case] slots: Value) {
    let fleet = fleet(1).await;
    for server in fleet.apps() {
        let entry = json!({
            "service": "app", "address": server.address().to_string(), "zone": "north",
            "state": "ready", "slots": slots, "born": 0.0, "sequence": 7.0,
        });
        fleet.store.put(&server.key(), &entry);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    assert_eq!(response.status(), 200, "{}", response.text());
}

// Guards against an operator who does not learn that a configuration can't be read, and against an instance
// that drops the one in force for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_is_no_json_is_counted_and_the_one_in_force_holds() {
    let fleet = fleet(1).await;
    fleet.store.put_bytes(document::CONFIG_KEY, b"{\"version\": 9, ".to_vec());
    eventually("the configuration is counted", async || {
        crate::testbed::metrics(&fleet).await.contains("configurations_malformed_total 1")
    })
    .await;
    let mut caller = fleet.caller(0).await.unwrap();
    assert_eq!(caller.call(&call("GET", "/status/7", "a")).await.unwrap().status(), 200);
}
