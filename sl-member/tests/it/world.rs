//! Several instances that probe each other over ways that can be cut.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{
    Incarnation, InstanceId, Millis, Timestamp,
    listing::{ListedInstance, Listing},
};
use sl_member::{Me, Members, Message, Options, Output};

/// How long a message may go unconfirmed.
const ANSWER_WAIT: Millis = Millis(250);

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub dropped: u32,
    pub repeated: u32,
    pub delayed: u32,
}

pub struct Node {
    pub members: Members,
    pub incarnation: u64,
    pub up: bool,
    paused_until: Timestamp,
    inbox: Vec<Arrival>,
}

#[derive(Clone, Debug)]
enum Arrival {
    Message(usize, u64, Message),
    Answered(InstanceId, Timestamp),
    Silent(InstanceId),
}

#[derive(Clone, Debug)]
struct Transit {
    to: usize,
    arrival: Arrival,
    /// When the message left, and which transit says that it was not confirmed.
    confirm: Option<(Timestamp, (Timestamp, u64))>,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// The pairs that do not reach each other.
    pub cuts: BTreeSet<(usize, usize)>,
    pub sent: u64,
    /// How often a member was held dead by another.
    pub deaths: u64,
    options: Options,
    transit: BTreeMap<(Timestamp, u64), Transit>,
    next: u64,
    rng: ChaCha8Rng,
}

pub fn name(node: usize) -> String {
    format!("n{node}")
}

pub fn id(node: usize) -> InstanceId {
    InstanceId::of(&name(node))
}

fn control(node: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], 7_000 + node as u16).into()
}

pub fn listing(version: u64, nodes: impl IntoIterator<Item = usize>) -> Listing {
    let instances = nodes.into_iter().map(|node| ListedInstance {
        name: name(node),
        data_centre: "caerdydd".to_owned(),
        control: control(node),
        leaving: false,
    });
    Listing { version, instances: instances.collect(), servers: Vec::new() }
}

impl World {
    pub fn new(nodes: usize, faults: Faults, seed: u64) -> World {
        let mut world = World {
            now: Timestamp::from_micros(1_000_000_000_000),
            nodes: Vec::new(),
            faults,
            cuts: BTreeSet::new(),
            sent: 0,
            deaths: 0,
            options: Options::default(),
            transit: BTreeMap::new(),
            next: seed,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..nodes {
            let born = world.born(node, 1);
            world.nodes.push(born);
        }
        world
    }

    fn born(&mut self, node: usize, incarnation: u64) -> Node {
        let me = Me { id: id(node), incarnation: Incarnation(incarnation), address: control(node) };
        self.next += 1;
        Node {
            members: Members::new(self.options, me, self.next, self.now),
            incarnation,
            up: true,
            paused_until: self.now,
            inbox: Vec::new(),
        }
    }

    pub fn list(&mut self, node: usize, listing: &Listing) {
        self.nodes[node].members.on_listing(self.now, listing);
        self.collect(node);
    }

    pub fn list_all(&mut self, version: u64) {
        let all = listing(version, 0..self.nodes.len());
        for node in 0..self.nodes.len() {
            self.list(node, &all);
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    /// Starts a killed or running instance anew, without memory.
    pub fn restart(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        self.nodes[node] = self.born(node, incarnation);
    }

    pub fn pause(&mut self, node: usize, span: Millis) {
        self.nodes[node].paused_until = self.now.after(span);
    }

    /// Cuts those below `side` off from the others.
    pub fn split(&mut self, side: usize) {
        for a in 0..side {
            for b in side..self.nodes.len() {
                self.cuts.insert((a, b));
                self.cuts.insert((b, a));
            }
        }
    }

    pub fn run(&mut self, span: Millis) {
        let until = self.now.after(span);
        for round in 0.. {
            assert!(round < 1_000_000, "time stands still at {:?}", self.now);
            let transit = self.transit.keys().next().map_or(Timestamp::NEVER, |k| k.0);
            let due = (0..self.nodes.len()).map(|n| self.due(n)).min();
            let next = transit.min(due.unwrap_or(Timestamp::NEVER));
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if transit <= self.now {
                let (_, transit) = self.transit.pop_first().expect("one is due");
                self.carry(transit);
            }
            for node in 0..self.nodes.len() {
                if self.due(node) <= self.now {
                    self.wake(node);
                }
            }
        }
        self.now = until;
    }

    /// Runs until `holds`, and gives how long that took, or none past `within`.
    pub fn until(&mut self, within: Millis, holds: impl Fn(&World) -> bool) -> Option<Millis> {
        let start = self.now;
        while !holds(self) {
            if start.after(within).is_due(self.now) {
                return None;
            }
            self.run(Millis(50));
        }
        Some(self.now.remaining(start))
    }

    /// Whether each running instance sees just the running ones.
    pub fn agrees(&self) -> bool {
        let mut up: Vec<InstanceId> =
            (0..self.nodes.len()).filter(|&node| self.nodes[node].up).map(id).collect();
        up.sort_unstable();
        let running = self.nodes.iter().filter(|n| n.up);
        running.into_iter().all(|n| n.members.alive() == up)
    }

    fn due(&self, node: usize) -> Timestamp {
        let n = &self.nodes[node];
        match (n.up, n.inbox.is_empty()) {
            (false, _) => Timestamp::NEVER,
            (true, true) => n.members.due().max(n.paused_until),
            (true, false) => n.paused_until,
        }
    }

    fn wake(&mut self, node: usize) {
        let now = self.now;
        for arrival in std::mem::take(&mut self.nodes[node].inbox) {
            let members = &mut self.nodes[node].members;
            match arrival {
                Arrival::Message(from, incarnation, message) => {
                    members.on_message(now, id(from), Incarnation(incarnation), message);
                }
                Arrival::Answered(peer, sent_at) => members.on_answered(now, peer, sent_at),
                Arrival::Silent(peer) => members.on_silent(now, peer),
            }
        }
        self.nodes[node].members.tick(now);
        self.collect(node);
    }

    fn collect(&mut self, node: usize) {
        for output in self.nodes[node].members.take() {
            match output {
                Output::Send { address, message, .. } => {
                    self.send(node, usize::from(address.port() - 7_000), message);
                }
                Output::Changed { status, .. } => {
                    self.deaths += u64::from(status == Some(sl_member::Status::Dead));
                }
            }
        }
    }

    fn put(&mut self, at: Timestamp, transit: Transit) -> (Timestamp, u64) {
        self.next += 1;
        self.transit.insert((at, self.next), transit);
        (at, self.next)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.sent += 1;
        let incarnation = self.nodes[from].incarnation;
        let is_lost = self.rng.random_range(0..100) < self.faults.dropped;
        let is_repeated = self.rng.random_range(0..100) < self.faults.repeated;
        let is_late = self.rng.random_range(0..100) < self.faults.delayed;
        let delay = if is_late { self.rng.random_range(1..3_000) } else { 1 };
        let arrival = Arrival::Message(from, incarnation, message);
        let silent = Transit { to: from, arrival: Arrival::Silent(id(to)), confirm: None };
        let silence = self.put(self.now.after(ANSWER_WAIT), silent);
        let confirm = Some((self.now, silence));
        let at = self.now.after(Millis(delay));
        for copy in 0..1 + u64::from(is_repeated) {
            if is_lost || self.cuts.contains(&(from, to)) {
                continue;
            }
            let (arrival, at) = (arrival.clone(), at.after(Millis(copy * 700)));
            self.put(at, Transit { to, arrival, confirm });
        }
    }

    fn carry(&mut self, transit: Transit) {
        let Transit { to, arrival, confirm } = transit;
        if !self.nodes[to].up {
            return;
        }
        let stands_still = !self.nodes[to].paused_until.is_due(self.now);
        if let (Arrival::Message(from, incarnation, _), Some((sent_at, silence))) =
            (&arrival, confirm)
        {
            let from = *from;
            let in_time = !sent_at.after(ANSWER_WAIT).is_due(self.now);
            let same_life = self.nodes[from].incarnation == *incarnation;
            let is_heard = !stands_still && !self.cuts.contains(&(to, from));
            if in_time && same_life && is_heard && self.transit.remove(&silence).is_some() {
                let answered = Transit {
                    to: from,
                    arrival: Arrival::Answered(id(to), sent_at),
                    confirm: None,
                };
                self.put(self.now.after(Millis(1)), answered);
            }
        }
        self.nodes[to].inbox.push(arrival);
    }
}
