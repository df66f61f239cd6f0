//! A request that crashes each worker that begins to run it comes again, also after all processes of the
//! system were killed at the same moment and started again.

#[path = "../stand_ins.rs"]
mod stand_ins;

use stand_ins::*;
use std::{
    io::Write as _,
    path::PathBuf,
    sync::{Arc, Mutex, atomic::{AtomicUsize, Ordering}},
    thread,
    time::{Duration, Instant},
};

/// Of the sheet of te-byw-cymru.
const FIGURES: Figures = Figures { cores: 0.25, max_fds: 4_100, grace_s: 8, retry_allowance: 58 };
const CONTACT_MS: u64 = 3_000;
const WORKERS: usize = 6;
/// How long a worker that has crashed is away.
const AWAY_MS: u64 = 2_000;
const KILLS: usize = 3;
/// How often the request comes in a row, and the pause between.
const COMES: usize = 6;
const COMES_EVERY_MS: u64 = 700;
const LATE_MAX: usize = 3;

/// What has become of the request so far.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// When it reached a worker.
    arrivals: Vec<Instant>,
}

fn main() {
    std::process::exit(run());
}

/// Runs the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn run() -> i32 {
    let dir = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Arc::new(Record::create(&dir.join("record.txt")));
    let temp = TempDir::create("review-5");
    let store = Store::start();
    let routes = [Route {
        name: "chat", kind: "streaming", service: "llm", timeout_ms: 8_000, target_ms: 600, attempts: 2,
        resumable_gap_ms: Some(800),
    }];
    store.put("op/config", &configuration(1, &routes, &[&model_service("llm")]));
    let seen = Arc::new(Mutex::new(Seen::default()));
    let workers: Arc<Mutex<Vec<Worker>>> = Arc::default();
    for at in 0..WORKERS {
        let (seen, all, own_store, record_of) =
            (seen.clone(), workers.clone(), store.clone(), record.clone());
        let worker = Worker::start(&store, &record, (&format!("i-{at}"), "llm", "z"), 64, move |job| {
            if job.body == b"deadly" {
                lock(&seen).arrivals.push(Instant::now());
                let worker = lock(&all)[at].clone();
                // It begins to answer, and is gone before the first event.
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal.{}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                    job.attempt, job.worker.id
                );
                job.http.stream.write_all(head.as_bytes())?;
                sleep_ms(60);
                worker.end();
                lock(&seen).crashes.push(Instant::now());
                record_of.line(&format!("{} has crashed", worker.state().id));
                let store = own_store.clone();
                thread::spawn(move || {
                    sleep_ms(AWAY_MS);
                    worker.start_again(&store, "v1");
                });
                return Ok(false);
            }
            job.stream(10, 50, |it| format!("part {it}"))
        });
        lock(&workers).push(worker);
    }
    let mut instances = fleet(&store, &temp.0, &["z"], 3, FIGURES);
    instances.iter_mut().for_each(Instance::start);
    if !wait_ready(&instances) {
        record.line("the instances are not ready");
        return 2;
    }
    // In touch, and all of them know each other.
    sleep_ms(CONTACT_MS + 1_500);
    let callers: Vec<_> = instances.iter().map(|it| it.caller).collect();
    let asked = AtomicUsize::new(0);
    come_again(&callers, &asked, &record);
    for kill in 0..KILLS {
        sleep_ms(1_000);
        if has_trouble() {
            record.line("all processes are killed and start again");
            instances.iter_mut().for_each(Instance::kill);
            instances.iter_mut().for_each(Instance::start);
            if !wait_ready(&instances) {
                record.line(&format!("the instances are not ready after kill {kill}"));
                return 2;
            }
        }
        // Out of touch until then: nothing comes.
        sleep_ms(CONTACT_MS + 1_500);
        come_again(&callers, &asked, &record);
    }
    let seen = lock(&seen);
    let Some(third) = seen.crashes.get(2).copied() else {
        record.line("no three crashes");
        return 2;
    };
    let from = third + Duration::from_millis(CONTACT_MS);
    let late = seen.arrivals.iter().filter(|it| **it > from).count();
    record.line(&format!(
        "result: the request came {} times and crashed {} workers; it reached workers {late} times later than \
         {CONTACT_MS} ms after the third crash, from machines in touch (BUDGET allows {LATE_MAX})",
        asked.load(Ordering::Relaxed), seen.crashes.len()
    ));
    println!("crashes {}, late arrivals {late}", seen.crashes.len());
    i32::from(late > LATE_MAX)
}

/// The same request comes some times, at each machine in turn.
fn come_again(callers: &[std::net::SocketAddr], asked: &AtomicUsize, record: &Record) {
    for _ in 0..COMES {
        let number = asked.fetch_add(1, Ordering::Relaxed);
        let caller = callers[number % callers.len()];
        let attempt = format!("deadly-{number}");
        let prompt = [("X-Model", "m"), ("X-Token-Count", "300,200"), ("X-Prompt-Prefix", "a1:200,b1:100")];
        let head = request_head("POST", "/chat/x", &attempt, 8_000, &prompt, 6);
        record.line(&format!("sent {attempt}"));
        if let Ok(mut http) = Http::connect(caller) {
            let _ = http.stream.set_read_timeout(Some(Duration::from_secs(9)));
            if http.stream.write_all(&head).and_then(|()| http.stream.write_all(b"deadly")).is_ok() {
                let answer = read_answer(&mut http);
                record.line(&format!("answered {attempt} {} {:?}", answer.status(), answer.error));
            }
        }
        sleep_ms(COMES_EVERY_MS);
    }
}
