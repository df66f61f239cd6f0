//! Callers send bodies of the size that the configuration allows, and servers read slowly. The
//! platform ends a process that uses more than its machine's memory.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{configuration, request};
use crate::{
    Record, Verdict, fleet,
    http::{self, Answer, Conn},
    server::{Options, Server},
    store::Store,
};

/// Memory of the largest machines of letra-abierta; the smallest ones have 120 MB.
const MEMORY_KB: u64 = 512 * 1_024;

/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// The deadline of the kind `ocr-breve` of letra-abierta.
const DEADLINE_MS: u64 = 10_000;

/// Requests, one each [`INTERVAL`]: 797 a second on 76 machines are 10.5 for each of them.
const REQUESTS: usize = 110;
const INTERVAL: Duration = Duration::from_millis(100);

/// Requests without an answer that the rule allows.
const LOST_MAX: usize = 3;

const SERVICE: &str = "{\"name\":\"orders-app\",\"health_path\":\"/healthz\",\
    \"max_connections\":520,\"protocol\":\"h1\",\"tls\":false}";

pub fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let folder = fleet::Folder::new().map_err(|e| e.to_string())?;
    let store = Store::start();
    let tenants = "[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}]";
    store.write("op/config", &configuration(10, DEADLINE_MS, SERVICE, tenants));
    let mut servers = Vec::new();
    for zone in ["zona-uno", "zona-dos", "zona-tres"] {
        let options = Options {
            id: format!("i-{zone}"),
            service: "orders-app".to_owned(),
            zone: zone.to_owned(),
            slots: 64,
            work: Duration::from_millis(60),
            report_work: Duration::ZERO,
        };
        servers.push(Server::start(options, &store).map_err(|e| e.to_string())?);
    }
    let names = [
        ("edge-zona-uno-1", "zona-uno"),
        ("edge-zona-dos-1", "zona-dos"),
        ("edge-zona-tres-1", "zona-tres"),
    ];
    let mut instances = fleet::start(&folder, &store, &names, "letra-abierta, 512 MB")?;
    thread::sleep(Duration::from_secs(3));
    servers.iter().for_each(|it| it.set_slow_reader(trouble));
    let body: Arc<Vec<u8>> = Arc::new(vec![b'x'; BODY_BYTES]);
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let address = instances[0].caller;
    let is_over = Arc::new(AtomicBool::new(false));
    let peak_kb = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    let started = Instant::now();
    let mut is_killed = false;
    let mut number = 0;
    while started.elapsed() < INTERVAL * REQUESTS as u32 + Duration::from_secs(11) {
        if number < REQUESTS && started.elapsed() >= INTERVAL * number as u32 && !is_killed {
            let (body, answers) = (body.clone(), answers.clone());
            let index = number;
            callers.push(thread::spawn(move || {
                let Ok(mut conn) = Conn::connect(address) else { return };
                let wait = Duration::from_millis(DEADLINE_MS + 2_000);
                // The connection is kept: it has served a request before.
                let head = request("GET", "/status/1", &format!("small-{index}"), "key-1", 600, 0);
                if http::exchange(&mut conn, &head, b"", wait).status != 200 {
                    return;
                }
                let id = format!("large-{index}");
                let path = "/book/1";
                let head = request("POST", path, &id, "key-1", DEADLINE_MS, BODY_BYTES);
                let answer = http::exchange(&mut conn, &head, &body, wait);
                answers.lock().unwrap().push((id, answer));
            }));
            number += 1;
        }
        if let Some(used) = instances[0].memory_kb() {
            peak_kb.fetch_max(used, Ordering::SeqCst);
            if used > MEMORY_KB && !is_killed {
                is_killed = true;
                instances[0].kill();
                record.say(&format!(
                    "after {number} requests the process uses {} MB of {}, and the platform ends it",
                    used / 1_024,
                    MEMORY_KB / 1_024
                ));
            }
        }
        if is_killed || number == REQUESTS && callers.iter().all(|it| it.is_finished()) {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));
    let passed_on: HashSet<String> =
        servers.iter().flat_map(|it| it.arrivals()).map(|it| it.attempt_id).collect();
    let answers = answers.lock().unwrap();
    let (mut served, mut lost) = (0, 0);
    for (id, answer) in answers.iter() {
        let was_passed_on = passed_on.contains(id);
        served += usize::from(answer.status == 200 && answer.is_sealed);
        lost += usize::from(answer.status == 0 && was_passed_on);
        record.line(&format!(
            "{id}: {} {} after {:.0} ms{}",
            answer.status,
            answer.code,
            answer.took.as_secs_f64() * 1_000.0,
            if was_passed_on { ", had been passed on to a server" } else { "" },
        ));
    }
    record.say(&format!(
        "sent {}, served {served}, passed on and without an answer {lost}; peak {} MB",
        answers.len(),
        peak_kb.load(Ordering::SeqCst) / 1_024
    ));
    if answers.is_empty() {
        return Err("no request was sent".to_owned());
    }
    Ok(match is_killed && lost > LOST_MAX {
        true => Verdict::Broken(format!(
            "{lost} requests from kept connections had been passed on to sound servers and ended \
             without an answer"
        )),
        false => Verdict::Held(format!("{lost} requests ended without an answer")),
    })
}
