//! The fleet as one instance can tell it: its own part, and what its peers answer.

use futures::{StreamExt, stream};
use sl_base::{Millis, status::FleetStatus};
use sl_peer::{Links, Silent};
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
            let answer = answered(links.status(peer.id, peer.address)).await;
            (peer, answer)
        })
        .buffer_unordered(PEERS_AT_ONCE);
    while let Some((peer, answer)) = answers.next().await {
        match answer {
            // A peer that is leaving may answer when nothing is left that knows its state.
            Some(instance) if instance.name == peer.name => fleet.instances.push(instance),
            _ => fleet.silent.push(peer.name),
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
            let answer = answered(links.burn(peer.id, peer.address)).await;
            (peer, answer)
        })
        .buffer_unordered(PEERS_AT_ONCE);
    while let Some((peer, answer)) = answers.next().await {
        match answer {
            Some(snapshot) => snapshots.push(snapshot),
            None => missing.push(peer.name),
        }
    }
    missing.sort();
    (snapshots, missing)
}

/// What a peer answers in time. The links make a silent peer's callers wait for each
/// other, so that the links' own deadlines add up; an operator must not wait for that.
async fn answered<T>(answer: impl Future<Output = Result<T, Silent>>) -> Option<T> {
    tokio::time::timeout(PEER_WITHIN.into(), answer).await.ok()?.ok()
}

/// How long a peer may take to answer an operator's question.
const PEER_WITHIN: Millis = Millis(1_000);
/// Peers that are asked at the same time.
const PEERS_AT_ONCE: usize = 16;
