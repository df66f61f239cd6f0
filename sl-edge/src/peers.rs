//! Gossip between instances: notes and heartbeats sent to peers as UDP datagrams.
//!
//! In a small fleet every instance sends directly to every other one. In a larger fleet the
//! largest instances act as relays: an instance sends to its relay, relays exchange what they
//! received, and each relay forwards it to the instances that it serves. So the number of
//! messages per instance does not grow with the fleet. Between data centres, a relay sends to
//! one relay in each, which forwards there. Notes only refine estimates, so a note that is
//! lost or delivered twice only makes an estimate less accurate.

pub mod arrivals;
pub mod datagram;
pub mod heartbeat;
mod receiver;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use platform::Addresses;
use prometheus_client::metrics::counter::Counter;
use sl_base::{Incarnation, InstanceId, Millis, Timestamp};
use sl_mirror::Version;
use sl_route::{Event, Notes, note::Note};
use slog::debug;
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{Instant, sleep_until, timeout},
};

use arrivals::{MessageArrivals, PeerArrival};
use datagram::{DatagramKey, Hop, Message, Priority, SenderState, pack_notes};
use heartbeat::{HEARTBEAT_INTERVAL, Heartbeat};

use crate::{
    core::Core,
    membership::{PeerInfo, PeerTable},
    metrics::{Metrics, name_label},
    note_budget::NoteBudget,
    roles::{RelayCandidate, RelayRoles},
    store::StoreClient,
};

/// The shortest interval between two rounds of sending in a fleet without relays.
const DIRECT_INTERVAL_MIN: Millis = Millis(5);

/// The shortest interval between two rounds of sending in a fleet with relays, where
/// messages are fewer and larger.
const RELAYED_INTERVAL_MIN: Millis = Millis(20);

/// How often an instance of a fleet with relays sends a heartbeat directly to some of the other
/// instances, in turn, so that instances find each other again that know different relays.
const DIRECT_HEARTBEAT_INTERVAL: Millis = Millis(1_000);

/// How long relay roles are used before they are assigned anew: that looks at all peers.
const ROLES_LIFETIME: Millis = Millis(100);

/// For this long after its start an instance sends them to all others: instances that start at the
/// same time know different relays until they have heard of each other.
const DISCOVERY_PERIOD: Millis = Millis(5_000);

/// Instances that get such a heartbeat at a time.
const DIRECT_HEARTBEAT_PEERS: usize = 16;

/// A peer that has something newer than this instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NewerPeer {
    pub(crate) id: InstanceId,
    pub(crate) store_version: Version,
    pub(crate) document_version: u64,
}

/// Sends this instance's notes and heartbeats to peers, and handles those received from peers.
pub(crate) struct Gossip {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) own_id: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) addresses: Addresses,
    /// CPU cores of this instance, may be fractional; the largest instances become relays.
    pub(crate) cores: f32,
    /// A hash of the name of this instance's data centre.
    pub(crate) data_centre: u32,
    pub(crate) key: DatagramKey,
    pub(crate) socket: UdpSocket,
    pub(crate) counters: DatagramCounters,
    /// The last peer whose message named a newer configuration or store revision than this
    /// instance has; taken by [`crate::catch_up`].
    pub(crate) newer_peer: Cell<Option<NewerPeer>>,
    /// Signalled when `newer_peer` is set.
    pub(crate) newer_peer_seen: Notify,
    pub(crate) relay_queue: RelayQueue,
    /// Whether this instance forwards messages for others.
    pub(crate) is_relay: Cell<bool>,
    /// The time for messages from peers.
    pub(crate) note_budget: RefCell<NoteBudget>,
    /// How many direct heartbeats of a fleet with relays have been sent.
    pub(crate) direct_heartbeats_sent: Cell<usize>,
}

/// The numbers of datagrams by result. They are looked up once, because a label is allocated to look one
/// up.
pub(crate) struct DatagramCounters {
    sent: Counter,
    not_sent: Counter,
    received: Counter,
    not_understood: Counter,
}

/// Messages that this instance forwards as a relay, and the state for sending and receiving
/// each message once.
#[derive(Default)]
pub(crate) struct RelayQueue {
    essential: MessageNumbers,
    ordinary: MessageNumbers,
    from_instances: RefCell<Vec<Message>>,
    /// From relays in other data centres, for all instances in this one.
    from_data_centres: RefCell<Vec<Message>>,
    /// From relays, for the instances that this one serves.
    from_relays: RefCell<Vec<Message>>,
}

/// Sequence numbers of the messages of one priority. Each priority has its own, since messages of
/// different priority travel in different datagrams, and a message that a newer one has overtaken
/// is dropped.
#[derive(Default)]
struct MessageNumbers {
    /// The number of the last message with notes that this instance sent.
    last_sent: Cell<u64>,
    /// The messages received from each instance.
    arrivals: RefCell<MessageArrivals>,
}

impl Gossip {
    /// Sends notes and heartbeats to peers until the daemon stops.
    pub(crate) async fn run_sender(&self) {
        let mut heartbeat = Heartbeat::new(self.core.now());
        let mut direct_heartbeat_at = Instant::now();
        let discovery_ends_at = Instant::now() + DISCOVERY_PERIOD.into();
        let mut roles = None;
        let mut roles_expire_at = Instant::now();
        loop {
            let max_wait = if self.relay_queue.is_empty() { HEARTBEAT_INTERVAL } else { Millis(0) };
            // A timeout is no error: a heartbeat may be due.
            let _ = timeout(max_wait.into(), self.core.notes_ready.notified()).await;
            let now = Instant::now();
            let is_heartbeat = heartbeat.take_due(self.core.now());
            let notes = self.core.with_state(|it| it.take_notes());
            if roles_expire_at <= now {
                roles_expire_at = now + ROLES_LIFETIME.into();
                roles = self.relay_roles();
            }
            match &roles {
                None => self.send_to_all(notes, is_heartbeat).await,
                Some(roles) if roles.is_relay => {
                    self.send_as_relay(roles, notes, is_heartbeat).await
                }
                Some(roles) => self.send_to_relay(roles, notes, is_heartbeat).await,
            }
            self.is_relay.set(roles.as_ref().is_some_and(|it| it.is_relay));
            if !self.is_relay.get() {
                self.relay_queue.clear();
            }
            if roles.is_some() && direct_heartbeat_at <= now {
                direct_heartbeat_at = now + DIRECT_HEARTBEAT_INTERVAL.into();
                self.send_direct_heartbeat(now < discovery_ends_at).await;
            }
            let interval = if roles.is_some() { RELAYED_INTERVAL_MIN } else { DIRECT_INTERVAL_MIN };
            sleep_until(now + interval.into()).await;
        }
    }

    async fn send_to_all(&self, notes: Notes, is_heartbeat: bool) {
        let mut messages = self.build_messages(notes, is_heartbeat);
        messages.iter_mut().for_each(|it| it.state = Some(self.sender_state()));
        let peers = self.peer_table.all().into_iter().filter(|(id, _)| *id != self.own_id);
        let addresses: Vec<Addresses> = peers.map(|it| it.1).collect();
        self.send(Hop::Direct, messages, &addresses).await;
    }

    /// Sends a heartbeat to all other instances while they are being discovered, later to the
    /// next [`DIRECT_HEARTBEAT_PEERS`] in turn.
    async fn send_direct_heartbeat(&self, is_discovering: bool) {
        if is_discovering {
            return self.send_to_all(Notes::default(), true).await;
        }
        let mut peers = self.peer_table.all();
        peers.retain(|(id, _)| *id != self.own_id);
        peers.sort_by_key(|it| it.0);
        let sent = self.direct_heartbeats_sent.get();
        let count = peers.len().min(DIRECT_HEARTBEAT_PEERS);
        self.direct_heartbeats_sent.set(sent.wrapping_add(count));
        let skipped = sent.checked_rem(peers.len()).unwrap_or_default();
        let next = peers.iter().cycle().skip(skipped).take(count);
        let addresses: Vec<Addresses> = next.map(|it| it.1).collect();
        self.send(Hop::Direct, self.build_messages(Notes::default(), true), &addresses).await;
    }

    async fn send_to_relay(&self, roles: &RelayRoles, notes: Notes, is_heartbeat: bool) {
        let relay: Vec<Addresses> = roles.own_relay().into_iter().map(|it| it.addresses).collect();
        self.send(Hop::ToRelay, self.build_messages(notes, is_heartbeat), &relay).await;
    }

    async fn send_as_relay(&self, roles: &RelayRoles, notes: Notes, is_heartbeat: bool) {
        let mut messages = self.relay_queue.from_instances.take();
        messages.extend(self.build_messages(notes, is_heartbeat));
        let entries: Vec<Addresses> =
            roles.remote_entries().iter().map(|it| it.addresses).collect();
        let local_relays: Vec<Addresses> = roles.local_relays().map(|it| it.addresses).collect();
        let served: Vec<Addresses> = roles.served_peers().map(|it| it.addresses).collect();
        self.send(Hop::ToDataCentre, messages.clone(), &entries).await;
        messages.extend(self.relay_queue.from_data_centres.take());
        self.send(Hop::BetweenRelays, messages.clone(), &local_relays).await;
        messages.extend(self.relay_queue.from_relays.take());
        self.send(Hop::FromRelay, messages, &served).await;
    }

    /// The relay roles among the recently active peers; `None` if the fleet is too small.
    fn relay_roles(&self) -> Option<RelayRoles> {
        let peer = |(id, it): (InstanceId, PeerInfo)| RelayCandidate {
            id,
            addresses: it.addresses,
            data_centre: it.data_centre,
            cores: it.cores,
        };
        let peers = self.peer_table.recently_active(self.core.now()).into_iter().map(peer);
        let own = RelayCandidate {
            id: self.own_id,
            addresses: self.addresses,
            data_centre: self.data_centre,
            cores: self.cores,
        };
        RelayRoles::assign(own, peers.collect())
    }

    async fn send(&self, hop: Hop, messages: Vec<Message>, to: &[Addresses]) {
        for datagram in self.key.encode(hop, messages) {
            for addresses in to {
                let sent = self.socket.send_to(&datagram, addresses.notes).await;
                let counters = &self.counters;
                let counter = if sent.is_ok() { &counters.sent } else { &counters.not_sent };
                counter.inc();
                if let Err(e) = sent {
                    // Not resent: a lost note only makes an estimate less accurate, and the
                    // next heartbeat follows in any case.
                    debug!(self.core.log, "failed to send datagram";
                        "to" => %addresses.notes, "reason" => %e);
                }
            }
        }
    }

    /// Packs notes into messages that each fit a datagram, the essential ones by themselves. A
    /// heartbeat that is due is the first message of these, an empty one if there are none.
    fn build_messages(&self, notes: Notes, is_heartbeat: bool) -> Vec<Message> {
        let (essential, ordinary): (Vec<Note>, Vec<Note>) =
            notes.notes.into_iter().partition(Note::is_essential);
        let ordinary = pack_notes(Notes { notes: ordinary });
        let mut essential = pack_notes(Notes { notes: essential });
        if essential.is_empty() && is_heartbeat {
            essential.push(Vec::new());
        }
        let mut messages: Vec<Message> =
            essential.into_iter().chain(ordinary).map(|it| self.build_message(it)).collect();
        if is_heartbeat && let Some(first) = messages.first_mut() {
            first.state = Some(self.sender_state());
        }
        messages
    }

    fn build_message(&self, notes: Vec<Note>) -> Message {
        let mut message = Message {
            from: self.own_id,
            incarnation: self.incarnation,
            sequence: 0,
            state: None,
            notes: Notes { notes },
        };
        if !message.notes.notes.is_empty() {
            message.sequence = self.relay_queue.numbers(message.priority()).take_next();
        }
        message
    }

    fn sender_state(&self) -> SenderState {
        SenderState {
            info: PeerInfo {
                incarnation: self.incarnation,
                follows_store: self.store.claim_to_follow(),
                has_complete_store: self.store.is_complete(),
                cores: self.cores,
                data_centre: self.data_centre,
                addresses: self.addresses,
            },
            document_version: self.core.document().version,
            store_version: self.store.version(),
        }
    }

    /// Decodes a datagram and queues its messages for those that this instance forwards to. Returns
    /// the messages that this instance has not received yet, to be applied.
    fn read_datagram(&self, bytes: &[u8], from: SocketAddr) -> Vec<Message> {
        let Some(datagram) = self.key.decode(bytes) else {
            self.counters.not_understood.inc();
            debug!(self.core.log, "datagram rejected: not authentic or malformed";
                "from" => %from);
            return Vec::new();
        };
        self.counters.received.inc();
        let mut new_messages = Vec::with_capacity(datagram.messages.len());
        for message in datagram.messages {
            let arrival = self.relay_queue.arrival(&message);
            self.core.record_peer_arrival(arrival);
            // An overtaken message is dropped like a copy: its notes on an attempt may come after the
            // note on the end of that attempt.
            if message.from != self.own_id && matches!(arrival, PeerArrival::New { .. }) {
                match datagram.hop {
                    Hop::ToRelay => {
                        self.relay_queue.from_instances.borrow_mut().push(message.clone())
                    }
                    Hop::BetweenRelays => {
                        self.relay_queue.from_relays.borrow_mut().push(message.clone())
                    }
                    Hop::ToDataCentre => {
                        self.relay_queue.from_data_centres.borrow_mut().push(message.clone())
                    }
                    Hop::Direct | Hop::FromRelay => {}
                }
                new_messages.push(message);
            }
        }
        if !self.relay_queue.is_empty() {
            self.core.notes_ready.notify_one();
        }
        new_messages
    }

    fn handle_message(&self, now: Timestamp, message: Message) {
        match message.state {
            Some(state) => self.handle_state(now, message.from, state),
            None => self.peer_table.record_contact(now, message.from),
        }
        self.core.step(Event::NotesReceived { from: message.from.0, notes: message.notes });
    }

    fn handle_state(&self, now: Timestamp, from: InstanceId, state: SenderState) {
        let SenderState { info, document_version, store_version } = state;
        self.peer_table.record_state(now, from, info);
        self.store.observe_era(store_version.era);
        let is_newer =
            document_version > self.core.document().version || self.store.is_behind(store_version);
        if is_newer {
            self.newer_peer.set(Some(NewerPeer { id: from, store_version, document_version }));
            self.newer_peer_seen.notify_one();
        }
        let own_version = self.store.version();
        let is_same_era = store_version.era == own_version.era;
        if info.follows_store && is_same_era && store_version <= own_version {
            self.core.record_store_contact();
        }
        if info.has_complete_store {
            self.store.confirm_removals(store_version);
        }
    }
}

impl DatagramCounters {
    pub(crate) fn new(metrics: &Metrics) -> DatagramCounters {
        let counter = |name| metrics.peer_messages.get_or_create(&name_label(name)).clone();
        DatagramCounters {
            sent: counter("sent"),
            not_sent: counter("not sent"),
            received: counter("received"),
            not_understood: counter("not understood"),
        }
    }
}

impl RelayQueue {
    fn is_empty(&self) -> bool {
        self.from_instances.borrow().is_empty()
            && self.from_data_centres.borrow().is_empty()
            && self.from_relays.borrow().is_empty()
    }

    /// Drops what this instance got for others to forward although it is not a relay, because
    /// its peers know other instances than it does.
    fn clear(&self) {
        self.from_instances.borrow_mut().clear();
        self.from_data_centres.borrow_mut().clear();
        self.from_relays.borrow_mut().clear();
    }

    /// How the message relates to those received before. Messages without notes have no sequence
    /// number and are always new.
    fn arrival(&self, message: &Message) -> PeerArrival {
        if message.sequence == 0 {
            return PeerArrival::New { missed: 0 };
        }
        let Message { from, incarnation, sequence, .. } = *message;
        let numbers = self.numbers(message.priority());
        numbers.arrivals.borrow_mut().record(from, incarnation, sequence)
    }

    fn numbers(&self, priority: Priority) -> &MessageNumbers {
        match priority {
            Priority::Essential => &self.essential,
            Priority::Ordinary => &self.ordinary,
        }
    }
}

impl MessageNumbers {
    fn take_next(&self) -> u64 {
        self.last_sent.set(self.last_sent.get() + 1);
        self.last_sent.get()
    }
}
