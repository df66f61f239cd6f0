//! The operator evacuates a data centre: nothing is sent to its servers until it returns.

use std::{
    process::Command,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use bench::{Fleet, eventually, instance::OPERATOR_KEY};
use serde_json::json;
use stand_ins::{Call, Caller, Server, document, relay::Link, store};
use tokio::{task::JoinHandle, time::sleep};

use crate::testbed::{call, fleet, metrics, model_call};

const AWAY: &str = "away";

/// The data centre of the other servers, in which no instance is either, so that no servers are
/// preferred.
const OTHER: &str = "other";

/// Number of callers of each instance, whose requests one data centre can serve.
const CALLERS: usize = 4;

/// Number of callers of one instance whose requests are more than one engine takes, so that the
/// other one gets some, too.
const BUSY_CALLERS: usize = 16;

/// The number of the next attempt.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(0);

/// How long after the demand requests may still arrive: `evacuate_ms` of
/// docs/work-2026-12-04.md.
const BOUND: Duration = Duration::from_secs(5);

/// By how much an unstable store may extend the bound.
const UNSTABLE_STORE_EXTENSION: Duration = Duration::from_secs(6);

/// How long an evacuation that a restored store lacks stays in force.
const RESTORE_PERIOD: Duration = Duration::from_secs(5);

/// Time between two requests of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(10);

/// A fleet with a plain server and an engine in each of two data centres.
async fn two_data_centres(instances: usize) -> Fleet {
    let mut fleet = fleet(instances).await;
    for (index, server) in fleet.servers.iter_mut().enumerate() {
        server.spec.data_centre = [OTHER, AWAY][index % 2].to_owned();
        server.register(&fleet.store, "ready");
    }
    fleet
}

fn away(fleet: &Fleet) -> impl Iterator<Item = &Server> {
    fleet.servers.iter().filter(|it| it.spec.data_centre == AWAY)
}

/// Requests and cache listings that arrived in the data centre since then.
fn arrivals_since(fleet: &Fleet, since: Instant) -> usize {
    let arrivals = away(fleet).flat_map(|it| it.arrivals().into_iter().chain(it.cache_lists()));
    arrivals.filter(|it| *it >= since).count()
}

fn demand(fleet: &Fleet) -> Instant {
    fleet.store.put(&document::evacuation_key(AWAY), &json!({}));
    Instant::now()
}

fn lift(fleet: &Fleet) {
    fleet.store.remove(&document::evacuation_key(AWAY));
}

/// The statuses of plain and model requests that were sent to an instance, each at its time.
type Statuses = Vec<(Instant, u16)>;

/// A model request with a prompt that no engine has cached.
fn model_request(number: u64, attempt_id: &str) -> Call {
    let parts = format!("shared-{number}:1000,own-{number}:400");
    Call { prompt: Some((1_400, 60, parts)), ..model_call("/sheet/7", attempt_id) }
}

/// Sends requests to an instance until then, whatever becomes of them.
fn send_until(fleet: &Fleet, instance: usize, end: Instant) -> JoinHandle<Statuses> {
    let address = fleet.instances[instance].caller;
    tokio::spawn(async move {
        let mut statuses = Vec::new();
        while Instant::now() < end {
            let number = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
            let id = format!("e-{number}");
            let request = match number % 4 {
                0 => model_request(number, &id),
                _ => call("GET", "/status/7", &id),
            };
            if let Ok(mut caller) = Caller::connect(address).await
                && let Ok(response) = caller.call(&request).await
            {
                statuses.push((Instant::now(), response.status()));
            }
            sleep(CALL_INTERVAL).await;
        }
        statuses
    })
}

/// Sends requests to all instances until then.
fn send_to_all_until(fleet: &Fleet, end: Instant) -> Vec<JoinHandle<Statuses>> {
    (0..CALLERS * fleet.instances.len())
        .map(|it| send_until(fleet, it % fleet.instances.len(), end))
        .collect()
}

async fn wait_until_away_is_used(fleet: &Fleet, instance: usize) {
    let start = Instant::now();
    eventually("requests arrive in the other data centre", async || {
        let end = Instant::now() + CALL_INTERVAL * 10;
        let callers = (0..BUSY_CALLERS).map(|_| send_until(fleet, instance, end));
        for caller in callers.collect::<Vec<_>>() {
            caller.await.unwrap();
        }
        away(fleet).all(|it| it.arrivals().iter().any(|it| *it >= start))
    })
    .await;
}

fn log_count(fleet: &Fleet, instance: usize, message: &str) -> usize {
    fleet.instances[instance].log().matches(message).count()
}

fn status(fleet: &Fleet) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_sesamelock"))
        .arg("status")
        .env("SESAMELOCK_OPERATOR_KEY", OPERATOR_KEY)
        .env("SESAMELOCK_INSTANCE", format!("http://{}", fleet.instances[0].operator))
        .output()
        .unwrap();
    String::from_utf8_lossy(&output.stdout).into_owned()
}

// Guards against requests of any instance that are sent after the bound, also by one that starts
// during the evacuation, against requests that fail although the other data centre serves, and
// against a data centre that stays unused after its return.
#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_to_an_evacuated_data_centre_until_it_returns() {
    let mut fleet = two_data_centres(3).await;
    for instance in 0..3 {
        wait_until_away_is_used(&fleet, instance).await;
    }
    let demanded_at = demand(&fleet);
    let end = demanded_at + BOUND * 2;
    let callers = send_to_all_until(&fleet, end);
    sleep(Duration::from_secs(1)).await;
    fleet.instances[1].kill();
    fleet.instances[1].start().unwrap();
    sleep(BOUND).await;
    // The second time all instances start while the evacuation is in force.
    for instance in &mut fleet.instances {
        instance.kill();
        instance.start().unwrap();
    }
    let mut statuses = Vec::new();
    for caller in callers {
        statuses.push(caller.await.unwrap());
    }
    assert_eq!(arrivals_since(&fleet, demanded_at + BOUND), 0);
    for statuses in &statuses {
        let last = statuses.iter().filter(|it| it.0 > end - Duration::from_secs(1));
        let last: Vec<u16> = last.map(|it| it.1).collect();
        assert!(!last.is_empty() && last.iter().all(|it| *it == 200), "{last:?}");
    }
    assert!(status(&fleet).contains("evacuated: data centre away"), "{}", status(&fleet));
    assert!(metrics(&fleet).await.contains("sesamelock_evacuated{data_centre=\"away\"} 1"));
    lift(&fleet);
    for instance in 0..3 {
        wait_until_away_is_used(&fleet, instance).await;
        assert!(log_count(&fleet, instance, "data centre evacuated") >= 1);
        assert!(log_count(&fleet, instance, "data centre returned") >= 1);
    }
    assert!(!status(&fleet).contains("evacuated: data centre away"));
    assert!(metrics(&fleet).await.contains("sesamelock_evacuated{data_centre=\"away\"} 0"));
}

// Guards against an instance that learns of an evacuation only from the store itself.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_a_store_connection_learns_of_an_evacuation_from_its_peers() {
    let fleet = two_data_centres(3).await;
    wait_until_away_is_used(&fleet, 2).await;
    fleet.store_relays[2].set_link(Link {
        block_upstream: true,
        block_downstream: true,
        ..Link::default()
    });
    let demanded_at = demand(&fleet);
    send_until(&fleet, 2, demanded_at + BOUND + Duration::from_secs(1)).await.unwrap();
    assert_eq!(arrivals_since(&fleet, demanded_at + BOUND), 0);
}

// Guards against an evacuation that ends because the store is down or has forgotten its history, for
// instances that go on and for one that starts meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_stays_in_force_while_the_store_is_down() {
    let mut fleet = two_data_centres(2).await;
    wait_until_away_is_used(&fleet, 0).await;
    let demanded_at = demand(&fleet);
    sleep(BOUND).await;
    fleet.store.set_fault(store::Fault::Silent);
    sleep(Duration::from_millis(500)).await;
    fleet.instances[1].kill();
    fleet.instances[1].start().unwrap();
    fleet.wait_until_ready().await;
    let callers = send_to_all_until(&fleet, Instant::now() + Duration::from_secs(3));
    for caller in callers {
        let statuses = caller.await.unwrap();
        assert!(statuses.iter().any(|it| it.1 == 200), "{statuses:?}");
    }
    fleet.store.compact();
    fleet.store.set_fault(store::Fault::None);
    let callers = send_to_all_until(&fleet, Instant::now() + Duration::from_secs(3));
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(arrivals_since(&fleet, demanded_at + BOUND), 0);
}

// Guards against an evacuation that takes longer to reach the instances than an unstable store may
// cost: one that drops connections at the moment of the demand, and is back before the extended
// bound.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_demanded_while_the_store_is_unstable_is_in_force_within_the_extended_bound()
{
    let fleet = two_data_centres(2).await;
    wait_until_away_is_used(&fleet, 0).await;
    fleet.store.set_fault(store::Fault::ResetsConnections);
    let demanded_at = demand(&fleet);
    let bound = BOUND + UNSTABLE_STORE_EXTENSION;
    let callers = send_to_all_until(&fleet, demanded_at + bound + Duration::from_secs(1));
    sleep(UNSTABLE_STORE_EXTENSION).await;
    fleet.store.set_fault(store::Fault::None);
    for caller in callers {
        caller.await.unwrap();
    }
    assert_eq!(arrivals_since(&fleet, demanded_at + bound), 0);
}

// Guards against an evacuation that ends at once because the store was restored from a copy that lacks
// it, and against one that never ends then.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_that_a_restored_store_lacks_stays_in_force_for_five_seconds() {
    let fleet = two_data_centres(3).await;
    for instance in 0..3 {
        wait_until_away_is_used(&fleet, instance).await;
    }
    let backup = fleet.store.backup();
    let demanded_at = demand(&fleet);
    sleep(BOUND).await;
    fleet.store.restore(backup);
    let restored_at = Instant::now();
    for caller in send_to_all_until(&fleet, restored_at + RESTORE_PERIOD) {
        caller.await.unwrap();
    }
    let arrivals = arrivals_since(&fleet, demanded_at + BOUND);
    // Each instance counts the period from when it has noticed the restore, which is no earlier
    // than the restore itself; requests sent at its end arrive later.
    assert_eq!(arrivals - arrivals_since(&fleet, restored_at + RESTORE_PERIOD), 0);
    for instance in 0..3 {
        wait_until_away_is_used(&fleet, instance).await;
    }
}

// Guards against an operator who drains an instance and takes its data centre for evacuated.
#[test]
fn the_help_of_drain_says_that_it_evacuates_no_data_centre() {
    let help = Command::new(env!("CARGO_BIN_EXE_sesamelock")).args(["drain", "--help"]).output();
    let help = String::from_utf8_lossy(&help.unwrap().stdout).replace('\n', " ");
    assert!(help.contains("one instance"), "{help}");
    assert!(help.contains("does not evacuate a data centre"), "{help}");
}
