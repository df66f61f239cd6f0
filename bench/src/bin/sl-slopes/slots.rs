//! Slopes of sl-slots: by servers in a group, and by peers.

use sl_base::{InstanceId, Need, PoolId, ServerId, Timestamp};
use sl_slots::{
    Message, Options, Outcome, Server, Slots,
    message::{Grant, Granted, Renew, Want, Window},
};

use crate::{
    Point, Series,
    fit::{nanos, resident},
};

const SERVERS: [u64; 4] = [23, 46, 92, 184];
const PEERS: [u64; 3] = [3, 6, 12];
const POOL: PoolId = PoolId(1);
const SLOTS_EACH: u32 = 16;
/// Groups of the same size that a memory measurement is spread over.
const COPIES: usize = 100;

/// All quantities.
pub fn series() -> Vec<Series> {
    vec![
        by_servers("resident bytes", memory),
        by_servers("ns of acquire and release", cycle),
        by_servers("ns of a period of renewals, all messages", period),
        by_servers("wire bytes of a renewal and its grant, a window on each", wire),
        by_peers("ns of acquire and release, 92 servers", cycle),
        by_peers("ns of a period of renewals, all messages, 92 servers", period),
    ]
}

fn by_servers(quantity: &'static str, measure: fn(u64, u64) -> f64) -> Series {
    let point = |&size| Point { size, value: measure(size, PEERS[2]) };
    Series {
        area: "sl-slots",
        quantity,
        by: "servers of a group",
        points: SERVERS.iter().map(point).collect(),
    }
}

fn by_peers(quantity: &'static str, measure: fn(u64, u64) -> f64) -> Series {
    let point = |&size| Point { size, value: measure(SERVERS[2], size) };
    Series { area: "sl-slots", quantity, by: "peers", points: PEERS.iter().map(point).collect() }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + millis * 1_000)
}

/// A whole group under load, each instance with its part of all servers' slots.
struct Group {
    ids: Vec<InstanceId>,
    nodes: Vec<Slots>,
    now: u64,
}

impl Group {
    fn new(servers: u64, peers: u64) -> Group {
        let ids: Vec<InstanceId> =
            (0..=peers).map(|n| InstanceId::of(&format!("instance-{n}"))).collect();
        let listed: Vec<Server> = (0..servers)
            .map(|n| Server {
                id: ServerId::of(&format!("server-{n}")),
                pool: POOL,
                slots: SLOTS_EACH,
                leaving: false,
            })
            .collect();
        let nodes = ids
            .iter()
            .map(|&me| {
                let mut slots = Slots::new(at(0), me, Options::default());
                slots.set_members(at(0), &ids);
                slots.set_servers(at(0), &listed);
                slots
            })
            .collect();
        let mut group = Group { ids, nodes, now: 0 };
        group.fill(servers * u64::from(SLOTS_EACH) / (peers + 1));
        group
    }

    /// Gives each instance slots for `each` requests that run on.
    fn fill(&mut self, each: u64) {
        self.run(4_000);
        for _ in 0..10 {
            self.run(100);
            for node in &mut self.nodes {
                let running = u64::from(node.in_use());
                let waiting = each.saturating_sub(running) as u32;
                node.set_need(at(self.now), POOL, Need { waiting, least: 0 });
                for _ in 0..waiting {
                    let _ = node.acquire(at(self.now), POOL, &[]);
                }
            }
        }
    }

    fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 10;
            self.turn();
        }
    }

    fn turn(&mut self) {
        let now = at(self.now);
        let mut wire = Vec::new();
        for (n, node) in self.nodes.iter_mut().enumerate() {
            if node.due(now).is_due(now) {
                node.tick(now);
            }
            for (to, message) in node.take_messages(now) {
                wire.push((n, to, message));
            }
        }
        while !wire.is_empty() {
            wire = self.deliver(wire);
        }
    }

    fn deliver(
        &mut self,
        wire: Vec<(usize, InstanceId, Message)>,
    ) -> Vec<(usize, InstanceId, Message)> {
        let now = at(self.now);
        let mut answers = Vec::new();
        for (from, to, message) in wire {
            let Some(n) = self.ids.iter().position(|&id| id == to) else {
                continue;
            };
            self.nodes[n].on_message(now, self.ids[from], &message);
            for (to, message) in self.nodes[n].take_messages(now) {
                answers.push((n, to, message));
            }
        }
        answers
    }
}

fn memory(servers: u64, peers: u64) -> f64 {
    let before = resident();
    let groups: Vec<Group> = (0..COPIES).map(|_| Group::new(servers, peers)).collect();
    let states = (COPIES as u64 * (peers + 1)) as f64;
    let bytes = (resident() - before) / states;
    // Kept for good, so that the next size cannot use the same pages again.
    std::mem::forget(groups);
    bytes
}

fn cycle(servers: u64, peers: u64) -> f64 {
    let mut group = Group::new(servers, peers);
    let now = at(group.now);
    let node = &mut group.nodes[0];
    let Some(busy) = node.any_busy() else {
        return 0.0;
    };
    let mut server = busy;
    nanos(5_000, |_| {
        let outcome = Outcome::Ran { units: 100, micros: 1_000_000 };
        node.release(now, server, outcome);
        if let Some(loan) = node.acquire(now, POOL, &[]) {
            server = loan.server;
        }
    })
}

/// One instance's part of a renewal period of the whole group.
fn period(servers: u64, peers: u64) -> f64 {
    let mut group = Group::new(servers, peers);
    nanos(20, |_| group.run(1_000)) / (peers + 1) as f64
}

/// A renewal and its grant where the holder has a window on each of the servers.
fn wire(servers: u64, _: u64) -> f64 {
    let id = |n| ServerId::of(&format!("server-{n}"));
    let renew = Message::Renew(Renew {
        born: at(0),
        sent_at: at(1),
        seen: at(1).as_micros(),
        view: 0,
        windows: (0..servers).map(|n| Window { server: id(n), count: 2, busy: 2 }).collect(),
        wants: vec![Want { pool: POOL, need: Need { waiting: 20, least: 1_000_000_000_000 } }],
    });
    let grant = Message::Grant(Grant {
        number: at(2).as_micros(),
        echo: at(1),
        windows: (0..servers).map(|n| Granted { server: id(n), count: 2 }).collect(),
    });
    let bytes = |message| postcard::to_stdvec(&message).map_or(0, |bytes| bytes.len());
    (bytes(renew) + bytes(grant)) as f64
}
