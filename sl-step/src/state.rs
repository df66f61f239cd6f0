//! The whole state of an instance, and the step that moves it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use sl_base::{
    InstanceId, PoolId, RequestId, ServerId, Timestamp,
    call::{Call, CallId, Reply},
    listing::Listing,
};
use sl_claim::{Claims, Strikes};
use sl_config::Config;
use sl_fair::Fair;
use sl_member::Members;
use sl_slots::Slots;

use crate::{
    Effect, Event, Message, Options, effect::Note, message::Running, request::Requests,
    spread::Spread, wait::Waits,
};

/// The whole state: each area's own, and what ties them together.
#[derive(Debug)]
pub struct State {
    pub(crate) options: Options,
    pub(crate) me: InstanceId,
    pub(crate) config: Arc<Config>,
    pub(crate) listing: Arc<Listing>,
    pub(crate) addresses: BTreeMap<ServerId, SocketAddr>,
    pub(crate) requests: Requests,
    pub(crate) spread: Spread,
    pub(crate) fair: Fair,
    pub(crate) slots: Slots,
    pub(crate) claims: Claims,
    pub(crate) strikes: Strikes,
    pub(crate) waits: Waits,
    pub(crate) members: Members,
    /// Pools that may have both waiting work and a free slot.
    pub(crate) moved: BTreeSet<PoolId>,
    pub(crate) list_at: Timestamp,
    pub(crate) exchange_at: Timestamp,
    pub(crate) stop: Stop,
    pub(crate) ready: bool,
    pub(crate) next_call: u64,
    pub(crate) outbox: BTreeMap<InstanceId, (SocketAddr, Vec<Message>)>,
    pub(crate) effects: Vec<Effect>,
}

/// Whether a planned stop is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stop {
    No,
    /// Unready, but new work is still taken until the balancer has noticed.
    Unready {
        refuse_at: Timestamp,
        cut_by: Timestamp,
    },
    /// Nothing is left but to let the last messages go.
    Leaving {
        exit_at: Timestamp,
    },
    Done,
}

impl State {
    /// The state of an instance whose process started at `now` and knows nothing.
    pub fn new(options: Options, now: Timestamp) -> State {
        let me = options.me();
        let life = options.incarnation;
        let this = sl_member::Me { id: me, incarnation: life, address: options.control };
        let fair =
            sl_fair::Options { window: options.fair_window, ..sl_fair::Options::of(me, life) };
        let mut state = State {
            me,
            config: Arc::default(),
            listing: Arc::default(),
            addresses: BTreeMap::new(),
            requests: Requests::default(),
            spread: Spread::default(),
            fair: Fair::new(fair),
            slots: Slots::new(now, me, options.slots.clone()),
            claims: Claims::new(options.claims, me, life),
            strikes: Strikes::new(options.strikes, me, life),
            waits: Waits::default(),
            members: Members::new(options.members, this, options.seed, now),
            moved: BTreeSet::new(),
            list_at: now,
            exchange_at: now,
            stop: Stop::No,
            ready: false,
            next_call: 0,
            outbox: BTreeMap::new(),
            effects: Vec::new(),
            options,
        };
        state.greet_seeds(now);
        state
    }

    /// Takes one event and gives what is to be done.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        self.take(now, event);
        self.pass_time(now);
        self.settle_members(now);
        self.settle_claims(now);
        self.dispatch(now);
        self.settle_slots(now);
        self.see_stop_through(now);
        self.tell_ready(now);
        self.flush(now);
        std::mem::take(&mut self.effects)
    }

    /// When the next [`Event::Tick`] is due.
    pub fn due(&self, now: Timestamp) -> Timestamp {
        // Once isolated, nothing more becomes due by it.
        let isolated_at = Some(self.members.isolated_at()).filter(|it| !it.is_due(now));
        let areas = [
            self.fair.due(),
            self.slots.due(now),
            self.claims.due(now),
            self.members.due(),
            isolated_at.unwrap_or(Timestamp::NEVER),
            self.spread.due(),
            self.list_at,
            self.exchange_at,
            self.stop_due(now),
        ];
        areas.into_iter().min().unwrap_or(Timestamp::NEVER)
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// The platform's list as this instance knows it.
    pub fn listing(&self) -> &Arc<Listing> {
        &self.listing
    }

    /// Whether a request is still to get its final answer or its attempt's end; what is
    /// kept for it outside may be dropped once it is not.
    pub fn is_held(&self, request: RequestId) -> bool {
        self.requests.get(request).is_some()
    }

    fn take(&mut self, now: Timestamp, event: Event) {
        match event {
            Event::Tick => {}
            Event::Arrived(arrival) => self.arrived(now, arrival),
            Event::CallerGone { request } => self.caller_gone(now, request),
            Event::Answering { attempt } => self.answering(attempt),
            Event::Progress { attempt, units } => self.progress(attempt, units),
            Event::Ended { attempt, end } => self.ended(now, attempt, end),
            Event::Message { from, incarnation, message } => {
                self.hear(now, from, incarnation, message);
            }
            Event::PeerAnswered { peer, sent_at } => {
                self.members.on_answered(now, peer, sent_at);
                self.fair.acked(peer, sent_at);
            }
            Event::PeerSilent { peer } => self.members.on_silent(now, peer),
            Event::Listed(listing) => {
                self.members.on_platform(now, true);
                self.listed(now, listing);
            }
            Event::ListUnchanged => self.members.on_platform(now, true),
            Event::ListFailed => self.members.on_platform(now, false),
            Event::Replied { id, reply } => self.replied(now, id, reply),
            Event::Stop { cut_by } => self.stop_by(now, cut_by),
        }
    }

    fn pass_time(&mut self, now: Timestamp) {
        if self.members.due().is_due(now) {
            self.members.tick(now);
        }
        if self.fair.due().is_due(now) {
            self.expire(now);
            self.fair.tick(now);
        }
        if self.members.isolated(now) {
            self.give_up_isolated(now);
        }
        if self.claims.due(now).is_due(now) {
            self.claims.tick(now);
        }
        if self.slots.due(now).is_due(now) {
            self.slots.tick(now);
            self.moved.extend(self.fair.pools());
        }
        self.read_list(now);
        self.follow_head(now);
        self.exchange(now);
    }

    fn replied(&mut self, now: Timestamp, id: CallId, reply: Reply) {
        let reached = !matches!(reply, Reply::Lost | Reply::Refused);
        self.members.on_platform(now, reached);
        if Claims::owns(id) {
            self.claims.on_reply(now, id, reply);
        } else {
            self.on_config_reply(now, id, reply);
        }
    }

    pub(crate) fn call(&mut self, call: Call, answer_by: Timestamp) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.effects.push(Effect::Call { id, call, answer_by });
        id
    }

    pub(crate) fn running(&self) -> Running {
        Running { revision: self.config.revision(), listing: self.listing.version }
    }

    pub(crate) fn note(&mut self, what: &'static str, whom: impl ToString) {
        self.effects.push(Effect::Note(Note { what, whom: whom.to_string() }));
    }

    fn tell_ready(&mut self, now: Timestamp) {
        let ready =
            self.stop == Stop::No && self.spread.has_config() && !self.members.isolated(now);
        if ready != self.ready {
            self.ready = ready;
            self.effects.push(Effect::Ready(ready));
        }
    }

    /// Puts a message to a peer into the envelope that leaves at the end of the step.
    pub(crate) fn say(&mut self, to: InstanceId, message: Message) {
        if let Some(address) = self.members.address(to) {
            self.say_at(to, address, message);
        }
    }

    pub(crate) fn say_at(&mut self, to: InstanceId, address: SocketAddr, message: Message) {
        let envelope = self.outbox.entry(to).or_insert_with(|| (address, Vec::new()));
        envelope.1.push(message);
    }

    fn flush(&mut self, now: Timestamp) {
        for (to, (address, messages)) in std::mem::take(&mut self.outbox) {
            self.effects.push(Effect::Send { to, address, sent_at: now, messages });
        }
    }
}
