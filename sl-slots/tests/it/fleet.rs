//! Several instances that hand each other their messages through a plain list, in front
//! of servers that work off what they are sent.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{
    Incarnation, InstanceId, Millis, PoolId, RequestId, ServerId, TeamId, Timestamp, hash,
};
use sl_fair::{Fair, Item, Limits, Report, Rule};
use sl_slots::{Message, Options, Outcome, Policy, Server, Slots};

pub const POOL: PoolId = PoolId(1);
const STEP_MICROS: u64 = 1_000;
const START_MICROS: u64 = 1_000_000_000;
pub const UNIT: u64 = sl_fair::service::PARTS_PER_UNIT;

/// What is wrong with the links and clocks at the moment.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Messages in a hundred that are lost.
    pub drop_percent: u32,
    /// Messages in a hundred that come twice.
    pub repeat_percent: u32,
    /// The longest extra delay.
    pub delay_ms: u64,
    /// Instances that the others hear nothing of, and the other way round.
    pub cut_off: BTreeSet<usize>,
    /// Instances whose process stands still.
    pub paused: BTreeSet<usize>,
}

#[derive(Clone, Debug)]
enum Envelope {
    Slots(Message),
    Fair { sent_at: Timestamp, report: Report },
    Confirm { sent_at: Timestamp },
}

pub struct Node {
    pub id: InstanceId,
    pub slots: Slots,
    pub fair: Fair,
    next_report: u64,
    /// Whether anything happened since the last turn.
    stirred: bool,
    /// When the next turn is due even if nothing happens.
    wake_at: u64,
}

struct Running {
    node: usize,
    life: u64,
    request: RequestId,
    team: TeamId,
    units: u64,
    started: u64,
    ends: u64,
}

/// One backend server.
pub struct Backend {
    pub server: Server,
    /// Units a second and slot.
    pub speed: u64,
    running: Vec<Running>,
    queue: Vec<Running>,
    pub most: usize,
    pub last_dispatch: u64,
}

/// One team's load.
#[derive(Clone, Debug)]
pub struct Load {
    pub team: TeamId,
    pub share: u32,
    /// The instances that its requests come to.
    pub nodes: Vec<usize>,
    /// Requests that it keeps waiting on each of them.
    pub depth: u32,
}

pub struct Fleet {
    pub now: u64,
    pub nodes: Vec<Node>,
    pub backends: Vec<Backend>,
    pub loads: Vec<Load>,
    pub faults: Faults,
    pub max_cost: u64,
    pub latency_ms: u64,
    pub served: BTreeMap<TeamId, u64>,
    pub messages: u64,
    pub busy_micros: u64,
    lives: Vec<u64>,
    options: Options,
    rng: ChaCha8Rng,
    /// Answers that a paused instance has not read yet.
    unread: Vec<(ServerId, Running)>,
    wire: BTreeMap<(u64, u64), (usize, usize, Envelope)>,
    next: u64,
    costs: BTreeMap<(usize, RequestId), u64>,
}

impl Fleet {
    pub fn new(seed: u64, count: usize, servers: &[(u32, u64)], options: Options) -> Fleet {
        let mut fleet = Fleet {
            now: START_MICROS,
            nodes: Vec::new(),
            backends: Vec::new(),
            loads: Vec::new(),
            faults: Faults::default(),
            max_cost: 2_000,
            latency_ms: 1,
            served: BTreeMap::new(),
            messages: 0,
            busy_micros: 0,
            lives: vec![0; count],
            options,
            rng: ChaCha8Rng::seed_from_u64(seed),
            unread: Vec::new(),
            wire: BTreeMap::new(),
            next: 0,
            costs: BTreeMap::new(),
        };
        for (n, &(slots, speed)) in servers.iter().enumerate() {
            fleet.backends.push(Backend {
                server: Server {
                    id: ServerId::of(&format!("server-{n}")),
                    pool: POOL,
                    slots,
                    leaving: false,
                },
                speed,
                running: Vec::new(),
                queue: Vec::new(),
                most: 0,
                last_dispatch: 0,
            });
        }
        for n in 0..count {
            let node = fleet.newborn(n);
            fleet.nodes.push(node);
        }
        fleet
    }

    fn ids(&self) -> Vec<InstanceId> {
        (0..self.lives.len()).map(|n| InstanceId::of(&format!("instance-{n}"))).collect()
    }

    fn newborn(&mut self, n: usize) -> Node {
        let ids = self.ids();
        let now = Timestamp::from_micros(self.now);
        let mut slots = Slots::new(now, ids[n], self.options.clone());
        slots.set_members(now, &ids);
        let servers: Vec<Server> = self.backends.iter().map(|b| b.server).collect();
        slots.set_servers(now, &servers);
        let mut fair = Fair::new(sl_fair::Options::of(ids[n], Incarnation(self.now)));
        fair.set_members(now, &ids);
        fair.set_rules(self.rules());
        Node {
            id: ids[n],
            slots,
            fair,
            next_report: self.now + (n as u64) * 100_000,
            stirred: true,
            wake_at: 0,
        }
    }

    fn rules(&self) -> Vec<(TeamId, Rule)> {
        let limits = Limits { requests: 1_000, bytes: 1_000_000 };
        self.loads.iter().map(|load| (load.team, Rule { share: load.share, limits })).collect()
    }

    pub fn set_loads(&mut self, loads: Vec<Load>) {
        self.loads = loads;
        for n in 0..self.nodes.len() {
            let rules = self.rules();
            self.nodes[n].fair.set_rules(rules);
            self.nodes[n].stirred = true;
        }
    }

    /// Replaces a process by one that knows nothing; its requests end with its connections.
    pub fn restart(&mut self, n: usize) {
        self.lives[n] += 1;
        for backend in &mut self.backends {
            backend.running.retain(|r| r.node != n);
            backend.queue.retain(|r| r.node != n);
        }
        self.costs.retain(|&(node, _), _| node != n);
        self.nodes[n] = self.newborn(n);
    }

    /// Ends a process for good, and its requests with it.
    pub fn kill(&mut self, n: usize) {
        self.restart(n);
        self.faults.paused.insert(n);
    }

    pub fn timestamp(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    pub fn live(&self, live: &[usize]) -> Vec<InstanceId> {
        live.iter().map(|&n| self.nodes[n].id).collect()
    }

    /// The live instances hear that no others are.
    pub fn set_live(&mut self, live: &[usize]) {
        let now = self.timestamp();
        let ids = self.live(live);
        for &n in live {
            self.nodes[n].slots.set_members(now, &ids);
            self.nodes[n].fair.set_members(now, &ids);
            self.nodes[n].stirred = true;
        }
    }

    pub fn set_leaving(&mut self, server: usize, told: &[usize]) {
        self.backends[server].server.leaving = true;
        let servers: Vec<Server> = self.backends.iter().map(|b| b.server).collect();
        let now = Timestamp::from_micros(self.now);
        for &n in told {
            self.nodes[n].slots.set_servers(now, &servers);
            self.nodes[n].stirred = true;
        }
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span.0 * 1_000;
        while self.now < end {
            self.now += STEP_MICROS;
            self.deliver();
            self.work();
            for n in 0..self.nodes.len() {
                if !self.faults.paused.contains(&n) {
                    self.turn(n);
                }
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((&key, _)) = self.wire.first_key_value() {
            if key.0 > self.now {
                break;
            }
            let Some((from, to, envelope)) = self.wire.remove(&key) else {
                break;
            };
            if self.faults.paused.contains(&to) {
                self.wire.insert((self.now + STEP_MICROS, key.1), (from, to, envelope));
                continue;
            }
            self.receive(from, to, envelope);
        }
    }

    fn receive(&mut self, from: usize, to: usize, envelope: Envelope) {
        let now = Timestamp::from_micros(self.now);
        let sender = self.nodes[from].id;
        let node = &mut self.nodes[to];
        node.stirred = true;
        match envelope {
            Envelope::Slots(message) => node.slots.on_message(now, sender, &message),
            Envelope::Fair { sent_at, report } => {
                node.fair.on_report(now, sender, &report);
                self.send(to, from, Envelope::Confirm { sent_at });
            }
            Envelope::Confirm { sent_at } => node.fair.acked(sender, sent_at),
        }
    }

    fn send(&mut self, from: usize, to: usize, envelope: Envelope) {
        self.messages += 1;
        let cut = self.faults.cut_off.contains(&from) != self.faults.cut_off.contains(&to);
        let copies = if cut || self.rng.random_range(0..100) < self.faults.drop_percent {
            0
        } else if self.rng.random_range(0..100) < self.faults.repeat_percent {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let extra = self.rng.random_range(0..=self.faults.delay_ms);
            let at = self.now + (self.latency_ms + extra) * 1_000;
            self.next += 1;
            self.wire.insert((at, self.next), (from, to, envelope.clone()));
        }
    }

    /// Servers go on with their work; what ended is settled at its instance.
    fn work(&mut self) {
        let now = self.now;
        let mut ended = std::mem::take(&mut self.unread);
        for backend in &mut self.backends {
            self.busy_micros += STEP_MICROS * backend.running.len() as u64;
            let id = backend.server.id;
            let done = backend.running.extract_if(.., |r| r.ends <= now);
            ended.extend(done.map(|r| (id, r)));
            while backend.running.len() < backend.server.slots as usize && !backend.queue.is_empty()
            {
                let mut next = backend.queue.remove(0);
                next.started = now;
                next.ends = now + next.units * 1_000_000 / backend.speed;
                backend.running.push(next);
            }
        }
        for (server, run) in ended {
            if self.faults.paused.contains(&run.node) {
                self.unread.push((server, run));
            } else {
                self.settle(server, &run);
            }
        }
    }

    fn settle(&mut self, server: ServerId, run: &Running) {
        *self.served.entry(run.team).or_default() += run.units;
        if self.lives[run.node] != run.life {
            return;
        }
        let node = &mut self.nodes[run.node];
        node.stirred = true;
        node.fair.settle(run.request, run.units);
        let outcome = Outcome::Ran { units: run.units, micros: run.ends - run.started };
        node.slots.release(Timestamp::from_micros(self.now), server, outcome);
    }

    fn turn(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if !node.stirred && self.now < node.wake_at {
            return;
        }
        node.stirred = false;
        let now = Timestamp::from_micros(self.now);
        if node.slots.due(now).is_due(now) {
            node.slots.tick(now);
        }
        self.top_up(n);
        self.dispatch(n);
        self.report(n);
        let node = &mut self.nodes[n];
        let messages = node.slots.take_messages(now);
        node.wake_at = node.slots.due(now).as_micros().min(node.next_report);
        for (to, message) in messages {
            if let Some(to) = self.nodes.iter().position(|node| node.id == to) {
                self.send(n, to, Envelope::Slots(message));
            }
        }
    }

    fn top_up(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        for load in self.loads.clone() {
            if !load.nodes.contains(&n) {
                continue;
            }
            while self.nodes[n].fair.waiting(POOL, load.team) < load.depth {
                let cost = self.cost();
                self.next += 1;
                let request = RequestId(self.next);
                let hint = cost * self.rng.random_range(50..=200) / 100;
                self.costs.insert((n, request), cost);
                let item = Item {
                    request,
                    pool: POOL,
                    team: load.team,
                    order: 0,
                    bytes: 1,
                    hint: hint.min(self.max_cost),
                    since: now,
                    expires: Timestamp::NEVER,
                };
                self.nodes[n].fair.enqueue(now, item).expect("room");
            }
        }
    }

    /// Heavy-tailed: half the work is in a tenth of the requests.
    fn cost(&mut self) -> u64 {
        let u: f64 = self.rng.random_range(0.001..1.0);
        ((20.0 * u.powf(-0.9)) as u64).clamp(1, self.max_cost)
    }

    fn dispatch(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        loop {
            let node = &mut self.nodes[n];
            let need = node.fair.need(POOL);
            node.slots.set_need(now, POOL, need);
            node.slots.set_needs_elsewhere(now, POOL, &node.fair.needs_elsewhere(now, POOL));
            if !need.is_some() {
                return;
            }
            let Some(loan) = node.slots.acquire(now, POOL, &[]) else {
                return;
            };
            assert!(!loan.dispatch_by.is_due(now));
            let item = node.fair.pick(now, POOL).expect("waiting").item;
            self.start(n, loan.server, &item);
        }
    }

    fn start(&mut self, n: usize, server: ServerId, item: &Item) {
        let units = self.costs.remove(&(n, item.request)).expect("cost");
        let life = self.lives[n];
        let now = self.now;
        let backend = self.backends.iter_mut().find(|b| b.server.id == server).expect("server");
        backend.last_dispatch = now;
        let mut run = Running {
            node: n,
            life,
            request: item.request,
            team: item.team,
            units,
            started: now,
            ends: now + units * 1_000_000 / backend.speed,
        };
        if backend.running.len() < backend.server.slots as usize {
            backend.running.push(run);
        } else {
            run.ends = 0;
            backend.queue.push(run);
        }
        backend.most = backend.most.max(backend.running.len() + backend.queue.len());
    }

    fn report(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        if self.now < self.nodes[n].next_report {
            return;
        }
        self.nodes[n].next_report = self.now + 1_000_000;
        if self.options.policy == Policy::Uncoordinated {
            return;
        }
        let ids = self.ids();
        for (to, id) in ids.iter().enumerate() {
            if let Some(report) = self.nodes[n].fair.report(now, *id) {
                let sent_at = now;
                self.send(n, to, Envelope::Fair { sent_at, report });
            }
        }
        self.tell_needs(n);
    }

    fn tell_needs(&mut self, n: usize) {
        let now = Timestamp::from_micros(self.now);
        let node = &mut self.nodes[n];
        let needs = node.fair.needs_elsewhere(now, POOL);
        node.slots.set_needs_elsewhere(now, POOL, &needs);
    }

    /// The instances in line for the role of the last server's home, the home first.
    pub fn line_of_last(&self) -> Vec<usize> {
        let last = self.backends[self.backends.len() - 1].server.id;
        let line = hash::line(last.0, self.ids(), self.nodes.len());
        let index = |id: &InstanceId| self.nodes.iter().position(|node| node.id == *id);
        line.iter().filter_map(index).collect()
    }

    pub fn slots_in_all(&self) -> u64 {
        self.backends.iter().map(|b| u64::from(b.server.slots)).sum()
    }

    /// Units a second of all servers.
    pub fn rate(&self) -> u64 {
        self.backends.iter().map(|b| u64::from(b.server.slots) * b.speed).sum()
    }

    /// Work that ran or runs, in units by share, including what is done of running requests.
    pub fn received(&self) -> BTreeMap<TeamId, u64> {
        let mut received: BTreeMap<TeamId, u64> = self
            .loads
            .iter()
            .map(|load| (load.team, self.served.get(&load.team).copied().unwrap_or(0)))
            .collect();
        for backend in &self.backends {
            for run in &backend.running {
                let done = (self.now - run.started) * backend.speed / 1_000_000;
                *received.entry(run.team).or_default() += done.min(run.units);
            }
        }
        for load in &self.loads {
            if let Some(units) = received.get_mut(&load.team) {
                *units /= u64::from(load.share);
            }
        }
        received
    }

    pub fn in_use(&self) -> u64 {
        self.backends.iter().map(|b| b.running.len() as u64).sum()
    }
}

pub fn team(n: usize) -> TeamId {
    TeamId::of(&format!("team-{n}"))
}

/// Sixteen teams, a few of them large, unevenly spread over the instances.
pub fn uneven(seed: u64, nodes: usize, depth: u32) -> Vec<Load> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..16)
        .map(|t| {
            let large = t < 3;
            let spread = if large { nodes } else { 1 + (rng.next_u32() as usize) % 3 };
            let first = rng.random_range(0..nodes);
            Load {
                team: team(t),
                share: if large { 4 } else { 1 },
                nodes: (0..spread).map(|k| (first + k) % nodes).collect(),
                depth,
            }
        })
        .collect()
}
