//! The members of the fleet as one instance sees them.

mod news;
mod probe;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rand::{SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use sl_base::{Incarnation, InstanceId, Millis, Timestamp, listing::Listing};

use crate::{
    Change, Life, Message, Options, Status,
    member::{Member, Probe},
};

/// What an instance knows of itself from the start.
#[derive(Clone, Copy, Debug)]
pub struct Me {
    /// Its id.
    pub id: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where its control port listens.
    pub address: SocketAddr,
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a peer, and say whether it was confirmed.
    Send {
        /// The peer.
        to: InstanceId,
        /// Where its control port listens.
        address: SocketAddr,
        /// What to say.
        message: Message,
    },
    /// A member is held for something else than before, or joined, or is leaving.
    Changed {
        /// Whom it concerns.
        member: InstanceId,
        /// What it is held for; none once it is forgotten.
        status: Option<Status>,
    },
}

/// The members of the fleet.
///
/// A newborn whose platform is down knows nobody. It learns the others when one of them
/// that has it on its list probes it; until then it counts as isolated after
/// [`Options::isolated_after`]. A fleet of one is never isolated while the platform answers.
#[derive(Debug)]
pub struct Members {
    options: Options,
    me: Me,
    objections: u32,
    leaving: bool,
    rng: ChaCha8Rng,
    members: BTreeMap<InstanceId, Member>,
    listed_version: u64,
    /// Whom to probe next, a shuffled round of those held alive.
    round: Vec<InstanceId>,
    /// The same of those held dead and still listed.
    dead_round: Vec<InstanceId>,
    /// How often each change is still to be passed on.
    news: BTreeMap<InstanceId, u32>,
    /// On whose behalf a member is probed, and until when.
    asked: BTreeMap<(InstanceId, InstanceId), Timestamp>,
    probe_at: Timestamp,
    /// How many more rounds of probes through others this period allows. Without a bound,
    /// each lost message would lead to several new ones.
    rounds_left: u32,
    /// How often this period still allows to pass changes on at once.
    pushes_left: u32,
    /// A tick after this means that the process stood still, not that its peers did.
    stalled_at: Timestamp,
    isolated_at: Timestamp,
    out: Vec<Output>,
}

impl Members {
    /// The members as an instance sees them that just started; `seed` drives the choice
    /// of whom to probe.
    pub fn new(options: Options, me: Me, seed: u64, now: Timestamp) -> Members {
        Members {
            me,
            objections: 0,
            leaving: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: BTreeMap::new(),
            listed_version: 0,
            round: Vec::new(),
            dead_round: Vec::new(),
            news: BTreeMap::new(),
            asked: BTreeMap::new(),
            probe_at: now,
            rounds_left: options.indirect_rounds,
            pushes_left: options.pushes,
            stalled_at: Timestamp::NEVER,
            isolated_at: now.after(options.isolated_after),
            out: Vec::new(),
            options,
        }
    }

    /// Takes the platform's list in. An older one than is known is ignored; while none
    /// comes, the last one stands.
    pub fn on_listing(&mut self, now: Timestamp, listing: &Listing) {
        self.on_platform(now, true);
        if listing.version < self.listed_version {
            return;
        }
        self.listed_version = listing.version;
        let mut listed = BTreeSet::new();
        for instance in &listing.instances {
            let id = InstanceId::of(&instance.name);
            listed.insert(id);
            self.list(id, instance.control, instance.leaving);
        }
        let forget_at = now.after(self.options.forget_after);
        for (id, member) in &mut self.members {
            let was_listed = std::mem::replace(&mut member.listed, listed.contains(id));
            if was_listed && !member.listed && member.is_dead() {
                member.until = forget_at;
            }
        }
    }

    /// Says whether the platform, its list or its key-value service, just answered.
    pub fn on_platform(&mut self, now: Timestamp, reached: bool) {
        if reached {
            self.touch(now);
        }
    }

    /// Says that `peer` confirmed a message that left at `sent_at`, of whatever kind.
    pub fn on_answered(&mut self, now: Timestamp, peer: InstanceId, sent_at: Timestamp) {
        self.touch(sent_at);
        self.answer_askers(now, peer);
        let Some(member) = self.members.get_mut(&peer) else {
            return;
        };
        member.probe = Probe::Idle;
        if member.status == Status::Alive {
            return;
        }
        // The others go on holding the member for what they do until it objects itself.
        let held = member.change(peer);
        member.status = Status::Alive;
        member.until = Timestamp::NEVER;
        let address = member.address;
        self.changed(peer);
        self.ping(peer, address, Some(held));
    }

    /// Says that `peer` did not confirm a message in time, of whatever kind.
    pub fn on_silent(&mut self, now: Timestamp, peer: InstanceId) {
        let Some(member) = self.members.get(&peer) else {
            return;
        };
        let is_new = !matches!(member.probe, Probe::Indirect { .. });
        if member.status == Status::Alive && is_new {
            self.probe_indirectly(now, peer);
        }
    }

    /// Takes a peer's message in; `incarnation` is the peer's life.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        incarnation: Incarnation,
        message: Message,
    ) {
        let known = self.members.get(&from);
        if from == self.me.id || known.is_some_and(|m| incarnation < m.life.incarnation) {
            return;
        }
        match message {
            Message::Ping { address, life, changes } => {
                self.on_ping(now, from, address, life);
                for change in &changes {
                    self.apply(now, change);
                }
            }
            Message::ProbeFor { target, address } => {
                self.probe_for(now, from, target, address);
            }
            Message::Reached { target } => self.on_reached(target),
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Timestamp) {
        if self.stalled_at.is_due(now) {
            self.forgive(now);
        }
        self.stalled_at =
            now.after(Millis(self.options.probe_every.0.saturating_mul(STALL_PERIODS)));
        self.asked.retain(|_, until| !until.is_due(now));
        self.expire(now);
        if self.probe_at.is_due(now) {
            self.probe_at = now.after(self.options.probe_every);
            self.rounds_left = self.options.indirect_rounds;
            self.pushes_left = self.options.pushes;
            self.probe(now);
        }
    }

    /// When [`Members::tick`] is next to be called.
    pub fn due(&self) -> Timestamp {
        let members = self.members.values();
        let first = members.map(|m| m.until.min(m.probe.due())).min();
        first.unwrap_or(Timestamp::NEVER).min(self.probe_at)
    }

    /// Takes what is to be done outside.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Tells the others that this instance leaves and is to hold no more roles.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.news.insert(self.me.id, self.gossip_times());
    }

    /// Who may hold a role: all that are held alive or only suspected, this instance
    /// included, without those that leave.
    pub fn alive(&self) -> Vec<InstanceId> {
        let others = self.members.iter().filter(|(_, m)| !m.is_dead());
        let mut alive: Vec<InstanceId> =
            others.filter(|(_, m)| !m.leaving).map(|(&id, _)| id).collect();
        if !self.leaving {
            alive.push(self.me.id);
        }
        alive.sort_unstable();
        alive
    }

    /// Whom to talk to: all others that are not held dead, leaving ones included.
    pub fn peers(&self) -> impl Iterator<Item = (InstanceId, SocketAddr)> + '_ {
        let peers = self.members.iter().filter(|(_, m)| !m.is_dead());
        peers.map(|(&id, m)| (id, m.address))
    }

    /// Where the control port of `member` listens.
    pub fn address(&self, member: InstanceId) -> Option<SocketAddr> {
        self.members.get(&member).map(|m| m.address)
    }

    /// What `member` is held for.
    pub fn status(&self, member: InstanceId) -> Option<Status> {
        self.members.get(&member).map(|m| m.status)
    }

    /// Whether `member` said, or the platform says, that it leaves.
    pub fn is_leaving(&self, member: InstanceId) -> bool {
        self.members.get(&member).is_some_and(|m| m.leaving)
    }

    /// Whether neither a peer nor the platform has answered for so long that new work is
    /// to be refused.
    pub fn isolated(&self, now: Timestamp) -> bool {
        self.isolated_at.is_due(now)
    }

    /// When [`Members::isolated`] becomes true if nobody answers.
    pub fn isolated_at(&self) -> Timestamp {
        self.isolated_at
    }

    fn life(&self) -> Life {
        Life { incarnation: self.me.incarnation, objections: self.objections }
    }

    fn touch(&mut self, at: Timestamp) {
        let until = at.after(self.options.isolated_after);
        self.isolated_at = self.isolated_at.max(until);
    }

    fn list(&mut self, id: InstanceId, address: SocketAddr, leaving: bool) {
        let is_full = self.members.len() >= self.options.max_members;
        if id == self.me.id || (is_full && !self.members.contains_key(&id)) {
            return;
        }
        let is_new = !self.members.contains_key(&id);
        let member =
            self.members.entry(id).or_insert_with(|| Member::new(address, Life::default()));
        member.listed = true;
        let is_changed = leaving && !member.leaving;
        member.leaving |= leaving;
        if member.is_dead() {
            member.address = address;
            member.until = Timestamp::NEVER;
        }
        if is_new || is_changed {
            self.changed(id);
        }
    }

    fn on_ping(&mut self, now: Timestamp, from: InstanceId, address: SocketAddr, life: Life) {
        let leaving = self.members.get(&from).is_some_and(|m| m.leaving);
        let change = Change {
            member: from,
            address,
            life,
            status: Status::Alive,
            leaving: leaving && self.knows(from, life.incarnation),
        };
        self.apply(now, &change);
        let held = self.members.get(&from);
        let Some(held) = held.filter(|m| m.status != Status::Alive) else {
            return;
        };
        // It is told what it is held for, so that it can object.
        let held = held.change(from);
        self.ping(from, address, Some(held));
    }

    fn knows(&self, id: InstanceId, incarnation: Incarnation) -> bool {
        let known = self.members.get(&id);
        known.is_some_and(|m| m.life.incarnation == incarnation)
    }

    fn hold(options: &Options, now: Timestamp, member: &mut Member, status: Status) {
        member.status = status;
        member.probe = Probe::Idle;
        member.until = match status {
            Status::Suspect => now.after(options.suspect_for),
            Status::Dead if !member.listed => now.after(options.forget_after),
            Status::Alive | Status::Dead => Timestamp::NEVER,
        };
    }

    /// A few peers at random, without `but`.
    fn some_peers(&mut self, but: InstanceId) -> Vec<(InstanceId, SocketAddr)> {
        let mut peers: Vec<(InstanceId, SocketAddr)> =
            self.peers().filter(|&(peer, _)| peer != but).collect();
        peers.shuffle(&mut self.rng);
        peers.truncate(self.options.indirect);
        peers
    }
}

/// Probe periods without a tick after which this process itself counts as having stood
/// still.
const STALL_PERIODS: u64 = 4;
