use std::{collections::BTreeMap, time::Duration};

use bench::Fleet;
use nix::sys::signal::Signal;
use reqwest::Method;
use rstest::rstest;
use stand_ins::{Chance, backends, platform};

use crate::bed::{TEAM, booking, chat, eventually, fleet, header};

/// What a caller was told of one try of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    key: String,
    outcome: String,
    code: String,
}

/// Sends a booking; a caller whose connection breaks is told nothing.
async fn book(call: reqwest::RequestBuilder, key: String) -> Told {
    let mut told = Told { key, outcome: String::new(), code: String::new() };
    if let Ok(answer) = call.timeout(Duration::from_secs(20)).send().await {
        told.outcome = header(&answer, "x-sesamelock-outcome").to_owned();
        told.code = header(&answer, "x-sesamelock-code").to_owned();
    }
    told
}

/// Sends bookings with the keys `keys` through the instance `at`, all at once.
fn book_all(
    fleet: &Fleet,
    at: usize,
    keys: &[String],
    service_ms: u64,
) -> Vec<tokio::task::JoinHandle<Told>> {
    let calls = keys.iter().map(|key| {
        let call = booking(fleet, at, key).header("X-Service-Millis", service_ms);
        tokio::spawn(book(call, key.clone()))
    });
    calls.collect()
}

async fn all(calls: Vec<tokio::task::JoinHandle<Told>>) -> Vec<Told> {
    let mut told = Vec::new();
    for call in calls {
        told.push(call.await.unwrap());
    }
    told
}

fn keys(name: &str, count: usize) -> Vec<String> {
    (0..count).map(|n| format!("{name}-{n}")).collect()
}

/// No key ran twice, and none of which every try was told `not-run` ran at all.
fn judge(fleet: &Fleet, told: &[Told]) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for run in fleet.backends.runs() {
        *runs.entry(run.key.unwrap_or_default()).or_default() += 1;
    }
    for it in told {
        let count = runs.get(&it.key).copied().unwrap_or(0);
        assert!(count <= 1, "{} ran {count} times: {told:?}", it.key);
        let tries = told.iter().filter(|other| other.key == it.key);
        if tries.clone().all(|it| it.outcome == "not-run") {
            assert_eq!(count, 0, "{} was told not-run: {told:?}", it.key);
        }
        if tries.clone().any(|it| it.outcome == "ran") {
            assert_eq!(count, 1, "{} was told ran: {told:?}", it.key);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_killed_instance_run_at_most_once() {
    let mut fleet = fleet(3).await;
    let keys = keys("killed", 24);
    let first = book_all(&fleet, 0, &keys, 400);
    eventually("some runs", async || fleet.backends.runs().len() > 3).await;
    fleet.instances[0].kill();
    let mut told = all(first).await;
    assert!(told.iter().any(|it| it.outcome.is_empty()), "{told:?}");
    for at in [1, 2] {
        told.extend(all(book_all(&fleet, at, &keys, 1)).await);
    }
    judge(&fleet, &told);
    fleet.instances[0].start().unwrap();
    fleet.ready(Duration::from_secs(10)).await.unwrap();
    told.extend(all(book_all(&fleet, 0, &keys, 1)).await);
    judge(&fleet, &told);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_an_instance_paused_past_its_leases_run_at_most_once() {
    let fleet = fleet(3).await;
    let keys = keys("paused", 24);
    let first = book_all(&fleet, 0, &keys, 100);
    eventually("some runs", async || !fleet.backends.runs().is_empty()).await;
    fleet.instances[0].signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut told = all(book_all(&fleet, 1, &keys, 1)).await;
    fleet.instances[0].signal(Signal::SIGCONT);
    told.extend(all(book_all(&fleet, 2, &keys, 1)).await);
    told.extend(all(first).await);
    judge(&fleet, &told);
    eventually("the paused instance's return", async || fleet.is_ready(&fleet.instances[0]).await)
        .await;
}

#[rstest]
#[case::down(platform::Fault { down: true, ..Default::default() })]
#[case::silent(platform::Fault { silent: true, ..Default::default() })]
#[case::unavailable(platform::Fault { unavailable: true, ..Default::default() })]
#[case::slow(platform::Fault { slow_ms: 5_000, ..Default::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_only_keyed_work_is_refused(#[case] fault: platform::Fault) {
    let fleet = fleet(3).await;
    fleet.platform.fault(fault).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let status = fleet.call(1, TEAM, Method::GET, "/bookings/7").send().await;
    assert_eq!(status.unwrap().status(), 200);
    let keys = keys("refused", 4);
    let mut told = all(book_all(&fleet, 0, &keys, 1)).await;
    assert!(told.iter().all(|it| it.outcome != "ran"), "{told:?}");
    judge(&fleet, &told);
    fleet.platform.fault(platform::Fault::default()).await;
    eventually("bookings again", async || {
        let told = book(booking(&fleet, 2, "healed"), "healed".to_owned()).await;
        told.outcome == "ran"
    })
    .await;
    told.extend(all(book_all(&fleet, 1, &keys, 1)).await);
    judge(&fleet, &told);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_platform_make_no_key_run_twice() {
    let fleet = fleet(3).await;
    let fault = platform::Fault {
        lose_answer: Chance::probability(0.4),
        lose_call: Chance::probability(0.1),
        ..Default::default()
    };
    fleet.platform.fault(fault).await;
    let keys = keys("lost", 30);
    let mut tries = Vec::new();
    for at in 0..3 {
        tries.extend(book_all(&fleet, at, &keys, 5));
    }
    let told = all(tries).await;
    fleet.platform.fault(platform::Fault::default()).await;
    judge(&fleet, &told);
    assert!(told.iter().any(|it| it.outcome == "ran"), "{told:?}");
}

#[rstest]
#[case::cross(backends::Fault { cross: Chance::probability(0.5), ..Default::default() })]
#[case::lose(backends::Fault { lose_answer: Chance::probability(0.5), ..Default::default() })]
#[case::cut(backends::Fault { cut: Chance::probability(0.5), ..Default::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn faulty_backend_servers_make_no_key_run_twice(#[case] fault: backends::Fault) {
    let fleet = fleet(2).await;
    fleet.backends.fault(fault).await;
    let keys = keys("faulty", 20);
    let mut told = all(book_all(&fleet, 0, &keys, 5)).await;
    told.extend(all(book_all(&fleet, 1, &keys, 5)).await);
    judge(&fleet, &told);
    let unknown = told.iter().filter(|it| it.outcome == "unknown").count();
    assert!(unknown > 0, "the fault struck: {told:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_cut_midway_does_not_look_whole() {
    let fleet = fleet(1).await;
    let fault = backends::Fault { cut: Chance::ALWAYS, ..Default::default() };
    fleet.backends.fault(fault).await;
    let text = chat(&fleet, 0, 40).send().await.unwrap().text().await;
    let text = text.unwrap();
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("\"outcome\":\"unknown\""), "{text}");
    assert!(!text.contains("[DONE]"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_is_stopped_on_every_instance() {
    let fleet = fleet(3).await;
    let body = format!("{{\"prompt\":\"{}\"}}", backends::CRASH_MARK);
    let crash = |at: usize| {
        let call = fleet.call(at, TEAM, Method::POST, "/v1/chat/completions");
        call.body(body.clone()).send()
    };
    for at in 0..3 {
        let answer = crash(at).await.unwrap();
        assert_ne!(answer.status(), 200);
    }
    eventually("the final answer on every instance", async || {
        let mut codes = Vec::new();
        for at in 0..3 {
            let answer = crash(at).await.unwrap();
            codes.push(header(&answer, "x-sesamelock-code").to_owned());
        }
        codes.iter().all(|it| it == "1018")
    })
    .await;
    let crashes = |fleet: &Fleet| -> u32 {
        let servers = fleet.backends.servers();
        servers.iter().map(|it| it.crashes).sum()
    };
    let before = crashes(&fleet);
    for at in 0..3 {
        crash(at).await.unwrap();
    }
    assert_eq!(crashes(&fleet), before);
    eventually("the team's other requests", async || {
        chat(&fleet, 1, 4).send().await.unwrap().status() == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_work_after_a_few_seconds() {
    let fleet = fleet(3).await;
    for server in ["booking-1", "booking-2", "booking-3"] {
        fleet.platform.set_leaving(server, true);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let keys = keys("leaving", 30);
    for at in 0..3 {
        all(book_all(&fleet, at, &keys[at * 10..at * 10 + 10], 5)).await;
    }
    let runs = fleet.backends.runs();
    let servers: Vec<&str> = runs.iter().map(|it| it.server.as_str()).collect();
    assert_eq!(runs.len(), 30);
    assert!(servers.iter().all(|&it| it == "booking-4"), "{servers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_newborn_instance_learns_from_its_peers_while_old_platform_links_are_silent() {
    let mut fleet = fleet(3).await;
    let fault = platform::Fault { silent_old: true, ..Default::default() };
    fleet.platform.fault(fault).await;
    fleet.instances[2].kill();
    fleet.instances[2].start().unwrap();
    fleet.ready(Duration::from_secs(10)).await.unwrap();
    let text = fleet.site.text().replace("/v1/route-sheets", "/v2/sheets");
    let revision = fleet.accept(&text).await.unwrap();
    let wanted = format!("sesamelock_config_revision {revision}\n");
    let start = std::time::Instant::now();
    for at in 0..3 {
        eventually("the revision", async || fleet.metrics(at).await.unwrap().contains(&wanted))
            .await;
    }
    assert!(start.elapsed().as_secs() < 4, "{:?}", start.elapsed());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_cut_off_from_everything_turns_unready_and_comes_back() {
    let mut fleet = fleet(3).await;
    fleet.instances[1].kill();
    fleet.instances[2].kill();
    let fault = platform::Fault { silent: true, ..Default::default() };
    fleet.platform.fault(fault).await;
    eventually("unreadiness", async || !fleet.is_ready(&fleet.instances[0]).await).await;
    let before = fleet.backends.runs().len();
    let refused = chat(&fleet, 0, 4).send().await.unwrap();
    assert_eq!(header(&refused, "x-sesamelock-code"), "1015");
    assert_eq!(header(&refused, "x-sesamelock-outcome"), "not-run");
    assert_eq!(fleet.backends.runs().len(), before);
    fleet.platform.fault(platform::Fault::default()).await;
    let start = std::time::Instant::now();
    fleet.ready(Duration::from_secs(10)).await.unwrap();
    assert!(start.elapsed().as_secs() < 5, "{:?}", start.elapsed());
    eventually("work again", async || chat(&fleet, 0, 4).send().await.unwrap().status() == 200)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_flood_by_one_team_is_refused_to_it_alone() {
    let fleet = fleet(1).await;
    let flood: Vec<_> = (0..900)
        .map(|_| {
            let call = chat(&fleet, 0, 200).timeout(Duration::from_secs(3));
            tokio::spawn(async move {
                let answer = call.send().await.ok()?;
                Some(header(&answer, "x-sesamelock-code").to_owned())
            })
        })
        .collect();
    eventually("a full queue", async || {
        let text = fleet.metrics(0).await.unwrap();
        text.contains("code=\"queue-full\"")
    })
    .await;
    let other = fleet.call(0, "team-09", Method::POST, "/v1/chat/completions");
    let other = other.body("{\"stream\":false,\"max_tokens\":4}").send();
    assert_eq!(other.await.unwrap().status(), 200);
    let mut full = 0;
    for call in flood {
        full += usize::from(call.await.unwrap().as_deref() == Some("1009"));
    }
    assert!(full > 0);
}
