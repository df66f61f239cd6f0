//! The fleet as one instance can tell it: its own part, and what its peers answer.

use futures::{StreamExt, stream};
use sl_base::status::FleetStatus;
use sl_peer::Links;
use sl_report::Snapshot;

use crate::command::Seen;

/// Asks every listed peer.
pub(crate) async fn gather(seen: Seen, links: &Links) -> FleetStatus {
    let mut fleet = FleetStatus {
        instances: vec![seen.instance],
        servers: seen.servers,
        ..FleetStatus::default()
    };
    let mut answers = stream::iter(seen.peers)
        .map(|peer| async move {
            let answer = links.status(peer.id, peer.address).await;
            (peer, answer)
        })
        .buffer_unordered(PEERS_AT_ONCE);
    while let Some((peer, answer)) = answers.next().await {
        match answer {
            Ok(instance) => fleet.instances.push(instance),
            Err(_) => fleet.silent.push(peer.name),
        }
    }
    fleet.instances.sort_by(|a, b| a.name.cmp(&b.name));
    fleet.silent.sort();
    let revisions = fleet.instances.iter().map(|it| it.revision);
    fleet.revision = revisions.max().unwrap_or_default();
    fleet
}

/// Asks every listed peer for its part of the burn report, and names those that were silent.
pub(crate) async fn burns(
    seen: Seen,
    own: Snapshot,
    links: &Links,
) -> (Vec<Snapshot>, Vec<String>) {
    let mut snapshots = vec![own];
    let mut missing = Vec::new();
    let mut answers = stream::iter(seen.peers)
        .map(|peer| async move {
            let answer = links.burn(peer.id, peer.address).await;
            (peer, answer)
        })
        .buffer_unordered(PEERS_AT_ONCE);
    while let Some((peer, answer)) = answers.next().await {
        match answer {
            Ok(snapshot) => snapshots.push(snapshot),
            Err(_) => missing.push(peer.name),
        }
    }
    missing.sort();
    (snapshots, missing)
}

/// Peers that are asked at the same time.
const PEERS_AT_ONCE: usize = 16;
