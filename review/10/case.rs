//! Case 10: after the store has cut a waiting watch, a worker that is removed gets requests for longer
//! than `drain_ms`.

#![allow(dead_code)]

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::path::Path;

const DRAIN_MS: f64 = 2_000.0;

fn main() {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let dir = std::env::temp_dir().join(format!("sesamelock-review-10-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let code = run(&record, &dir, has_trouble);
    record.write(Path::new("review/10/record.txt"));
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(code);
}

fn run(record: &Record, dir: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(1, 600, 4_194_304));
    let leaving = Worker::start(record, "i-leaving", "app", "v1", Work::Plain(15));
    let staying = Worker::start(record, "i-staying", "app", "v1", Work::Plain(15));
    let heartbeat = || {
        leaving.write_entry(&store);
        staying.write_entry(&store);
    };
    heartbeat();
    let first = Instance::start(dir, "edge-caerdydd-1", store.address, &[]);
    let second = Instance::start(dir, "edge-caerdydd-2", store.address, &[&first]);
    if !first.wait_ready() || !second.wait_ready() {
        record.note("an instance is not ready");
        return 2;
    }
    // Longer than `contact_ms` before the worker leaves, all processes and the store are undisturbed.
    for _ in 0..3 {
        heartbeat();
        sleep_ms(HEARTBEAT_MS);
    }
    let traffic = Traffic::start(record, &[first.caller, second.caller], 16, 20);
    heartbeat();
    sleep_ms(HEARTBEAT_MS);
    heartbeat();
    sleep_ms(600);

    if has_trouble {
        let cut = store.cut_watches();
        record.note(format!("the store cuts {cut} waiting watches"));
        sleep_ms(5);
    }
    // It never reports `draining`: its entry is removed, and it serves on as long.
    store.remove(&leaving.key());
    let acknowledged_at = record.note("the entry of i-leaving is removed");
    sleep_ms(600);
    staying.write_entry(&store);
    sleep_ms(HEARTBEAT_MS);
    staying.write_entry(&store);
    sleep_ms(HEARTBEAT_MS);
    staying.write_entry(&store);
    leaving.exit();
    record.note("i-leaving exits");
    sleep_ms(500);
    let answers = traffic.end();

    let arrivals = lock(&leaving.arrivals).clone();
    let before = arrivals.iter().filter(|it| it.0 <= acknowledged_at).count();
    let late: Vec<&(f64, String)> =
        arrivals.iter().filter(|it| it.0 > acknowledged_at + DRAIN_MS).collect();
    let last = arrivals.last().map_or(0.0, |it| it.0 - acknowledged_at);
    let served = answers.iter().filter(|it| it.status == Some(200) && it.is_sealed).count();
    record.note(format!(
        "{} requests, {served} answered by workers; i-leaving got {before} before its entry was removed, \
         and the last one {last:.0} ms after",
        answers.len()
    ));
    if before == 0 || served < answers.len() / 2 {
        record.note("the case could not run: the workers served too little");
        return 2;
    }
    if late.is_empty() {
        record.note("DRAIN held");
        return 0;
    }
    record.note(format!(
        "DRAIN is broken: {} requests reached i-leaving later than {DRAIN_MS} ms after the store had \
         acknowledged its removal, the last one {last:.0} ms after",
        late.len()
    ));
    1
}
