//! A fleet in one process: a list of deliveries by time, and the judge of the promises.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{
    AttemptId, Code, Incarnation, InstanceId, Millis, Outcome, PoolId, RequestId, Revision, TeamId,
    Timestamp,
    call::{Call, CallId, Reply},
    hash::{Fingerprint, KeyHash},
    listing::{ListedInstance, ListedServer, Listing},
};
use sl_config::{
    Cost, Head, KeyRule, Page, Policy,
    accept::{self, Base, Edit, Stamp},
    head::{self, ChangeId},
};
use sl_step::{
    Effect, Event, Message, Options, State,
    effect::Dispatch,
    event::{Arrival, AttemptEnd},
};

use crate::model::{Kv, Server};

pub const POOL: &str = "drafting";
pub const TEAMS: [&str; 4] = ["large", "small", "tiny", "flood"];

/// What a caller sends; sent again it is the same job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job {
    pub id: u64,
    pub team: usize,
    pub idempotent: bool,
    pub crashes: bool,
    pub cost: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Messages in a thousand that are lost, repeated, and delayed.
    pub loss: u32,
    pub repeat: u32,
    pub delay: u32,
    /// Calls in a thousand whose answer is lost after they took effect.
    pub lost_answer: u32,
    pub platform_down: bool,
    /// Attempts in a thousand whose answer is another's, is lost, and breaks off midway.
    pub crossed: u32,
    pub lost: u32,
    pub midway: u32,
    /// Dispatches in a thousand that leave late, as those of a paused process do.
    pub stalled: u32,
}

enum Delivery {
    Event(usize, Incarnation, Event),
    Message { from: usize, life: Incarnation, to: usize, message: Message },
    Call { from: usize, life: Incarnation, id: CallId, call: Call, answer_by: Timestamp },
    End { from: usize, life: Incarnation, server: usize, attempt: AttemptId, end: AttemptEnd },
    Tick(usize),
    Dispatch(usize, Incarnation, Dispatch),
    Answering(Caller, AttemptId, Timestamp),
}

pub struct Instance {
    pub name: String,
    pub state: Option<State>,
    pub life: Incarnation,
    pub paused_until: Timestamp,
    pub group: u32,
    pub revision: Revision,
    pub ready: bool,
    pub exited: bool,
    next_tick: Timestamp,
    next_request: u64,
}

type Caller = (usize, Incarnation, RequestId);

pub struct Fleet {
    pub now: Timestamp,
    pub instances: Vec<Instance>,
    pub servers: Vec<Server>,
    pub faults: Faults,
    pub kv: Kv,
    pub rng: ChaCha8Rng,
    pub served: BTreeMap<usize, u64>,
    pub codes: BTreeMap<Code, u64>,
    /// The same by team.
    pub team_codes: BTreeMap<(usize, Code), u64>,
    pub completed: u64,
    pub come_back: Vec<Millis>,
    pub open: BTreeMap<Caller, Job>,
    pub messages: u64,
    listing: Arc<Listing>,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    next_seq: u64,
    running: BTreeMap<(usize, Incarnation, AttemptId), (RequestId, usize)>,
    begun: BTreeSet<Caller>,
    answering: BTreeSet<Caller>,
    runs: BTreeMap<u64, u32>,
}

const LATENCY: Millis = Millis(1);
const CALL_TIME: Millis = Millis(3);
const STALL_MAX: Millis = Millis(12_000);

impl Fleet {
    pub fn new(seed: u64, instances: usize, servers: Vec<Server>) -> Fleet {
        let instances = (0..instances).map(|it| Instance {
            name: format!("i-{it}"),
            state: None,
            life: Incarnation(0),
            paused_until: Timestamp::default(),
            group: 0,
            revision: Revision(0),
            ready: false,
            exited: false,
            next_tick: Timestamp::NEVER,
            next_request: 0,
        });
        let mut fleet = Fleet {
            now: Timestamp::from_micros(1_000_000_000_000_000),
            instances: instances.collect(),
            servers,
            faults: Faults::default(),
            kv: Kv::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            served: BTreeMap::new(),
            codes: BTreeMap::new(),
            team_codes: BTreeMap::new(),
            completed: 0,
            come_back: Vec::new(),
            open: BTreeMap::new(),
            messages: 0,
            listing: Arc::default(),
            queue: BTreeMap::new(),
            next_seq: 0,
            running: BTreeMap::new(),
            begun: BTreeSet::new(),
            answering: BTreeSet::new(),
            runs: BTreeMap::new(),
        };
        fleet.relist();
        fleet.accept(&template(1));
        for instance in 0..fleet.instances.len() {
            fleet.start(instance);
        }
        fleet
    }

    pub fn start(&mut self, place: usize) {
        let now = self.now;
        let life = Incarnation(now.as_micros());
        let options = Options::of(&self.instances[place].name, life, address(place));
        let instance = &mut self.instances[place];
        instance.state = Some(State::new(options, now));
        instance.life = life;
        instance.revision = Revision(0);
        instance.exited = false;
        self.step(place, Event::Tick);
    }

    pub fn kill(&mut self, place: usize) {
        let life = self.instances[place].life;
        self.instances[place].state = None;
        self.open.retain(|(at, lived, _), _| (*at, *lived) != (place, life));
    }

    /// Accepts `text` as the template `all`, as an operator's command would.
    pub fn accept(&mut self, text: &str) -> Revision {
        let page = Page::new(text).unwrap();
        let version = self.kv.version(head::KEY);
        let head = match self.kv.carry_out(&Call::Get { key: head::KEY.to_owned() }) {
            Reply::Value { value, .. } => Head::decode(&value).unwrap(),
            _ => Head::default(),
        };
        let base = Base { revision: head.revision, page: head.page("all") };
        let edit = Edit { name: "all".to_owned(), base, after: Some(page.clone()) };
        let id = ChangeId([head.revision.0 as u8; 16]);
        let stamp = Stamp { id, accepted_by: "test".to_owned(), at: self.now };
        let next = accept::plan(&head, &[edit], &stamp).unwrap().unwrap();
        let key = page.hash().key();
        self.kv.carry_out(&Call::Put { key, expect: Default::default(), value: page.bytes() });
        let put =
            Call::Put { key: head::KEY.to_owned(), expect: version, value: next.encode().unwrap() };
        assert!(matches!(self.kv.carry_out(&put), Reply::Done { .. }));
        next.revision
    }

    /// Puts what instances and servers there are into the platform's list.
    pub fn relist(&mut self) {
        let instances = self.instances.iter().enumerate().map(|(place, it)| ListedInstance {
            name: it.name.clone(),
            data_centre: "one".to_owned(),
            control: address(place),
            leaving: false,
        });
        let servers = self.servers.iter().enumerate().map(|(place, it)| ListedServer {
            name: it.name.clone(),
            pool: POOL.to_owned(),
            data_centre: "one".to_owned(),
            address: address(1_000 + place),
            slots: it.slots,
            leaving: it.leaving_since.is_some(),
        });
        self.listing = Arc::new(Listing {
            version: self.listing.version + 1,
            instances: instances.collect(),
            servers: servers.collect(),
        });
    }

    pub fn submit(&mut self, place: usize, job: Job) {
        let instance = &mut self.instances[place];
        if instance.state.is_none() || instance.exited {
            return;
        }
        let request = RequestId(instance.next_request);
        instance.next_request += 1;
        let caller = (place, instance.life, request);
        let team = TeamId::of(TEAMS[job.team]);
        let body = if job.crashes { "crash".to_owned() } else { job.id.to_string() };
        let key = (!job.idempotent).then(|| KeyHash::of(team, &job.id.to_string()));
        let arrival = Arrival {
            request,
            team,
            policy: policy(job.idempotent),
            key,
            fingerprint: Fingerprint::of(team, "POST", "/chat", body.as_bytes()),
            bytes: 100,
            hint: 100,
        };
        self.open.insert(caller, job);
        self.deliver(place, Event::Arrived(arrival));
    }

    /// Lets deliveries come until `until`.
    pub fn run_until(&mut self, until: Timestamp) {
        while let Some((&(at, seq), _)) = self.queue.first_key_value() {
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            let delivery = self.queue.remove(&(at, seq)).unwrap();
            self.come(delivery);
        }
        self.now = until;
    }

    pub fn run_for(&mut self, span: Millis) {
        self.run_until(self.now.after(span));
    }

    fn come(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(place) => self.tick(place),
            Delivery::Dispatch(place, life, it) => self.dispatch(place, life, it),
            Delivery::Answering(caller, attempt, breaks_at) => {
                self.answering(caller, attempt, breaks_at);
            }
            Delivery::Event(place, life, event) => {
                if self.instances[place].life == life {
                    self.deliver(place, event);
                }
            }
            Delivery::Message { from, life, to, message } => {
                let from = InstanceId::of(&self.instances[from].name);
                self.deliver(to, Event::Message { from, incarnation: life, message });
            }
            Delivery::Call { from, life, id, call, answer_by } => {
                self.call(from, life, id, call, answer_by);
            }
            Delivery::End { from, life, server, attempt, end } => {
                self.end(from, life, server, attempt, end);
            }
        }
    }

    pub fn tell(&mut self, place: usize, event: Event) {
        self.deliver(place, event);
    }

    fn deliver(&mut self, place: usize, event: Event) {
        let paused_until = self.instances[place].paused_until;
        if !paused_until.is_due(self.now) {
            let life = self.instances[place].life;
            self.push(paused_until, Delivery::Event(place, life, event));
            return;
        }
        self.step(place, event);
    }

    fn tick(&mut self, place: usize) {
        self.instances[place].next_tick = Timestamp::NEVER;
        self.deliver(place, Event::Tick);
    }

    fn step(&mut self, place: usize, event: Event) {
        let now = self.now;
        let instance = &mut self.instances[place];
        let Some(state) = &mut instance.state else {
            return;
        };
        let effects = state.step(now, event);
        let due = state.due(now).max(now.after(Millis(1)));
        if due < instance.next_tick {
            instance.next_tick = due;
            self.push(due, Delivery::Tick(place));
        }
        for effect in effects {
            self.carry_out(place, effect);
        }
    }

    fn carry_out(&mut self, place: usize, effect: Effect) {
        let life = self.instances[place].life;
        match effect {
            Effect::Dispatch(it) if self.chance(self.faults.stalled) => {
                let late = Millis(self.rng.random_range(0..STALL_MAX.0));
                self.push(self.now.after(late), Delivery::Dispatch(place, life, it));
            }
            Effect::Dispatch(it) => self.dispatch(place, life, it),
            Effect::Answer { request, code, retry_after, .. } => {
                self.come_back.extend(retry_after);
                self.answer((place, life, request), code);
            }
            Effect::Abort { attempt } => {
                if let Some(&(_, server)) = self.running.get(&(place, life, attempt)) {
                    let end = AttemptEnd::Aborted { units: 0 };
                    self.end(place, life, server, attempt, end);
                }
            }
            Effect::Send { to, sent_at, messages, .. } => self.send(place, to, sent_at, messages),
            Effect::Call { id, call, answer_by } => {
                let at = self.now.after(CALL_TIME);
                self.push(at, Delivery::Call { from: place, life, id, call, answer_by });
            }
            Effect::List { seen } => self.list(place, life, seen),
            Effect::Publish(config) => {
                let instance = &mut self.instances[place];
                assert!(config.revision() > instance.revision, "a configuration went back");
                instance.revision = config.revision();
            }
            Effect::Ready(ready) => self.instances[place].ready = ready,
            Effect::Note(_) => {}
            Effect::Exit => {
                let cut = self.open.keys().filter(|it| it.0 == place && it.1 == life);
                assert_eq!(cut.count(), 0, "requests cut by a planned stop");
                self.instances[place].exited = true;
            }
        }
    }

    fn send(&mut self, from: usize, to: InstanceId, sent_at: Timestamp, messages: Vec<Message>) {
        let life = self.instances[from].life;
        let to_place = self.instances.iter().position(|it| InstanceId::of(&it.name) == to).unwrap();
        self.messages += 1;
        let target = &self.instances[to_place];
        let reachable = target.state.is_some()
            && target.group == self.instances[from].group
            && target.paused_until.is_due(self.now);
        if !reachable || self.chance(self.faults.loss) {
            let silent = Event::PeerSilent { peer: to };
            let at = self.now.after(Millis(500));
            self.push(at, Delivery::Event(from, life, silent));
            return;
        }
        let times = if self.chance(self.faults.repeat) { 2 } else { 1 };
        for _ in 0..times {
            let late =
                if self.chance(self.faults.delay) { self.rng.random_range(0..3_000) } else { 0 };
            let at = self.now.after(Millis(LATENCY.0 + late));
            for message in &messages {
                let message = message.clone();
                self.push(at, Delivery::Message { from, life, to: to_place, message });
            }
        }
        let answered = Event::PeerAnswered { peer: to, sent_at };
        self.push(self.now.after(Millis(2)), Delivery::Event(from, life, answered));
    }

    fn call(&mut self, from: usize, life: Incarnation, id: CallId, call: Call, by: Timestamp) {
        let cut = self.faults.platform_down || self.instances[from].group != 0;
        if let Call::Watch { key, seen } = &call
            && !cut
            && self.kv.version(key) == *seen
            && by > self.now.after(Millis(1_000))
        {
            let at = self.now.after(Millis(100));
            self.push(at, Delivery::Call { from, life, id, call, answer_by: by });
            return;
        }
        let reply = if cut {
            Reply::Lost
        } else if self.chance(self.faults.lost_answer) {
            self.kv.carry_out(&call);
            Reply::Lost
        } else {
            self.kv.carry_out(&call)
        };
        let at = if reply == Reply::Lost { by } else { self.now };
        self.push(at, Delivery::Event(from, life, Event::Replied { id, reply }));
    }

    fn list(&mut self, place: usize, life: Incarnation, seen: u64) {
        let cut = self.faults.platform_down || self.instances[place].group != 0;
        let event = match (cut, seen == self.listing.version) {
            (true, _) => Event::ListFailed,
            (_, true) => Event::ListUnchanged,
            _ => Event::Listed(Arc::clone(&self.listing)),
        };
        self.push(self.now.after(CALL_TIME), Delivery::Event(place, life, event));
    }

    fn dispatch(&mut self, place: usize, life: Incarnation, it: Dispatch) {
        if self.instances[place].life != life || self.instances[place].state.is_none() {
            return;
        }
        let caller = (place, life, it.request);
        let server = self.servers.iter().position(|s| s.id() == it.server).unwrap();
        let late = it.dispatch_by.is_due(self.now);
        self.running.insert((place, life, it.attempt), (it.request, server));
        if late || !self.servers[server].down_until.is_due(self.now) {
            self.push_end(self.now.after(LATENCY), caller, server, it.attempt, AttemptEnd::NotSent);
            return;
        }
        let job = *self.open.get(&caller).expect("a request is dispatched after its final answer");
        assert!(!self.answering.contains(&caller), "a second answer behind the first: {job:?}");
        self.begin(server, caller, job);
        let target = &self.servers[server];
        let takes = Millis(job.cost * 1_000 / target.speed);
        let at = self.now.after(takes);
        if !job.crashes && self.chance(self.faults.midway) {
            let half = self.now.after(Millis(takes.0 / 2));
            self.push(half, Delivery::Answering(caller, it.attempt, at));
            return;
        }
        let end = AttemptEnd::Complete { status: 200, units: job.cost };
        if job.crashes {
            self.crash(server);
            return;
        }
        let end = match self.rng.random_range(0..1_000) {
            n if n < self.faults.crossed => AttemptEnd::Crossed,
            n if n < self.faults.crossed + self.faults.lost => AttemptEnd::LostBeforeAnswer,
            _ => end,
        };
        self.push_end(at, caller, server, it.attempt, end);
    }

    /// The answer begins to reach the caller, and is to break off at `breaks_at`.
    fn answering(&mut self, caller: Caller, attempt: AttemptId, breaks_at: Timestamp) {
        let (place, life, _) = caller;
        let Some(&(_, server)) = self.running.get(&(place, life, attempt)) else {
            return;
        };
        self.answering.insert(caller);
        let end = AttemptEnd::LostMidway { units: 1 };
        self.push_end(breaks_at, caller, server, attempt, end);
        if self.instances[place].life == life {
            self.deliver(place, Event::Answering { attempt });
        }
    }

    fn begin(&mut self, server: usize, caller: Caller, job: Job) {
        let target = &mut self.servers[server];
        target.busy += 1;
        target.busy_max = target.busy_max.max(target.busy);
        if let Some(since) = target.leaving_since {
            let limit = since.after(LEAVING_WITHIN);
            assert!(self.now <= limit, "a leaving server gets work at {:?}", self.now);
        }
        self.begun.insert(caller);
        let runs = self.runs.entry(job.id).or_default();
        *runs += 1;
        assert!(job.idempotent || *runs == 1, "{job:?} runs again");
    }

    /// A server goes down: all that it runs is lost.
    pub fn crash(&mut self, server: usize) {
        self.servers[server].down_until = self.now.after(Millis(2_000));
        let lost: Vec<_> = self
            .running
            .iter()
            .filter(|(_, it)| it.1 == server)
            .map(|(&(place, life, attempt), &(request, _))| ((place, life, request), attempt))
            .collect();
        for (caller, attempt) in lost {
            self.push_end(self.now, caller, server, attempt, AttemptEnd::LostBeforeAnswer);
        }
    }

    fn push_end(
        &mut self,
        at: Timestamp,
        by: Caller,
        server: usize,
        attempt: AttemptId,
        end: AttemptEnd,
    ) {
        let (from, life, _) = by;
        self.push(at, Delivery::End { from, life, server, attempt, end });
    }

    fn end(
        &mut self,
        from: usize,
        life: Incarnation,
        server: usize,
        attempt: AttemptId,
        end: AttemptEnd,
    ) {
        let Some((request, _)) = self.running.remove(&(from, life, attempt)) else {
            return;
        };
        if end != AttemptEnd::NotSent {
            let target = &mut self.servers[server];
            target.busy = target.busy.saturating_sub(1);
        }
        let caller = (from, life, request);
        if let AttemptEnd::Complete { units, .. } = end
            && let Some(job) = self.open.remove(&caller)
        {
            *self.served.entry(job.team).or_default() += units;
            self.completed += 1;
        }
        if self.instances[from].life == life {
            self.deliver(from, Event::Ended { attempt, end });
        }
    }

    fn answer(&mut self, caller: Caller, code: Code) {
        let job = self.open.remove(&caller);
        assert!(job.is_some(), "a second final answer: {code}");
        assert!(
            code.outcome() != Outcome::NotRun || !self.begun.contains(&caller),
            "told {code}, but it ran: {caller:?} {job:?} at {:?}",
            self.now
        );
        *self.codes.entry(code).or_default() += 1;
        if let Some(job) = job {
            *self.team_codes.entry((job.team, code)).or_default() += 1;
        }
    }

    pub fn chance(&mut self, in_a_thousand: u32) -> bool {
        self.rng.random_range(0..1_000) < in_a_thousand
    }

    fn push(&mut self, at: Timestamp, delivery: Delivery) {
        self.next_seq += 1;
        self.queue.insert((at.max(self.now), self.next_seq), delivery);
    }

    pub fn runs_of(&self, job: u64) -> u32 {
        self.runs.get(&job).copied().unwrap_or(0)
    }
}

/// A leaving server gets nothing new after the list's lag and a lease.
pub const LEAVING_WITHIN: Millis = Millis(6_000);

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + place as u16))
}

pub fn policy(idempotent: bool) -> Policy {
    Policy {
        pool: PoolId::of(POOL),
        idempotent,
        key: KeyRule::Required,
        order: 0,
        cost: Cost::Tokens,
        hint: 100,
        queue_within: Millis(60_000),
        first_byte_within: Millis(60_000),
        idle_within: Millis(60_000),
        total_within: Millis(120_000),
        retries: 2,
    }
}

/// A template in which the team `large` has `share`.
pub fn template(share: u32) -> String {
    let mut text = format!("[route chat]\npath = /chat\npool = {POOL}\nidempotent = yes\n");
    for (place, team) in TEAMS.iter().enumerate() {
        let share = if place == 0 { share } else { 1 };
        let credential = blake3::hash(team.as_bytes()).to_hex();
        text += &format!(
            "\n[team {team}]\nshare = {share}\ncredential = {credential}\nqueue-max = 2000\n"
        );
    }
    text
}
