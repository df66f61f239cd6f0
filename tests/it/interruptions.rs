//! Removed servers while calls of the store fail: for so short a time that no lease can lapse, or for longer.

use std::time::Duration;

use rstest::rstest;
use stand_ins::store::Fault;

use crate::testbed::{call, fleet};

/// How the store fails shortly before a server's entry is removed.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    WatchesCut { times: u32 },
    HistoryForgotten,
    Failing { fault: Fault, millis: u64 },
}

async fn interrupt(fleet: &bench::Fleet, interruption: Interruption) {
    match interruption {
        Interruption::WatchesCut { times } => {
            for _ in 0..times {
                fleet.store.cut_watches();
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            fleet.store.cut_watches();
        }
        Interruption::HistoryForgotten => fleet.store.compact(),
        Interruption::Failing { fault, millis } => {
            fleet.store.set_fault(fault);
            fleet.store.cut_watches();
            tokio::time::sleep(Duration::from_millis(millis)).await;
            fleet.store.set_fault(Fault::None);
        }
    }
}

// Guards against a store that answers, but has cut a watch or failed a call, being taken for one that was
// down: a removed server got requests until 2.3 s after its removal, at followers of the store and at
// instances that learn from these.
#[rstest]
#[case::cut_once(Interruption::WatchesCut { times: 0 })]
#[case::cut_several_times(Interruption::WatchesCut { times: 4 })]
#[case::history_forgotten(Interruption::HistoryForgotten)]
#[case::unavailable_for_a_moment(Interruption::Failing { fault: Fault::Unavailable, millis: 200 })]
#[case::connections_reset_for_a_moment(Interruption::Failing { fault: Fault::ResetsConnections, millis: 200 })]
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_is_in_force_at_once_after_an_interruption_in_which_no_lease_can_lapse(
    #[case] interruption: Interruption,
) {
    let fleet = fleet(5).await;
    let server = fleet.apps().next().unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    interrupt(&fleet, interruption).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    fleet.store.remove(&server.key());
    // Half of the time in which a removed server may still get requests.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let before = server.executed_requests().len();
    for index in 0..20 {
        let mut caller = fleet.caller(index % 5).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(server.executed_requests().len(), before);
}

// Guards against the loss of servers whose leases lapsed while the store was away, and against one of these
// that gets requests for longer than the two seconds in which it would write its entry again.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_lapsed_in_an_outage_is_used_for_two_seconds_after_it() {
    let fleet = fleet(2).await;
    let server = fleet.apps().next().unwrap();
    fleet.store.set_fault(Fault::Unavailable);
    fleet.store.cut_watches();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.remove(&server.key());
    fleet.store.set_fault(Fault::None);
    let is_used = async || {
        let before = server.executed_requests().len();
        for index in 0..8 {
            let mut caller = fleet.caller(index % 2).await.unwrap();
            caller.call(&call("GET", "/status/7", "a")).await.unwrap();
        }
        server.executed_requests().len() > before
    };
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert!(is_used().await);
    tokio::time::sleep(Duration::from_millis(1_700)).await;
    assert!(!is_used().await);
}
