//! A store that holds as much as the fleet is designed for, or more, and drops its history.

use std::time::Duration;

use rstest::rstest;
use stand_ins::{document, store::Fault};

use crate::{
    membership::{added_route_status, with_added_route},
    testbed::{fleet, settle},
};

/// What the store holds beside the entries of the fleet.
#[derive(Clone, Copy, Debug)]
enum Contents {
    /// Entries of another writer, of the largest size, that can't be read.
    Unreadable { entries: usize },
    /// Entries of servers, as many as the fleet is designed for.
    Servers { entries: usize, bytes: usize },
}

fn fill(fleet: &bench::Fleet, contents: Contents) {
    match contents {
        Contents::Unreadable { entries } => {
            for index in 0..entries {
                let value = vec![b'x'; VALUE_BYTES_MAX];
                fleet.store.put_bytes(&format!("servers/foreign-{index}"), value);
            }
        }
        Contents::Servers { entries, bytes } => {
            for index in 0..entries {
                let mut entry = serde_json::json!({
                    "service": "unrouted", "address": "127.0.0.1:1", "zone": "here", "version": "v1",
                    "slots": 6, "state": "ready", "sequence": 1, "born": 1,
                });
                entry["note"] = "x".repeat(bytes.saturating_sub(entry.to_string().len())).into();
                fleet.store.put(&format!("servers/listed-{index}"), &entry);
            }
        }
    }
}

/// Bytes of the largest value that the store takes.
const VALUE_BYTES_MAX: usize = 1_048_576;

/// A configuration is in force after this time.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

// Guards against an instance that does not follow the store and stays at an older configuration for good, as
// what its peers have to tell it after the store has dropped its history is larger than a message.
#[rstest]
#[case::unreadable_entries(Contents::Unreadable { entries: 6 })]
#[case::as_many_servers_as_planned(Contents::Servers { entries: 5_700, bytes: 750 })]
#[case::large_entries(Contents::Servers { entries: 8, bytes: VALUE_BYTES_MAX })]
#[tokio::test(flavor = "multi_thread")]
async fn all_instances_get_a_configuration_after_the_store_dropped_its_history(
    #[case] contents: Contents,
) {
    let fleet = fleet(5).await;
    fill(&fleet, contents);
    settle(&fleet).await;
    fleet.store.set_fault(Fault::MutesWatches);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.store.set_fault(Fault::None);
    fleet.store.compact();
    tokio::time::sleep(CONFIG_APPLY).await;
    for index in 0..5 {
        assert_eq!(added_route_status(&fleet, index).await, 200, "instance {index}");
    }
}
