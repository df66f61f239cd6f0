//! Stand-ins and helpers of the third review's scripts: the platform's store, backend servers, callers and the
//! platform's process control, over loopback and the real clock, with the standard library alone.

#![allow(dead_code)]

use std::{
    fs::File,
    io::Write,
    process::ExitCode,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a run: what was sent, answered and run, in milliseconds since its start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record(Arc::new(Mutex::new((File::create(path)?, Instant::now())))))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let mut record = self.0.lock().unwrap();
        let ms = record.1.elapsed().as_secs_f64() * 1_000.0;
        let _ = writeln!(record.0, "{ms:9.1} {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
}

/// Runs the case with this number and reports how it ended: 1 if the rule was broken, 0 if it held, 2 if the case could
/// not run. `TROUBLE=0` in the environment leaves the disruption out. The first argument is the path of the record.
pub fn run_case(case: &str, run: impl Fn(bool, &Record) -> Result<Verdict, String>) -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_else(|| format!("review/{case}/record.txt"));
    let Ok(record) = Record::create(&path) else {
        eprintln!("cannot write the record");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, with the disruption: {trouble}"));
    match run(trouble, &record) {
        Ok(Verdict::Broken(why)) => {
            record.say(&format!("BROKEN: {why}"));
            ExitCode::from(1)
        }
        Ok(Verdict::Held(why)) => {
            record.say(&format!("held: {why}"));
            ExitCode::SUCCESS
        }
        Err(why) => {
            record.say(&format!("not run: {why}"));
            ExitCode::from(2)
        }
    }
}

/// A configuration of one service with two routes, `/status/` (idempotent) and `/book/` (once), and
/// `tenants` as JSON.
pub fn configuration(version: u64, timeout_ms: u64, service: &str, tenants: &str) -> String {
    let routes = [
        route("status", "idempotent", timeout_ms, 2),
        route("book", "non_idempotent", timeout_ms, 1),
    ];
    configuration_of(version, &routes, service, tenants)
}

/// A route of the service `orders-app` for the paths under `/NAME/`.
pub fn route(name: &str, kind: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"hostname\":\"orders.example\",\"prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":100,\
             \"priority\":2,\"service\":\"orders-app\",\"max_attempts\":{attempts},\
             \"anonymous\":false,\"session_affinity\":false,\"stream_resumption\":false}}"
    )
}

/// A configuration with these routes and one service.
pub fn configuration_of(version: u64, routes: &[String], service: &str, tenants: &str) -> String {
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{service}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":390000}},\
         \"tenants\":{tenants}}}"
    )
}

/// The head of a request.
pub fn request(method: &str, path: &str, id: &str, key: &str, ms: u64, length: usize) -> String {
    let length = match length {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {ms}\r\nX-Api-Key: {key}\r\n{length}\r\n"
    )
}

pub mod http {
    //! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

    use std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        time::{Duration, Instant},
    };

    /// A connection with what was read and not used.
    pub struct Conn {
        pub stream: TcpStream,
        buf: Vec<u8>,
    }

    /// A head: its first line, and its fields with names in lower case.
    #[derive(Clone, Debug, Default)]
    pub struct Head {
        pub first: String,
        pub fields: Vec<(String, String)>,
    }

    impl Head {
        pub fn get(&self, name: &str) -> Option<&str> {
            self.fields.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
        }

        pub fn length(&self) -> usize {
            self.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)
        }

        pub fn word(&self, index: usize) -> &str {
            self.first.split(' ').nth(index).unwrap_or_default()
        }

        /// The status of a response.
        pub fn status(&self) -> u16 {
            self.word(1).parse().unwrap_or(0)
        }

        /// The value of a parameter in the query of a request.
        pub fn query(&self, name: &str) -> Option<String> {
            let (_, query) = self.word(1).split_once('?')?;
            let value = query.split('&').find_map(|it| it.strip_prefix(&format!("{name}=")))?;
            Some(unescape(value))
        }
    }

    fn unescape(text: &str) -> String {
        let bytes = text.as_bytes();
        let mut out = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            let hex = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
            match (bytes[at], hex) {
                (b'%', Some(byte)) => {
                    out.push(byte);
                    at += 3;
                }
                (byte, _) => {
                    out.push(byte);
                    at += 1;
                }
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }

    const HEAD_BYTES_MAX: usize = 64 * 1_024;

    impl Conn {
        pub fn new(stream: TcpStream) -> Conn {
            let _ = stream.set_nodelay(true);
            Conn { stream, buf: Vec::new() }
        }

        pub fn connect(address: SocketAddr) -> io::Result<Conn> {
            Ok(Conn::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
        }

        fn fill(&mut self) -> io::Result<usize> {
            let mut piece = [0; 16_384];
            let read = self.stream.read(&mut piece)?;
            self.buf.extend_from_slice(&piece[..read]);
            Ok(read)
        }

        /// The next head; `None` if the connection ends before one.
        pub fn head(&mut self) -> io::Result<Option<Head>> {
            loop {
                if let Some(end) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                    let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                    self.buf.drain(..end + 4);
                    let mut lines = text.split("\r\n");
                    let first = lines.next().unwrap_or_default().to_owned();
                    let fields = lines.filter_map(|it| it.split_once(':'));
                    let fields =
                        fields.map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()));
                    return Ok(Some(Head { first, fields: fields.collect() }));
                }
                if self.buf.len() > HEAD_BYTES_MAX {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if self.fill()? == 0 {
                    return Ok(None);
                }
            }
        }

        /// A body of `length` bytes.
        pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
            while self.buf.len() < length {
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            Ok(self.buf.drain(..length).collect())
        }

        pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
            self.stream.write_all(bytes)
        }

        pub fn respond(&mut self, status: &str, fields: &str, body: &str) -> io::Result<()> {
            let head =
                format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
            self.write(format!("{head}{body}").as_bytes())
        }
    }

    /// What a caller got.
    #[derive(Clone, Debug)]
    pub struct Answer {
        /// 0 if the connection ended without an answer.
        pub status: u16,
        pub is_sealed: bool,
        pub code: String,
        pub took: Duration,
    }

    impl Answer {
        pub fn none(started: Instant) -> Answer {
            Answer { status: 0, is_sealed: false, code: String::new(), took: started.elapsed() }
        }
    }

    /// Sends a request on an open connection and waits for the whole answer until `timeout`.
    pub fn exchange(conn: &mut Conn, head: &str, body: &[u8], timeout: Duration) -> Answer {
        let started = Instant::now();
        let _ = conn.stream.set_read_timeout(Some(timeout));
        let _ = conn.stream.set_write_timeout(Some(timeout));
        if conn.write(head.as_bytes()).is_err() || conn.write(body).is_err() {
            return Answer::none(started);
        }
        let Ok(Some(head)) = conn.head() else {
            return Answer::none(started);
        };
        if conn.body(head.length()).is_err() {
            return Answer::none(started);
        }
        Answer {
            status: head.status(),
            is_sealed: head.get("x-server-seal").is_some(),
            code: head.get("x-sesamelock-code").unwrap_or_default().to_owned(),
            took: started.elapsed(),
        }
    }

    /// Sends a request on a new connection.
    pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Answer {
        match Conn::connect(address) {
            Ok(mut conn) => exchange(&mut conn, head, body, timeout),
            Err(_) => Answer::none(Instant::now()),
        }
    }
}

pub mod json {
    //! A small JSON reader for the calls that instances make to the store.

    use std::collections::HashMap;

    #[derive(Clone, Debug)]
    pub enum Json {
        Null,
        Bool,
        Number(f64),
        Text(String),
        List(Vec<Json>),
        Object(HashMap<String, Json>),
    }

    impl Json {
        pub fn parse(text: &[u8]) -> Option<Json> {
            let mut reader = Reader { text, at: 0 };
            let value = reader.value()?;
            reader.space();
            (reader.at == text.len()).then_some(value)
        }

        pub fn get(&self, name: &str) -> &Json {
            match self {
                Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
                _ => &Json::Null,
            }
        }

        pub fn text(&self) -> &str {
            match self {
                Json::Text(text) => text,
                _ => "",
            }
        }

        pub fn number(&self) -> u64 {
            match self {
                Json::Number(number) => *number as u64,
                _ => 0,
            }
        }

        pub fn list(&self) -> &[Json] {
            match self {
                Json::List(list) => list,
                _ => &[],
            }
        }
    }

    struct Reader<'a> {
        text: &'a [u8],
        at: usize,
    }

    impl Reader<'_> {
        fn space(&mut self) {
            while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
                self.at += 1;
            }
        }

        fn take(&mut self, byte: u8) -> bool {
            self.space();
            let found = self.text.get(self.at) == Some(&byte);
            self.at += usize::from(found);
            found
        }

        fn value(&mut self) -> Option<Json> {
            self.space();
            match *self.text.get(self.at)? {
                b'{' => self.object(),
                b'[' => self.array(),
                b'"' => Some(Json::Text(self.string()?)),
                b't' => self.word("true", Json::Bool),
                b'f' => self.word("false", Json::Bool),
                b'n' => self.word("null", Json::Null),
                _ => self.number(),
            }
        }

        fn word(&mut self, word: &str, value: Json) -> Option<Json> {
            let found = self.text[self.at..].starts_with(word.as_bytes());
            self.at += word.len();
            found.then_some(value)
        }

        fn number(&mut self) -> Option<Json> {
            let start = self.at;
            let is_part = |it: &u8| it.is_ascii_digit() || b"+-.eE".contains(it);
            while self.text.get(self.at).is_some_and(is_part) {
                self.at += 1;
            }
            std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Json::Number)
        }

        fn string(&mut self) -> Option<String> {
            if !self.take(b'"') {
                return None;
            }
            let mut bytes = Vec::new();
            loop {
                let byte = *self.text.get(self.at)?;
                self.at += 1;
                match byte {
                    b'"' => return String::from_utf8(bytes).ok(),
                    b'\\' => {
                        let escaped = *self.text.get(self.at)?;
                        self.at += 1;
                        bytes.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            other => other,
                        });
                    }
                    other => bytes.push(other),
                }
            }
        }

        fn array(&mut self) -> Option<Json> {
            self.take(b'[');
            let mut list = Vec::new();
            while !self.take(b']') {
                if !list.is_empty() && !self.take(b',') {
                    return None;
                }
                list.push(self.value()?);
            }
            Some(Json::List(list))
        }

        fn object(&mut self) -> Option<Json> {
            self.take(b'{');
            let mut fields = HashMap::new();
            while !self.take(b'}') {
                if !fields.is_empty() && !self.take(b',') {
                    return None;
                }
                let name = {
                    self.space();
                    self.string()?
                };
                if !self.take(b':') {
                    return None;
                }
                fields.insert(name, self.value()?);
            }
            Some(Json::Object(fields))
        }
    }
}

pub mod store {
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

    use super::{
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
            let mut found =
                state.items.iter().filter(|it| it.0.starts_with(&prefix) && *it.0 > after);
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
                let news =
                    state.history.iter().filter(|it| it.0 > after && it.1.starts_with(&prefix));
                let events: Vec<String> = news
                    .map(|(revision, key, item)| match item {
                        Some(item) => item_json(key, item),
                        None => {
                            format!(
                                "{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"
                            )
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
            let actual =
                |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
            let holds =
                |it: &Json| actual(&state, it.get("key").text()) == it.get("revision").number();
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
        const DIGITS: &[u8; 64] =
            b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
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
}

pub mod server {
    //! A backend server: registers in the store, runs requests, and records what arrives.

    use std::{
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    };

    use super::{
        http::{Conn, Head},
        store::Store,
    };

    /// A request that arrived.
    #[derive(Clone, Debug)]
    pub struct Arrival {
        pub at: Instant,
        pub attempt_id: String,
        /// When the server began to work on it; `None` if it did not.
        pub run_at: Option<Instant>,
    }

    #[derive(Clone, Debug)]
    pub struct Options {
        pub id: String,
        pub service: String,
        pub zone: String,
        pub slots: usize,
        /// How long it works on a request.
        pub work: Duration,
        /// How long it works on a request to `/report/`.
        pub report_work: Duration,
    }

    /// A running backend server; clones refer to the same one.
    #[derive(Clone)]
    pub struct Server(Arc<Inner>);

    struct Inner {
        options: Options,
        address: SocketAddr,
        born: u64,
        store: Store,
        sequence: AtomicU64,
        arrivals: Mutex<Vec<Arrival>>,
        running: AtomicUsize,
        /// How many times as long as usual it works.
        slowness: AtomicU32,
        cold_until: Mutex<Option<Instant>>,
    }

    const HEARTBEAT: Duration = Duration::from_millis(1_200);

    impl Server {
        pub fn start(options: Options, store: &Store) -> std::io::Result<Server> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
            let server = Server(Arc::new(Inner {
                options,
                address: listener.local_addr()?,
                born: born as u64,
                store: store.clone(),
                sequence: AtomicU64::new(0),
                arrivals: Mutex::default(),
                running: AtomicUsize::new(0),
                slowness: AtomicU32::new(1),
                cold_until: Mutex::default(),
            }));
            let accepting = server.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let server = accepting.clone();
                    thread::spawn(move || server.serve(Conn::new(stream)));
                }
            });
            let beating = server.clone();
            thread::spawn(move || {
                loop {
                    beating.write_entry();
                    thread::sleep(HEARTBEAT);
                }
            });
            Ok(server)
        }

        pub fn arrivals(&self) -> Vec<Arrival> {
            self.0.arrivals.lock().unwrap().clone()
        }

        /// Has the server work so many times as long as usual.
        pub fn set_slowness(&self, times: u32) {
            self.0.slowness.store(times, Ordering::SeqCst);
        }

        /// Has the server be cold for a while, and write so in its entry.
        pub fn turn_cold(&self, span: Duration) {
            *self.0.cold_until.lock().unwrap() = Some(Instant::now() + span);
            self.write_entry();
        }

        fn warmup_left_ms(&self) -> u128 {
            let until = *self.0.cold_until.lock().unwrap();
            until.map_or(0, |it| it.saturating_duration_since(Instant::now()).as_millis())
        }

        /// Writes the entry; false if the store did not take it.
        fn write_entry(&self) -> bool {
            let Inner { options, address, born, store, sequence, .. } = &*self.0;
            let Options { id, service, zone, slots, .. } = options;
            let sequence = sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let left = self.warmup_left_ms();
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"warmup_left_ms\":{left},\
             \"sequence\":{sequence},\"born\":{born}}}"
            );
            store.write(&format!("servers/{id}"), &entry)
        }

        fn serve(&self, mut conn: Conn) {
            while let Ok(Some(head)) = conn.head() {
                if self.answer(&mut conn, &head).is_none() {
                    return;
                }
            }
        }

        fn answer(&self, conn: &mut Conn, head: &Head) -> Option<()> {
            let Options { id, slots, work, report_work, .. } = &self.0.options;
            let born = self.0.born;
            if head.word(1) == "/healthz" {
                let left = self.warmup_left_ms();
                let fields = format!("X-Instance-Id: {id}\r\nX-Warmup-Ms: {left}\r\n");
                return conn.respond("200 OK", &fields, "").ok();
            }
            if head.word(1).starts_with("/v1/") {
                let list = format!("{{\"epoch\":1,\"next\":1,\"held\":[],\"born\":{born}}}");
                return conn.respond("200 OK", "Content-Type: application/json\r\n", &list).ok();
            }
            let attempt_id = head.get("x-attempt-id").unwrap_or_default().to_owned();
            let index = {
                let mut arrivals = self.0.arrivals.lock().unwrap();
                let at = Instant::now();
                arrivals.push(Arrival { at, attempt_id: attempt_id.clone(), run_at: None });
                arrivals.len() - 1
            };
            let length = head.length();
            conn.body(length).ok()?;
            let echo = format!("X-Attempt-Id: {attempt_id}\r\n");
            if head.get("x-expect-instance").is_some_and(|it| it != id) {
                let fields = format!("{echo}X-Instance-Id: {id}\r\nX-Not-Executed: 1\r\n");
                return conn.respond("421 Misdirected Request", &fields, "").ok();
            }
            if self.0.running.fetch_add(1, Ordering::SeqCst) >= *slots {
                self.0.running.fetch_sub(1, Ordering::SeqCst);
                let fields = format!("{echo}X-Not-Executed: 1\r\n");
                return conn.respond("503 Service Unavailable", &fields, "").ok();
            }
            self.0.arrivals.lock().unwrap()[index].run_at = Some(Instant::now());
            let work = if head.word(1).starts_with("/report/") { report_work } else { work };
            thread::sleep(*work * self.0.slowness.load(Ordering::SeqCst));
            self.0.running.fetch_sub(1, Ordering::SeqCst);
            let fields = format!("{echo}X-Server-Seal: {id}.{index}\r\n");
            conn.respond("200 OK", &fields, "done").ok()
        }
    }
}

pub mod fleet {
    //! Instances of the router as real processes, with the command and the settings of the deploy file.

    use std::{
        fs::{self, File},
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    };

    use super::{
        http,
        store::{Door, Store},
    };

    /// One instance. Its process is ended when it is dropped.
    pub struct Instance {
        pub name: String,
        pub caller: SocketAddr,
        pub metrics: SocketAddr,
        pub door: Door,
        child: Child,
    }

    impl Drop for Instance {
        fn drop(&mut self) {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }

    impl Instance {
        pub fn is_ready(&self) -> bool {
            let head = "GET /ready HTTP/1.1\r\nHost: balancer\r\n\r\n";
            http::call(self.metrics, head, b"", Duration::from_millis(500)).status == 200
        }
    }

    /// A temporary folder, removed when it is dropped.
    pub struct Folder(PathBuf);

    impl Folder {
        pub fn new() -> std::io::Result<Folder> {
            let path = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
            fs::create_dir_all(&path)?;
            Ok(Folder(path))
        }
    }

    impl Drop for Folder {
        fn drop(&mut self) {
            let _ = fs::remove_dir_all(&self.0);
        }
    }

    /// Ports below those that the system gives to outgoing connections, which could take one of them
    /// before an instance listens there.
    const PORTS: std::ops::Range<u16> = 20_000..32_000;

    /// Free ports, each for TCP and UDP.
    fn free_ports() -> impl Iterator<Item = SocketAddr> {
        // Scripts that run at the same time begin at ports that are far apart.
        let first = (std::process::id().wrapping_mul(61) % PORTS.len() as u32) as u16;
        let ports = (0..PORTS.len() as u16).map(move |it| (first + it) % PORTS.len() as u16);
        let addresses = ports.map(|it| SocketAddr::from(([127, 0, 0, 1], PORTS.start + it)));
        addresses.filter(|it| TcpListener::bind(it).is_ok() && UdpSocket::bind(it).is_ok())
    }

    /// Starts instances, each with its name and its data centre, and waits until all are ready.
    pub fn start(
        folder: &Folder,
        store: &Store,
        names: &[(&str, &str)],
        memory_note: &str,
    ) -> Result<Vec<Instance>, String> {
        let text = |e: std::io::Error| e.to_string();
        let all: Vec<SocketAddr> = free_ports().take(names.len() * 5).collect();
        let ports: Vec<&[SocketAddr]> = all.chunks_exact(5).collect();
        let seeds: Vec<String> =
            ports.iter().take(3).enumerate().map(|(i, it)| format!("seed-{i}@{}", it[1])).collect();
        let mut instances = Vec::new();
        for ((name, zone), ports) in names.iter().zip(&ports) {
            let door = store.open_door().map_err(text)?;
            let [caller, control, operator, metrics, notes] = ports[..] else {
                return Err("too few free ports".to_owned());
            };
            let settings = format!(
                "; {memory_note}\n[instance]\nname = {name}\ndata-centre = {zone}\ncores = 0.25\n\
             seeds = {}\n\n[listen]\ncaller = {caller}\ncontrol = {control}\nnotes = {notes}\n\
             operator = {operator}\nmetrics = {metrics}\n\n[platform]\naddress = http://{}\n\
             heartbeat-ms = 1200\n\n[keys]\ncontrol-key-env = SESAMELOCK_FLEET_KEY\n\
             operator-key-hash = \
             fae93e83809dcd8eb6b5ae9112078ae7ef5c139d3078e2dad72402ceecf5ef0a\n\n[bounds]\n\
             descriptors = 4100\n\n[periods]\ngrace-s = 8\n\n[retries]\nratio = 0.2\n\
             allowance = 58\nwindow-s = 10\n\n[warmup]\novershoot = 1.5\nallowance = 5\n\n\
             [sharing]\nwindow-s = 4\n\n[log]\nformat = json\nlevel = info\n",
                seeds.join(","),
                door.address,
            );
            let path = folder.0.join(format!("{name}.ini"));
            fs::write(&path, settings).map_err(text)?;
            let log = File::create(folder.0.join(format!("{name}.log"))).map_err(text)?;
            let child = Command::new("target/release/sesamelock")
                .args(["run", "--settings"])
                .arg(&path)
                .env("SESAMELOCK_FLEET_KEY", "sesamelock-on-the-users-platform")
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(Stdio::null())
                .spawn()
                .map_err(|e| format!("target/release/sesamelock does not start: {e}"))?;
            let name = (*name).to_owned();
            instances.push(Instance { name, caller, metrics, door, child });
        }
        let deadline = Instant::now() + Duration::from_secs(20);
        while !instances.iter().all(Instance::is_ready) {
            if Instant::now() > deadline {
                return Err("the instances are not ready after 20 s".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Ok(instances)
    }

    /// The machines of te-byw-cymru.
    pub const NINE: [(&str, &str); 9] = [
        ("edge-caerdydd-1", "caerdydd"),
        ("edge-caerdydd-2", "caerdydd"),
        ("edge-caerdydd-3", "caerdydd"),
        ("edge-abertawe-1", "abertawe"),
        ("edge-abertawe-2", "abertawe"),
        ("edge-abertawe-3", "abertawe"),
        ("edge-aberystwyth-1", "aberystwyth"),
        ("edge-aberystwyth-2", "aberystwyth"),
        ("edge-bangor-1", "bangor"),
    ];
}
