//! The platform: keys with compare-and-swap, leases and watches, and a list that lags.
//!
//! | call | answer |
//! |---|---|
//! | `GET /kv/<key>` | 200 with `X-Version`, or 404 |
//! | `GET /kv/<key>?watch=<version>&wait-ms=<n>` | the same once the version differs, 304 if it never does |
//! | `PUT /kv/<key>` with `If-Match` or `If-None-Match: *`, `X-Lease` | 200, 412, 413, 429 |
//! | `DELETE /kv/<key>` with `If-Match` | 200, 412, 429 |
//! | `POST /lease?ttl-ms=<n>`, `POST /lease/<id>` | 200 with the id, 404 once it is over |
//! | `GET /list?seen=<version>` | 200 with the list, 304 where it is at that version |
//! | `GET /admin/counters`, `POST /admin/fault` | [`Counters`], takes [`Fault`] |
//! | `POST /admin/instances`, `POST /admin/servers` | takes one entry, by name |
//! | `DELETE /admin/instances/<name>`, `DELETE /admin/servers/<name>` | removes it |
//!
//! `/admin` answers on [`Platform::admin`] only, past every fault.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use rocket::http::{Method, Status};
use serde::{Deserialize, Serialize};
use sl_base::listing::{ListedInstance, ListedServer, Listing};
use tokio::time::Instant;

use crate::{
    chance::{Chance, Dice},
    relay::{Link, Links, Relay},
    serve::{self, Answer, Incoming, Refusal, Service, Serving},
    store::{Entry, Store, Written},
};

/// How the platform behaves.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Where it listens; port 0 for any.
    pub listen: SocketAddr,
    /// How much later a change shows in the list.
    pub list_lag: Duration,
    /// Writes a second that it takes.
    pub writes_per_second: u32,
    /// Reads a second that it takes; a waiting watch is one.
    pub reads_per_second: u32,
    /// Seed of the faults that are left to chance.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            list_lag: Duration::ZERO,
            writes_per_second: 500,
            reads_per_second: 5_000,
            seed: 0,
        }
    }
}

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// It refuses connections and closes those that stand.
    pub down: bool,
    /// It takes connections and never answers.
    pub silent: bool,
    /// Connections that stood when this was set never answer; new ones work.
    pub silent_old: bool,
    /// It answers 503 and does nothing.
    pub unavailable: bool,
    /// It takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// A write takes effect and its answer is lost.
    pub lose_answer: Chance,
    /// A write is lost before it takes effect.
    pub lose_call: Chance,
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Reads of a key.
    pub get: u64,
    /// Watches; a waiting one counts once.
    pub watch: u64,
    /// Writes, refused ones included.
    pub put: u64,
    /// Removals, refused ones included.
    pub delete: u64,
    /// Leases asked for or kept alive.
    pub lease: u64,
    /// Reads of the list.
    pub list: u64,
    /// Calls refused by rate or size.
    pub refused: u64,
    /// Bytes of values written.
    pub bytes_in: u64,
    /// Bytes of values and lists read.
    pub bytes_out: u64,
    /// Keys that exist now.
    pub keys: u64,
}

/// A running platform; it ends when it is dropped.
#[derive(Debug)]
pub struct Platform {
    core: Core,
    relay: Relay,
    serving: Serving,
}

#[derive(Clone, Debug)]
struct Core(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    options: Options,
    store: Store,
    links: Links,
    relay: OnceLock<Relay>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    counters: Counters,
    dice: Dice,
    writes: Bucket,
    reads: Bucket,
    listings: VecDeque<(Instant, Arc<Listing>)>,
}

/// The largest value in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// The longest wait of a watch.
const WATCH_MAX: Duration = Duration::from_secs(60);

impl Platform {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Where the port cannot be had.
    pub async fn start(options: Options) -> io::Result<Platform> {
        let core = Core(Arc::new(Shared {
            options,
            store: Store::new(),
            links: Links::default(),
            relay: OnceLock::new(),
            state: Mutex::new(State::new(options)),
        }));
        let private = SocketAddr::new(options.listen.ip(), 0);
        let serving = serve::serve(private, core.clone()).await?;
        let links = core.0.links.clone();
        let relay = Relay::with_links(options.listen, serving.address, links, 0).await?;
        let _ = core.0.relay.set(relay.clone());
        Ok(Platform { core, relay, serving })
    }

    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.relay.address()
    }

    /// Its URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Where it takes `/admin` calls.
    pub fn admin(&self) -> SocketAddr {
        self.serving.address
    }

    /// Sets what is wrong with it; the default heals it.
    pub async fn fault(&self, fault: Fault) {
        self.core.fault(fault).await;
    }

    /// Calls so far.
    pub fn counters(&self) -> Counters {
        self.core.counters()
    }

    /// Lists an instance, or changes its entry.
    pub fn list_instance(&self, instance: ListedInstance) {
        self.core.list_instance(instance);
    }

    /// Takes an instance off the list.
    pub fn remove_instance(&self, name: &str) {
        self.core.edit(|it| it.instances.retain(|it| it.name != name));
    }

    /// Lists a backend server, or changes its entry.
    pub fn list_server(&self, server: ListedServer) {
        self.core.list_server(server);
    }

    /// Takes a backend server off the list.
    pub fn remove_server(&self, name: &str) {
        self.core.edit(|it| it.servers.retain(|it| it.name != name));
    }

    /// Marks an instance or a backend server as leaving, or as staying.
    pub fn set_leaving(&self, name: &str, leaving: bool) {
        self.core.edit(|it| {
            for instance in it.instances.iter_mut().filter(|it| it.name == name) {
                instance.leaving = leaving;
            }
            for server in it.servers.iter_mut().filter(|it| it.name == name) {
                server.leaving = leaving;
            }
        });
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.relay.refuse(true);
        self.relay.cut();
    }
}

impl Core {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counters(&self) -> Counters {
        Counters { keys: self.0.store.len() as u64, ..self.lock().counters }
    }

    async fn fault(&self, fault: Fault) {
        self.lock().fault = fault;
        let Some(relay) = self.0.relay.get() else {
            return;
        };
        relay.heal();
        relay.refuse(fault.down);
        relay.settled().await;
        if fault.down {
            relay.cut();
        }
        if fault.silent {
            relay.silence();
        }
        if fault.silent_old {
            relay.silence_old();
        }
    }

    fn edit(&self, change: impl FnOnce(&mut Listing)) {
        let mut state = self.lock();
        let mut listing = match state.listings.back() {
            Some((_, listing)) => Listing::clone(listing),
            None => Listing::default(),
        };
        change(&mut listing);
        listing.version += 1;
        let shows = Instant::now() + self.0.options.list_lag;
        state.listings.push_back((shows, Arc::new(listing)));
    }

    fn list_instance(&self, instance: ListedInstance) {
        self.edit(|it| {
            it.instances.retain(|it| it.name != instance.name);
            it.instances.push(instance);
        });
    }

    fn list_server(&self, server: ListedServer) {
        self.edit(|it| {
            it.servers.retain(|it| it.name != server.name);
            it.servers.push(server);
        });
    }

    async fn platform(&self, call: &Incoming, link: &Link) -> Answer {
        let fault = self.lock().fault;
        if fault.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
        }
        if fault.unavailable {
            return serve::empty(Status::ServiceUnavailable);
        }
        let path = call.path.as_str();
        match (call.method, path.split_once("/kv/"), path) {
            (Method::Get, Some(("", key)), _) => self.read(call, key).await,
            (Method::Put | Method::Delete, Some(("", key)), _) => self.write(call, key, link),
            (Method::Post, None, _) if path.starts_with("/lease") => self.lease(call),
            (Method::Get, None, "/list") => self.list(call),
            _ => serve::empty(Status::BadRequest),
        }
    }

    async fn read(&self, call: &Incoming, key: &str) -> Answer {
        let seen = call.query_number("watch");
        {
            let mut state = self.lock();
            match seen {
                Some(_) => state.counters.watch += 1,
                None => state.counters.get += 1,
            }
            if !state.reads.take() {
                return state.refuse(Status::TooManyRequests);
            }
        }
        let entry = match seen {
            None => self.0.store.get(key),
            Some(seen) => {
                let wait = Duration::from_millis(call.query_number("wait-ms").unwrap_or(0));
                let until = Instant::now() + wait.min(WATCH_MAX);
                match self.0.store.changed(key, seen, until).await {
                    Some(entry) => entry,
                    None => return serve::empty(Status::NotModified),
                }
            }
        };
        self.show(entry)
    }

    fn show(&self, entry: Option<Entry>) -> Answer {
        let Some(entry) = entry else {
            return serve::empty(Status::NotFound);
        };
        self.lock().counters.bytes_out += entry.value.len() as u64;
        versioned(serve::bytes(Status::Ok, entry.value), entry.version)
    }

    fn write(&self, call: &Incoming, key: &str, link: &Link) -> Answer {
        let mut state = self.lock();
        let put = call.method == Method::Put;
        if put {
            state.counters.put += 1;
        } else {
            state.counters.delete += 1;
        }
        if !state.writes.take() {
            return state.refuse(Status::TooManyRequests);
        }
        if call.body.len() > VALUE_MAX {
            return state.refuse(Status::PayloadTooLarge);
        }
        let Some(expect) = expected(call) else {
            return serve::empty(Status::PreconditionRequired);
        };
        if state.strikes(|it| &mut it.lose_call) {
            link.cut();
            return serve::empty(Status::ServiceUnavailable);
        }
        state.counters.bytes_in += call.body.len() as u64;
        let written = if put {
            let lease = call.header("X-Lease").and_then(|it| it.parse().ok());
            self.0.store.put(key, expect, call.body.clone(), lease)
        } else {
            self.0.store.delete(key, expect)
        };
        if state.strikes(|it| &mut it.lose_answer) {
            link.cut();
        }
        match written {
            Written::Done(version) => versioned(serve::empty(Status::Ok), version),
            Written::Conflict(version) => {
                versioned(serve::empty(Status::PreconditionFailed), version)
            }
            Written::NoLease => serve::text(Status::Gone, "the lease is over"),
        }
    }

    fn lease(&self, call: &Incoming) -> Answer {
        let mut state = self.lock();
        state.counters.lease += 1;
        if !state.writes.take() {
            return state.refuse(Status::TooManyRequests);
        }
        let Some(id) = call.path.strip_prefix("/lease/") else {
            let span = Duration::from_millis(call.query_number("ttl-ms").unwrap_or(0));
            return serve::text(Status::Ok, self.0.store.grant(span).to_string());
        };
        if id.parse().is_ok_and(|id| self.0.store.keep_alive(id)) {
            serve::text(Status::Ok, id)
        } else {
            serve::empty(Status::NotFound)
        }
    }

    fn list(&self, call: &Incoming) -> Answer {
        let mut state = self.lock();
        state.counters.list += 1;
        if !state.reads.take() {
            return state.refuse(Status::TooManyRequests);
        }
        let listing = state.shown();
        if call.query_number("seen") == Some(listing.version) {
            return serve::empty(Status::NotModified);
        }
        let Ok(body) = serde_json::to_vec(&*listing) else {
            return serve::empty(Status::InternalServerError);
        };
        state.counters.bytes_out += body.len() as u64;
        serve::bytes(Status::Ok, body.into())
    }

    async fn administer(&self, call: &Incoming) -> Result<Answer, Refusal> {
        match (call.method, call.path.as_str()) {
            (Method::Get, "/admin/counters") => return Ok(serve::json(&self.counters())),
            (Method::Post, "/admin/fault") => self.fault(call.json()?).await,
            (Method::Post, "/admin/instances") => self.list_instance(call.json()?),
            (Method::Post, "/admin/servers") => self.list_server(call.json()?),
            (Method::Delete, path) => match path.rsplit_once('/') {
                Some(("/admin/instances", name)) => {
                    self.edit(|it| it.instances.retain(|it| it.name != name));
                }
                Some(("/admin/servers", name)) => {
                    self.edit(|it| it.servers.retain(|it| it.name != name));
                }
                _ => return Err(Refusal::not_found()),
            },
            _ => return Err(Refusal::not_found()),
        }
        Ok(serve::empty(Status::Ok))
    }
}

impl Service for Core {
    async fn answer(&self, call: Incoming) -> Answer {
        let link = call.remote.and_then(|it| self.0.links.get(it));
        match link {
            Some(link) => self.platform(&call, &link).await,
            None => self.administer(&call).await.unwrap_or_else(Answer::from),
        }
    }
}

impl State {
    fn new(options: Options) -> State {
        State {
            fault: Fault::default(),
            counters: Counters::default(),
            dice: Dice::new(options.seed),
            writes: Bucket::new(options.writes_per_second),
            reads: Bucket::new(options.reads_per_second),
            listings: VecDeque::new(),
        }
    }

    fn refuse(&mut self, status: Status) -> Answer {
        self.counters.refused += 1;
        serve::empty(status)
    }

    fn strikes(&mut self, chance: impl FnOnce(&mut Fault) -> &mut Chance) -> bool {
        chance(&mut self.fault).strikes(&mut self.dice)
    }

    fn shown(&mut self) -> Arc<Listing> {
        let now = Instant::now();
        while self.listings.get(1).is_some_and(|(shows, _)| *shows <= now) {
            self.listings.pop_front();
        }
        match self.listings.front() {
            Some((shows, listing)) if *shows <= now => listing.clone(),
            _ => Arc::default(),
        }
    }
}

/// Takes so many calls a second, and a second's worth at once.
#[derive(Debug)]
struct Bucket {
    per_second: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(per_second: u32) -> Bucket {
        Bucket { per_second: per_second.into(), level: per_second.into(), at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let gained = (now - self.at).as_secs_f64() * self.per_second;
        self.at = now;
        self.level = (self.level + gained).min(self.per_second);
        let taken = self.level >= 1.0;
        if taken {
            self.level -= 1.0;
        }
        taken
    }
}

fn expected(call: &Incoming) -> Option<u64> {
    if call.header("If-None-Match") == Some("*") {
        return Some(0);
    }
    call.header("If-Match")?.trim_matches('"').parse().ok()
}

fn versioned(mut answer: Answer, version: u64) -> Answer {
    answer.set_raw_header("X-Version", version.to_string());
    answer
}
