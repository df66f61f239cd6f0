//! Servers that are cold, and say so in their entries and responses.

use std::time::{Duration, Instant};

use bench::{Fleet, eventually};
use rstest::rstest;
use stand_ins::{Response, Server, document, store::Fault};

use crate::{
    operators::{run_command, stdout_text},
    testbed::{call, fleet, metrics},
};

const INSTANCES: usize = 3;

/// What the configuration states: requests a second that a cold server takes, and the seconds for which
/// one is cold.
const PER_SECOND: f64 = 6.6;
const WARMUP_S: f64 = 3.0;

/// The users' bound in each second: one and a half times that, and 5 requests.
const ALLOWED: usize = 14;

/// How long instances may take to know that a server is cold: the time of an entry through the store.
const GRACE: Duration = Duration::from_millis(500);

/// How long an instance runs before it sends anything to cold servers.
const START_DELAY: Duration = Duration::from_millis(2_500);

/// How often a server writes its entry.
const ENTRY_INTERVAL: Duration = Duration::from_millis(1_200);

async fn warmup_fleet() -> Fleet {
    warmup_fleet_of(PER_SECOND).await
}

/// A fleet whose cold servers take so many requests a second.
async fn warmup_fleet_of(per_second: f64) -> Fleet {
    let fleet = fleet(INSTANCES).await;
    let document = document::with_warmup(document::standard(2), WARMUP_S, per_second);
    fleet.store.put(document::CONFIG_KEY, &document);
    tokio::time::sleep(START_DELAY).await;
    fleet
}

async fn send(fleet: &Fleet, instance: usize) -> Response {
    let mut caller = fleet.caller(instance).await.unwrap();
    caller.call(&call("GET", "/status/7", "w")).await.unwrap()
}

/// Sends requests to all instances in turn for a while, as `server` writes its entry every now and then;
/// returns the statuses other than 200.
async fn send_for(fleet: &Fleet, server: &Server, duration: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut write_at = start + ENTRY_INTERVAL;
    let mut statuses = Vec::new();
    for instance in (0..INSTANCES).cycle().take_while(|_| start.elapsed() < duration) {
        if write_at <= Instant::now() {
            write_at += ENTRY_INTERVAL;
            server.register(&fleet.store, "ready");
        }
        statuses.push(send(fleet, instance).await.status());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    statuses.retain(|it| *it != 200);
    statuses
}

/// The most requests that arrived at the server within a second, since `from`.
fn most_in_second(server: &Server, from: Instant) -> usize {
    let arrivals: Vec<Instant> = server.arrivals().into_iter().filter(|it| from <= *it).collect();
    let in_second = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        arrivals.iter().filter(|it| *start <= **it && **it < end).count()
    };
    arrivals.iter().map(in_second).max().unwrap_or(0)
}

// Guards against a server that crashes because it gets the load of a warm one, against losing the
// requests that it does not take, and against a server that stays limited when it is warm.
#[tokio::test(flavor = "multi_thread")]
async fn a_cold_server_gets_few_requests_and_the_others_get_the_rest() {
    let fleet = warmup_fleet().await;
    let server = fleet.apps().next().unwrap();
    server.set_warmup(Duration::from_secs(3));
    server.register(&fleet.store, "ready");
    let cold_at = Instant::now();
    let failed = send_for(&fleet, server, Duration::from_millis(2_500)).await;
    assert!(failed.is_empty(), "another server takes the rest, but: {failed:?}");
    let most = most_in_second(server, cold_at + GRACE);
    assert!((1..=ALLOWED).contains(&most), "{most} in a second");
    assert!(metrics(&fleet).await.contains("sesamelock_cold_servers 1"));
    eventually("the server is warm", async || {
        server.register(&fleet.store, "ready");
        metrics(&fleet).await.contains("sesamelock_cold_servers 0")
    })
    .await;
    let warm_at = Instant::now();
    send_for(&fleet, server, Duration::from_secs(2)).await;
    let most = most_in_second(server, warm_at);
    assert!(most > ALLOWED, "{most} in a second after the warm-up");
}

// Guards against instances that learn from the store alone: a server that turns cold between two of its
// entries says so in its responses.
#[tokio::test(flavor = "multi_thread")]
async fn instances_tell_each_other_that_a_response_came_from_a_cold_server() {
    let fleet = warmup_fleet().await;
    let server = fleet.apps().next().unwrap();
    server.set_warmup(Duration::from_secs(3));
    let cold_at = Instant::now();
    send_for(&fleet, server, Duration::from_millis(1_100)).await;
    let logs: Vec<String> = fleet.instances.iter().map(|it| it.log()).collect();
    assert!(logs.iter().all(|it| it.contains("server cold")), "{logs:?}");
    let most = most_in_second(server, cold_at + GRACE);
    assert!(most <= ALLOWED, "{most} in a second");
}

// Guards against instances that start again all at once, without any memory of what they sent, or of the
// server being cold.
#[tokio::test(flavor = "multi_thread")]
async fn the_bound_holds_when_all_instances_are_killed() {
    let mut fleet = warmup_fleet().await;
    let server = fleet.apps().next().unwrap();
    server.set_warmup(Duration::from_secs(60));
    server.register(&fleet.store, "ready");
    let cold_at = Instant::now();
    send_for(&fleet, server, Duration::from_millis(1_500)).await;
    for instance in &mut fleet.instances {
        instance.kill();
        instance.start().unwrap();
    }
    fleet.wait_until_ready().await;
    let server = fleet.apps().next().unwrap();
    server.register(&fleet.store, "ready");
    let failed = send_for(&fleet, server, Duration::from_secs(4)).await;
    assert!(failed.is_empty(), "another server takes the rest, but: {failed:?}");
    let most = most_in_second(server, cold_at + GRACE);
    assert!((1..=ALLOWED).contains(&most), "{most} in a second");
}

/// How long the store is away before a server turns cold.
const AWAY: Duration = Duration::from_secs(2);

/// Requests a second that a cold server takes, and the users' bound in each second.
const UNHEARD_PER_SECOND: f64 = 8.4;
const UNHEARD_ALLOWED: usize = 17;

/// How often a request is sent, so that each of two warm servers gets more than the bound.
const REQUEST_INTERVAL: Duration = Duration::from_millis(22);

/// Sends requests to all instances in turn, at the interval, each on a connection of its own; returns the
/// statuses other than 200.
async fn send_at_interval(fleet: &Fleet, duration: Duration) -> Vec<u16> {
    let count = duration.as_millis() / REQUEST_INTERVAL.as_millis();
    let mut clock = tokio::time::interval(REQUEST_INTERVAL);
    let mut statuses = Vec::new();
    for instance in (0..INSTANCES).cycle().take(count as usize) {
        clock.tick().await;
        statuses.push(send(fleet, instance).await.status());
    }
    statuses.retain(|it| *it != 200);
    statuses
}

// Guards against a server that turns cold while the store is down: its responses to health requests say so,
// and nobody asked. It got the load of a warm one.
#[rstest]
#[case::silent(Fault::Silent)]
#[case::unavailable(Fault::Unavailable)]
#[case::resets(Fault::ResetsConnections)]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_turns_cold_while_the_store_is_down_gets_few_requests(#[case] fault: Fault) {
    let fleet = warmup_fleet_of(UNHEARD_PER_SECOND).await;
    let server = fleet.apps().next().unwrap();
    server.hide_warmup();
    fleet.store.set_fault(fault);
    tokio::time::sleep(AWAY).await;
    server.set_warmup(Duration::from_secs(3));
    let cold_at = Instant::now();
    let failed = send_at_interval(&fleet, Duration::from_millis(2_500)).await;
    assert!(failed.is_empty(), "another server takes the rest, but: {failed:?}");
    let most = most_in_second(server, cold_at);
    assert!((1..=UNHEARD_ALLOWED).contains(&most), "{most} in a second");
}

// Guards against health requests, each of which needs a slot, while the store says what they would.
#[tokio::test(flavor = "multi_thread")]
async fn servers_are_asked_for_their_health_only_while_the_store_is_down() {
    let fleet = warmup_fleet().await;
    let server = fleet.apps().next().unwrap();
    assert_eq!(server.health_checks().len(), 0, "before the outage");
    fleet.store.set_fault(Fault::Silent);
    eventually("the server is asked", async || !server.health_checks().is_empty()).await;
    fleet.store.set_fault(Fault::None);
    tokio::time::sleep(AWAY).await;
    let asked = server.health_checks().len();
    tokio::time::sleep(AWAY).await;
    assert_eq!(server.health_checks().len(), asked, "after the outage");
}

// Guards against operators who cannot see why a server gets little.
#[tokio::test(flavor = "multi_thread")]
async fn the_status_of_the_fleet_shows_how_long_a_server_is_cold() {
    let fleet = warmup_fleet().await;
    let server = fleet.apps().next().unwrap();
    server.set_warmup(Duration::from_secs(60));
    server.register(&fleet.store, "ready");
    eventually("the server is cold", async || {
        metrics(&fleet).await.contains("sesamelock_cold_servers 1")
    })
    .await;
    let status = stdout_text(&run_command(&fleet, &["status"]));
    assert!(status.contains(", cold for "), "{status}");
}
