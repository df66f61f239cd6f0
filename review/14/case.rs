//! Servers are slow for some seconds and recover. Then the operator adds a route with a short time limit to
//! their service. Its requests have to be served like those of the routes that were there before.

#[path = "../stand_ins_3.rs"]
mod stand_ins;

use std::{
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use stand_ins::{
    Record, Verdict, configuration_of, fleet,
    http::{self, Answer},
    request, route,
    server::{Options, Server},
    store::Store,
};

/// `srv_grey` with `how = "slow"`: eight times as long; 6.5 s on te-byw-cymru.
const SLOWNESS: u32 = 8;
const SLOW_FOR: Duration = Duration::from_millis(6_500);

/// How long after the servers have recovered the route is added.
const PAUSE: Duration = Duration::from_secs(10);

/// How long requests are judged, after `config_apply_ms` and some time.
const JUDGED_FOR: Duration = Duration::from_secs(40);

const SERVICE: &str = "{\"name\":\"orders-app\",\"health_path\":\"/healthz\",\
    \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";

type Answers = Arc<Mutex<Vec<(Instant, Answer)>>>;

/// Sends requests to all machines in turn until `is_over`, one each `interval`.
fn send(
    addresses: Vec<std::net::SocketAddr>,
    method: &'static str,
    path: &'static str,
    deadline_ms: u64,
    interval: Duration,
    is_over: Arc<AtomicBool>,
) -> (Answers, JoinHandle<()>) {
    let answers: Answers = Arc::default();
    let all = answers.clone();
    let sending = thread::spawn(move || {
        let mut number = 0;
        while !is_over.load(Ordering::SeqCst) {
            let address = addresses[number % addresses.len()];
            number += 1;
            let answers = all.clone();
            thread::spawn(move || {
                let id = format!("{}{number}", path.replace('/', "-"));
                let head = request(method, path, &id, "key-1", deadline_ms, 0);
                let at = Instant::now();
                let wait = Duration::from_millis(deadline_ms + 1_000);
                let answer = http::call(address, &head, b"", wait);
                answers.lock().unwrap().push((at, answer));
            });
            thread::sleep(interval);
        }
    });
    (answers, sending)
}

fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let folder = fleet::Folder::new().map_err(|e| e.to_string())?;
    let store = Store::start();
    let tenants = "[{\"name\":\"hule930\",\"api_keys\":[\"key-1\"],\"priority\":1}]";
    let report = route("report", "idempotent", 8_000, 2);
    let book = route("book", "non_idempotent", 600, 1);
    store.write("op/config", &configuration_of(10, &[report.clone()], SERVICE, tenants));
    let mut servers = Vec::new();
    for zone in ["caerdydd", "abertawe", "aberystwyth", "bangor"] {
        let options = Options {
            id: format!("i-{zone}"),
            service: "orders-app".to_owned(),
            zone: zone.to_owned(),
            slots: 64,
            work: Duration::from_millis(15),
            report_work: Duration::from_millis(450),
        };
        servers.push(Server::start(options, &store).map_err(|e| e.to_string())?);
    }
    let instances = fleet::start(&folder, &store, &fleet::NINE[..3], "te-byw-cymru")?;
    let addresses: Vec<_> = instances.iter().map(|it| it.caller).collect();
    thread::sleep(Duration::from_secs(3));

    // A rush of reports, in which the servers turn slow for a while.
    let is_rush_over = Arc::new(AtomicBool::new(false));
    let rush = send(
        addresses.clone(),
        "GET",
        "/report/rush",
        8_000,
        Duration::from_millis(50),
        is_rush_over.clone(),
    );
    thread::sleep(Duration::from_secs(3));
    if trouble {
        servers.iter().for_each(|it| it.set_slowness(SLOWNESS));
        record.say("the servers work eight times as long");
    }
    thread::sleep(SLOW_FOR);
    is_rush_over.store(true, Ordering::SeqCst);
    servers.iter().for_each(|it| it.set_slowness(1));
    record.say("the servers work as before, and the rush is over");
    drop(rush.1.join());

    let is_over = Arc::new(AtomicBool::new(false));
    let interval = Duration::from_millis(1_000);
    let (reports, reporting) =
        send(addresses.clone(), "GET", "/report/1", 8_000, interval, is_over.clone());
    thread::sleep(PAUSE);
    if !store.write("op/config", &configuration_of(11, &[report, book], SERVICE, tenants)) {
        return Err("the store took no configuration".to_owned());
    }
    record.say("version 11 (the route /book/ is added) acknowledged");
    thread::sleep(Duration::from_secs(3));
    let judged_from = Instant::now();
    let interval = Duration::from_millis(100);
    let (bookings, booking) = send(addresses, "POST", "/book/1", 600, interval, is_over.clone());
    thread::sleep(JUDGED_FOR);
    is_over.store(true, Ordering::SeqCst);
    drop((reporting.join(), booking.join()));
    thread::sleep(Duration::from_secs(1));
    drop(instances);

    let count = |answers: &Answers, name: &str| {
        let answers = answers.lock().unwrap();
        let judged: Vec<&Answer> =
            answers.iter().filter(|it| it.0 >= judged_from).map(|it| &it.1).collect();
        for it in &judged {
            let took = it.took.as_millis();
            record.line(&format!("{name}: {} {} after {took} ms", it.status, it.code));
        }
        let served = judged.iter().filter(|it| it.status == 200 && it.is_sealed).count();
        record.say(&format!("{name}: {served} of {} served", judged.len()));
        (served, judged.len())
    };
    let (reports_served, reports_sent) = count(&reports, "/report/, there from the first");
    let (served, sent) = count(&bookings, "/book/, added later");
    if reports_served == 0 || sent < 20 {
        return Err("too little was sent or served".to_owned());
    }
    let share = served as f64 / sent as f64;
    let first_share = reports_served as f64 / reports_sent as f64;
    let shares = format!("{:.0}% against {:.0}%", share * 100.0, first_share * 100.0);
    Ok(match share < first_share / 4.0 {
        true => Verdict::Broken(format!(
            "requests on the route that was added are served less than a quarter as often: {shares}"
        )),
        false => {
            Verdict::Held(format!("requests on the route that was added are served: {shares}"))
        }
    })
}

fn main() -> ExitCode {
    stand_ins::run_case("14", run)
}
