//! Responses reach the caller complete and unchanged, or not at all.

use rstest::rstest;
use stand_ins::{
    Call, document,
    script::{Script, ScriptEnd},
    server::Fault,
};

use crate::testbed::{call, fleet, model_call};

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_all_kinds_are_served_on_one_connection() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let status = caller.call(&call("GET", "/status/7?deep=1", "a-1")).await.unwrap();
    assert_eq!((status.status(), status.is_complete, status.is_sealed()), (200, true, true));
    assert!(status.text().starts_with("GET /status/7?deep=1 by app-"), "{}", status.text());
    let book_call = Call { body: "two crates".into(), ..call("POST", "/book/7", "a-2") };
    let book_response = caller.call(&book_call).await.unwrap();
    assert_eq!((book_response.status(), book_response.header("x-attempt-id")), (200, Some("a-2")));
    for (target, attempt_id) in [("/chat/7", "a-3"), ("/sheet/7", "a-4")] {
        let response = caller.call(&model_call(target, attempt_id)).await.unwrap();
        assert_eq!(
            (response.status(), response.is_complete, response.is_sealed()),
            (200, true, true)
        );
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>());
    }
    assert!(caller.is_idle());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_receives_the_request_unchanged_without_reserved_headers_of_the_caller() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let reserved_headers = [
        ("X-Tenant", "drivers"),
        ("X-Pin-Ms", "4000"),
        ("X-Cache-Retention", "mine"),
        ("X-Kv-Backup", "127.0.0.1:1"),
        ("Kv-From", "127.0.0.1:1/x"),
    ];
    let headers = reserved_headers.map(|(name, value)| (name, value.to_owned())).to_vec();
    let body = "_method=DELETE&crates=2".into();
    let book_call = Call { body, headers, ..call("POST", "/book/8?x=%2F", "b-1") };
    assert_eq!(caller.call(&book_call).await.unwrap().status(), 200);
    let executed: Vec<_> = fleet.apps().flat_map(|it| it.executed_requests()).collect();
    assert_eq!(executed.len(), 1);
    let executed_request = &executed[0];
    assert_eq!(
        (executed_request.method.as_str(), executed_request.target.as_str()),
        ("POST", "/book/8?x=%2F")
    );
    assert_eq!(executed_request.body, "_method=DELETE&crates=2");
    assert_eq!(
        (executed_request.team.as_deref(), executed_request.attempt_id.as_str()),
        (Some("brewers"), "b-1")
    );
    assert_eq!(executed_request.reserved_headers, Vec::<String>::new());
    assert!((1..=1_000).contains(&executed_request.timeout_ms.unwrap()), "{executed_request:?}");
}

#[rstest]
#[case::dropped(Fault::DropsResponse)]
#[case::truncated(Fault::TruncatesResponse)]
#[case::wrong_attempt_id(Fault::WrongAttemptId)]
#[case::unsealed(Fault::Unsealed)]
#[case::server_error(Fault::ServerError)]
#[case::full(Fault::Full)]
#[case::hangs(Fault::Hangs)]
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_on_the_other_server(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    fleet.apps().next().unwrap().set_fault(fault);
    let mut caller = fleet.caller(0).await.unwrap();
    for i in 0..8 {
        let response = caller.call(&call("GET", "/status/7", &format!("c-{i}"))).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
        assert_eq!(response.header("x-attempt-id"), Some(format!("c-{i}").as_str()));
        assert!(response.text().ends_with("by app-1"), "{}", response.text());
    }
}

#[rstest]
#[case::dropped(Fault::DropsResponse, 502)]
#[case::truncated(Fault::TruncatesResponse, 502)]
// A response to another request is skipped, because the expected response may follow it.
#[case::wrong_attempt_id(Fault::WrongAttemptId, 504)]
#[case::unsealed(Fault::Unsealed, 502)]
#[case::server_error(Fault::ServerError, 500)]
#[case::hangs(Fault::Hangs, 504)]
#[case::full(Fault::Full, 503)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_never_reported_as_not_run(
    #[case] fault: Fault,
    #[case] status: u16,
) {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(fault);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let book_call = Call { body: "one crate".into(), ..call("POST", "/book/9", "d-1") };
    let response = caller.call(&book_call).await.unwrap();
    assert_eq!(response.status(), status, "{}", response.text());
    let expected_executions = if fault == Fault::Full { 0 } else { 1 };
    assert_eq!(fleet.execution_count("d-1"), expected_executions);
    assert_eq!(response.header("retry-after").is_some(), status == 503);
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_after_a_response_are_not_delivered_to_any_caller() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::DuplicatesResponse);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    for i in 0..6 {
        let response = caller.call(&call("GET", &format!("/status/{i}"), "e-1")).await.unwrap();
        assert!(response.text().starts_with(&format!("GET /status/{i} ")), "{}", response.text());
        assert!(caller.is_idle());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_with_its_connection_is_complete() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::Unframed);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("GET", "/status/7", "f-1")).await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true));
}

#[tokio::test(flavor = "multi_thread")]
async fn no_headers_are_added_to_the_response_of_a_server() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("GET", "/status/7", "g-1")).await.unwrap();
    let names = response.head.headers.iter().map(|it| it.name.to_ascii_lowercase());
    let names: Vec<String> = names.map(|it| String::from_utf8(it).unwrap()).collect();
    assert_eq!(names, ["x-attempt-id", "x-server-seal", "content-length"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_host_is_matched_regardless_of_case_and_port() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let host = format!("{}:8080", document::HOST.to_uppercase());
    let named = Call { host, ..call("GET", "/status/7", "h-1") };
    assert_eq!(caller.call(&named).await.unwrap().status(), 200);
}

/// Guards against bytes after the head of a response to HEAD, which are read as the beginning of
/// the next response: a length, or a last chunk, promises a body that HEAD never gets.
#[rstest]
#[case::plain("/status/7", Fault::None, 200)]
#[case::stream("/chat/7", Fault::None, 200)]
#[case::resumable_stream("/sheet/7", Fault::None, 200)]
#[case::refused("/status/7", Fault::Full, 503)]
#[case::failed("/status/7", Fault::DropsResponse, 502)]
#[case::error("/status/7", Fault::ServerError, 500)]
#[case::unknown_route("/none/7", Fault::None, 404)]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_head_is_nothing_but_a_head(
    #[case] target: &str,
    #[case] fault: Fault,
    #[case] status: u16,
) {
    let fleet = fleet(1).await;
    for server in &fleet.servers {
        server.set_fault(answering_head(fault));
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("HEAD", target, "head")).await.unwrap();
    assert_eq!(response.status(), status);
    // Bytes after the head would be here by then.
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let excess = caller.received().await.unwrap();
    assert_eq!(String::from_utf8_lossy(&excess), "");
}

/// The fault; without one, a sound response to HEAD, which has a length and no body.
fn answering_head(fault: Fault) -> Fault {
    if fault != Fault::None {
        return fault;
    }
    let bytes = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
        Content-Type: text/event-stream\r\nContent-Length: 900\r\n\r\n";
    let script = Script { bytes, end: ScriptEnd::KeepOpen };
    Fault::Scripted { first: script, resumed: script }
}
