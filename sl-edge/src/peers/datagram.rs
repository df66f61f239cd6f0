//! Datagrams between instances: contents, size limit and authentication tag.

use std::fmt;

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, InstanceId};
use sl_mirror::Version;
use sl_route::{Notes, note::Note};

use crate::membership::PeerInfo;

/// The key that authenticates datagrams between instances of one fleet.
#[derive(Clone)]
pub struct DatagramKey([u8; blake3::KEY_LEN]);

/// The key is a secret, so it is left out.
impl fmt::Debug for DatagramKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DatagramKey(..)")
    }
}

/// Bytes of the authentication tag at the start of each datagram.
const TAG_BYTES: usize = 16;

/// Bytes of messages in one datagram. With the tag and the headers of IP and UDP it stays
/// below the usual MTU of 1500 bytes, so that it is not fragmented.
pub(super) const PAYLOAD_BYTES_MAX: usize = 1_300;

/// Bytes reserved in each message for the fields other than its notes.
const HEADER_BYTES: usize = 61;

/// Notes of one instance, or its heartbeat if there are none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message {
    /// The instance that wrote the message, also if a relay forwards it.
    pub from: InstanceId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each message that has notes, within one incarnation; 0 if the
    /// message has none.
    pub sequence: u64,
    /// The sender's state; `None` if an earlier message had it a moment before.
    pub(crate) state: Option<SenderState>,
    /// What happened at the sender since its last message.
    pub notes: Notes,
}

/// The state of the instance that wrote a message. It is longer than most notes.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SenderState {
    /// The sender's state for the peer table.
    pub(crate) info: PeerInfo,
    /// The version of the configuration in force at the sender.
    pub(crate) document_version: u64,
    /// The store's version up to which the sender has every change.
    pub(crate) store_version: Version,
}

/// The hop on which a datagram is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// From the instance that wrote the messages to any other; not forwarded.
    Direct,
    /// To a relay, which forwards to the other relays and to the instances that it serves.
    ToRelay,
    /// From one relay to another, which forwards to the instances that it serves.
    BetweenRelays,
    /// From a relay to the instances that it serves; not forwarded.
    FromRelay,
    /// From a relay to one in another data centre, which forwards to the other relays there and
    /// to the instances that it serves.
    ToDataCentre,
}

/// Whether a receiver that has no time for all messages reads a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Priority {
    /// It is read in any case: all of its notes are essential, or it is a heartbeat.
    Essential,
    /// It may be dropped unread.
    Ordinary,
}

/// The contents of a datagram behind its tag.
#[derive(Debug, Serialize, Deserialize)]
pub struct Datagram {
    /// The priority of all messages; first, so that it can be read by itself.
    pub priority: Priority,
    /// Where the messages come from, and so to whom they are forwarded.
    pub hop: Hop,
    /// The messages, in the order in which they were sent.
    pub messages: Vec<Message>,
}

impl Message {
    /// A message of `notes`, without the sender's state.
    pub fn of_notes(
        from: InstanceId,
        incarnation: Incarnation,
        sequence: u64,
        notes: Notes,
    ) -> Message {
        Message { from, incarnation, sequence, state: None, notes }
    }

    /// The priority that follows from the message's notes.
    pub(super) fn priority(&self) -> Priority {
        let is_essential = self.notes.notes.iter().all(Note::is_essential);
        if is_essential { Priority::Essential } else { Priority::Ordinary }
    }
}

/// The priority that a datagram states. It is not verified, so it says no more than whether verifying
/// the datagram is worth the time.
pub(super) fn stated_priority(tagged: &[u8]) -> Option<Priority> {
    let (priority, _) = postcard::take_from_bytes(tagged.get(TAG_BYTES..)?).ok()?;
    Some(priority)
}

impl DatagramKey {
    /// Derives the key from the fleet's shared secret.
    pub fn derive(secret: &str) -> DatagramKey {
        DatagramKey(blake3::derive_key("sesamelock fleet messages 5", secret.as_bytes()))
    }

    fn tag(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let hash = blake3::keyed_hash(&self.0, bytes);
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        tag
    }

    /// Decodes a datagram; `None` if its tag is wrong or its contents are malformed.
    pub fn decode(&self, tagged: &[u8]) -> Option<Datagram> {
        postcard::from_bytes(self.verify(tagged)?).ok()
    }

    /// Encodes messages as datagrams with their tags, each with messages of one priority. Ordinary
    /// messages come first: what is known of an attempt follows the note that it was sent.
    pub fn encode(&self, hop: Hop, messages: Vec<Message>) -> Vec<Vec<u8>> {
        let (essential, ordinary): (Vec<Message>, Vec<Message>) =
            messages.into_iter().partition(|it| it.priority() == Priority::Essential);
        let mut datagrams = self.encode_all(Priority::Ordinary, hop, ordinary);
        datagrams.extend(self.encode_all(Priority::Essential, hop, essential));
        datagrams
    }

    fn encode_all(&self, priority: Priority, hop: Hop, messages: Vec<Message>) -> Vec<Vec<u8>> {
        let parts = pack(messages, PAYLOAD_BYTES_MAX).into_iter();
        parts
            .filter_map(|messages| self.encode_one(&Datagram { priority, hop, messages }))
            .collect()
    }

    /// Encodes one datagram behind its tag. Encoding does not fail for the types in a
    /// [`Datagram`].
    fn encode_one(&self, datagram: &Datagram) -> Option<Vec<u8>> {
        let bytes = postcard::to_allocvec(datagram).ok()?;
        let mut tagged = self.tag(&bytes).to_vec();
        tagged.extend_from_slice(&bytes);
        Some(tagged)
    }

    /// The bytes behind the tag; `None` if the tag is wrong. The comparison takes constant time.
    pub fn verify<'a>(&self, tagged: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, bytes) = tagged.split_at_checked(TAG_BYTES)?;
        let differs = tag.iter().zip(self.tag(bytes)).fold(0, |diff, (a, b)| diff | (a ^ b));
        (differs == 0).then_some(bytes)
    }
}

/// Splits notes into parts that each fit a datagram together with the message's other fields.
pub(super) fn pack_notes(notes: Notes) -> Vec<Vec<Note>> {
    pack(notes.notes, PAYLOAD_BYTES_MAX - HEADER_BYTES)
}

/// Splits `items` into parts of up to `max_bytes` encoded bytes, in order. An item that is
/// larger by itself becomes a part of its own.
fn pack<T: Serialize>(items: Vec<T>, max_bytes: usize) -> Vec<Vec<T>> {
    let mut parts = Vec::new();
    let mut part = Vec::new();
    let mut size = 0;
    for item in items {
        let len = postcard::experimental::serialized_size(&item).unwrap_or(max_bytes);
        if size + len > max_bytes && !part.is_empty() {
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
