//! The platform's store: keys with leases, watches and transactions, as PROTOCOL.md tells them. Each
//! instance has an address of its own for the store, so that the store can turn some of them away.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Conn, Head},
    json::Json,
};

/// The store's contents.
#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change with its revision; a value of `None` is a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    /// Whether nobody gets an answer.
    is_down: AtomicBool,
}

#[derive(Clone, Default)]
pub struct Store(Arc<Shared>);

/// The door through which one instance reaches the store.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    is_silent: Arc<AtomicBool>,
    watches: Arc<AtomicUsize>,
}

impl Door {
    /// Whether the store gives this instance no answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.is_silent.store(is_silent, Ordering::SeqCst);
    }

    /// How many watches of the instance are waiting.
    pub fn watches(&self) -> usize {
        self.watches.load(Ordering::SeqCst)
    }
}

/// The time in which the store answers.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const WATCH_WAIT_MAX_MS: u64 = 30_000;
const PAGE_ITEMS: usize = 500;

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|it| it.1.lease == lease).map(|it| it.0.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, it: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        it.value, it.revision, it.created, it.lease
    )
}

impl Store {
    /// Starts the clock of the leases.
    pub fn start() -> Store {
        let store = Store::default();
        store.0.state.lock().unwrap().revision = 1;
        let shared = store.0.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                // Leases pause while the store is down.
                if shared.is_down.load(Ordering::SeqCst) {
                    let mut state = shared.state.lock().unwrap();
                    for lease in state.leases.values_mut() {
                        lease.1 += Duration::from_millis(50);
                    }
                    continue;
                }
                let mut state = shared.state.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> =
                    state.leases.iter().filter(|it| it.1.1 <= now).map(|it| *it.0).collect();
                for lease in &ended {
                    state.end_lease(*lease);
                }
                drop(state);
                if !ended.is_empty() {
                    shared.changed.notify_all();
                }
            }
        });
        store
    }

    /// Has the store answer nobody, instances, servers and operator alike.
    pub fn set_down(&self, is_down: bool) {
        self.0.is_down.store(is_down, Ordering::SeqCst);
        self.0.changed.notify_all();
    }

    /// A write of the operator or of a server; false while the store is down. The return is the
    /// acknowledgement.
    pub fn write(&self, key: &str, value: &str) -> bool {
        thread::sleep(ANSWER_TIME);
        if self.0.is_down.load(Ordering::SeqCst) {
            return false;
        }
        let mut state = self.0.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.0.changed.notify_all();
        true
    }

    /// Opens a door for an instance.
    pub fn open_door(&self) -> std::io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Door {
            address: listener.local_addr()?,
            is_silent: Arc::default(),
            watches: Arc::default(),
        };
        let (store, opened) = (self.clone(), door.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (store.clone(), opened.clone());
                thread::spawn(move || store.serve(Conn::new(stream), &door));
            }
        });
        Ok(door)
    }

    fn is_cut(&self, door: &Door) -> bool {
        self.0.is_down.load(Ordering::SeqCst) || door.is_silent.load(Ordering::SeqCst)
    }

    fn serve(&self, mut conn: Conn, door: &Door) {
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(head.length()) else { return };
            // A call that gets no answer is not executed, and its connection returns nothing further.
            if self.is_cut(door) {
                return wait_for_end(conn);
            }
            thread::sleep(ANSWER_TIME);
            let (status, text) = self.answer(&head, &body, door);
            if self.is_cut(door) {
                return wait_for_end(conn);
            }
            if conn.respond(status, "Content-Type: application/json\r\n", &text).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8], door: &Door) -> (&'static str, String) {
        let path = head.word(1).split('?').next().unwrap_or_default().to_owned();
        match (head.word(0), path.as_str()) {
            ("GET", "/v1/kv-range") => self.range(head),
            ("GET", "/v1/kv-watch") => self.watch(head, door),
            ("POST", "/v1/kv-txn") => self.transact(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", "/v1/kv-lease") => self.grant(&Json::parse(body).unwrap_or(Json::Null)),
            ("POST", path) if path.starts_with("/v1/kv-keep/") => self.keep(id_of(path)),
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => self.end(id_of(path)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, head: &Head) -> (&'static str, String) {
        let prefix = head.query("prefix").unwrap_or_default();
        let after = head.query("after").unwrap_or_default();
        let state = self.0.state.lock().unwrap();
        let mut found = state.items.iter().filter(|it| it.0.starts_with(&prefix) && *it.0 > after);
        let page: Vec<String> =
            found.by_ref().take(PAGE_ITEMS).map(|it| item_json(it.0, it.1)).collect();
        let has_more = found.next().is_some();
        let (entries, at) = (page.join(","), state.revision);
        ("200 OK", format!("{{\"entries\":[{entries}],\"has_more\":{has_more},\"at\":{at}}}"))
    }

    fn watch(&self, head: &Head, door: &Door) -> (&'static str, String) {
        let number = |name: &str| head.query(name).and_then(|it| it.parse::<u64>().ok());
        let prefix = head.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = number("wait_ms").unwrap_or(0).min(WATCH_WAIT_MAX_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        door.watches.fetch_add(1, Ordering::SeqCst);
        let mut state = self.0.state.lock().unwrap();
        let (events, at) = loop {
            let news = state.history.iter().filter(|it| it.0 > after && it.1.starts_with(&prefix));
            let events: Vec<String> = news
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                break (events, state.revision);
            }
            state = self.0.changed.wait_timeout(state, until - now).unwrap().0;
        };
        drop(state);
        door.watches.fetch_sub(1, Ordering::SeqCst);
        ("200 OK", format!("{{\"events\":[{}],\"at\":{at}}}", events.join(",")))
    }

    fn transact(&self, call: &Json) -> (&'static str, String) {
        let mut state = self.0.state.lock().unwrap();
        let expected = call.get("expected_revision").list();
        let actual = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
        let holds = |it: &Json| actual(&state, it.get("key").text()) == it.get("revision").number();
        if !expected.iter().all(holds) {
            let now: Vec<String> = expected
                .iter()
                .filter_map(|it| state.items.get_key_value(it.get("key").text()))
                .map(|it| item_json(it.0, it.1))
                .collect();
            return ("412 Precondition Failed", format!("{{\"entries\":[{}]}}", now.join(",")));
        }
        let writes = call.get("writes").list();
        let has_lease = |it: &Json| {
            let lease = it.get("lease").number();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_lease) {
            return ("404 Not Found", "{}".to_owned());
        }
        state.revision += 1;
        for it in writes {
            let (key, value) = (it.get("key").text(), it.get("value").text().to_owned());
            state.put(key, value, it.get("lease").number());
        }
        for key in call.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.0.changed.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }

    fn grant(&self, call: &Json) -> (&'static str, String) {
        let ttl_ms = call.get("ttl_ms").number().clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.0.state.lock().unwrap();
        let lease = state.leases.keys().max().map_or(77_000, |it| it + 1);
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (&'static str, String) {
        let mut state = self.0.state.lock().unwrap();
        match state.leases.get_mut(&lease) {
            Some((ttl, ends_at)) => {
                *ends_at = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn end(&self, lease: u64) -> (&'static str, String) {
        self.0.state.lock().unwrap().end_lease(lease);
        self.0.changed.notify_all();
        ("200 OK", "{}".to_owned())
    }
}

fn id_of(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Keeps a connection open without a word until its other end closes it.
fn wait_for_end(mut conn: Conn) {
    while let Ok(Some(head)) = conn.head() {
        if conn.body(head.length()).is_err() {
            return;
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0, |sum, it| sum << 8 | u32::from(*it));
        let number = number << (8 * (3 - three.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= three.len() { digit as char } else { '=' });
        }
    }
    out
}
