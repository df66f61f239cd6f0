//! Health of servers, from the outcomes of their requests.

use sl_route::{Fault, health::Health};

use crate::testbed::{START, at};

#[test]
fn back_off_grows_with_consecutive_failures_and_ends() {
    let mut health = Health::new(START);
    assert!(health.record_failure(START, Fault::ConnectionLost));
    assert!(health.is_avoided(at(100)));
    assert!(!health.is_avoided(at(300)));
    health.record_failure(at(300), Fault::ConnectionLost);
    assert!(health.is_avoided(at(700)));
    health.record_success(at(900));
    health.record_failure(at(1_000), Fault::ConnectionLost);
    assert!(!health.is_avoided(at(1_300)), "a success in between resets the back-off");
}

#[test]
fn the_failure_rate_decays() {
    let mut health = Health::new(START);
    for _ in 0..10 {
        health.record_failure(START, Fault::ServerError);
    }
    let first = health.failure_rate(START);
    assert!(first > 0.8);
    assert!(health.failure_rate(at(10_000)) < first / 8.0);
    assert!(!health.is_avoided(START), "server errors raise the failure rate without a back-off");
}

#[test]
fn a_stale_connection_does_not_count_as_a_failure() {
    let mut health = Health::new(START);
    health.record_failure(START, Fault::StaleConnection);
    assert_eq!(health.failure_rate(START), 0.0);
    assert!(!health.is_avoided(START));
}
