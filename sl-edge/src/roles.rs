//! Assigns relays in a large fleet: which instances relay gossip, and for which peers.
//!
//! Each instance computes the roles from the peers that it received messages from recently,
//! without an election. Instances that know different peers may disagree, and then a note is
//! delivered twice or not at all, which only makes an estimate less accurate.

use std::collections::HashMap;

use platform::Addresses;
use sl_base::{InstanceId, hash};

/// Fleets with up to this many instances use no relays.
const DIRECT_FLEET_MAX: usize = 16;

/// The key of the rendezvous hash that ranks instances for the role of relay.
const RELAY_HASH_KEY: u64 = 0x7265_6c61_7973;

/// An instance as a candidate for the role of relay.
#[derive(Clone, Copy, Debug)]
pub struct RelayCandidate {
    /// The instance's id, which breaks ties between instances with equally many cores.
    pub id: InstanceId,
    /// The addresses that datagrams to the instance are sent to.
    pub addresses: Addresses,
    /// A hash of the name of the instance's data centre.
    pub data_centre: u32,
    /// The instance's CPU cores, may be fractional; the instances with the most become relays.
    pub cores: f32,
}

/// The relays of a fleet as one instance sees them, and its own role.
pub struct RelayRoles {
    /// The relays other than this instance.
    pub relays: Vec<RelayCandidate>,
    /// The peers that are not relays.
    others: Vec<RelayCandidate>,
    /// Whether this instance is a relay.
    pub is_relay: bool,
    own: RelayCandidate,
}

impl RelayRoles {
    /// Assigns roles among `peers` and `own`: the instances with the most cores are relays, as
    /// many as the square root of the fleet's size. `None` if the fleet is too small for
    /// relays.
    pub fn assign(own: RelayCandidate, peers: Vec<RelayCandidate>) -> Option<RelayRoles> {
        if peers.len() < DIRECT_FLEET_MAX {
            return None;
        }
        let mut ranked = peers.clone();
        ranked.push(own);
        ranked
            .sort_by(|a, b| b.cores.total_cmp(&a.cores).then_with(|| rank(b.id).cmp(&rank(a.id))));
        let count = (ranked.len() as f64).sqrt().ceil() as usize;
        ranked.truncate(count);
        let is_relay = |id: InstanceId| ranked.iter().any(|it| it.id == id);
        let (relays, others) = peers.into_iter().partition(|it| is_relay(it.id));
        Some(RelayRoles { relays, others, is_relay: is_relay(own.id), own })
    }

    /// The relay that this instance sends its notes to; `None` if this instance serves
    /// itself as a relay.
    pub fn own_relay(&self) -> Option<RelayCandidate> {
        self.relay_of(self.own)
    }

    /// The relays in the data centre of this instance, other than itself.
    pub fn local_relays(&self) -> impl Iterator<Item = RelayCandidate> {
        self.relays.iter().copied().filter(|it| it.data_centre == self.own.data_centre)
    }

    /// For each other data centre with relays, the one to which this relay sends what it got from
    /// the instances that it serves. It forwards that in its data centre, so that each message
    /// crosses to another data centre once. Different relays send to different ones.
    pub fn remote_entries(&self) -> Vec<RelayCandidate> {
        let key = rank(self.own.id);
        let mut entries: HashMap<u32, RelayCandidate> = HashMap::new();
        for relay in self.relays.iter().filter(|it| it.data_centre != self.own.data_centre) {
            let weight = |it: &RelayCandidate| hash::weight(key, it.id.into());
            let entry = entries.entry(relay.data_centre).or_insert(*relay);
            if weight(relay) > weight(entry) {
                *entry = *relay;
            }
        }
        entries.into_values().collect()
    }

    /// The peers that this instance serves as a relay.
    pub fn served_peers(&self) -> impl Iterator<Item = RelayCandidate> {
        self.others.iter().copied().filter(|it| self.relay_of(*it).is_none())
    }

    /// The relay that serves `peer`; `None` if this instance does. Relays in the peer's data
    /// centre are preferred, then those that rank higher in a rendezvous hash.
    fn relay_of(&self, peer: RelayCandidate) -> Option<RelayCandidate> {
        let key = rank(peer.id);
        let weight = |it: &RelayCandidate| {
            (it.data_centre == peer.data_centre, hash::weight(key, it.id.into()))
        };
        let best = self.relays.iter().copied().max_by_key(weight);
        best.filter(|it| !self.is_relay || weight(it) > weight(&self.own))
    }
}

fn rank(id: InstanceId) -> u64 {
    hash::weight(RELAY_HASH_KEY, id.into())
}
