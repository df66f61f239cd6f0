//! Stand-ins for the platform's store, workers and clients, and what starts and stops instances.
//! For the cases of the second review. It uses the standard library only, so that it builds with
//! `rustc` alone and without a network.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::{BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

// ---------------------------------------------------------------------------------------------
// The record
// ---------------------------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn add(&self, line: impl Into<String>) -> f64 {
        let now = self.now();
        lock(&self.lines).push((now, line.into()));
        now
    }

    /// Like [`Record::add`], and shows the line on standard output.
    pub fn note(&self, line: impl Into<String>) -> f64 {
        let line = line.into();
        println!("{:>9.1} ms  {line}", self.now());
        self.add(line)
    }

    pub fn write(&self, path: &Path) {
        let mut lines = lock(&self.lines).clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:>10.1} ms  {line}");
        }
        let _ = std::fs::write(path, text);
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP
// ---------------------------------------------------------------------------------------------

pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing states.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.word(1).split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| unescape(it.1))
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let start = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message { start, headers, body: Vec::new(), is_complete: false })
}

/// Reads a message with its body. `None` if its head is not complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message);
    Some(message)
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    let is_chunked = message.header("transfer-encoding").is_some();
    if !is_chunked {
        let len: usize = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; len];
        message.is_complete = reader.read_exact(&mut body).is_ok();
        message.body = body;
        return;
    }
    loop {
        let Some(size) = read_line(reader) else { return };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return };
        if size == 0 {
            message.is_complete = read_line(reader).is_some();
            return;
        }
        let mut piece = vec![0; size + 2];
        if reader.read_exact(&mut piece).is_err() {
            return;
        }
        message.body.extend_from_slice(&piece[..size]);
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    let _ = write!(out, "Content-Length: {}\r\n\r\n", body.len());
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them
// ---------------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Json {
        let mut at = 0;
        Json::value(bytes, &mut at).unwrap_or(Json::Null)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|it| it.0 == name).map_or(&Json::Null, |it| &it.1)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(bytes, at);
        match bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Table(fields));
                        }
                        b',' => *at += 1,
                        _ => {
                            let name = Json::string(bytes, at)?;
                            Json::skip(bytes, at);
                            *at += 1;
                            fields.push((name, Json::value(bytes, at)?));
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => Json::string(bytes, at).map(Json::Text),
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|it| !b",]} \r\n\t".contains(it)) {
                    *at += 1;
                }
                let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
                Some(word.parse().map_or(Json::Null, Json::Number))
            }
        }
    }

    fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
        *at += 1;
        let mut out = Vec::new();
        loop {
            match *bytes.get(*at)? {
                b'"' => {
                    *at += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    out.push(*bytes.get(*at + 1)?);
                    *at += 2;
                }
                byte => {
                    out.push(byte);
                    *at += 1;
                }
            }
        }
    }
}

const BASE64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for index in 0..4 {
            let sign = BASE64[(bits >> (18 - 6 * index) & 63) as usize] as char;
            out.push(if index <= group.len() { sign } else { '=' });
        }
    }
    out
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for sign in text.bytes().take_while(|it| *it != b'=') {
        let Some(value) = BASE64.iter().position(|it| *it == sign) else { continue };
        bits = bits << 6 | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------------------------------------
// The store
// ---------------------------------------------------------------------------------------------

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    entries: BTreeMap<String, Entry>,
    /// Each change: its revision, its key, and what was written.
    history: Vec<(u64, String, Option<Entry>)>,
    /// The revision up to which the history was dropped.
    forgotten: u64,
    /// Whether watches hear nothing.
    is_mute: bool,
    /// Whether the store is down: it answers 503 and does nothing.
    is_down: bool,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// Watches that began to wait before the latest cut are closed.
    cuts: u64,
    waiting: usize,
}

/// The platform's store. Its answers take 4 ms; leases end when they are not renewed.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

const STORE_ANSWER_MS: u64 = 4;

/// What a page of a range holds.
const PAGE_BYTES: usize = 1_000_000;
const PAGE_ITEMS: usize = 500;

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the store's address");
        let state = StoreState { revision: 100, ..StoreState::default() };
        let store = Arc::new(Store { address, state: Mutex::new(state), changed: Condvar::new() });
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                sleep_ms(50);
                let mut state = lock(&expiring.state);
                let now = Instant::now();
                if state.is_down {
                    state.leases.values_mut().for_each(|it| it.1 += Duration::from_millis(50));
                    continue;
                }
                let ended: Vec<u64> =
                    state.leases.iter().filter(|it| it.1.1 <= now).map(|it| *it.0).collect();
                ended.into_iter().for_each(|it| state.end_lease(it));
                drop(state);
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Whether the store answers 503 now.
    pub fn is_down(&self) -> bool {
        lock(&self.state).is_down
    }

    /// Writes a key, as the operator and the workers do. Returns the revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = lock(&self.state);
        state.put(key, value.as_bytes().to_vec(), 0);
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        lock(&self.state).remove(key);
        self.changed.notify_all();
    }

    /// Closes the connections of the watches that are waiting, without an answer. Returns their number.
    pub fn cut_watches(&self) -> usize {
        let mut state = lock(&self.state);
        state.cuts += 1;
        let cut = state.waiting;
        drop(state);
        self.changed.notify_all();
        cut
    }

    /// Lets watches hear nothing from now on, or ends that.
    pub fn set_mute(&self, is_mute: bool) {
        lock(&self.state).is_mute = is_mute;
        self.changed.notify_all();
    }

    /// Takes the store down, or brings it back. While it is down, leases pause.
    pub fn set_down(&self, is_down: bool) {
        let mut state = lock(&self.state);
        state.is_down = is_down;
        state.cuts += 1;
        drop(state);
        self.changed.notify_all();
    }

    /// Drops the history: watches from before, those that are waiting too, get 410.
    pub fn forget_history(&self) {
        let mut state = lock(&self.state);
        state.history.clear();
        state.forgotten = state.revision;
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Some(request) = read_message(&mut reader) {
            sleep_ms(STORE_ANSWER_MS);
            let Some((status, body)) = self.answer(&request) else {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if stream.write_all(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        if lock(&self.state).is_down {
            return Some((503, "{}".to_owned()));
        }
        let path = request.path().to_owned();
        Some(match (request.word(0), path.as_str()) {
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => return self.watch(request),
            ("POST", "/v1/kv-txn") => self.transaction(request),
            ("POST", "/v1/kv-lease") => {
                let ttl_ms = Json::parse(&request.body).get("ttl_ms").number().max(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = lock(&self.state);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => {
                let mut state = lock(&self.state);
                match state.leases.get_mut(&lease_id(&path)) {
                    Some((ttl, ends_at)) => {
                        *ends_at = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                lock(&self.state).end_lease(lease_id(&path));
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        })
    }

    fn range(&self, request: &Message) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = lock(&self.state);
        let mut found =
            state.entries.iter().filter(|it| it.0.starts_with(&prefix) && *it.0 > after).peekable();
        let (mut page, mut bytes) = (Vec::new(), 0);
        while bytes < PAGE_BYTES
            && page.len() < PAGE_ITEMS
            && let Some((key, entry)) = found.next()
        {
            bytes += entry.value.len();
            page.push(item(key, entry));
        }
        let (has_more, page, revision) = (found.peek().is_some(), page.join(","), state.revision);
        (200, format!("{{\"entries\":[{page}],\"has_more\":{has_more},\"at\":{revision}}}"))
    }

    /// `None` if the watch was cut.
    fn watch(&self, request: &Message) -> Option<(u16, String)> {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let (after, prefix) = (number("after"), request.query("prefix").unwrap_or_default());
        let ends_at = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = lock(&self.state);
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                return None;
            }
            if after < state.forgotten {
                return Some((410, "{}".to_owned()));
            }
            let is_mute = state.is_mute;
            let news = state.history.iter();
            let news = news.filter(|it| !is_mute && it.0 > after && it.1.starts_with(&prefix));
            let news: Vec<String> = news
                .map(|(revision, key, entry)| match entry {
                    Some(entry) => item(key, entry),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = ends_at.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                // While watches hear nothing, they go on from where they are.
                let revision = if is_mute { after } else { state.revision };
                return Some((200, format!("{{\"events\":[{}],\"at\":{revision}}}", news.join(","))));
            }
            state.waiting += 1;
            let woken = self.changed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
            state.waiting -= 1;
        }
    }

    fn transaction(&self, request: &Message) -> (u16, String) {
        let body = Json::parse(&request.body);
        let mut state = lock(&self.state);
        let writes = body.get("writes").list();
        let lacks_lease = |it: &Json| {
            let lease = it.get("lease").number();
            lease > 0 && !state.leases.contains_key(&lease)
        };
        if writes.iter().any(lacks_lease) {
            return (404, "{}".to_owned());
        }
        let differs = |it: &Json| {
            let found = state.entries.get(it.get("key").text()).map_or(0, |it| it.revision);
            found != it.get("revision").number()
        };
        if body.get("expected_revision").list().iter().any(differs) {
            return (412, "{\"entries\":[]}".to_owned());
        }
        for write in writes {
            let value = from_base64(write.get("value").text());
            state.put(write.get("key").text(), value, write.get("lease").number());
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

fn lease_id(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}

fn item(key: &str, entry: &Entry) -> String {
    let Entry { value, revision, created, lease } = entry;
    let value = to_base64(value);
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":{created},\"lease\":{lease}}}"
    )
}

impl StoreState {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.entries.get(key).map_or(revision, |it| it.created);
        let entry = Entry { value, revision, created, lease };
        self.entries.insert(key.to_owned(), entry.clone());
        self.history.push((revision, key.to_owned(), Some(entry)));
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.entries.iter().filter(|it| it.1.lease == lease).map(|it| it.0.clone());
        let keys: Vec<String> = keys.collect();
        keys.iter().for_each(|it| self.remove(it));
    }
}

// ---------------------------------------------------------------------------------------------
// Workers
// ---------------------------------------------------------------------------------------------

/// How a worker answers.
#[derive(Clone, Copy)]
pub enum Work {
    /// With a whole body after so many milliseconds.
    Plain(u64),
    /// With a stream: so many events, one each so many milliseconds, the first one after so many.
    Stream { events: u64, interval_ms: u64, first_ms: u64 },
}

/// A worker of a service. It runs a request unless another worker was expected.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub work: Work,
    /// The state that its heartbeats report.
    pub state: Mutex<&'static str>,
    sequence: AtomicU64,
    born: u64,
    is_gone: AtomicBool,
    /// When requests arrived, with the id of their attempts.
    pub arrivals: Mutex<Vec<(f64, String)>>,
    conns: Mutex<Vec<TcpStream>>,
    record: Record,
    /// Bytes of a request that it reads in a second; 0 for as many as come.
    pub read_per_s: AtomicU64,
}

/// How often a worker writes its entry.
pub const HEARTBEAT_MS: u64 = 1_200;

impl Worker {
    pub fn start(record: &Record, id: &str, service: &str, version: &str, work: Work) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a worker");
        let address = listener.local_addr().expect("the worker's address");
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            version: version.to_owned(),
            address,
            work,
            state: Mutex::new("ready"),
            sequence: AtomicU64::new(0),
            born: since_epoch.map_or(0, |it| it.as_millis() as u64),
            is_gone: AtomicBool::new(false),
            arrivals: Mutex::default(),
            conns: Mutex::default(),
            record: record.clone(),
            read_per_s: AtomicU64::new(0),
        });
        let accepting = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_gone.load(Ordering::Relaxed) {
                    return;
                }
                let worker = accepting.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The worker's next entry, with its present state.
    pub fn next_entry(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Worker { service, version, address, born, .. } = self;
        let state = *lock(&self.state);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"caerdydd\",\
             \"version\":\"{version}\",\"slots\":6,\"state\":\"{state}\",\"warmup_left_ms\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        )
    }

    /// Writes the worker's entry, which the store acknowledges at once unless it is down. Returns when.
    pub fn write_entry(&self, store: &Store) -> f64 {
        if store.is_down() {
            return self.record.add(format!("the heartbeat of {} gets 503 from the store", self.id));
        }
        let entry = self.next_entry();
        store.put(&self.key(), &entry);
        self.record.add(format!("store acknowledges the heartbeat of {}: {entry}", self.id))
    }

    /// Ends the worker: its connections are closed, and new ones are refused.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address);
        for conn in lock(&self.conns).drain(..) {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(read_half) = stream.try_clone() else { return };
        if let Ok(kept) = stream.try_clone() {
            lock(&self.conns).push(kept);
        }
        let mut reader = BufReader::with_capacity(4_096, read_half);
        while let Some(mut request) = read_head(&mut reader) {
            if !self.take_body(&mut reader, &mut request) {
                return;
            }
            let attempt = request.header("X-Attempt-Id").unwrap_or_default().to_owned();
            if request.path() == "/healthz" || request.path().starts_with("/v1/kv-") {
                let body = b"{\"epoch\":1,\"next\":0,\"held\":[]}";
                let headers = [("X-Instance-Id", self.id.as_str())];
                if stream.write_all(&response(200, &headers, body)).is_err() {
                    return;
                }
                continue;
            }
            if request.header("X-Expect-Instance").is_some_and(|it| it != self.id) {
                let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Instance-Id", &self.id)];
                if stream.write_all(&response(421, &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            let at = self.record.add(format!("{attempt} reaches and is run by worker {}", self.id));
            lock(&self.arrivals).push((at, attempt.clone()));
            if self.answer(&mut stream, &request, &attempt).is_err() {
                return;
            }
        }
    }

    /// Reads the body, as slowly as the worker reads. Returns whether it is complete.
    fn take_body(&self, reader: &mut impl BufRead, request: &mut Message) -> bool {
        let mut left: usize =
            request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut piece = vec![0; 16 * 1_024];
        while left > 0 {
            let len = left.min(piece.len());
            let Ok(read) = reader.read(&mut piece[..len]) else { return false };
            if read == 0 {
                return false;
            }
            left -= read;
            let read_per_s = self.read_per_s.load(Ordering::Relaxed);
            if read_per_s > 0 {
                thread::sleep(Duration::from_secs_f64(read as f64 / read_per_s as f64));
            }
        }
        true
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message, attempt: &str) -> std::io::Result<()> {
        let seal = format!("seal-of-{}", self.id);
        let mut headers = vec![("X-Attempt-Id", attempt), ("X-Server-Seal", seal.as_str())];
        let is_leaving = *lock(&self.state) == "draining";
        if is_leaving {
            headers.extend([("Connection", "close"), ("Server-Leaving", "1")]);
        }
        match self.work {
            Work::Plain(millis) => {
                sleep_ms(millis);
                let body = format!("{attempt} by {}", self.id);
                stream.write_all(&response(200, &headers, body.as_bytes()))
            }
            Work::Stream { events, interval_ms, first_ms } => {
                sleep_ms(first_ms.saturating_sub(interval_ms));
                let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n".to_owned();
                for (name, value) in headers {
                    let _ = write!(head, "{name}: {value}\r\n");
                }
                head.push_str("Transfer-Encoding: chunked\r\n\r\n");
                let last: u64 =
                    request.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
                for id in last + 1..=events {
                    sleep_ms(interval_ms);
                    let event = format!("id: {id}\ndata: {} {id}\n\n", self.version);
                    // The head goes out with the first event.
                    let head = std::mem::take(&mut head);
                    let chunk = format!("{head}{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                }
                stream.write_all(format!("{head}0\r\n\r\n").as_bytes())
            }
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Instances
// ---------------------------------------------------------------------------------------------

/// An instance: a process of the program that the deploy file starts.
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    control: SocketAddr,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
}

fn free_port() -> SocketAddr {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = tcp.local_addr().expect("an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Instance {
    /// Writes the settings from the project's template, and starts the process.
    pub fn start(dir: &Path, name: &str, store: SocketAddr, seeds: &[&Instance]) -> Instance {
        let (caller, control, notes) = (free_port(), free_port(), free_port());
        let (operator, readiness) = (free_port(), free_port());
        let seeds = seeds.iter().enumerate();
        let seeds: Vec<String> =
            seeds.map(|(index, it)| format!("seed-{index}@{}", it.control)).collect();
        let seeds = match seeds.is_empty() {
            true => String::new(),
            false => format!("seeds = {}\n", seeds.join(",")),
        };
        let text = format!(
            "[instance]\nname = {name}\ndata-centre = caerdydd\ncores = 0.25\n{seeds}\n\
             [listen]\ncaller = {caller}\ncontrol = {control}\nnotes = {notes}\n\
             operator = {operator}\nmetrics = {readiness}\n\n\
             [platform]\naddress = http://{store}\n\n\
             [keys]\ncontrol-key-env = SESAMELOCK_FLEET_KEY\n\
             operator-key-hash = fae93e83809dcd8eb6b5ae9112078ae7ef5c139d3078e2dad72402ceecf5ef0a\n\n\
             [bounds]\ndescriptors = 4100\n\n[periods]\ngrace-s = 8\n\n\
             [retries]\nratio = 0.2\nallowance = 58\nwindow-s = 10\n\n\
             [sharing]\nwindow-s = 4\n\n[regions]\ncaerdydd = cymru\n\n\
             [log]\nformat = json\nlevel = info\n"
        );
        let (settings, log) = (dir.join(format!("{name}.ini")), dir.join(format!("{name}.log")));
        std::fs::write(&settings, text).expect("the settings are written");
        let mut instance = Instance {
            name: name.to_owned(),
            caller,
            readiness,
            control,
            child: None,
            settings,
            log,
        };
        instance.run();
        instance
    }

    /// Starts the process with the command of the deploy file.
    pub fn run(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log is opened");
        let child = Command::new("target/release/sesamelock")
            .args(["run", "--settings"])
            .arg(&self.settings)
            .env("SESAMELOCK_FLEET_KEY", "sesamelock-on-the-users-platform")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is shared"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("target/release/sesamelock starts"));
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Whether the platform's question gets 200.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"GET /ready HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
        read_message(&mut BufReader::new(stream)).is_some_and(|it| it.status() == 200)
    }

    /// Waits until the instance is ready; false after 10 s.
    pub fn wait_ready(&self) -> bool {
        (0..100).any(|_| {
            sleep_ms(100);
            self.is_ready()
        })
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The most memory that the process has had, and what it has now, in MB.
    pub fn memory_mb(&self) -> Option<(f64, f64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|it| it.strip_prefix(name))?;
            line.trim().split(' ').next()?.parse::<f64>().ok()
        };
        Some((field("VmHWM:")? / 1_024.0, field("VmRSS:")? / 1_024.0))
    }

    /// The lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------------------------------------
// Clients
// ---------------------------------------------------------------------------------------------

pub const HOST: &str = "site.example";
pub const KEY: &str = "key-of-the-drivers";

/// A key of the same tenant that [`config`] has if it is asked to.
pub const OTHER_KEY: &str = "other-key-of-the-drivers";

/// A client with one kept connection.
pub struct Client {
    instance: SocketAddr,
    conn: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(instance: SocketAddr) -> Client {
        Client { instance, conn: None }
    }

    /// Sends a request and reads its answer; `None` if the connection ends without one.
    pub fn call(&mut self, request: &[u8], timeout: Duration) -> Option<Message> {
        if self.conn.is_none() {
            let stream = TcpStream::connect(self.instance).ok()?;
            let _ = stream.set_nodelay(true);
            self.conn = Some(BufReader::new(stream));
        }
        let conn = self.conn.as_mut()?;
        let _ = conn.get_ref().set_read_timeout(Some(timeout));
        let sent = conn.get_mut().write_all(request).ok();
        let answer = sent.and_then(|()| read_message(conn));
        if answer.as_ref().is_none_or(|it| it.closes() || !it.is_complete) {
            self.conn = None;
        }
        answer
    }
}

pub fn request(method: &str, path: &str, attempt: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n"
    );
    if method != "GET" {
        let _ = write!(out, "Content-Length: {}\r\n", body.len());
    }
    out.push_str("\r\n");
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// A configuration with a route of each kind: streams of `/sheet/` may be resumed, those of `/report/`
/// not.
pub fn config(version: u64, deadline_ms: u64, max_body_bytes: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{deadline_ms},\"target_latency_ms\":100,\
             \"priority\":2,\"traffic_split\":[{{\"service\":\"{service}\",\"weight\":100}}],\
             \"max_attempts\":{attempts},\"anonymous\":false{more}}}"
        )
    };
    let routes = [
        route("report", "streaming", "model", 1, ",\"target_gap_ms\":800"),
        route("status", "idempotent", "app", 2, ""),
        route("book", "non_idempotent", "app", 1, ""),
        route("sheet", "streaming", "model", 2, ",\"stream_resumption\":true,\"target_gap_ms\":800"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_connections\":110}},\
         {{\"name\":\"model\",\"health_path\":\"/healthz\",\"max_connections\":110}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{max_body_bytes},\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"drivers\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// The same with [`OTHER_KEY`].
pub fn config_with_other_key(version: u64, deadline_ms: u64, max_body_bytes: u64) -> String {
    let one = format!("[\"{KEY}\"]");
    config(version, deadline_ms, max_body_bytes).replace(&one, &format!("[\"{KEY}\",\"{OTHER_KEY}\"]"))
}

// ---------------------------------------------------------------------------------------------
// Steady traffic
// ---------------------------------------------------------------------------------------------

/// An answer as a client saw it.
#[derive(Clone)]
pub struct Answer {
    pub attempt: String,
    pub is_booking: bool,
    pub sent_at: f64,
    pub ended_at: f64,
    /// `None` if the connection ended without an answer.
    pub status: Option<u16>,
    pub is_sealed: bool,
}

/// Clients that look up and book by turns, each on a connection that it keeps.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    pub answers: Arc<Mutex<Vec<Answer>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Traffic {
    pub fn start(record: &Record, instances: &[SocketAddr], clients: usize, pause_ms: u64) -> Traffic {
        let (stop, answers) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let mut threads = Vec::new();
        for index in 0..clients {
            let instance = instances[index % instances.len()];
            let (record, stop) = (record.clone(), stop.clone());
            let answers: Arc<Mutex<Vec<Answer>>> = Arc::clone(&answers);
            threads.push(thread::spawn(move || {
                let mut client = Client::new(instance);
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let is_booking = number % 2 == 1;
                    let attempt = format!("c{index:02}n{number:05}");
                    let bytes = match is_booking {
                        true => request("POST", "/book/x", &attempt, 600, b"{\"order\":1}"),
                        false => request("GET", "/status/x", &attempt, 600, b""),
                    };
                    let kind = if is_booking { "booking" } else { "look-up" };
                    let sent_at = record.add(format!("{attempt} sent to {instance}: {kind}"));
                    let answer = client.call(&bytes, Duration::from_millis(2_000));
                    let status = answer.as_ref().map(Message::status);
                    let is_sealed =
                        answer.as_ref().is_some_and(|it| it.header("X-Server-Seal").is_some());
                    let seen = status.map_or("no answer".to_owned(), |it| it.to_string());
                    let ended_at = record.add(format!("{attempt} answered: {seen}"));
                    lock(&answers).push(Answer {
                        attempt,
                        is_booking,
                        sent_at,
                        ended_at,
                        status,
                        is_sealed,
                    });
                    sleep_ms(pause_ms + index as u64);
                }
            }));
        }
        Traffic { stop, answers, threads }
    }

    pub fn end(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|it| drop(it.join()));
        lock(&self.answers).clone()
    }
}

// ---------------------------------------------------------------------------------------------
// Streams that are taken up again
// ---------------------------------------------------------------------------------------------

/// What a client has of a stream: the lines of its events, over all of its attempts.
#[derive(Clone, Default)]
pub struct Stream {
    pub events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Stream {
    pub fn last_id(&self) -> u64 {
        lock(&self.events).last().map_or(0, |it| it.0)
    }

    /// The versions whose text it has, in order.
    pub fn versions(&self) -> Vec<String> {
        let events = lock(&self.events);
        let mut versions: Vec<String> =
            events.iter().map(|it| it.1.split(' ').next().unwrap_or_default().to_owned()).collect();
        versions.dedup();
        versions
    }
}

/// Asks for a stream, or for the rest of it, and keeps its events until it ends. Returns the status and
/// whether the stream is complete.
pub fn read_stream(
    record: &Record,
    instance: SocketAddr,
    attempt: &str,
    resumes: Option<&str>,
    stream: &Stream,
) -> (u16, bool) {
    let mut text = format!(
        "POST /sheet/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\n\
         X-Api-Key: {KEY}\r\nX-Model: m\r\nX-Token-Count: 1460,80\r\n\
         X-Prompt-Prefix: 5c1e07a2:800,{attempt}:660\r\nContent-Length: 0\r\n"
    );
    let last = stream.last_id();
    if last > 0 {
        text.push_str(&format!("Last-Event-Id: {last}\r\n"));
    }
    if let Some(first) = resumes {
        text.push_str(&format!("Resumes: {first}\r\n"));
    }
    text.push_str("\r\n");
    record.note(format!("{attempt} sent to {instance}, last event {last}, resumes {resumes:?}"));
    let Ok(mut conn) = TcpStream::connect(instance) else { return (0, false) };
    let _ = conn.set_read_timeout(Some(Duration::from_secs(8)));
    if conn.write_all(text.as_bytes()).is_err() {
        return (0, false);
    }
    let mut reader = BufReader::new(conn);
    let Some(head) = read_head(&mut reader) else {
        record.note(format!("{attempt}: the connection ends without an answer"));
        return (0, false);
    };
    let status = head.status();
    record.note(format!("{attempt} answered: {status}, seal {:?}", head.header("X-Server-Seal")));
    if status != 200 {
        return (status, false);
    }
    let mut is_complete = false;
    let mut id = 0;
    let mut line = String::new();
    while let Ok(read) = reader.read_line(&mut line) {
        if read == 0 {
            break;
        }
        let text = line.trim().to_owned();
        line.clear();
        if let Some(number) = text.strip_prefix("id: ") {
            id = number.parse().unwrap_or(0);
        } else if let Some(data) = text.strip_prefix("data: ") {
            record.add(format!("{attempt}: event {id}: {data}"));
            lock(&stream.events).push((id, data.to_owned()));
        } else if text == "0" {
            is_complete = true;
            break;
        }
    }
    record.note(format!("{attempt} ends, complete: {is_complete}, text of {:?}", stream.versions()));
    (status, is_complete)
}
