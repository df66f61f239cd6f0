//! Slopes of the whole reducer: by teams, backend servers, peers and waiting requests.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use sl_base::{
    AttemptId, Incarnation, InstanceId, Millis, PoolId, RequestId, TeamId, Timestamp,
    hash::Fingerprint,
    listing::{ListedInstance, ListedServer, Listing},
};
use sl_config::{Cost, KeyRule, Policy};
use sl_step::{
    Effect, Event, Message, Options, State,
    event::{Arrival, AttemptEnd},
};

use crate::{
    Series,
    fit::{nanos, resident},
    spread, sweep,
};

const AREA: &str = "sl-step";
const TEAMS: [u64; 3] = [100, 1_000, 6_200];
const SERVERS: [u64; 3] = [16, 100, 500];
const PEERS: [u64; 3] = [3, 9, 12];
const WAITING: [u64; 3] = [10_000, 20_000, 40_000];
const TEAMS_A_TEMPLATE: u64 = 100;
const SLOTS_EACH: u32 = 2;
/// One team in so many is backlogged.
const BACKLOGGED_ONE_IN: u64 = 10;
const LIFE: Incarnation = Incarnation(1_700_000_000_000_000);
const REQUESTS_MAX: usize = 1_000_000;
const UNITS: u64 = 290;

/// All quantities.
pub fn series() -> Vec<Series> {
    let cycle = "ns of arrival, dispatch and end";
    vec![
        sweep(AREA, "resident bytes", "waiting requests", &WAITING, memory),
        sweep(AREA, cycle, "teams; 100 servers, 9 peers", &TEAMS, |n| measure_cycle(n, 100, 9)),
        sweep(AREA, cycle, "servers; 1000 teams, 9 peers", &SERVERS, |n| {
            measure_cycle(1_000, n, 9)
        }),
        sweep(AREA, cycle, "peers; 1000 teams, 100 servers", &PEERS, |n| {
            measure_cycle(1_000, 100, n)
        }),
        sweep(
            AREA,
            "ns of a quiet second, all events; 100 servers, 9 peers",
            "teams",
            &TEAMS,
            |n| quiet_second(n, 100, 9),
        ),
    ]
}

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(LIFE.0 + micros)
}

fn name(n: u64) -> String {
    format!("instance-{n}")
}

fn address(n: u64) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + n as u16))
}

fn listing(servers: u64, peers: u64) -> Arc<Listing> {
    let instance = |n| ListedInstance {
        name: name(n),
        data_centre: "one".to_owned(),
        control: address(n),
        leaving: false,
    };
    let server = |n| ListedServer {
        name: format!("server-{n}"),
        pool: "drafting".to_owned(),
        data_centre: "one".to_owned(),
        address: address(1_000 + n),
        slots: SLOTS_EACH,
        leaving: false,
    };
    Arc::new(Listing {
        version: 1,
        instances: (0..=peers).map(instance).collect(),
        servers: (0..servers).map(server).collect(),
    })
}

fn policy() -> Policy {
    Policy {
        pool: PoolId::of("drafting"),
        idempotent: true,
        key: KeyRule::Optional,
        order: 10,
        cost: Cost::Tokens,
        hint: 300,
        queue_within: Millis(3_600_000),
        first_byte_within: Millis(3_600_000),
        idle_within: Millis(3_600_000),
        total_within: Millis(3_600_000),
        retries: 0,
    }
}

/// Instances that hear each other without loss or delay; only the first has work.
struct Group {
    nodes: Vec<State>,
    places: BTreeMap<InstanceId, usize>,
    micros: u64,
    backlogged: u64,
    next: u64,
    running: VecDeque<(AttemptId, RequestId)>,
}

impl Group {
    fn new(teams: u64, servers: u64, peers: u64) -> Group {
        let mut group = Group {
            nodes: (0..=peers).map(node).collect(),
            places: (0..=peers).map(|n| (InstanceId::of(&name(n)), n as usize)).collect(),
            micros: 0,
            backlogged: (teams / BACKLOGGED_ONE_IN).max(1),
            next: 0,
            running: VecDeque::new(),
        };
        group.configure(teams, servers, peers);
        group.run(5_000);
        group
    }

    fn configure(&mut self, teams: u64, servers: u64, peers: u64) {
        let pages = spread::pages(teams.div_ceil(TEAMS_A_TEMPLATE), TEAMS_A_TEMPLATE);
        let head = Arc::new(spread::head_of(&pages, 1));
        let texts: Vec<String> = pages.values().map(|it| it.text().to_owned()).collect();
        let listing = listing(servers, peers);
        for n in 0..self.nodes.len() {
            self.say(n, Event::Listed(Arc::clone(&listing)));
            let from = InstanceId::of(&name((n as u64 + 1) % (peers + 1)));
            for message in [Message::Head(Arc::clone(&head)), Message::Pages(texts.clone())] {
                let incarnation = LIFE;
                self.say(n, Event::Message { from, incarnation, message });
            }
        }
    }

    /// Lets time pass for all.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.micros += 10_000;
            for n in 0..self.nodes.len() {
                let now = at(self.micros);
                if self.nodes[n].due(now).is_due(now) {
                    self.say(n, Event::Tick);
                }
            }
        }
    }

    /// One event and all messages that follow from it.
    fn say(&mut self, to: usize, event: Event) {
        let now = at(self.micros);
        let mut wire = VecDeque::from([(to, event)]);
        while let Some((n, event)) = wire.pop_front() {
            for effect in self.nodes[n].step(now, event) {
                self.carry_out(n, effect, &mut wire);
            }
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect, wire: &mut VecDeque<(usize, Event)>) {
        match effect {
            Effect::Dispatch(it) => self.running.push_back((it.attempt, it.request)),
            Effect::List { .. } => wire.push_back((n, Event::ListUnchanged)),
            Effect::Send { to, messages, sent_at, .. } => {
                let from = InstanceId::of(&name(n as u64));
                let Some(&place) = self.places.get(&to) else {
                    return;
                };
                for message in messages {
                    let incarnation = LIFE;
                    wire.push_back((place, Event::Message { from, incarnation, message }));
                }
                wire.push_back((n, Event::PeerAnswered { peer: to, sent_at }));
            }
            _ => {}
        }
    }

    fn arrival(&mut self, of: u64) -> Event {
        let id = self.next * self.backlogged + of;
        self.next += 1;
        let team = of * BACKLOGGED_ONE_IN;
        let (template, team) = (team / TEAMS_A_TEMPLATE, team % TEAMS_A_TEMPLATE);
        Event::Arrived(Arrival {
            request: RequestId(id),
            team: TeamId::of(&format!("team-{template}-{team}")),
            policy: policy(),
            key: None,
            fingerprint: Fingerprint([0; 16]),
            bytes: 100,
            hint: 300,
        })
    }

    /// Gives the first instance all slots and two waiting requests of each backlogged team.
    fn fill(&mut self, servers: u64) {
        let wanted = servers * u64::from(SLOTS_EACH) + 2 * self.backlogged;
        for n in 0..wanted {
            let arrival = self.arrival(n % self.backlogged);
            self.say(0, arrival);
        }
        self.run(3_000);
    }

    fn cycle(&mut self) {
        let Some((attempt, request)) = self.running.pop_front() else {
            return;
        };
        let end = AttemptEnd::Complete { status: 200, units: UNITS };
        self.only_here(Event::Ended { attempt, end });
        let arrival = self.arrival(request.0 % self.backlogged);
        self.only_here(arrival);
    }

    /// One event at the first instance; messages to others are dropped.
    fn only_here(&mut self, event: Event) {
        self.micros += 1;
        for effect in self.nodes[0].step(at(self.micros), event) {
            if let Effect::Dispatch(it) = effect {
                self.running.push_back((it.attempt, it.request));
            }
        }
    }
}

fn node(n: u64) -> State {
    let options = Options {
        requests_max: REQUESTS_MAX,
        bytes_max: u64::MAX,
        ..Options::of(&name(n), LIFE, address(n))
    };
    State::new(options, at(0))
}

fn measure_cycle(teams: u64, servers: u64, peers: u64) -> f64 {
    let mut group = Group::new(teams, servers, peers);
    group.fill(servers);
    let before = group.running.len();
    let taken = nanos(2_000, |_| group.cycle());
    if before == 0 || group.running.len() != before {
        let after = group.running.len();
        eprintln!("{AREA}: {before} requests ran before the cycles and {after} after");
    }
    taken
}

/// One instance's part of a second in which nothing but control happens.
fn quiet_second(teams: u64, servers: u64, peers: u64) -> f64 {
    let mut group = Group::new(teams, servers, peers);
    group.fill(servers);
    nanos(2, |_| group.run(1_000)) / (peers + 1) as f64
}

fn memory(waiting: u64) -> f64 {
    let mut group = Group::new(100, 1, 1);
    group.backlogged = 10;
    let before = resident();
    for n in 0..waiting {
        let arrival = group.arrival(n % group.backlogged);
        group.only_here(arrival);
    }
    let bytes = resident() - before;
    std::mem::forget(group);
    bytes
}
