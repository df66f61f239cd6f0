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

use crate::{
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
