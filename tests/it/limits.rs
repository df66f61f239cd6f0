//! Servers that name the requests a second that they take from all instances together.

use std::time::{Duration, Instant};

use bench::{Fleet, eventually};
use stand_ins::Response;

use crate::testbed::{call, fleet, metrics};

const INSTANCES: usize = 3;

/// Requests a second.
const LIMIT: f64 = 2.0;

const WINDOW: Duration = Duration::from_secs(4);

/// What the users' rule allows in the window: one and a half times the limit, and 5 requests.
const ALLOWED: usize = 17;

/// How long instances may take to hold to a limit.
const GRACE: Duration = Duration::from_millis(500);

/// How long instances take to know how many they are.
const MEMBERSHIP_TIME: Duration = Duration::from_millis(2_500);

async fn send(fleet: &Fleet, instance: usize) -> Response {
    let mut caller = fleet.caller(instance).await.unwrap();
    caller.call(&call("GET", "/status/7", "l")).await.unwrap()
}

/// Sends requests to all instances in turn for a while; returns the statuses other than 200.
async fn send_for(fleet: &Fleet, duration: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut statuses = Vec::new();
    for instance in (0..INSTANCES).cycle().take_while(|_| start.elapsed() < duration) {
        statuses.push(send(fleet, instance).await.status());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    statuses.retain(|it| *it != 200);
    statuses
}

/// The most requests that arrived at the first server within a window, since `from`.
fn most_in_window(fleet: &Fleet, from: Instant) -> usize {
    let arrivals = fleet.apps().next().unwrap().arrivals();
    let arrivals: Vec<Instant> = arrivals.into_iter().filter(|it| from <= *it).collect();
    let in_window = |start: &Instant| {
        arrivals.iter().filter(|it| *start <= **it && **it < *start + WINDOW).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

// Guards against instances that each send as many requests as a server takes from all of them, and
// against losing the requests that it doesn't take.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_more_than_the_limit_that_it_names_and_others_get_the_rest() {
    let fleet = fleet(INSTANCES).await;
    tokio::time::sleep(MEMBERSHIP_TIME).await;
    fleet.apps().next().unwrap().set_request_limit(Some(LIMIT));
    let start = Instant::now();
    let failed = send_for(&fleet, Duration::from_secs(7)).await;
    assert!(failed.is_empty(), "another server takes the rest, but: {failed:?}");
    let most = most_in_window(&fleet, start + GRACE);
    assert!((3..=ALLOWED).contains(&most), "{most} in a window");
    eventually("the gauge is set", async || {
        metrics(&fleet).await.contains("sesamelock_limited_servers 1")
    })
    .await;
    fleet.apps().next().unwrap().set_request_limit(None);
    send_for(&fleet, Duration::from_secs(2)).await;
    let ended = Instant::now();
    send_for(&fleet, Duration::from_secs(1)).await;
    let most = most_in_window(&fleet, ended);
    assert!(most > ALLOWED, "{most} after the limit had ended");
}

// Guards against callers that are held, or told that their request ran, while no server takes it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_refused_at_once_while_no_server_takes_more() {
    let fleet = fleet(INSTANCES).await;
    fleet.apps().for_each(|it| it.set_request_limit(Some(LIMIT)));
    send_for(&fleet, GRACE).await;
    let mut refused = 0;
    for number in 0..60 {
        let sent_at = Instant::now();
        let response = send(&fleet, number % INSTANCES).await;
        if response.status() == 200 {
            continue;
        }
        refused += 1;
        assert_eq!(response.status(), 503);
        assert!(response.header("Retry-After").is_some());
        assert!(sent_at.elapsed() < Duration::from_millis(300), "{:?}", sent_at.elapsed());
    }
    assert!(refused > 40, "{refused} of 60");
}
