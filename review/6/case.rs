//! Case 6: streams that began at a newer software version while the store was down go on at the older one
//! after all instances were killed.

#![allow(dead_code)]

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::{path::Path, thread};

const EVENTS: u64 = 30;
const EVENT_MS: u64 = 100;
const STREAMS: usize = 8;

/// Time from the entry of the new worker to the outage of the store.
const GAP_MS: u64 = 600;

/// How long the store is down.
const DOWN_MS: u64 = 4_500;

fn main() {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let dir = std::env::temp_dir().join(format!("sesamelock-review-6-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let code = run(&record, &dir, has_trouble);
    record.write(Path::new("review/6/record.txt"));
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(code);
}

fn run(record: &Record, dir: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(1, 8_000, 4_194_304));
    let work = Work::Stream { events: EVENTS, interval_ms: EVENT_MS, first_ms: EVENT_MS };
    let old = Worker::start(record, "i-old", "model", "v1", work);
    old.write_entry(&store);
    let mut first = Instance::start(dir, "edge-caerdydd-1", store.address, &[]);
    let mut second = Instance::start(dir, "edge-caerdydd-2", store.address, &[&first]);
    if !first.wait_ready() || !second.wait_ready() {
        record.note("an instance is not ready");
        return 2;
    }
    for _ in 0..3 {
        old.write_entry(&store);
        sleep_ms(HEARTBEAT_MS);
    }

    first.kill();
    second.kill();
    record.note("both instances are killed");
    sleep_ms(200);
    first.run();
    second.run();
    record.note("both instances are started again");
    sleep_ms(400);

    // A release begins: the first worker of the new version starts, beside those of the old one.
    let new = Worker::start(record, "i-new", "model", "v2", work);
    new.write_entry(&store);
    record.note("i-new of version v2 is ready");
    let began_at = record.now();
    let wait_until = |millis: u64| {
        while record.now() < began_at + millis as f64 {
            sleep_ms(5);
        }
    };
    wait_until(GAP_MS);
    if has_trouble {
        store.set_down(true);
        record.note("the store is down");
    }
    wait_until(1_200);
    old.write_entry(&store);
    new.write_entry(&store);
    wait_until(2_300);
    let streams: Vec<Stream> = (0..STREAMS).map(|_| Stream::default()).collect();
    let callers = [first.caller, second.caller];
    let mut begun = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let (record, stream, caller) = (record.clone(), stream.clone(), callers[index % 2]);
        begun.push(thread::spawn(move || {
            read_stream(&record, caller, &format!("aaaa{index}"), None, &stream)
        }));
    }
    wait_until(3_100);
    first.kill();
    second.kill();
    record.note("both instances are killed");
    begun.into_iter().for_each(|it| drop(it.join()));
    sleep_ms(200);
    first.run();
    second.run();
    record.note("both instances are started again");
    wait_until(GAP_MS + DOWN_MS);
    if has_trouble {
        store.set_down(false);
        record.note("the store is back");
    }
    old.write_entry(&store);
    new.write_entry(&store);
    if !first.wait_ready() || !second.wait_ready() {
        record.note("an instance is not ready again");
        return 2;
    }
    let began: Vec<Vec<String>> = streams.iter().map(Stream::versions).collect();
    let at_new = began.iter().filter(|it| it.first().is_some_and(|it| it == "v2")).count();
    record.note(format!("{at_new} of {STREAMS} streams began at v2"));

    // The clients take their streams up; a refusal says that they may come again.
    let mut resumed = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let (record, stream, caller) = (record.clone(), stream.clone(), callers[(index + 1) % 2]);
        resumed.push(thread::spawn(move || {
            let resumes = format!("aaaa{index}");
            for number in 0..3 {
                let attempt = format!("b{number}bb{index}");
                let end = read_stream(&record, caller, &attempt, Some(&resumes), &stream);
                if end.0 == 200 {
                    return;
                }
                sleep_ms(200);
            }
        }));
    }
    resumed.into_iter().for_each(|it| drop(it.join()));
    let joined: Vec<usize> =
        (0..STREAMS).filter(|it| streams[*it].versions().len() > 1).collect();
    let whole = streams.iter().filter(|it| it.last_id() == EVENTS).count();
    record.note(format!("{whole} of {STREAMS} streams have all events"));
    if !joined.is_empty() {
        record.note(format!("ORDER is broken: streams {joined:?} have text of both versions"));
        return 1;
    }
    if has_trouble && at_new == 0 {
        record.note("the case could not run: no stream began at v2");
        return 2;
    }
    record.note("ORDER held");
    0
}
