//! Case 6: an instance that stood still goes on with a stream of one software version at a worker of
//! another one.

#![allow(dead_code)]

#[path = "../stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const EVENTS: u64 = 20;
const EVENT_MS: u64 = 100;

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

/// What a client has of a stream: the lines of its events, over all of its attempts.
#[derive(Clone, Default)]
struct Stream {
    events: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Stream {
    fn last_id(&self) -> u64 {
        lock(&self.events).last().map_or(0, |it| it.0)
    }

    /// The versions whose text it has, in order.
    fn versions(&self) -> Vec<String> {
        let events = lock(&self.events);
        let mut versions: Vec<String> =
            events.iter().map(|it| it.1.split(' ').next().unwrap_or_default().to_owned()).collect();
        versions.dedup();
        versions
    }
}

/// Asks for a stream, or for the rest of it, and keeps its events until it ends. Returns the status and
/// whether the stream is complete.
fn read_stream(
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

fn run(record: &Record, dir: &Path, has_trouble: bool) -> i32 {
    let store = Store::start();
    store.put("op/config", &config(1, 8_000, 4_194_304));
    let work = Work::Stream { events: EVENTS, interval_ms: EVENT_MS, first_ms: EVENT_MS };
    let old = Worker::start(record, "i-old", "model", "v1", work);
    let other = Worker::start(record, "i-app", "app", "v1", Work::Plain(15));
    let heartbeat = || {
        old.write_entry(&store);
        other.write_entry(&store);
    };
    heartbeat();
    let mut first = Instance::start(dir, "edge-caerdydd-1", store.address, &[]);
    let second = Instance::start(dir, "edge-caerdydd-2", store.address, &[&first]);
    if !first.wait_ready() || !second.wait_ready() {
        record.note("an instance is not ready");
        return 2;
    }
    for _ in 0..3 {
        heartbeat();
        sleep_ms(HEARTBEAT_MS);
    }
    if has_trouble {
        second.signal("STOP");
        record.note("edge-caerdydd-2 stands still");
    }
    heartbeat();
    sleep_ms(100);

    // A release: the new worker starts first, then the old one drains. It serves for many seconds.
    let new = Worker::start(record, "i-new", "model", "v2", work);
    new.write_entry(&store);
    record.note("i-new of version v2 is ready");
    sleep_ms(100);
    *lock(&old.state) = "draining";
    old.write_entry(&store);
    record.note("i-old of version v1 is draining");
    sleep_ms(200);

    let streams = [Stream::default(), Stream::default()];
    let address = first.caller;
    let mut begun = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let (record, stream) = (record.clone(), stream.clone());
        begun.push(thread::spawn(move || {
            read_stream(&record, address, &format!("aaaa{index}"), None, &stream)
        }));
    }
    sleep_ms(800);
    first.kill();
    record.note("edge-caerdydd-1 is killed");
    begun.into_iter().for_each(|it| drop(it.join()));
    sleep_ms(100);
    first.run();
    record.note("edge-caerdydd-1 is started again");
    if streams.iter().any(|it| it.last_id() == 0 || it.last_id() >= EVENTS) {
        record.note("the case could not run: a stream did not break off midway");
        return 2;
    }
    sleep_ms(300);

    // The clients take their streams up at the other instance, as the pages allow.
    let mut resumed = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let (record, stream, address) = (record.clone(), stream.clone(), second.caller);
        resumed.push(thread::spawn(move || {
            let first = format!("aaaa{index}");
            let resumes = (index == 1).then_some(first.as_str());
            read_stream(&record, address, &format!("bbbb{index}"), resumes, &stream)
        }));
    }
    sleep_ms(400);
    if has_trouble {
        second.signal("CONT");
        record.note("edge-caerdydd-2 wakes again");
    }
    let ends: Vec<(u16, bool)> = resumed.into_iter().map(|it| it.join().unwrap_or((0, false))).collect();

    let mut code = 0;
    for (index, (stream, end)) in streams.iter().zip(ends).enumerate() {
        let versions = stream.versions();
        if versions.len() > 1 {
            code = 1;
            record.note(format!(
                "ORDER is broken: stream {index} has text of {versions:?}, answered {}, complete: {}",
                end.0, end.1
            ));
        } else {
            record.note(format!("stream {index} has text of {versions:?}, answered {}", end.0));
        }
    }
    if code == 0 {
        record.note("ORDER held");
    }
    code
}
