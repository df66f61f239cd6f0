use std::time::Duration;

use futures::future::join_all;
use stand_ins::{
    Backends, Chance, Kind,
    backends::{CRASH_MARK, Fault, Load, Run, Server},
};
use tokio::time::Instant;

use crate::support::{chat, engine, http, spec, until};

#[tokio::test]
async fn an_engine_runs_as_many_as_it_has_slots() {
    let backends = engine(2, 1_000, 0).await;
    let address = backends.listed()[0].address;
    let begun = Instant::now();
    let answers = join_all((0..6).map(|_| async {
        let answer = chat(address, 200).send().await.unwrap();
        answer.text().await.unwrap()
    }));
    for answer in answers.await {
        assert_eq!(answer.matches("content").count(), 200);
        assert!(answer.contains(r#""completion_tokens":200"#));
        assert!(answer.ends_with("data: [DONE]\n\n"));
    }
    assert!(begun.elapsed() >= Duration::from_millis(3 * 190), "three rounds of two");
    let server = &backends.servers()[0];
    assert_eq!((server.running_max, server.waiting_max), (2, 4));
    assert_eq!((server.running, server.waiting), (0, 0));
    assert!(backends.runs().iter().all(|it| it.finished));
}

#[tokio::test]
async fn load_reports_lag() {
    let backends = engine(2, 100, 300).await;
    let address = backends.listed()[0].address;
    let stream = chat(address, 10_000).send().await.unwrap();
    assert_eq!(backends.servers()[0].running, 1);
    let begun = Instant::now();
    until("the report shows the request", async || {
        let url = format!("http://{address}/load");
        let load: Load = http().get(url).send().await.unwrap().json().await.unwrap();
        load.running == 1
    })
    .await;
    assert!(begun.elapsed() >= Duration::from_millis(250));
    drop(stream);
    until("the slot is free", async || backends.servers()[0].running == 0).await;
}

#[tokio::test]
async fn a_marked_request_crashes_its_server_alone() {
    let kind = Kind::Plain { service_ms: 10_000 };
    let specs = vec![spec("one", 4, kind), spec("two", 4, kind)];
    let backends = Backends::start(specs, 1).await.unwrap();
    let listed = backends.listed();
    let url = |at: usize| format!("http://{}/bookings", listed[at].address);
    let neighbour = tokio::spawn(http().post(url(0)).body("{}").send());
    let elsewhere = tokio::spawn(http().post(url(1)).body("{}").send());
    until("both run", async || backends.runs().len() == 2).await;
    let crash = http().post(url(0)).body(format!("a {CRASH_MARK} b"));
    assert!(crash.send().await.is_err());
    assert!(neighbour.await.unwrap().is_err(), "it dies with its neighbour");
    let refused = http().post(url(0)).body("{}").send().await;
    assert!(refused.unwrap_err().is_connect());
    until("it takes connections again", async || {
        let again = http().get(url(0)).header("X-Service-Millis", "0");
        again.send().await.is_ok()
    })
    .await;
    assert!(!elsewhere.is_finished());
    let crashes: Vec<u32> = backends.servers().iter().map(|it| it.crashes).collect();
    assert_eq!(crashes, [1, 0]);
}

#[tokio::test]
async fn runs_and_faults_over_admin_calls() {
    let specs = vec![spec("one", 4, Kind::Plain { service_ms: 0 })];
    let backends = Backends::start(specs, 1).await.unwrap();
    let admin = format!("http://{}/admin", backends.admin());
    let booking = || {
        http()
            .post(format!("http://{}/bookings", backends.listed()[0].address))
            .header("Idempotency-Key", "k")
            .header("X-Request-Tag", "t")
            .header("X-Sesamelock-Attempt", "41")
            .body("{}")
    };
    let answer = booking().send().await.unwrap();
    assert_eq!(answer.headers()["x-sesamelock-attempt"], "41");
    let runs = http().get(format!("{admin}/runs")).send().await.unwrap();
    let runs: Vec<Run> = runs.json().await.unwrap();
    assert_eq!(runs, backends.runs());
    assert_eq!(runs[0].key.as_deref(), Some("k"));
    assert_eq!(runs[0].tag.as_deref(), Some("t"));
    assert!(runs[0].finished);
    let fault = Fault { cross: Chance::next(1), ..Fault::default() };
    let set = http().post(format!("{admin}/fault/one")).json(&fault);
    assert!(set.send().await.unwrap().status().is_success());
    let crossed = booking().send().await.unwrap();
    assert_eq!(crossed.headers()["x-sesamelock-attempt"], "42");
    let unknown = http().post(format!("{admin}/fault")).body(r#"{"unheard":1}"#);
    assert_eq!(unknown.send().await.unwrap().status(), 422);
    let servers = http().get(format!("{admin}/servers")).send().await.unwrap();
    let servers: Vec<Server> = servers.json().await.unwrap();
    assert_eq!(servers[0].running_max, 1);
    // Admin paths are nothing special on the port that takes requests.
    let data = format!("http://{}/admin/runs", backends.listed()[0].address);
    assert!(http().delete(data).send().await.unwrap().status().is_success());
    assert_eq!(backends.runs().len(), 3);
}
