//! Answers that come late or crossed.

use std::time::Duration;

use reqwest::Method;
use sl_base::Code;
use stand_ins::{Chance, backends};

use crate::bed::{TEAM, eventually, fleet, header};

/// Every stand-in's answer names the path that it answers.
#[tokio::test(flavor = "multi_thread")]
async fn late_and_crossed_answers_reach_nobody_else() {
    let mut fleet = fleet(2).await;
    let text = fleet.site.text();
    let text =
        text.replace("path = /bookings/*\n", "path = /bookings/*\nfirst-byte-within-ms = 200\n");
    let revision = fleet.accept(&text).await.unwrap();
    let wanted = format!("sesamelock_config_revision {revision}\n");
    for at in 0..2 {
        eventually("the revision", async || fleet.metrics(at).await.unwrap().contains(&wanted))
            .await;
    }
    let fault = backends::Fault {
        cross: Chance::probability(0.3),
        late: Chance::probability(0.3),
        late_ms: 600,
        ..Default::default()
    };
    fleet.backends.fault(fault).await;
    let mut calls = Vec::new();
    for n in 0..120_usize {
        let path = format!("/bookings/status-{n}-end");
        let call = fleet.call(n % 2, TEAM, Method::GET, &path);
        calls.push((path, tokio::spawn(call.send())));
        if n % 20 == 19 {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }
    let (mut whole, mut refused) = (0, 0);
    for (path, call) in calls {
        let answer = call.await.unwrap().unwrap();
        if answer.status() == 200 {
            whole += 1;
            let text = answer.text().await.unwrap();
            assert!(text.contains(&format!("\"path\":\"{path}\"")), "{text}");
        } else {
            refused += 1;
            assert_eq!(header(&answer, "x-sesamelock-outcome"), "unknown");
        }
    }
    let runs = fleet.backends.runs().len();
    assert!(runs > 120, "the faults struck: {runs} runs");
    assert!(whole > 60, "{whole} whole, {refused} refused");
}

/// An answer that carries another attempt's id may be anybody's.
#[tokio::test(flavor = "multi_thread")]
async fn a_crossed_answer_reaches_nobody() {
    let fleet = fleet(1).await;
    let fault = backends::Fault { cross: Chance::ALWAYS, ..Default::default() };
    fleet.backends.fault(fault).await;
    let code = Code::CrossedAnswer.number().to_string();
    for n in 0..10 {
        let path = format!("/bookings/crossed-{n}");
        let call = fleet.call(0, TEAM, Method::GET, &path);
        let answer = call.send().await.unwrap();
        assert_eq!(header(&answer, "x-sesamelock-code"), code);
        assert_eq!(header(&answer, "x-sesamelock-outcome"), "unknown");
        assert!(!answer.text().await.unwrap().contains(&path));
    }
}
