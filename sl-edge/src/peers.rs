//! Notes to and from fellow instances, as datagrams.
//!
//! A few instances tell each other directly. In a larger fleet some of them, the largest
//! ones, are relays: an instance tells its relay, relays tell each other, and each relay
//! its own instances. So the messages of one instance do not grow with the fleet. A note
//! that is lost on the way, or told twice, costs an estimate at most.

mod datagram;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
};

use platform::Addresses;
use sl_base::{Incarnation, InstanceId, Millis, Timestamp};
use sl_route::{Event, Notes, note::Note};
use slog::debug;
use tokio::{
    net::UdpSocket,
    sync::Notify,
    time::{Instant, sleep_until, timeout},
};

pub(crate) use datagram::FleetKey;
use datagram::{DATAGRAM_BYTES, Message, Way, packed_notes};

use crate::{
    core::Core,
    membership::{PeerInfo, PeerTable},
    metrics::name_label,
    roles::{Fellow, Roles},
    store::StoreClient,
};

/// The least time between two messages on the same way.
const PACE: Millis = Millis(5);

/// The same in a fleet with relays, whose messages then are fewer and larger.
const RELAYED_PACE: Millis = Millis(20);

/// A peer hears something at least this often.
const BEAT: Millis = Millis(200);

/// An instance of a fleet with relays tells every other one directly this often that it
/// lives.
const DIRECT_BEAT: Millis = Millis(1_000);

/// Tells peers what happens here, and hears them.
pub(crate) struct Gossip {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) own_id: InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) addresses: Addresses,
    /// The part of a core that this instance has, which decides who relays.
    pub(crate) cores: f32,
    /// Stands for the data centre that it is in.
    pub(crate) data_centre: u32,
    pub(crate) key: FleetKey,
    pub(crate) socket: UdpSocket,
    /// A peer that knows more of the store than this instance.
    pub(crate) newer_peer: Cell<Option<InstanceId>>,
    pub(crate) newer_peer_seen: Notify,
    pub(crate) relay_queue: RelayQueue,
}

/// What waits to be relayed, and what was heard.
#[derive(Default)]
pub(crate) struct RelayQueue {
    number: Cell<u64>,
    of_instances: RefCell<Vec<Message>>,
    of_relays: RefCell<Vec<Message>>,
    last: RefCell<HashMap<InstanceId, (Incarnation, u64)>>,
}

impl Gossip {
    /// Tells peers for as long as the daemon runs.
    pub(crate) async fn run_sender(&self) {
        let mut beat_at = Instant::now();
        let mut direct_at = Instant::now();
        loop {
            let within = if self.relay_queue.is_empty() { BEAT } else { Millis(0) };
            // Either there is something to tell, or a beat may be due.
            let _ = timeout(within.into(), self.core.notes.notified()).await;
            let now = Instant::now();
            let is_beat = beat_at <= now;
            let notes = self.core.with(|it| it.take_notes());
            let roles = self.roles();
            if is_beat || !notes.notes.is_empty() {
                beat_at = now + BEAT.into();
            }
            match &roles {
                None => self.tell_all(notes, is_beat).await,
                Some(roles) if roles.is_relay => self.relay(roles, notes, is_beat).await,
                Some(roles) => self.tell_relay(roles, notes, is_beat).await,
            }
            if roles.is_some() && direct_at <= now {
                direct_at = now + DIRECT_BEAT.into();
                self.tell_all(Notes::default(), true).await;
            }
            let pace = if roles.is_some() { RELAYED_PACE } else { PACE };
            sleep_until(now + pace.into()).await;
        }
    }

    /// Hears peers for as long as the daemon runs.
    pub(crate) async fn run_receiver(&self) {
        let mut buf = vec![0; DATAGRAM_BYTES * 2];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((read, from)) => self.take(&buf[..read], from),
                Err(e) => {
                    debug!(self.core.log, "datagram not received"; "reason" => %e);
                }
            }
        }
    }

    async fn tell_all(&self, notes: Notes, is_beat: bool) {
        let messages = self.messages(notes, is_beat);
        let fellows = self.peer_table.all().into_iter().filter(|(id, _)| *id != self.own_id);
        let addresses: Vec<Addresses> = fellows.map(|it| it.1).collect();
        self.send(Way::Direct, messages, &addresses).await;
    }

    async fn tell_relay(&self, roles: &Roles, notes: Notes, is_beat: bool) {
        let relay: Vec<Addresses> = roles.mine().into_iter().map(|it| it.addresses).collect();
        self.send(Way::ToRelay, self.messages(notes, is_beat), &relay).await;
    }

    async fn relay(&self, roles: &Roles, notes: Notes, is_beat: bool) {
        let mut here = self.relay_queue.of_instances.take();
        here.extend(self.messages(notes, is_beat));
        let elsewhere = self.relay_queue.of_relays.take();
        let mine: Vec<Addresses> = roles.relayed().map(|it| it.addresses).collect();
        let relays: Vec<Addresses> = roles.relays.iter().map(|it| it.addresses).collect();
        self.send(Way::BetweenRelays, here.clone(), &relays).await;
        here.extend(elsewhere);
        self.send(Way::FromRelay, here, &mine).await;
    }

    /// Who relays, in a fleet that is large enough for it.
    fn roles(&self) -> Option<Roles> {
        let fellow = |(id, it): (InstanceId, PeerInfo)| Fellow {
            id,
            addresses: it.addresses,
            data_centre: it.data_centre,
            cores: it.cores,
        };
        let fellows = self.peer_table.recently_heard(self.core.now()).into_iter().map(fellow);
        let me = Fellow {
            id: self.own_id,
            addresses: self.addresses,
            data_centre: self.data_centre,
            cores: self.cores,
        };
        Roles::of(me, fellows.collect())
    }

    async fn send(&self, way: Way, messages: Vec<Message>, to: &[Addresses]) {
        for datagram in self.key.seal(way, messages) {
            for addresses in to {
                let sent = self.socket.send_to(&datagram, addresses.notes).await;
                let kind = if sent.is_ok() { "sent" } else { "not sent" };
                self.core.metrics.peer_messages.get_or_create(&name_label(kind)).inc();
                if let Err(e) = sent {
                    // A datagram that is lost costs an estimate; the next beat goes on.
                    debug!(self.core.log, "datagram not sent";
                        "to" => %addresses.notes, "reason" => %e);
                }
            }
        }
    }

    /// What this instance tells: its notes, in messages that fit a datagram.
    fn messages(&self, notes: Notes, is_beat: bool) -> Vec<Message> {
        let mut parts = packed_notes(notes);
        if parts.is_empty() && is_beat {
            parts.push(Vec::new());
        }
        parts.into_iter().map(|it| self.message(it)).collect()
    }

    fn message(&self, notes: Vec<Note>) -> Message {
        let number = if notes.is_empty() {
            0
        } else {
            self.relay_queue.number.set(self.relay_queue.number.get() + 1);
            self.relay_queue.number.get()
        };
        Message {
            from: self.own_id,
            life: self.incarnation,
            number,
            seen: PeerInfo {
                life: self.incarnation,
                follows: self.store.is_following() && self.store.is_reachable(),
                is_steady: self.store.is_stable(),
                cores: self.cores,
                data_centre: self.data_centre,
                addresses: self.addresses,
            },
            document: self.core.document().version,
            revision: self.store.revision(),
            notes: Notes { notes },
        }
    }

    fn take(&self, sealed: &[u8], from: SocketAddr) {
        let Some(datagram) = self.key.open(sealed) else {
            self.core.metrics.peer_messages.get_or_create(&name_label("not understood")).inc();
            debug!(self.core.log, "datagram not understood"; "from" => %from);
            return;
        };
        self.core.metrics.peer_messages.get_or_create(&name_label("received")).inc();
        let now = self.core.now();
        for message in datagram.messages {
            if message.from != self.own_id && self.relay_queue.is_new(&message) {
                match datagram.way {
                    Way::ToRelay => {
                        self.relay_queue.of_instances.borrow_mut().push(message.clone())
                    }
                    Way::BetweenRelays => {
                        self.relay_queue.of_relays.borrow_mut().push(message.clone())
                    }
                    Way::Direct | Way::FromRelay => {}
                }
                self.take_message(now, message);
            }
        }
        if !self.relay_queue.is_empty() {
            self.core.notes.notify_one();
        }
    }

    fn take_message(&self, now: Timestamp, message: Message) {
        self.peer_table.record_heard(now, message.from, message.seen);
        let is_ahead = message.document > self.core.document().version
            || message.revision > self.store.revision();
        if is_ahead {
            self.newer_peer.set(Some(message.from));
            self.newer_peer_seen.notify_one();
        }
        if message.seen.follows && message.revision <= self.store.revision() {
            self.core.store_heard();
        }
        if message.seen.is_steady {
            self.store.confirm_removals(message.revision);
        }
        self.core.step(Event::NotesReceived { from: message.from.0, notes: message.notes });
    }
}

impl RelayQueue {
    fn is_empty(&self) -> bool {
        self.of_instances.borrow().is_empty() && self.of_relays.borrow().is_empty()
    }

    /// Whether the message was not heard before, by another way.
    fn is_new(&self, message: &Message) -> bool {
        if message.number == 0 {
            return true;
        }
        let mut last = self.last.borrow_mut();
        let heard = (message.life, message.number);
        let before = last.entry(message.from).or_default();
        let is_new = heard > *before;
        *before = heard.max(*before);
        is_new
    }
}
