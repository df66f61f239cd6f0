//! A stream holds events of servers of one software version only, in one response and over the
//! tries of its caller.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::server::{FIRST_VERSION, Fault};
use tokio::time::Instant;

use crate::testbed::{
    cut_streams, fleet, fleet_of_two_versions, metrics, model_call, resuming, settle, settle_at,
};

// Guards against a stream that goes on within one response at a server of another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_go_on_at_another_version_within_its_response() {
    let fleet = fleet_of_two_versions(1).await;
    for (id, response) in cut_streams(&fleet, 0).await {
        assert_eq!(response.versions(), [json!(FIRST_VERSION).to_string()], "{id}");
    }
}

// Guards against a stream that its caller resumes at a server of another version, at the instance
// that began it, at another one, and at one that has just started.
#[rstest]
#[case::same_instance(0, false)]
#[case::other_instance(1, false)]
#[case::started_anew(1, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_its_own_version_when_it_is_resumed(
    #[case] resumed_at: usize,
    #[case] starts_anew: bool,
) {
    let mut fleet = fleet_of_two_versions(3).await;
    let cut = cut_streams(&fleet, 0).await;
    fleet.engines().next().unwrap().set_fault(Fault::None);
    if starts_anew {
        fleet.instances[resumed_at].kill();
        fleet.instances[resumed_at].start().unwrap();
        fleet.wait_until_ready().await;
    }
    for (id, response) in cut {
        let call = resuming(&id, &format!("again-{id}"), &response);
        let mut caller = fleet.caller(resumed_at).await.unwrap();
        let rest = caller.call(&call).await.unwrap();
        assert_eq!((rest.status(), rest.is_complete), (200, true), "{id}: {}", rest.text());
        assert_eq!(rest.versions(), response.versions(), "{id}");
        assert_eq!(rest.event_ids().last(), Some(&10));
    }
}

// Guards against a resumed stream at another version once none of its own is left, and
// against a caller that has to wait for that answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_refused_at_once_when_no_server_of_its_version_is_left() {
    let fleet = fleet_of_two_versions(2).await;
    let cut = cut_streams(&fleet, 0).await;
    let first = fleet.engines().next().unwrap();
    fleet.store.remove(&first.key());
    settle(&fleet).await;
    for (id, response) in cut {
        let call = resuming(&id, &format!("again-{id}"), &response);
        let mut caller = fleet.caller(1).await.unwrap();
        let refused = caller.call(&call).await.unwrap();
        assert_eq!(refused.status(), 503, "{id}: {}", refused.text());
        assert_eq!(refused.header("x-sesamelock-code"), Some("1025"));
        assert_eq!(refused.header("x-sesamelock-outcome"), Some("not-run"));
        assert_eq!(fleet.execution_count(&format!("again-{id}")), 0);
    }
}

// Guards against guessing: a caller that does not name the attempt, or names one that nobody knows.
#[rstest]
#[case::not_named(None)]
#[case::never_seen(Some("never-seen"))]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_which_nobody_knows_where_it_began_is_refused(#[case] resumes: Option<&str>) {
    let fleet = fleet_of_two_versions(2).await;
    let mut call = model_call("/sheet/7", "unknown");
    call.headers.push(("Last-Event-Id", "5".to_owned()));
    call.headers.extend(resumes.map(|it| ("Resumes", it.to_owned())));
    let refused = fleet.caller(0).await.unwrap().call(&call).await.unwrap();
    assert_eq!(refused.status(), 503, "{}", refused.text());
    assert_eq!(refused.header("x-sesamelock-code"), Some("1026"));
    assert_eq!(fleet.execution_count("unknown"), 0);
    let metrics = metrics(&fleet).await;
    assert!(metrics.contains(r#"streams_resumed_total{name="unknown"} 1"#), "{metrics}");
}

// Guards against a server that comes back under its id, and at its address, with another version:
// streams of the former version do not go on there.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_comes_back_with_another_version_does_not_go_on_with_its_streams() {
    let fleet = fleet_of_two_versions(2).await;
    let cut = cut_streams(&fleet, 0).await;
    let first = fleet.engines().next().unwrap();
    first.set_version(json!("v3"));
    first.set_fault(Fault::None);
    first.register(&fleet.store, "ready");
    settle(&fleet).await;
    for (id, response) in cut {
        let call = resuming(&id, &format!("again-{id}"), &response);
        let refused = fleet.caller(1).await.unwrap().call(&call).await.unwrap();
        assert_eq!(refused.header("x-sesamelock-code"), Some("1025"), "{id}: {}", refused.text());
    }
}

// Guards against taking two servers that name no version, or a malformed one, for servers of the
// same version, and against refusing all requests to them.
#[rstest]
#[case::missing(Value::Null)]
#[case::of_another_type(json!(2))]
#[case::empty(json!(""))]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_without_a_version_serves_new_streams_and_resumes_none(#[case] version: Value) {
    let fleet = fleet(2).await;
    let first = fleet.engines().next().unwrap();
    first.set_version(version);
    first.register(&fleet.store, "ready");
    settle(&fleet).await;
    let second = fleet.engines().nth(1).unwrap();
    second.set_fault(Fault::TruncatesResponse);
    for (id, response) in cut_streams(&fleet, 0).await {
        assert_eq!(response.versions(), [json!(FIRST_VERSION).to_string()], "{id}");
    }
    assert!(!first.executed_requests().is_empty(), "the server got no new streams");
}

/// How long an instance stands still: its peers take it for gone, and messages to it are lost.
const STANDSTILL: Duration = Duration::from_secs(6);

/// How long after the requests have come the instance goes on.
const REQUESTS_FIRST: Duration = Duration::from_millis(300);

// Guards against a stream that began at a server of a new version and goes on at one of the former version, at
// an instance that stood still when the new one joined: it knew of one version only and asked nobody. If
// nobody responds either, the stream is refused, unless a note that waited says where it began.
#[rstest]
#[case::peers_respond(false)]
#[case::nobody_responds(true)]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_stood_still_does_not_join_streams_of_two_versions(
    #[case] is_cut_off: bool,
) {
    let fleet = fleet(3).await;
    let (old, new) = (fleet.engines().next().unwrap(), fleet.engines().nth(1).unwrap());
    let (behind, others) = (&fleet.instances[2], &fleet.instances[..2]);
    behind.signal(Signal::SIGSTOP);
    let stopped_at = Instant::now();
    new.set_version(json!("v2"));
    new.register(&fleet.store, "ready");
    old.register(&fleet.store, "draining");
    settle_at(&fleet, others).await;
    new.set_fault(Fault::TruncatesResponse);
    let cut = cut_streams(&fleet, 0).await;
    new.set_fault(Fault::None);
    old.register(&fleet.store, "ready");
    tokio::time::sleep_until(stopped_at + STANDSTILL).await;
    if is_cut_off {
        others.iter().for_each(|it| it.signal(Signal::SIGSTOP));
        fleet.store_relays[2].blackhole();
    }
    let resumed = cut.iter().map(async |(id, began)| {
        let call = resuming(id, &format!("again-{id}"), began);
        fleet.caller(2).await.unwrap().call(&call).await.unwrap()
    });
    let go_on = async {
        tokio::time::sleep(REQUESTS_FIRST).await;
        behind.signal(Signal::SIGCONT);
    };
    let (answers, ()) = tokio::join!(join_all(resumed), go_on);
    for ((id, began), answer) in cut.iter().zip(answers) {
        let goes_on = answer.status() == 200 && answer.versions() == began.versions();
        let is_refused = is_cut_off && answer.status() == 503;
        assert!(goes_on || is_refused, "{id}: {} {}", answer.status(), answer.text());
    }
}
