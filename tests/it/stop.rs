use std::time::Duration;

use nix::sys::signal::Signal;
use reqwest::Method;

use crate::bed::{booking, chat, eventually, fleet, header, runs_of};

/// Long enough for any request of these tests.
const ENDED_WITHIN: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_under_load_cuts_no_request() {
    let mut fleet = fleet(1).await;
    let mut calls = Vec::new();
    for n in 0..40 {
        let call =
            if n % 2 == 0 { chat(&fleet, 0, 60) } else { booking(&fleet, 0, &format!("load-{n}")) };
        calls.push(tokio::spawn(async move {
            let answer = call.send().await?;
            let code = header(&answer, "x-sesamelock-code").to_owned();
            Ok::<_, reqwest::Error>((answer.status(), code, answer.text().await?))
        }));
    }
    eventually("runs under way", async || !fleet.backends.runs().is_empty()).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    for call in calls {
        let (status, code, text) = call.await.unwrap().expect("no request is cut");
        assert!(status == 200 || code == "1014", "{status} {code} {text}");
        assert!(!text.contains("event: error"), "{text}");
    }
    let status = fleet.instances[0].ended(ENDED_WITHIN).await.unwrap();
    assert!(status.success(), "{}", fleet.instances[0].log());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_cuts_at_once_and_says_so() {
    let mut fleet = fleet(1).await;
    let mut answer = chat(&fleet, 0, 100_000).send().await.unwrap();
    assert!(answer.chunk().await.unwrap().is_some());
    fleet.instances[0].signal(Signal::SIGTERM);
    eventually("unreadiness", async || !fleet.is_ready(&fleet.instances[0]).await).await;
    fleet.instances[0].signal(Signal::SIGTERM);
    let text = answer.text().await.unwrap();
    assert!(text.contains("event: error"), "{text}");
    assert!(text.contains("\"code\":3008"), "{text}");
    let status = fleet.instances[0].ended(Duration::from_secs(10)).await;
    assert!(status.unwrap().success());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_drain_ends_the_process_when_all_is_seen_through() {
    let mut fleet = fleet(2).await;
    let slow = booking(&fleet, 0, "slow").header("X-Service-Millis", "1500");
    let slow = tokio::spawn(slow.send());
    eventually("the run", async || runs_of(&fleet, "slow") == 1).await;
    let drain = fleet.operate(0, Method::POST, "/drain");
    assert_eq!(drain.send().await.unwrap().status(), 202);
    assert_eq!(slow.await.unwrap().unwrap().status(), 200);
    let status = fleet.instances[0].ended(ENDED_WITHIN).await.unwrap();
    assert!(status.success());
    let other = booking(&fleet, 1, "after").send().await.unwrap();
    assert_eq!(other.status(), 200);
}
