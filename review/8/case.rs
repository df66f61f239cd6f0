//! Case 8: request bodies that wait for workers which read slowly take memory without a limit, until
//! the platform kills the process.

#![allow(dead_code)]

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

/// `memory_mb` of most machines of the deployment.
const MEMORY_MB: f64 = 120.0;

/// Below `max_body_bytes`, which is 4,194,304.
const BODY_BYTES: usize = 4_000_000;

const DEADLINE_MS: u64 = 4_000;

/// Clients that upload, for each machine.
const UPLOADERS: usize = 20;

/// Clients that look something up, for each machine.
const READERS: usize = 3;

/// What a worker reads in a second from one connection while it reads slowly.
const SLOW_BYTES_PER_S: u64 = 1_000_000;

const RUNS_MS: u64 = 30_000;

/// How long after its end a process is started again.
const RESTART_MS: u64 = 500;

/// Three ends in a day, on two machines at least, are a fault.
const ENDS_MAX: usize = 3;

fn main() {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let dir = std::env::temp_dir().join(format!("sesamelock-review-8-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let code = run(&record, &dir, has_trouble);
    record.write(Path::new("review/8/record.txt"));
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(code);
}

/// Requests that ended without an answer, and those that were answered by a worker, of each kind.
#[derive(Default)]
struct Counts {
    uploads: AtomicUsize,
    uploads_served: AtomicUsize,
    uploads_cut: AtomicUsize,
    look_ups: AtomicUsize,
    look_ups_served: AtomicUsize,
    look_ups_cut: AtomicUsize,
}

fn run(record: &Record, dir: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(1, DEADLINE_MS, 4_194_304));
    let workers: Vec<Arc<Worker>> = (0..3)
        .map(|it| Worker::start(record, &format!("i-app-{it}"), "app", "v1", Work::Plain(60)))
        .collect();
    let heartbeat = || {
        for worker in &workers {
            worker.write_entry(&store);
        }
    };
    heartbeat();
    let first = Instance::start(dir, "edge-zona-uno-1", store.address, &[]);
    let second = Instance::start(dir, "edge-zona-uno-2", store.address, &[&first]);
    if !first.wait_ready() || !second.wait_ready() {
        record.note("an instance is not ready");
        return 2;
    }
    sleep_ms(1_000);
    heartbeat();
    if has_trouble {
        for worker in &workers {
            worker.read_per_s.store(SLOW_BYTES_PER_S, Ordering::Relaxed);
        }
        record.note(format!("the workers read {SLOW_BYTES_PER_S} bytes a second from a connection"));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new(Counts::default());
    let mut clients = Vec::new();
    for (machine, instance) in [&first, &second].into_iter().enumerate() {
        for index in 0..UPLOADERS + READERS {
            let (stop, counts, record) = (stop.clone(), counts.clone(), record.clone());
            let caller = instance.caller;
            clients.push(thread::spawn(move || {
                client(&record, caller, machine, index, &stop, &counts);
            }));
        }
    }
    let mut instances = [first, second];
    let ends = platform(record, &mut instances, heartbeat);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|it| drop(it.join()));

    let count = |it: &AtomicUsize| it.load(Ordering::Relaxed);
    record.note(format!(
        "uploads: {}, {} answered by workers, {} ended without an answer; look-ups: {}, {} answered by \
         workers, {} ended without an answer",
        count(&counts.uploads),
        count(&counts.uploads_served),
        count(&counts.uploads_cut),
        count(&counts.look_ups),
        count(&counts.look_ups_served),
        count(&counts.look_ups_cut)
    ));
    if count(&counts.uploads) < 2 * UPLOADERS {
        record.note("the case could not run: too few uploads");
        return 2;
    }
    record.note(format!("processes ended for their memory: {ends:?}"));
    if ends.iter().all(|it| *it >= ENDS_MAX) {
        record.note("Fault: processes of two machines ended three times or more");
        return 1;
    }
    record.note("no fault");
    0
}

/// Kills the processes that exceed their memory and starts them again, as the platform does. Returns how
/// often it did for each.
fn platform(record: &Record, instances: &mut [Instance], heartbeat: impl Fn()) -> Vec<usize> {
    let ends_at = record.now() + RUNS_MS as f64;
    let mut ends = vec![0; instances.len()];
    let mut most = vec![0.0_f64; instances.len()];
    let mut restart_at = vec![None; instances.len()];
    let mut heartbeat_at = record.now();
    while record.now() < ends_at {
        sleep_ms(20);
        let now = record.now();
        if now > heartbeat_at {
            heartbeat_at = now + HEARTBEAT_MS as f64;
            heartbeat();
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            if restart_at[index].is_some_and(|it| now > it) {
                restart_at[index] = None;
                instance.run();
                record.note(format!("{} is started again", instance.name));
            }
            let Some((_, memory_mb)) = instance.memory_mb() else { continue };
            most[index] = most[index].max(memory_mb);
            if restart_at[index].is_none() && memory_mb > MEMORY_MB {
                instance.kill();
                ends[index] += 1;
                restart_at[index] = Some(now + RESTART_MS as f64);
                record.note(format!("{} has {memory_mb:.0} MB and is killed", instance.name));
            }
        }
    }
    record.note(format!("the most memory: {:.0} MB and {:.0} MB", most[0], most[1]));
    ends
}

fn client(
    record: &Record,
    caller: std::net::SocketAddr,
    machine: usize,
    index: usize,
    stop: &AtomicBool,
    counts: &Counts,
) {
    let is_upload = index < UPLOADERS;
    let body = if is_upload { vec![b'x'; BODY_BYTES] } else { Vec::new() };
    let (method, path) = if is_upload { ("POST", "/book/x") } else { ("GET", "/status/x") };
    let (all, served, cut) = match is_upload {
        true => (&counts.uploads, &counts.uploads_served, &counts.uploads_cut),
        false => (&counts.look_ups, &counts.look_ups_served, &counts.look_ups_cut),
    };
    sleep_ms(150 * (index % UPLOADERS) as u64);
    let mut client = Client::new(caller);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let attempt = format!("m{machine}c{index:02}n{number:03}");
        let bytes = request(method, path, &attempt, DEADLINE_MS, &body);
        record.add(format!("{attempt} sent to {caller}: {path}, {} bytes", body.len()));
        let answer = client.call(&bytes, Duration::from_millis(DEADLINE_MS + 500));
        let status = answer.as_ref().map(Message::status);
        all.fetch_add(1, Ordering::Relaxed);
        if answer.as_ref().is_some_and(|it| it.header("X-Server-Seal").is_some()) {
            served.fetch_add(1, Ordering::Relaxed);
        }
        if answer.is_none() {
            cut.fetch_add(1, Ordering::Relaxed);
        }
        let seen = status.map_or("no answer".to_owned(), |it| it.to_string());
        record.add(format!("{attempt} answered: {seen}"));
        sleep_ms(if is_upload { 2_000 } else { 200 });
    }
}
