//! Several instances' claims against one key-value model, with faults on every way.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{
    Code, Incarnation, InstanceId, Millis, Outcome, RequestId, Timestamp,
    call::{Call, CallId, Reply, Version},
    hash::KeyHash,
};
use sl_claim::{Claims, Decision, Message, Options, Output, Settled};

pub const START: Timestamp = Timestamp::from_micros(1_000_000_000_000);
pub const WAIT: Millis = Millis(2_000);

/// What may go wrong, in percent of the calls or messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub lost_before: u32,
    pub lost_after: u32,
    pub late: u32,
    pub refused: u32,
    pub dropped: u32,
    pub repeated: u32,
    pub delayed: u32,
    pub clocks: u64,
}

pub struct Node {
    pub claims: Claims,
    pub incarnation: u64,
    paused_until: Timestamp,
    pub clock: u64,
    undecided: BTreeMap<RequestId, (KeyHash, Timestamp)>,
    inbox: Vec<Arrival>,
}

#[derive(Clone, Debug)]
enum Arrival {
    Reply(CallId, Reply),
    Message(InstanceId, Message),
    Settle(RequestId, Settled),
}

#[derive(Clone, Debug)]
enum Transit {
    Call {
        node: usize,
        incarnation: u64,
        id: CallId,
        call: Call,
        answer_by: Timestamp,
        answers: bool,
    },
    Arrive {
        node: usize,
        incarnation: Option<u64>,
        arrival: Arrival,
    },
}

/// Who was granted a key, and what came of it.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    pub at: Timestamp,
    pub settled: Option<Settled>,
}

pub struct World {
    pub now: Timestamp,
    pub nodes: Vec<Node>,
    pub kv: BTreeMap<String, (Version, Bytes)>,
    pub faults: Faults,
    pub outage_until: Timestamp,
    pub grants: BTreeMap<KeyHash, Vec<Grant>>,
    pub granted_keys: BTreeMap<RequestId, KeyHash>,
    pub decisions: BTreeMap<(usize, u64, RequestId), Decision>,
    pub recorded: BTreeMap<(usize, u64, RequestId), bool>,
    pub calls: BTreeMap<&'static str, u64>,
    pub put_bytes: u64,
    /// What becomes of granted requests; by chance where there is none.
    pub settle_as: Option<Settled>,
    /// Whether granted requests are left to the test to settle.
    pub runs_on: bool,
    options: Options,
    transit: BTreeMap<(Timestamp, u64), Transit>,
    next: u64,
    version: u64,
    rng: ChaCha8Rng,
}

pub fn id(node: usize) -> InstanceId {
    InstanceId(node as u32 + 1)
}

pub fn key(n: u32) -> KeyHash {
    KeyHash::of(sl_base::TeamId(1), &n.to_string())
}

impl World {
    pub fn new(nodes: usize, options: Options, faults: Faults, seed: u64) -> World {
        let mut world = World {
            now: START,
            nodes: Vec::new(),
            kv: BTreeMap::new(),
            faults,
            outage_until: START,
            grants: BTreeMap::new(),
            granted_keys: BTreeMap::new(),
            decisions: BTreeMap::new(),
            recorded: BTreeMap::new(),
            calls: BTreeMap::new(),
            put_bytes: 0,
            settle_as: None,
            runs_on: false,
            options,
            transit: BTreeMap::new(),
            next: 0,
            version: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for node in 0..nodes {
            let born = world.born(node, nodes, 1);
            world.nodes.push(born);
        }
        world
    }

    fn born(&mut self, node: usize, nodes: usize, incarnation: u64) -> Node {
        let mut claims = Claims::new(self.options, id(node), Incarnation(incarnation));
        claims.set_members((0..nodes).map(id));
        Node {
            claims,
            incarnation,
            paused_until: START,
            clock: self.rng.random_range(0..=self.faults.clocks),
            undecided: BTreeMap::new(),
            inbox: Vec::new(),
        }
    }

    /// Ends a process; its successor knows nothing.
    pub fn kill(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let nodes = self.nodes.len();
        self.nodes[node] = self.born(node, nodes, incarnation);
    }

    pub fn pause(&mut self, node: usize, span: Millis) {
        self.nodes[node].paused_until = self.now.after(span);
    }

    /// Sends a request to an instance unless it stands still.
    pub fn claim(&mut self, node: usize, key: KeyHash) -> Option<RequestId> {
        if !self.nodes[node].paused_until.is_due(self.now) {
            return None;
        }
        self.next += 1;
        let request = RequestId(self.next);
        let now = self.local(node);
        let n = &mut self.nodes[node];
        n.undecided.insert(request, (key, now.after(WAIT)));
        n.claims.claim(now, request, key, now.after(WAIT));
        self.collect(node);
        Some(request)
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

    /// Whether every request that was not cut off by a kill was decided.
    pub fn undecided(&self) -> usize {
        self.nodes.iter().map(|n| n.undecided.len()).sum()
    }

    pub fn settle(&mut self, node: usize, request: RequestId, settled: Settled) {
        let now = self.local(node);
        self.nodes[node].claims.settle(now, request, settled);
        let (grants, key) = (&mut self.grants, self.granted_keys[&request]);
        if let Some(grant) = grants.get_mut(&key).and_then(|grants| grants.last_mut()) {
            grant.settled = Some(settled);
        }
        self.collect(node);
    }

    fn local(&self, node: usize) -> Timestamp {
        self.now.after(Millis(self.nodes[node].clock))
    }

    fn due(&self, node: usize) -> Timestamp {
        let n = &self.nodes[node];
        let due = n.claims.due(self.local(node)).before(Millis(n.clock));
        let due = if n.inbox.is_empty() { due } else { self.now };
        due.max(n.paused_until)
    }

    fn wake(&mut self, node: usize) {
        let now = self.local(node);
        let arrivals = std::mem::take(&mut self.nodes[node].inbox);
        for arrival in arrivals {
            let claims = &mut self.nodes[node].claims;
            match arrival {
                Arrival::Reply(id, reply) => claims.on_reply(now, id, reply),
                Arrival::Message(from, message) => claims.on_message(now, from, message),
                Arrival::Settle(request, settled) => claims.settle(now, request, settled),
            }
            self.collect(node);
        }
        self.nodes[node].claims.tick(now);
        self.collect(node);
    }

    fn collect(&mut self, node: usize) {
        for output in self.nodes[node].claims.take() {
            let incarnation = self.nodes[node].incarnation;
            match output {
                Output::Call { id, call, answer_by } => self.send_call(node, id, call, answer_by),
                Output::Send { to, message } => self.send(node, to, message),
                Output::Decided { request, decision } => self.decided(node, request, decision),
                Output::Settled { request, recorded } => {
                    self.recorded.insert((node, incarnation, request), recorded);
                }
            }
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn put(&mut self, at: Timestamp, transit: Transit) {
        self.next += 1;
        self.transit.insert((at, self.next), transit);
    }

    fn send_call(&mut self, node: usize, id: CallId, call: Call, answer_by: Timestamp) {
        let answer_by = answer_by.before(Millis(self.nodes[node].clock));
        let incarnation = self.nodes[node].incarnation;
        let is_lost = self.chance(self.faults.lost_before);
        let answers = !self.chance(self.faults.lost_after);
        let delay = if self.chance(self.faults.late) {
            self.rng.random_range(500..8_000)
        } else {
            self.rng.random_range(1..4)
        };
        let lost = Transit::Arrive {
            node,
            incarnation: Some(incarnation),
            arrival: Arrival::Reply(id, Reply::Lost),
        };
        // An adapter that never answers must not hold a shard up either.
        if self.chance(50) {
            self.put(answer_by, lost);
        }
        if !is_lost {
            let call = Transit::Call { node, incarnation, id, call, answer_by, answers };
            self.put(self.now.after(Millis(delay)), call);
        }
    }

    fn send(&mut self, node: usize, to: InstanceId, message: Message) {
        let copies = 1 + u32::from(self.chance(self.faults.repeated));
        for _ in 0..copies {
            if self.chance(self.faults.dropped) {
                continue;
            }
            let delay =
                if self.chance(self.faults.delayed) { self.rng.random_range(1..5_000) } else { 1 };
            let arrive = Transit::Arrive {
                node: to.0 as usize - 1,
                incarnation: None,
                arrival: Arrival::Message(id(node), message),
            };
            self.put(self.now.after(Millis(delay)), arrive);
        }
    }

    fn carry(&mut self, transit: Transit) {
        match transit {
            Transit::Call { node, incarnation, id, call, answer_by, answers } => {
                let reply = self.execute(call);
                if answers && self.now < answer_by && reply != Reply::Lost {
                    let arrive = Transit::Arrive {
                        node,
                        incarnation: Some(incarnation),
                        arrival: Arrival::Reply(id, reply),
                    };
                    self.put(self.now.after(Millis(1)), arrive);
                }
            }
            Transit::Arrive { node, incarnation, arrival } => {
                let n = &mut self.nodes[node];
                if incarnation.is_none_or(|incarnation| incarnation == n.incarnation) {
                    n.inbox.push(arrival);
                }
            }
        }
    }

    fn execute(&mut self, call: Call) -> Reply {
        if !self.outage_until.is_due(self.now) {
            return Reply::Lost;
        }
        if self.chance(self.faults.refused) {
            return Reply::Refused;
        }
        let stands = |kv: &BTreeMap<String, (Version, Bytes)>, key: &str| {
            kv.get(key).map_or(Version::ABSENT, |(version, _)| *version)
        };
        let name = match &call {
            Call::Get { .. } => "get",
            Call::Put { .. } => "put",
            Call::Delete { .. } => "delete",
            Call::Watch { .. } => "watch",
        };
        *self.calls.entry(name).or_default() += 1;
        match call {
            Call::Get { key } => match self.kv.get(&key) {
                Some((version, value)) => Reply::Value { version: *version, value: value.clone() },
                None => Reply::Absent,
            },
            Call::Put { key, expect, value } => {
                let version = stands(&self.kv, &key);
                if version != expect {
                    return Reply::Conflict { version };
                }
                self.put_bytes += value.len() as u64;
                self.version += 1;
                let version = Version(self.version);
                self.kv.insert(key, (version, value));
                Reply::Done { version }
            }
            Call::Delete { key, expect } => {
                let version = stands(&self.kv, &key);
                if version != expect {
                    return Reply::Conflict { version };
                }
                self.kv.remove(&key);
                Reply::Done { version: Version::ABSENT }
            }
            Call::Watch { .. } => Reply::Unchanged,
        }
    }

    fn decided(&mut self, node: usize, request: RequestId, decision: Decision) {
        let now = self.local(node);
        let incarnation = self.nodes[node].incarnation;
        let undecided = self.nodes[node].undecided.remove(&request);
        let (key, give_up_by) = undecided.expect("a request is decided just once");
        let late = now.micros_since(give_up_by);
        let woke = self.nodes[node].paused_until == self.now;
        assert!(late == 0 || woke, "decided {late} us late");
        self.decisions.insert((node, incarnation, request), decision);
        match decision {
            Decision::Granted if late > 0 => panic!("granted {late} us late"),
            Decision::Granted => self.granted(node, request, key),
            Decision::Refused { code, status, .. } => self.check_refusal(key, code, status),
        }
    }

    fn granted(&mut self, node: usize, request: RequestId, key: KeyHash) {
        self.granted_keys.insert(request, key);
        let life = self.options.key_life;
        let grants = self.grants.entry(key).or_default();
        let holds = |grant: &Grant| {
            grant.settled != Some(Settled::NotRun) && !grant.at.after(life).is_due(self.now)
        };
        assert!(!grants.iter().any(holds), "{key:?} is granted twice");
        let settled = match self.settle_as {
            _ if self.runs_on => None,
            Some(settled) => Some(settled),
            None => match self.rng.random_range(0..8) {
                0..4 => Some(Settled::Ran { status: 201 }),
                4..6 => Some(Settled::NotRun),
                6 => Some(Settled::Unknown),
                _ => None,
            },
        };
        grants.push(Grant { at: self.now, settled });
        if let Some(settled) = settled {
            let span = Millis(self.rng.random_range(1..3_000));
            let arrive = Transit::Arrive {
                node,
                incarnation: Some(self.nodes[node].incarnation),
                arrival: Arrival::Settle(request, settled),
            };
            self.put(self.now.after(span), arrive);
        }
    }

    fn check_refusal(&self, key: KeyHash, code: Code, status: Option<u16>) {
        let ran = |grant: &Grant| matches!(grant.settled, Some(Settled::Ran { .. }));
        let grants = self.grants.get(&key);
        match code {
            Code::KeyRan => {
                assert!(grants.is_some_and(|grants| grants.iter().any(ran)));
                assert_eq!(status, Some(201));
            }
            Code::KeyRunning | Code::KeyUnknown => {}
            code => assert_eq!(code.outcome(), Outcome::NotRun),
        }
    }

    /// The archives and open segments that stand.
    pub fn keys(&self) -> BTreeSet<&str> {
        self.kv.keys().map(String::as_str).collect()
    }
}
