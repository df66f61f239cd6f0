//! Stand-ins for the systems around sesamelock, with the standard library only: the platform's
//! store, workers, clients, and the processes of the fleet. Each case of the review includes this
//! file as a module. All addresses are loopback addresses with ports that the system chooses.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs::{self, File},
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, len: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const u8, len: u32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// A loopback address whose port is free now, for TCP and UDP, and below those that the system gives
/// to connections.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) + 1;
        let seed = u64::from(std::process::id()).wrapping_mul(7_919);
        let port = 12_000 + (seed.wrapping_add(step * 13) % 18_000) as u16;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let is_free = TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok();
        if is_free {
            return address;
        }
    }
}

/// Connects to a loopback address with a receive buffer of this size, which has to be set before.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOCK_CLOEXEC: i32 = 0o2_000_000;
    // `sockaddr_in`: family, port, address, padding.
    let mut name = [0; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&Ipv4Addr::LOCALHOST.octets());
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, bytes.to_ne_bytes().as_ptr(), 4);
        match connect(fd, name.as_ptr(), 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// Makes the end of the connection a reset.
pub fn set_reset_on_close(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    let mut value = [0; 8];
    value[..4].copy_from_slice(&1_i32.to_ne_bytes());
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, value.as_ptr(), 8) };
}

// ---------------------------------------------------------------------------------------------
// Record

/// What was sent, answered and run, with the milliseconds since the start of the case.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Mutex::new(file), started_at: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let ms = self.started_at.elapsed().as_millis();
        let _ = writeln!(lock(&self.file), "{ms:>6} {text}");
    }

    pub fn ms(&self) -> u128 {
        self.started_at.elapsed().as_millis()
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The three parts of the first line.
    pub first: [String; 3],
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|it| it.0.eq_ignore_ascii_case(name));
        found.next().map(|it| it.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first[1].parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first[1].split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.first[1].split_once('?')?;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|it| it.0 == name).map(|it| it.1.replace("%20", " "))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Http {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Http {
    pub fn new(stream: TcpStream) -> Http {
        let _ = stream.set_nodelay(true);
        Http { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Http> {
        Ok(Http::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 65_536];
        let read = self.stream.read(&mut piece)?;
        self.buf.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    /// The next head; `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(broken()) };
            }
        }
    }

    /// The body of a message with a length or chunks.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.read_body_into(head, &mut body)?;
        Ok(body)
    }

    /// The same; what was read before an error stays in `body`.
    pub fn read_body_into(&mut self, head: &Head, body: &mut Vec<u8>) -> io::Result<()> {
        if head.header("transfer-encoding").is_some() {
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
                let size = size.map_err(|_| broken())?;
                self.read_exactly(size, body)?;
                self.read_line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        self.read_exactly(length, body)
    }

    pub fn read_exactly(&mut self, count: usize, into: &mut Vec<u8>) -> io::Result<()> {
        let mut left = count;
        loop {
            let used = left.min(self.buf.len());
            into.extend(self.buf.drain(..used));
            left -= used;
            if left == 0 {
                return Ok(());
            }
            if self.fill()? == 0 {
                return Err(broken());
            }
        }
    }

    pub fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(broken());
            }
        }
    }

    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} Answer\r\n");
        for (name, value) in headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        let _ = write!(text, "Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

fn broken() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let mut first = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned);
    let first = [(); 3].map(|()| first.next().unwrap_or_default());
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    Head { first, headers: headers.collect() }
}

/// Serves each connection to `listener` on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Http) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Http::new(stream)));
        }
    });
}

// ---------------------------------------------------------------------------------------------
// JSON and base64, as far as the store needs them

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Json {
        parse_json(text, &mut 0)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number } else { 0 }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn parse_json(text: &[u8], at: &mut usize) -> Json {
    let skip = |at: &mut usize| {
        while text.get(*at).is_some_and(|it| it.is_ascii_whitespace() || b",:".contains(it)) {
            *at += 1;
        }
    };
    skip(at);
    match text.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip(at);
                if text.get(*at).is_none_or(|it| *it == b'}') {
                    *at += 1;
                    return Json::Table(table);
                }
                let name = parse_json(text, at).text().to_owned();
                table.insert(name, parse_json(text, at));
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(at);
                if text.get(*at).is_none_or(|it| *it == b']') {
                    *at += 1;
                    return Json::List(list);
                }
                list.push(parse_json(text, at));
            }
        }
        Some(b'"') => {
            let start = *at + 1;
            let len = text[start..].iter().position(|it| *it == b'"').unwrap_or(0);
            *at = start + len + 1;
            Json::Text(String::from_utf8_lossy(&text[start..start + len]).into_owned())
        }
        Some(_) => {
            let start = *at;
            while text.get(*at).is_some_and(|it| !b",]} \n".contains(it)) {
                *at += 1;
            }
            let word = String::from_utf8_lossy(&text[start..*at]).into_owned();
            word.parse().map_or(Json::Null, Json::Number)
        }
        None => Json::Null,
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*three.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let sign = BASE64[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= three.len() { char::from(sign) } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for sign in text.bytes().filter(|it| *it != b'=') {
        let value = BASE64.iter().position(|it| *it == sign).unwrap_or(0) as u32;
        bits = (bits << 6 | value) & 0xff_ffff;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------------------------------------
// Store

/// The platform's store. Each instance gets an address of its own, so that the store can turn
/// some machines away and serve the others.
#[derive(Clone)]
pub struct Store(Arc<(Mutex<Contents>, Condvar)>);

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and item of each change; without an item it is a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    down: bool,
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A port of the store for one machine.
#[derive(Clone)]
pub struct StorePort {
    pub address: SocketAddr,
    /// While set, calls on this port get no response.
    pub silent: Arc<AtomicBool>,
    /// The number of watches that wait on this port.
    pub watches: Arc<AtomicUsize>,
}

impl Store {
    pub fn start() -> Store {
        let contents = Contents { revision: 1, ..Contents::default() };
        let store = Store(Arc::new((Mutex::new(contents), Condvar::new())));
        let ticking = store.clone();
        thread::spawn(move || loop {
            sleep_ms(50);
            ticking.expire_leases();
        });
        store
    }

    pub fn port(&self) -> StorePort {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port of the store");
        let port = StorePort {
            address: listener.local_addr().expect("an address"),
            silent: Arc::default(),
            watches: Arc::default(),
        };
        let (store, of_port) = (self.clone(), port.clone());
        serve(listener, move |http| store.serve_connection(http, &of_port));
        port
    }

    pub fn put(&self, key: &str, value: &str) {
        lock(&self.0.0).put(key, value.as_bytes().to_vec(), 0);
        self.0.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        lock(&self.0.0).remove(key);
        self.0.1.notify_all();
    }

    /// While the store is down, it answers each call with 503 and takes no writes of workers.
    pub fn set_down(&self, down: bool) {
        lock(&self.0.0).down = down;
        self.0.1.notify_all();
    }

    pub fn is_down(&self) -> bool {
        lock(&self.0.0).down
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let contents = lock(&self.0.0);
        contents.items.get(key).map(|it| String::from_utf8_lossy(&it.value).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let contents = lock(&self.0.0);
        contents.items.keys().filter(|it| it.starts_with(prefix)).cloned().collect()
    }

    fn expire_leases(&self) {
        let mut contents = lock(&self.0.0);
        let now = Instant::now();
        let due = contents.leases.iter().filter(|(_, it)| it.1 <= now).map(|(id, _)| *id);
        let due: Vec<u64> = due.collect();
        for lease in due {
            contents.end_lease(lease);
        }
        drop(contents);
        self.0.1.notify_all();
    }

    fn serve_connection(&self, mut http: Http, port: &StorePort) {
        while let Ok(Some(head)) = http.read_head() {
            let Ok(body) = http.read_body(&head) else { return };
            if port.silent.load(Ordering::Relaxed) {
                return hang(http);
            }
            let (status, answer) = self.answer(&head, &body, port);
            if port.silent.load(Ordering::Relaxed) {
                return hang(http);
            }
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            if http.respond(status, &headers, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &[u8], port: &StorePort) -> (u16, String) {
        if self.is_down() {
            return (503, "{}".to_owned());
        }
        let number = |name| head.query(name).and_then(|it| it.parse().ok()).unwrap_or(0_u64);
        let prefix = head.query("prefix").unwrap_or_default();
        match (head.first[0].as_str(), head.path()) {
            ("GET", "/v1/kv-range") => {
                let after = head.query("after").unwrap_or_default();
                let contents = lock(&self.0.0);
                let rows = contents.items.iter();
                let rows = rows.filter(|it| it.0.starts_with(&prefix) && *it.0 > after);
                let rows: Vec<String> = rows.map(|(key, it)| it.json(key)).collect();
                let at = contents.revision;
                let rows = rows.join(",");
                (200, format!(r#"{{"entries":[{rows}],"has_more":false,"at":{at}}}"#))
            }
            ("GET", "/v1/kv-watch") => {
                port.watches.fetch_add(1, Ordering::Relaxed);
                let answer = self.watch(&prefix, number("after"), number("wait_ms"));
                port.watches.fetch_sub(1, Ordering::Relaxed);
                answer
            }
            ("POST", "/v1/kv-txn") => {
                let answer = lock(&self.0.0).transaction(&Json::parse(body));
                self.0.1.notify_all();
                answer
            }
            ("POST", "/v1/kv-lease") => {
                let ttl_ms = Json::parse(body).get("ttl_ms").number();
                let lease = lock(&self.0.0).grant_lease(ttl_ms);
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                match lock(&self.0.0).leases.get_mut(&last_number(path)) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                lock(&self.0.0).end_lease(last_number(path));
                self.0.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut contents = lock(&self.0.0);
        loop {
            if contents.down {
                return (503, "{}".to_owned());
            }
            let events = contents.history.iter();
            let events = events.filter(|it| it.0 > after && it.1.starts_with(prefix));
            let events: Vec<String> = events.map(event_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let at = contents.revision;
                return (200, format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(",")));
            }
            let waited = self.0.1.wait_timeout(contents, deadline - now);
            contents = waited.map_or_else(|e| e.into_inner().0, |it| it.0);
        }
    }
}

impl Contents {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn grant_lease(&mut self, ttl_ms: u64) -> u64 {
        self.last_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.last_lease, (ttl, Instant::now() + ttl));
        self.last_lease
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|it| it.1.lease == lease).map(|it| it.0.clone());
        let keys: Vec<String> = keys.collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn transaction(&mut self, call: &Json) -> (u16, String) {
        let writes = call.get("writes").list();
        let leases = writes.iter().map(|it| it.get("lease").number());
        if leases.into_iter().any(|it| it > 0 && !self.leases.contains_key(&it)) {
            return (404, "{}".to_owned());
        }
        for expected in call.get("expected_revision").list() {
            let found = self.items.get(expected.get("key").text()).map_or(0, |it| it.revision);
            if found != expected.get("revision").number() {
                return (412, r#"{"entries":[]}"#.to_owned());
            }
        }
        for write in writes {
            let value = decode(write.get("value").text());
            self.put(write.get("key").text(), value, write.get("lease").number());
        }
        for key in call.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        let value = encode(value);
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
        )
    }
}

fn event_json(event: &(u64, String, Option<Item>)) -> String {
    let (revision, key, item) = event;
    match item {
        Some(item) => item.json(key),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Keeps a connection open without a response until the peer closes it.
fn hang(mut http: Http) {
    while matches!(http.fill(), Ok(read) if read > 0) {
        http.buf.clear();
    }
}

// ---------------------------------------------------------------------------------------------
// Workers

pub const HEARTBEAT_MS: u64 = 1_200;

/// A worker of a service, which writes its entry to the store every [`HEARTBEAT_MS`].
#[derive(Clone)]
pub struct Worker(Arc<WorkerState>);

pub struct WorkerState {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub address: SocketAddr,
    /// Version of the software and start of this run in Unix milliseconds.
    pub run: Mutex<(String, u64)>,
    sequence: AtomicU64,
    stopped: AtomicBool,
    running: AtomicUsize,
    /// Connections that are open now.
    connections: Mutex<Vec<TcpStream>>,
    /// The ids of the attempts that have run, in their order.
    pub executed: Mutex<Vec<String>>,
    pub record: Arc<Record>,
}

/// A request that a worker runs.
pub struct Job<'a> {
    pub head: Head,
    pub body: Vec<u8>,
    pub attempt: String,
    pub http: &'a mut Http,
    pub worker: &'a WorkerState,
}

impl Worker {
    /// Starts a worker whose requests `work` runs; it returns whether the connection is kept.
    pub fn start(
        store: &Store,
        record: &Arc<Record>,
        names: (&str, &str, &str),
        slots: usize,
        work: impl Fn(Job<'_>) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Worker {
        let address = free_address();
        let listener = TcpListener::bind(address).expect("a port of a worker");
        let (id, service, zone) = names;
        let worker = Worker(Arc::new(WorkerState {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            address,
            run: Mutex::new(("v1".to_owned(), unix_ms())),
            sequence: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            executed: Mutex::default(),
            record: record.clone(),
        }));
        let (serving, work) = (worker.clone(), Arc::new(work));
        thread::spawn(move || serving.accept(listener, &work));
        let (beating, store) = (worker.clone(), store.clone());
        thread::spawn(move || loop {
            beating.write_entry(&store, "ready");
            sleep_ms(HEARTBEAT_MS);
        });
        worker
    }

    pub fn state(&self) -> &WorkerState {
        &self.0
    }

    /// Accepts connections. While the worker is stopped nothing listens at its address.
    fn accept(
        &self,
        mut listener: TcpListener,
        work: &Arc<impl Fn(Job<'_>) -> io::Result<bool> + Send + Sync + 'static>,
    ) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.0.stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (serving, work) = (self.clone(), work.clone());
                thread::spawn(move || serving.serve_connection(Http::new(stream), &*work));
            }
            drop(listener);
            while self.0.stopped.load(Ordering::Relaxed) {
                sleep_ms(1);
            }
            listener = loop {
                match TcpListener::bind(self.0.address) {
                    Ok(listener) => break listener,
                    Err(_) => sleep_ms(5),
                }
            };
        }
    }

    /// Writes the entry, unless the store is down or the worker is stopped.
    pub fn write_entry(&self, store: &Store, state: &str) {
        let worker = &self.0;
        if worker.stopped.load(Ordering::Relaxed) || store.is_down() {
            return;
        }
        let (version, born) = lock(&worker.run).clone();
        let sequence = worker.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let WorkerState { id, service, zone, slots, address, .. } = &**worker;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","warmup_left_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    /// The process of the worker ends: nothing listens, all its connections end, no request runs on.
    pub fn end(&self) {
        self.0.stopped.store(true, Ordering::Relaxed);
        for stream in std::mem::take(&mut *lock(&self.0.connections)) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// A new run begins, under the same id and at the same address, with counts that start anew, and
    /// writes its entry if the store takes it.
    pub fn start_again(&self, store: &Store, version: &str) {
        *lock(&self.0.run) = (version.to_owned(), unix_ms());
        self.0.sequence.store(0, Ordering::Relaxed);
        self.0.stopped.store(false, Ordering::Relaxed);
        self.write_entry(store, "ready");
    }

    pub fn has_run(&self, attempt: &str) -> bool {
        lock(&self.0.executed).iter().any(|it| it == attempt)
    }

    fn serve_connection(
        &self,
        mut http: Http,
        work: &(impl Fn(Job<'_>) -> io::Result<bool> + Send + Sync),
    ) {
        let worker = &*self.0;
        if worker.stopped.load(Ordering::Relaxed) {
            set_reset_on_close(&http.stream);
            return;
        }
        if let Ok(stream) = http.stream.try_clone() {
            lock(&worker.connections).push(stream);
        }
        while let Ok(Some(head)) = http.read_head() {
            let Ok(body) = http.read_body(&head) else { return };
            if worker.stopped.load(Ordering::Relaxed) {
                set_reset_on_close(&http.stream);
                return;
            }
            match self.handle(&mut http, head, body, work) {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => {
                    set_reset_on_close(&http.stream);
                    break;
                }
            }
        }
        let _ = http.stream.shutdown(Shutdown::Both);
    }

    fn handle(
        &self,
        http: &mut Http,
        head: Head,
        body: Vec<u8>,
        work: &(impl Fn(Job<'_>) -> io::Result<bool> + Send + Sync),
    ) -> io::Result<bool> {
        let worker = &*self.0;
        match head.path() {
            "/healthz" => {
                http.respond(200, &[("X-Instance-Id", &worker.id)], b"")?;
                return Ok(true);
            }
            "/v1/kv-list" => {
                http.respond(200, &[], br#"{"epoch":1,"next":1,"held":[]}"#)?;
                return Ok(true);
            }
            _ => {}
        }
        let attempt = head.header("X-Attempt-Id").unwrap_or_default().to_owned();
        let id = ("X-Attempt-Id", attempt.as_str());
        if head.header("X-Expect-Instance").is_some_and(|it| it != worker.id) {
            http.respond(421, &[id, ("X-Instance-Id", &worker.id)], b"")?;
            return Ok(true);
        }
        if worker.running.fetch_add(1, Ordering::SeqCst) >= worker.slots {
            worker.running.fetch_sub(1, Ordering::SeqCst);
            http.respond(503, &[id, ("X-Not-Executed", "1")], b"")?;
            return Ok(true);
        }
        lock(&worker.executed).push(attempt.clone());
        worker.record.line(&format!("run {attempt} at {} body {}", worker.id, body.len()));
        let done = work(Job { head, body, attempt, http, worker });
        worker.running.fetch_sub(1, Ordering::SeqCst);
        done
    }
}

impl Job<'_> {
    /// Answers with a success.
    pub fn respond(self, body: &[u8]) -> io::Result<bool> {
        let seal = format!("seal.{}", self.worker.id);
        let headers = [("X-Attempt-Id", self.attempt.as_str()), ("X-Server-Seal", &seal)];
        self.http.respond(200, &headers, body)?;
        Ok(true)
    }

    /// Sends the events from the one after `Last-Event-Id` up to `count`, one every `pause_ms`.
    pub fn stream(self, count: u64, pause_ms: u64, text: impl Fn(u64) -> String) -> io::Result<bool> {
        let last = self.head.header("Last-Event-Id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.attempt, self.worker.id
        );
        self.http.stream.write_all(head.as_bytes())?;
        for number in last + 1..=count {
            sleep_ms(pause_ms);
            let event = format!("id: {number}\ndata: {}\n\n", text(number));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            self.http.stream.write_all(chunk.as_bytes())?;
        }
        self.http.stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}

// ---------------------------------------------------------------------------------------------
// The fleet

/// A process of the fleet, run with the command of the deploy file.
pub struct Instance {
    pub name: String,
    pub caller: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
    pub port: StorePort,
    dir: PathBuf,
    child: Option<Child>,
}

/// The figures of a deployment that the settings of an instance hold.
#[derive(Clone, Copy)]
pub struct Figures {
    pub cores: f64,
    pub max_fds: u32,
    pub grace_s: u32,
    pub retry_allowance: u32,
}

const FLEET_KEY: &str = "sesamelock-on-the-users-platform";

/// Prepares the instances of a fleet; their settings name each other as seeds.
pub fn fleet(store: &Store, dir: &Path, zones: &[&str], count: usize, it: Figures) -> Vec<Instance> {
    let instance = |index: usize| Instance {
        name: format!("edge-{}-{}", zones[index % zones.len()], index / zones.len() + 1),
        caller: free_address(),
        control: free_address(),
        metrics: free_address(),
        port: store.port(),
        dir: dir.to_owned(),
        child: None,
    };
    let instances: Vec<Instance> = (0..count).map(instance).collect();
    let seeds = instances.iter().take(3).enumerate();
    let seeds: Vec<String> = seeds.map(|(at, it)| format!("seed-{at}@{}", it.control)).collect();
    for (index, instance) in instances.iter().enumerate() {
        let mut regions = String::new();
        for zone in zones {
            let _ = writeln!(regions, "{zone} = region");
        }
        // The template of the deploy file, filled in.
        let text = format!(
            "[instance]\nname = {}\ndata-centre = {}\ncores = {}\nseeds = {}\n\n\
             [listen]\ncaller = {}\ncontrol = {}\nnotes = {}\noperator = {}\nmetrics = {}\n\n\
             [platform]\naddress = http://{}\n\n\
             [keys]\ncontrol-key-env = SESAMELOCK_FLEET_KEY\noperator-key-hash = \
             fae93e83809dcd8eb6b5ae9112078ae7ef5c139d3078e2dad72402ceecf5ef0a\n\n\
             [bounds]\ndescriptors = {}\n\n[periods]\ngrace-s = {}\n\n\
             [retries]\nratio = 0.2\nallowance = {}\nwindow-s = 10\n\n\
             [sharing]\nwindow-s = 4\n\n[regions]\n{regions}\n[log]\nformat = json\nlevel = info\n",
            instance.name,
            zones[index % zones.len()],
            it.cores,
            seeds.join(", "),
            instance.caller,
            instance.control,
            instance.control,
            free_address(),
            instance.metrics,
            instance.port.address,
            it.max_fds,
            it.grace_s,
            it.retry_allowance,
        );
        fs::write(instance.settings(), text).expect("the settings can be written");
    }
    instances
}

impl Instance {
    pub fn settings(&self) -> PathBuf {
        self.dir.join(format!("{}.ini", self.name))
    }

    pub fn log_path(&self) -> PathBuf {
        self.dir.join(format!("{}.log", self.name))
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(self.log_path()).expect("a log");
        let mut command = Command::new("target/release/sesamelock");
        // If this program is ended, its instances are as well.
        use std::os::unix::process::CommandExt as _;
        const PR_SET_PDEATHSIG: i32 = 1;
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(["run", "--settings"])
            .arg(self.settings())
            .env_clear()
            .envs(std::env::vars().filter(|it| ["PATH", "HOME", "LANG"].contains(&it.0.as_str())))
            .env("SESAMELOCK_FLEET_KEY", FLEET_KEY)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file starts"));
    }

    pub fn pid(&self) -> Option<i32> {
        self.child.as_ref().map(|it| it.id() as i32)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(pid) = self.pid() {
            unsafe { kill(pid, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// How the process ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut http = Http::connect(self.metrics)?;
            http.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            http.stream.write_all(b"GET /ready HTTP/1.1\r\nHost: platform\r\n\r\n")?;
            http.read_head()
        };
        matches!(ask(), Ok(Some(head)) if head.status() == 200)
    }

    /// Memory in use, and its highest value, in megabytes of 1,048,576 bytes, as the system counts it.
    pub fn memory_mb(&self) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = |name| status.lines().find_map(|it: &str| it.strip_prefix(name));
        let kilobytes = |name| line(name)?.split_whitespace().next()?.parse::<u64>().ok();
        Some((kilobytes("VmRSS:")? / 1_024, kilobytes("VmHWM:")? / 1_024))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // A stopped process is killed as well.
        self.kill();
    }
}

/// Waits until all instances are ready; false if they are not within 20 s.
pub fn wait_ready(instances: &[Instance]) -> bool {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > deadline {
            return false;
        }
        sleep_ms(50);
    }
    true
}

// ---------------------------------------------------------------------------------------------
// Configuration

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "eevyxq2yyazax6pwawxd";
pub const TENANT: &str = "hule930";

pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u32,
    /// The longest pause of a stream that may be resumed.
    pub resumable_gap_ms: Option<u64>,
}

/// A configuration with these routes, each under the prefix of its name.
pub fn configuration(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let route = |it: &Route<'_>| {
        let resumption = match it.resumable_gap_ms {
            Some(gap) => format!(r#","stream_resumption":true,"target_gap_ms":{gap}"#),
            None => String::new(),
        };
        format!(
            r#"{{"name":"{}","hostname":"{HOST}","prefix":"/{}/","route_type":"{}","timeout_ms":{},"target_latency_ms":{},"priority":1,"service":"{}","max_attempts":{},"anonymous":false{resumption}}}"#,
            it.name, it.name, it.kind, it.timeout_ms, it.target_ms, it.service, it.attempts
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000,"tokens_per_s":1900000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A service of plain workers.
pub fn plain_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/healthz","max_connections":520,"protocol":"h1","tls":false}}"#
    )
}

/// A service of model workers.
pub fn model_service(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","health_path":"/healthz","max_connections":780,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":480972,"stride":7}}}}"#
    )
}

// ---------------------------------------------------------------------------------------------
// Clients

/// What a client got for a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Why the answer is not complete.
    pub error: Option<String>,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.as_ref().map_or(0, Head::status)
    }

    pub fn is_complete(&self) -> bool {
        self.head.is_some() && self.error.is_none()
    }
}

/// The head of a request; headers of the kind are added by the caller.
pub fn request_head(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u64,
    extra: &[(&str, &str)],
    body_len: usize,
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n"
    );
    for (name, value) in extra {
        let _ = write!(text, "{name}: {value}\r\n");
    }
    if method != "GET" {
        let _ = write!(text, "Content-Length: {body_len}\r\n");
    }
    text.push_str("\r\n");
    text.into_bytes()
}

/// Reads the answer to a request that was sent.
pub fn read_answer(http: &mut Http) -> Answer {
    let mut answer = Answer { head: None, body: Vec::new(), error: None };
    match http.read_head() {
        Ok(Some(head)) => {
            if let Err(e) = http.read_body_into(&head, &mut answer.body) {
                answer.error = Some(format!("{:?}", e.kind()));
            }
            answer.head = Some(head);
        }
        Ok(None) => answer.error = Some("closed".to_owned()),
        Err(e) => answer.error = Some(format!("{:?}", e.kind())),
    }
    answer
}

/// The folder of the instances' settings and logs, which is removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn create(name: &str) -> TempDir {
        let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        TempDir(dir)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the case is to bring about the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
