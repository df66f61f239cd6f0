//! Answers reach the caller whole and unchanged, or not at all.

use rstest::rstest;
use stand_ins::{Call, document, server::Fault};

use crate::bed::{call, fleet, generate};

#[tokio::test(flavor = "multi_thread")]
async fn each_kind_is_served_on_one_connection() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let status = caller.call(&call("GET", "/status/7?deep=1", "a-1")).await.unwrap();
    assert_eq!((status.status(), status.is_complete, status.is_sealed()), (200, true, true));
    assert!(status.text().starts_with("GET /status/7?deep=1 by app-"), "{}", status.text());
    let booking = Call { body: "two crates".into(), ..call("POST", "/book/7", "a-2") };
    let booked = caller.call(&booking).await.unwrap();
    assert_eq!((booked.status(), booked.header("x-attempt-id")), (200, Some("a-2")));
    for (target, attempt) in [("/chat/7", "a-3"), ("/sheet/7", "a-4")] {
        let answer = caller.call(&generate(target, attempt)).await.unwrap();
        assert_eq!((answer.status(), answer.is_complete, answer.is_sealed()), (200, true, true));
        assert_eq!(answer.event_ids(), (1..=10).collect::<Vec<u64>>());
    }
    assert!(caller.is_idle());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_the_request_as_it_was_and_headers_of_ours_only() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let forged = [
        ("X-Tenant", "drivers"),
        ("X-Pin-Ms", "4000"),
        ("X-Cache-Retention", "mine"),
        ("X-Kv-Backup", "127.0.0.1:1"),
        ("Kv-From", "127.0.0.1:1/x"),
    ];
    let headers = forged.map(|(name, value)| (name, value.to_owned())).to_vec();
    let body = "_method=DELETE&crates=2".into();
    let booking = Call { body, headers, ..call("POST", "/book/8?x=%2F", "b-1") };
    assert_eq!(caller.call(&booking).await.unwrap().status(), 200);
    let runs: Vec<_> = fleet.apps().flat_map(|it| it.executed_requests()).collect();
    assert_eq!(runs.len(), 1);
    let run = &runs[0];
    assert_eq!((run.method.as_str(), run.target.as_str()), ("POST", "/book/8?x=%2F"));
    assert_eq!(run.body, "_method=DELETE&crates=2");
    assert_eq!((run.team.as_deref(), run.attempt_id.as_str()), (Some("brewers"), "b-1"));
    assert_eq!(run.reserved_headers, Vec::<String>::new());
    assert!((1..=1_000).contains(&run.timeout_ms.unwrap()), "{run:?}");
}

#[rstest]
#[case::lost(Fault::DropsResponse)]
#[case::broken_off(Fault::TruncatesResponse)]
#[case::crossed(Fault::WrongAttemptId)]
#[case::unsealed(Fault::Unsealed)]
#[case::failed(Fault::ServerError)]
#[case::full(Fault::Full)]
#[case::hung(Fault::Hangs)]
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_answered_by_the_other_server(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    fleet.apps().next().unwrap().set_fault(fault);
    let mut caller = fleet.caller(0).await.unwrap();
    for at in 0..8 {
        let answer = caller.call(&call("GET", "/status/7", &format!("c-{at}"))).await.unwrap();
        assert_eq!((answer.status(), answer.is_complete), (200, true), "{}", answer.text());
        assert_eq!(answer.header("x-attempt-id"), Some(format!("c-{at}").as_str()));
        assert!(answer.text().ends_with("by app-1"), "{}", answer.text());
    }
}

#[rstest]
#[case::lost(Fault::DropsResponse, 502)]
#[case::broken_off(Fault::TruncatesResponse, 502)]
// An answer to another request is read over: the one that is due may follow.
#[case::crossed(Fault::WrongAttemptId, 504)]
#[case::unsealed(Fault::Unsealed, 502)]
#[case::failed(Fault::ServerError, 500)]
#[case::hung(Fault::Hangs, 504)]
#[case::full(Fault::Full, 503)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_never_said_not_to_have(
    #[case] fault: Fault,
    #[case] status: u16,
) {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(fault);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let booking = Call { body: "one crate".into(), ..call("POST", "/book/9", "d-1") };
    let answer = caller.call(&booking).await.unwrap();
    assert_eq!(answer.status(), status, "{}", answer.text());
    let ran = if fault == Fault::Full { 0 } else { 1 };
    assert_eq!(fleet.runs_of("d-1"), ran);
    assert_eq!(answer.header("retry-after").is_some(), status == 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_an_answer_reach_nobody() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::DuplicatesResponse);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    for at in 0..6 {
        let answer = caller.call(&call("GET", &format!("/status/{at}"), "e-1")).await.unwrap();
        assert!(answer.text().starts_with(&format!("GET /status/{at} ")), "{}", answer.text());
        assert!(caller.is_idle());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_whole() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::Unframed);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let answer = caller.call(&call("GET", "/status/7", "f-1")).await.unwrap();
    assert_eq!((answer.status(), answer.is_complete), (200, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_added_to_what_the_server_sent() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let answer = caller.call(&call("GET", "/status/7", "g-1")).await.unwrap();
    let names = answer.head.headers.iter().map(|it| it.name.to_ascii_lowercase());
    let names: Vec<String> = names.map(|it| String::from_utf8(it).unwrap()).collect();
    assert_eq!(names, ["x-attempt-id", "x-server-seal", "content-length"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_is_found_whatever_its_case_and_port() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let host = format!("{}:8080", document::HOST.to_uppercase());
    let named = Call { host, ..call("GET", "/status/7", "h-1") };
    assert_eq!(caller.call(&named).await.unwrap().status(), 200);
}
