//! Backend servers, many in one process, each on a port of its own.
//!
//! | call to [`Backends::admin`] | answer |
//! |---|---|
//! | `GET /admin/servers` | [`Server`]s as JSON |
//! | `GET /admin/runs` | [`Run`]s as JSON |
//! | `DELETE /admin/runs` | forgets them |
//! | `POST /admin/fault` or `/admin/fault/<server>` | takes [`Fault`], for all servers or for one |
//! | `POST /admin/crash/<server>?ms=<n>` | crashes it for so long |

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use rocket::http::{Method, Status};
use serde::{Deserialize, Serialize};
use sl_base::listing::ListedServer;
use tokio::{sync::Semaphore, time::Instant};

use crate::{
    chance::{Chance, Dice},
    engine, plain,
    relay::{Link, Links, Relay},
    serve::{self, Answer, Incoming, Refusal, Service, Serving},
};

/// A backend server to be started.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// Its name.
    pub name: String,
    /// The pool it belongs to.
    pub pool: String,
    /// The data centre it stands in.
    #[serde(default)]
    pub data_centre: String,
    /// Where it listens; any port of the loopback where it is left out.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Requests that it runs side by side; more wait in it.
    pub slots: u32,
    /// What it does.
    pub kind: Kind,
}

/// What a backend server does.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Kind {
    /// A model engine that streams tokens.
    Engine {
        /// Output tokens a second in each slot.
        tokens_per_second: u32,
        /// Input tokens a second before the first output token.
        prompt_tokens_per_second: u32,
        /// How old its load reports are, in milliseconds.
        report_lag_ms: u64,
    },
    /// A plain service that answers once the work is done.
    Plain {
        /// How long a request takes, in milliseconds; `X-Service-Millis` overrides it.
        service_ms: u64,
    },
}

/// What is wrong with a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// It refuses connections; what it runs goes on.
    pub refuse: bool,
    /// Connections that stood when this was set pass nothing on; new ones work.
    pub silent_old: bool,
    /// It takes connections and passes nothing on.
    pub silent: bool,
    /// The answer carries another attempt's id.
    pub cross: Chance,
    /// The answer comes late, by `late_ms`.
    pub late: Chance,
    /// How late, in milliseconds.
    pub late_ms: u64,
    /// The work is done and no answer ever begins.
    pub hang: Chance,
    /// The connection is closed once the request was read, and nothing is run.
    pub drop_call: Chance,
    /// The work is done and the connection closed before the answer.
    pub lose_answer: Chance,
    /// The connection is closed in the middle of the answer.
    pub cut: Chance,
    /// The answer stands still in the middle, with the connection open.
    pub stall: Chance,
}

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The server that ran it.
    pub server: String,
    /// The request's method.
    pub method: String,
    /// The request's path.
    pub path: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// What its sender marked it with in `X-Request-Tag`.
    pub tag: Option<String>,
    /// The attempt's id that came with it.
    pub attempt: Option<String>,
    /// A hash of its body.
    pub body_hash: u64,
    /// Whether the work was done to its end.
    pub finished: bool,
}

/// A backend server as it stands.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Server {
    /// As the platform lists it.
    pub listed: ListedServer,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the server.
    pub waiting: u32,
    /// The most requests that ever ran side by side.
    pub running_max: u32,
    /// The most requests that ever waited in the server.
    pub waiting_max: u32,
    /// Times it crashed.
    pub crashes: u32,
}

/// Running backend servers; they end when this is dropped.
#[derive(Debug)]
pub struct Backends {
    core: Core,
    serving: Serving,
}

#[derive(Clone, Debug)]
pub(crate) struct Core(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    links: Links,
    units: Vec<Unit>,
    runs: Mutex<Vec<Run>>,
}

/// One backend server.
#[derive(Debug)]
pub(crate) struct Unit {
    pub(crate) spec: Spec,
    pub(crate) slots: Arc<Semaphore>,
    relay: OnceLock<Relay>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    dice: Dice,
    load: Load,
    running_max: u32,
    waiting_max: u32,
    crashes: u32,
    reported: (Instant, Load),
    next_report: (Instant, Load),
}

/// What a load report says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the server.
    pub waiting: u32,
}

/// A request whose body holds this crashes the server that runs it.
pub const CRASH_MARK: &str = "crash-me";

/// How long a crashed server refuses connections.
pub const CRASHED_FOR: Duration = Duration::from_millis(1_000);

impl Backends {
    /// Starts the servers; faults left to chance follow `seed`.
    ///
    /// # Errors
    ///
    /// Where a port cannot be had.
    pub async fn start(specs: Vec<Spec>, seed: u64) -> io::Result<Backends> {
        let units =
            specs.into_iter().zip(seed..).map(|(spec, seed)| Unit::new(spec, seed)).collect();
        let core =
            Core(Arc::new(Shared { links: Links::default(), units, runs: Mutex::default() }));
        let serving = serve::serve(any_port(), core.clone()).await?;
        for (at, unit) in core.0.units.iter().enumerate() {
            let links = core.0.links.clone();
            let relay = Relay::with_links(unit.spec.listen, serving.address, links, at).await?;
            let _ = unit.relay.set(relay);
        }
        Ok(Backends { core, serving })
    }

    /// Where it takes `/admin` calls.
    pub fn admin(&self) -> SocketAddr {
        self.serving.address
    }

    /// The servers as the platform would list them, in the order of their specs.
    pub fn listed(&self) -> Vec<ListedServer> {
        self.core.0.units.iter().map(Unit::listed).collect()
    }

    /// The servers as they stand.
    pub fn servers(&self) -> Vec<Server> {
        self.core.0.units.iter().map(Unit::server).collect()
    }

    /// Every run since the start.
    pub fn runs(&self) -> Vec<Run> {
        self.core.runs().clone()
    }

    /// Sets what is wrong with every server; the default heals them.
    pub async fn fault(&self, fault: Fault) {
        for unit in &self.core.0.units {
            unit.set_fault(fault).await;
        }
    }

    /// Sets what is wrong with one server.
    pub async fn fault_at(&self, name: &str, fault: Fault) {
        if let Some(unit) = self.core.unit(name) {
            unit.set_fault(fault).await;
        }
    }

    /// Crashes a server: its connections close, and it refuses new ones for `span`.
    pub async fn crash(&self, name: &str, span: Duration) {
        if let Some(unit) = self.core.unit(name) {
            unit.crash(span).await;
        }
    }
}

impl Drop for Backends {
    fn drop(&mut self) {
        for relay in self.core.0.units.iter().filter_map(|it| it.relay.get()) {
            relay.refuse(true);
            relay.cut();
        }
    }
}

/// A request at a backend server, with the faults that strike it.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) call: Incoming,
    pub(crate) link: Link,
    pub(crate) core: Core,
    pub(crate) at: usize,
    pub(crate) run: usize,
    pub(crate) strikes: Strikes,
}

/// The faults that strike one request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Strikes {
    pub(crate) cross: bool,
    pub(crate) late: Option<Duration>,
    pub(crate) hang: bool,
    drop_call: bool,
    pub(crate) lose_answer: bool,
    pub(crate) cut: bool,
    pub(crate) stall: bool,
}

impl Job {
    pub(crate) fn unit(&self) -> &Unit {
        &self.core.0.units[self.at]
    }

    /// Waits for a slot, and begins the run once there is one.
    pub(crate) async fn begin(&mut self) -> Slot {
        let core = self.core.clone();
        let waiting = Waiting::new(core.clone(), self.at);
        let permit = self.unit().slots.clone().acquire_owned().await.ok();
        drop(waiting);
        self.run = core.begin_run(self.at, &self.call);
        Slot::new(core, self.at, permit)
    }

    /// Marks the run as done to its end.
    pub(crate) fn finish(&self) {
        if let Some(run) = self.core.runs().get_mut(self.run) {
            run.finished = true;
        }
    }

    /// Gives the answer what every answer of this request carries.
    pub(crate) fn mark(&self, mut answer: Answer) -> Answer {
        if let Some(attempt) = self.call.header(ATTEMPT) {
            let shown = match attempt.parse::<u64>() {
                Ok(id) if self.strikes.cross => id.wrapping_add(1).to_string(),
                _ => attempt.to_owned(),
            };
            answer.set_raw_header(ATTEMPT, shown);
        }
        answer.set_raw_header("X-Server", self.unit().spec.name.clone());
        answer
    }

    /// Carries out the faults between the end of the work and the first byte.
    pub(crate) async fn before_answer(&self) {
        if let Some(late) = self.strikes.late {
            tokio::time::sleep(late).await;
        }
        if self.strikes.lose_answer {
            self.link.cut();
        }
        if self.strikes.hang {
            std::future::pending::<()>().await;
        }
    }
}

const ATTEMPT: &str = "X-Sesamelock-Attempt";

/// A request that waits in a server.
struct Waiting {
    core: Core,
    at: usize,
}

impl Waiting {
    fn new(core: Core, at: usize) -> Waiting {
        core.0.units[at].change(|it| {
            it.load.waiting += 1;
            it.waiting_max = it.waiting_max.max(it.load.waiting);
        });
        Waiting { core, at }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.core.0.units[self.at].change(|it| it.load.waiting -= 1);
    }
}

/// A slot that a request holds.
#[derive(Debug)]
pub(crate) struct Slot {
    core: Core,
    at: usize,
    _permit: Option<tokio::sync::OwnedSemaphorePermit>,
}

impl Slot {
    fn new(core: Core, at: usize, permit: Option<tokio::sync::OwnedSemaphorePermit>) -> Slot {
        core.0.units[at].change(|it| {
            it.load.running += 1;
            it.running_max = it.running_max.max(it.load.running);
        });
        Slot { core, at, _permit: permit }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.core.0.units[self.at].change(|it| it.load.running -= 1);
    }
}

impl Core {
    fn runs(&self) -> MutexGuard<'_, Vec<Run>> {
        self.0.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn unit(&self, name: &str) -> Option<&Unit> {
        self.0.units.iter().find(|it| it.spec.name == name)
    }

    fn begin_run(&self, at: usize, call: &Incoming) -> usize {
        let owned = |name| call.header(name).map(str::to_owned);
        let run = Run {
            server: self.0.units[at].spec.name.clone(),
            method: call.method.to_string(),
            path: call.path.clone(),
            key: owned("Idempotency-Key"),
            tag: owned("X-Request-Tag"),
            attempt: owned(ATTEMPT),
            body_hash: sl_base::ServerId::of(&String::from_utf8_lossy(&call.body)).0,
            finished: false,
        };
        let mut runs = self.runs();
        runs.push(run);
        runs.len() - 1
    }

    async fn work(&self, call: Incoming, link: Link) -> Answer {
        let at = link.owner();
        let unit = &self.0.units[at];
        if call.path == "/load" {
            return serve::json(&unit.report());
        }
        let strikes = unit.strikes();
        if strikes.drop_call {
            link.cut();
            return serve::empty(Status::ServiceUnavailable);
        }
        let crashes = contains(&call.body, CRASH_MARK.as_bytes());
        let job = Job { call, link, core: self.clone(), at, run: usize::MAX, strikes };
        if crashes {
            let mut job = job;
            let _slot = job.begin().await;
            unit.crash(CRASHED_FOR).await;
            return serve::empty(Status::InternalServerError);
        }
        match unit.spec.kind {
            Kind::Engine { .. } => engine::answer(job).await,
            Kind::Plain { .. } => plain::answer(job).await,
        }
    }

    async fn administer(&self, call: &Incoming) -> Result<Answer, Refusal> {
        let units = &self.0.units;
        match (call.method, call.path.as_str()) {
            (Method::Get, "/admin/servers") => {
                let servers: Vec<Server> = units.iter().map(Unit::server).collect();
                return Ok(serve::json(&servers));
            }
            (Method::Get, "/admin/runs") => return Ok(serve::json(&*self.runs())),
            (Method::Delete, "/admin/runs") => self.runs().clear(),
            (Method::Post, "/admin/fault") => {
                let fault = call.json()?;
                for unit in units {
                    unit.set_fault(fault).await;
                }
            }
            (Method::Post, path) => {
                let (what, name) = path.rsplit_once('/').unwrap_or_default();
                let unit = self.unit(name).ok_or_else(Refusal::not_found)?;
                match what {
                    "/admin/fault" => unit.set_fault(call.json()?).await,
                    "/admin/crash" => {
                        let span = call.query_number("ms").map(Duration::from_millis);
                        unit.crash(span.unwrap_or(CRASHED_FOR)).await;
                    }
                    _ => return Err(Refusal::not_found()),
                }
            }
            _ => return Err(Refusal::not_found()),
        }
        Ok(serve::empty(Status::Ok))
    }
}

impl Service for Core {
    async fn answer(&self, call: Incoming) -> Answer {
        match call.remote.and_then(|it| self.0.links.get(it)) {
            Some(link) => self.work(call, link).await,
            None => self.administer(&call).await.unwrap_or_else(Answer::from),
        }
    }
}

impl Unit {
    fn new(spec: Spec, seed: u64) -> Unit {
        let report = (Instant::now(), Load::default());
        Unit {
            slots: Arc::new(Semaphore::new(spec.slots as usize)),
            relay: OnceLock::new(),
            state: Mutex::new(State {
                fault: Fault::default(),
                dice: Dice::new(seed),
                load: Load::default(),
                running_max: 0,
                waiting_max: 0,
                crashes: 0,
                reported: report,
                next_report: report,
            }),
            spec,
        }
    }

    fn listed(&self) -> ListedServer {
        ListedServer {
            name: self.spec.name.clone(),
            pool: self.spec.pool.clone(),
            data_centre: self.spec.data_centre.clone(),
            address: self.relay.get().map_or(self.spec.listen, Relay::address),
            slots: self.spec.slots,
            leaving: false,
        }
    }

    fn server(&self) -> Server {
        let state = self.lock();
        Server {
            listed: self.listed(),
            running: state.load.running,
            waiting: state.load.waiting,
            running_max: state.running_max,
            waiting_max: state.waiting_max,
            crashes: state.crashes,
        }
    }

    async fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
        let Some(relay) = self.relay.get() else {
            return;
        };
        relay.heal();
        relay.refuse(fault.refuse);
        relay.settled().await;
        if fault.silent {
            relay.silence();
        }
        if fault.silent_old {
            relay.silence_old();
        }
    }

    async fn crash(&self, span: Duration) {
        self.lock().crashes += 1;
        let Some(relay) = self.relay.get().cloned() else {
            return;
        };
        // Whoever sees its connection close finds the port closed too.
        relay.refuse(true);
        relay.settled().await;
        relay.cut();
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            relay.refuse(false);
        });
    }

    fn strikes(&self) -> Strikes {
        let mut state = self.lock();
        let State { fault, dice, .. } = &mut *state;
        Strikes {
            cross: fault.cross.strikes(dice),
            late: fault.late.strikes(dice).then_some(Duration::from_millis(fault.late_ms)),
            hang: fault.hang.strikes(dice),
            drop_call: fault.drop_call.strikes(dice),
            lose_answer: fault.lose_answer.strikes(dice),
            cut: fault.cut.strikes(dice),
            stall: fault.stall.strikes(dice),
        }
    }

    // Reports are taken once a lag, and shown from one lag later on.
    fn report(&self) -> Load {
        let lag = match self.spec.kind {
            Kind::Engine { report_lag_ms, .. } => Duration::from_millis(report_lag_ms),
            Kind::Plain { .. } => Duration::ZERO,
        };
        let mut state = self.lock();
        let now = Instant::now();
        if now >= state.next_report.0 + lag {
            state.reported = state.next_report;
            state.next_report = (now, state.load);
        }
        if lag.is_zero() { state.load } else { state.reported.1 }
    }

    fn change(&self, act: impl FnOnce(&mut State)) {
        act(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|it| it == part)
}
