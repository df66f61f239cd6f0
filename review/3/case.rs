//! Clients that read slowly: each takes its answer 3.4 s after it has sent its request, within its
//! deadline of 4 s.

#[path = "../stand_ins.rs"]
mod stand_ins;

use stand_ins::*;
use std::{io::Write as _, path::PathBuf, sync::Arc, thread, time::Duration};

/// Of the sheet of letra-abierta-grown: `alta-registro`, which may run once only.
const FIGURES: Figures = Figures { cores: 0.3, max_fds: 10_250, grace_s: 8, retry_allowance: 192 };
const DEADLINE_MS: u64 = 4_000;
const WORK_MS: u64 = 60;
/// The largest answer on the sheet.
const ANSWER_BYTES: usize = 4_800;

const CLIENTS: usize = 12;
/// How long a client leaves its answer unread.
const PAUSE_MS: u64 = 3_400;
/// What a client's socket holds of an answer that it has not read: less than the answer.
const RECEIVE_BUFFER_BYTES: i32 = 2_304;
const LOST_MAX: usize = 3;

fn main() {
    std::process::exit(run());
}

/// Runs the case; 1 if the rule was broken, 0 if it held, 2 if the case could not run.
fn run() -> i32 {
    let dir = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Arc::new(Record::create(&dir.join("record.txt")));
    let temp = TempDir::create("review-3");
    let store = Store::start();
    let routes = [Route {
        name: "alta", kind: "non_idempotent", service: "app", timeout_ms: DEADLINE_MS, target_ms: 300,
        attempts: 1, resumable_gap_ms: None,
    }];
    store.put("op/config", &configuration(1, &routes, &[&plain_service("app")]));
    let workers: Vec<Worker> = (0..3)
        .map(|at| {
            Worker::start(&store, &record, (&format!("w{at}"), "app", "z"), 6, |job| {
                sleep_ms(WORK_MS);
                job.respond(&vec![b'a'; ANSWER_BYTES])
            })
        })
        .collect();
    let mut instances = fleet(&store, &temp.0, &["z"], 2, FIGURES);
    instances.iter_mut().for_each(Instance::start);
    if !wait_ready(&instances) {
        record.line("the instances are not ready");
        return 2;
    }
    sleep_ms(2_500);
    let pause_ms = if has_trouble() { PAUSE_MS } else { 0 };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let caller = instances[index % 2].caller;
            let (record, workers) = (record.clone(), workers.clone());
            sleep_ms(50);
            thread::spawn(move || run_client(caller, index, pause_ms, &record, &workers))
        })
        .collect();
    let ends: Vec<Option<bool>> = clients.into_iter().map(|it| it.join().unwrap_or(None)).collect();
    let complete = ends.iter().filter(|it| **it == Some(true)).count();
    let lost = ends.iter().filter(|it| **it == Some(false)).count();
    record.line(&format!(
        "result: of {CLIENTS} requests on kept connections {complete} got their whole answer, {lost} were run \
         by a sound worker and their connection ended without it (LOST allows {LOST_MAX})"
    ));
    println!("complete {complete}, lost {lost}");
    if complete + lost < CLIENTS {
        return 2;
    }
    i32::from(lost > LOST_MAX)
}

/// Sends two requests on one connection and leaves the answer of the second one unread for
/// `pause_ms`. Whether it got that answer as a whole; `None` if it did not run.
fn run_client(
    caller: std::net::SocketAddr,
    index: usize,
    pause_ms: u64,
    record: &Record,
    workers: &[Worker],
) -> Option<bool> {
    let mut http = Http::new(connect_with_buffer(caller, RECEIVE_BUFFER_BYTES).ok()?);
    http.stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    for turn in 0..2 {
        let attempt = format!("alta-{index}-{turn}");
        let body = "x".repeat(600);
        let head = request_head("POST", "/alta/x", &attempt, DEADLINE_MS, &[], body.len());
        http.stream.write_all(&head).ok()?;
        http.stream.write_all(body.as_bytes()).ok()?;
        record.line(&format!("sent {attempt}"));
        if turn == 1 {
            sleep_ms(pause_ms);
        }
        let answer = read_answer(&mut http);
        let was_run = workers.iter().any(|it| it.has_run(&attempt));
        record.line(&format!(
            "answered {attempt} {} {:?}, {} bytes of its body, run: {was_run}",
            answer.status(), answer.error, answer.body.len()
        ));
        if turn == 1 && was_run {
            return Some(answer.is_complete() && answer.status() == 200 && answer.body.len() == ANSWER_BYTES);
        }
    }
    None
}
