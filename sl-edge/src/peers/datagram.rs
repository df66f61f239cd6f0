//! Datagrams between instances: their contents, size and seal.

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, InstanceId};
use sl_route::{Notes, note::Note};

use crate::membership::PeerInfo;

/// The key that datagrams are authenticated with.
#[derive(Clone)]
pub(crate) struct FleetKey([u8; blake3::KEY_LEN]);

/// Bytes of the tag before each datagram.
const TAG_BYTES: usize = 16;

/// Bytes of a datagram, below what networks carry in one piece.
pub(super) const DATAGRAM_BYTES: usize = 1_300;

/// Bytes of a message besides its notes.
const HEADER_BYTES: usize = 57;

/// What an instance tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Message {
    pub(super) from: InstanceId,
    /// The sender's life.
    pub(super) life: Incarnation,
    /// Rises with each message that has notes; 0 where there are none.
    pub(super) number: u64,
    /// What fellows know of the sender by it.
    pub(super) seen: PeerInfo,
    /// The version of the configuration in force at the sender.
    pub(super) document: u64,
    /// The store's revision up to which the sender knows everything.
    pub(super) revision: u64,
    pub(super) notes: Notes,
}

/// Which way messages go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Way {
    /// From the instance that they are of.
    Direct,
    /// To a relay, which tells all others.
    ToRelay,
    /// From one relay to another, which tells its own instances.
    BetweenRelays,
    /// From a relay to its instances.
    FromRelay,
}

/// A datagram's contents.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Datagram {
    pub(super) way: Way,
    pub(super) messages: Vec<Message>,
}

impl FleetKey {
    /// The key that follows from the fleet's secret.
    pub(crate) fn derive(secret: &str) -> FleetKey {
        FleetKey(blake3::derive_key("sesamelock fleet messages 1", secret.as_bytes()))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, bytes);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// What a datagram tells that a fellow sealed.
    pub(super) fn open(&self, sealed: &[u8]) -> Option<Datagram> {
        postcard::from_bytes(self.opened(sealed)?).ok()
    }

    /// Messages as datagrams, sealed.
    pub(super) fn seal(&self, way: Way, messages: Vec<Message>) -> Vec<Vec<u8>> {
        let parts = packed(messages, DATAGRAM_BYTES).into_iter();
        parts.filter_map(|messages| self.sealed(&Datagram { way, messages })).collect()
    }

    /// A datagram and its tag; every datagram of ours can be encoded.
    fn sealed(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let bytes = postcard::to_allocvec(datagram).ok()?;
        let mut sealed = self.tag(&bytes).to_vec();
        sealed.extend_from_slice(&bytes);
        Some(sealed)
    }

    /// The bytes behind a tag that is theirs.
    fn opened<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, bytes) = sealed.split_at_checked(TAG_BYTES)?;
        let differs = tag.iter().zip(self.tag(bytes)).fold(0, |diff, (a, b)| diff | (a ^ b));
        (differs == 0).then_some(bytes)
    }
}

/// Notes in parts, each of which fits a datagram with what a message has besides.
pub(super) fn packed_notes(notes: Notes) -> Vec<Vec<Note>> {
    packed(notes.notes, DATAGRAM_BYTES - HEADER_BYTES)
}

/// `items` in parts of up to `bytes_max` bytes; one that is larger is a part by itself.
fn packed<T: Serialize>(items: Vec<T>, bytes_max: usize) -> Vec<Vec<T>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for item in items {
        let len = postcard::experimental::serialized_size(&item).unwrap_or(bytes_max);
        if size + len > bytes_max && !part.is_empty() {
            parts.push(std::mem::take(&mut part));
            size = 0;
        }
        size += len;
        part.push(item);
    }
    if !part.is_empty() {
        parts.push(part);
    }
    parts
}
