//! The operator takes a key away, and in the same version gives a tenant a rank above 255. The version
//! has to be in force at each machine within `config_apply_ms` of the acknowledgement.

#[path = "../stand_ins_3.rs"]
mod stand_ins;

use std::{
    collections::HashSet,
    process::ExitCode,
    thread,
    time::{Duration, Instant},
};

use stand_ins::{
    Record, Verdict, configuration, fleet, http, request,
    server::{Options, Server},
    store::Store,
};

/// `config_apply_ms` of te-byw-cymru.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// How long requests are sent after the acknowledgement.
const SENT_FOR: Duration = Duration::from_secs(10);

const SERVICE: &str = "{\"name\":\"orders-app\",\"health_path\":\"/healthz\",\
    \"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";

fn run(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let folder = fleet::Folder::new().map_err(|e| e.to_string())?;
    let store = Store::start();
    let tenants = |keys: &str, rank: u32| {
        format!(
            "[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1}},\
             {{\"name\":\"bogo560\",\"api_keys\":[\"key-other\"],\"priority\":{rank}}}]"
        )
    };
    let both = "\"key-kept\",\"key-taken\"";
    store.write("op/config", &configuration(10, 600, SERVICE, &tenants(both, 2)));
    let mut servers = Vec::new();
    for zone in ["caerdydd", "abertawe", "aberystwyth", "bangor"] {
        let options = Options {
            id: format!("i-{zone}"),
            service: "orders-app".to_owned(),
            zone: zone.to_owned(),
            slots: 6,
            work: Duration::from_millis(5),
            report_work: Duration::ZERO,
        };
        servers.push(Server::start(options, &store).map_err(|e| e.to_string())?);
    }
    let instances = fleet::start(&folder, &store, &fleet::NINE[..3], "te-byw-cymru")?;
    thread::sleep(Duration::from_secs(3));
    let rank = if trouble { 300 } else { 3 };
    let next = configuration(11, 600, SERVICE, &tenants("\"key-kept\"", rank));
    if !store.write("op/config", &next) {
        return Err("the store took no configuration".to_owned());
    }
    let acknowledged = Instant::now();
    record.say(&format!("version 11 (key-taken is gone, bogo560 has rank {rank}) acknowledged"));
    let mut sent = Vec::new();
    while acknowledged.elapsed() < SENT_FOR {
        for instance in &instances {
            let id = format!("{}-{}", instance.name, sent.len());
            let at = acknowledged.elapsed();
            let head = request("POST", "/book/1", &id, "key-taken", 600, 0);
            let answer = http::call(instance.caller, &head, b"", Duration::from_secs(2));
            sent.push((id, at, answer));
        }
        thread::sleep(Duration::from_millis(100));
    }
    drop(instances);
    let run: HashSet<String> = servers
        .iter()
        .flat_map(|it| it.arrivals())
        .filter(|it| it.run_at.is_some())
        .map(|it| it.attempt_id)
        .collect();
    let mut late = 0;
    for (id, at, answer) in &sent {
        let is_run = run.contains(id);
        late += usize::from(is_run && *at > CONFIG_APPLY);
        let after = at.as_millis();
        let run = if is_run { ", run by a server" } else { "" };
        record.line(&format!("{after} ms after the acknowledgement, {id}: {}{run}", answer.status));
    }
    Ok(match late {
        0 => Verdict::Held("no request with the key ran after 2,000 ms".to_owned()),
        late => Verdict::Broken(format!(
            "{late} requests with a key that was taken away, sent more than 2,000 ms after the \
             acknowledgement, ran; they were sent for {} s",
            SENT_FOR.as_secs()
        )),
    })
}

fn main() -> ExitCode {
    stand_ins::run_case("13", run)
}
