//! Servers are judged by their answers.

use sl_route::{Fault, health::Health};

use crate::bed::{START, at};

#[test]
fn a_failing_server_is_avoided_for_longer_each_time_and_tried_again() {
    let mut health = Health::new(START);
    assert!(health.record_failure(START, Fault::ConnectionLost));
    assert!(health.is_avoided(at(100)));
    assert!(!health.is_avoided(at(300)));
    health.record_failure(at(300), Fault::ConnectionLost);
    assert!(health.is_avoided(at(700)));
    health.record_success(at(900));
    health.record_failure(at(1_000), Fault::ConnectionLost);
    assert!(!health.is_avoided(at(1_300)), "an answer in between begins the count anew");
}

#[test]
fn what_is_held_against_a_server_fades() {
    let mut health = Health::new(START);
    for _ in 0..10 {
        health.record_failure(START, Fault::ServerError);
    }
    let first = health.failure_rate(START);
    assert!(first > 0.8);
    assert!(health.failure_rate(at(10_000)) < first / 8.0);
    assert!(!health.is_avoided(START), "an application's own failures are weighed, not barred");
}

#[test]
fn a_connection_that_ended_while_unused_says_nothing() {
    let mut health = Health::new(START);
    health.record_failure(START, Fault::StaleConnection);
    assert_eq!(health.failure_rate(START), 0.0);
    assert!(!health.is_avoided(START));
}
