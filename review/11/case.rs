//! The store gives a third of the machines no answer, and a key is taken away. The machines that reach
//! the store have to know within `config_apply_ms` of the acknowledgement.

#[path = "../stand_ins_3.rs"]
mod stand_ins;

use std::{
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use stand_ins::{
    Record, Verdict, configuration, fleet,
    http::{self, Answer},
    request,
    server::{Options, Server},
    store::Store,
};

/// `config_apply_ms` of te-byw-cymru.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// How long the store turns the machines away: 9 s on the day `trouble-1` of te-byw-cymru.
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// A third of nine machines; the day `trouble-1` has a share of 0.35.
const TURNED_AWAY_MACHINES: usize = 3;

/// How often a caller sends a request to each machine.
const INTERVAL: Duration = Duration::from_millis(40);

const SERVICE: &str = "{\"name\":\"orders-app\",\"health_path\":\"/healthz\",\
    \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";

struct Sent {
    id: String,
    machine: String,
    at: Instant,
    answer: Answer,
}

fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let folder = fleet::Folder::new().map_err(|e| e.to_string())?;
    let store = Store::start();
    let both = "[{\"name\":\"hule930\",\"api_keys\":[\"key-kept\",\"key-taken\"],\"priority\":1}]";
    let one = "[{\"name\":\"hule930\",\"api_keys\":[\"key-kept\"],\"priority\":1}]";
    store.write("op/config", &configuration(10, 600, SERVICE, both));
    let mut servers = Vec::new();
    for zone in ["caerdydd", "abertawe", "aberystwyth", "bangor"] {
        let options = Options {
            id: format!("i-{zone}"),
            service: "orders-app".to_owned(),
            zone: zone.to_owned(),
            slots: 64,
            work: Duration::from_millis(5),
            report_work: Duration::ZERO,
        };
        servers.push(Server::start(options, &store).map_err(|e| e.to_string())?);
    }
    let instances = fleet::start(&folder, &store, &fleet::NINE, "te-byw-cymru, 260 MB")?;
    thread::sleep(Duration::from_secs(4));

    // Which machines wait for changes of the store shows at the store.
    let watching: Vec<&fleet::Instance> =
        instances.iter().filter(|it| it.door.watches() > 0).collect();
    let names: Vec<&str> = watching.iter().map(|it| it.name.as_str()).collect();
    record.say(&format!("watch the store: {}", names.join(", ")));
    let cut: Vec<&fleet::Instance> = watching.into_iter().take(TURNED_AWAY_MACHINES).collect();
    let cut_names: Vec<String> = cut.iter().map(|it| it.name.clone()).collect();

    // Callers with the key that will be taken away, one for each machine.
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for instance in &instances {
        let (name, address) = (instance.name.clone(), instance.caller);
        let (sent, is_over) = (sent.clone(), is_over.clone());
        callers.push(thread::spawn(move || {
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{name}-{number}");
                let head = request("GET", "/status/1", &id, "key-taken", 600, 0);
                let at = Instant::now();
                let answer = http::call(address, &head, b"", Duration::from_secs(2));
                sent.lock().unwrap().push(Sent { id, machine: name.clone(), at, answer });
                thread::sleep(INTERVAL);
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));

    if !store.write("op/config", &configuration(11, 700, SERVICE, both)) {
        return Err("the store took no configuration".to_owned());
    }
    record.say("version 11 (another timeout) acknowledged");
    thread::sleep(Duration::from_millis(100));
    let cut_at = Instant::now();
    if trouble {
        cut.iter().for_each(|it| it.door.set_silent(true));
        record.say(&format!("the store gives no answer to {}", cut_names.join(", ")));
    }
    thread::sleep(Duration::from_millis(50));
    if !store.write("op/config", &configuration(12, 700, SERVICE, one)) {
        return Err("the store took no configuration".to_owned());
    }
    let acknowledged = Instant::now();
    record.say("version 12 (key-taken is gone) acknowledged");
    thread::sleep(Duration::from_secs(6));
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));
    thread::sleep(TURNED_AWAY.saturating_sub(cut_at.elapsed()).min(Duration::from_secs(3)));
    cut.iter().for_each(|it| it.door.set_silent(false));
    drop(instances);

    let run: Vec<String> = servers
        .iter()
        .flat_map(|it| it.arrivals())
        .filter(|it| it.run_at.is_some())
        .map(|it| it.attempt_id)
        .collect();
    let run: std::collections::HashSet<String> = run.into_iter().collect();
    let mut sent = sent.lock().unwrap();
    sent.sort_by_key(|it| it.at);
    let (mut served_before, mut late, mut last) = (0, 0, 0.0);
    for it in sent.iter() {
        let is_run = run.contains(&it.id);
        let in_touch = !trouble || !cut_names.contains(&it.machine);
        let Some(after) = it.at.checked_duration_since(acknowledged) else {
            served_before += usize::from(it.answer.status == 200 && it.answer.is_sealed);
            continue;
        };
        let ms = after.as_secs_f64() * 1_000.0;
        record.line(&format!(
            "{ms:7.1} ms after the acknowledgement, {} to {} ({}): {}{}",
            it.id,
            it.machine,
            if in_touch { "reaches the store" } else { "turned away" },
            it.answer.status,
            if is_run { ", run by a server" } else { "" },
        ));
        if in_touch && is_run && after > CONFIG_APPLY {
            late += 1;
            last = ms;
        }
    }
    record.say(&format!("served with the key before it was taken away: {served_before}"));
    if served_before == 0 {
        return Err("nothing was served before".to_owned());
    }
    Ok(match late {
        0 => Verdict::Held("no request with the key ran after 2,000 ms".to_owned()),
        late => Verdict::Broken(format!(
            "{late} requests with a key that was taken away, sent more than 2,000 ms after the \
             acknowledgement to machines that reach the store, ran; the last {last:.0} ms after it"
        )),
    })
}

fn main() -> ExitCode {
    stand_ins::run_case("11", run)
}
