//! Refused requests, each with the result code of its reason.

use rstest::rstest;
use stand_ins::{Call, document};

use crate::testbed::{call, fleet};

#[rstest]
#[case::unknown_route(call("GET", "/nowhere/", "a"), 404, "1002")]
#[case::no_key(Call { api_key: None, ..call("GET", "/status/7", "a") }, 401, "1001")]
#[case::wrong_key(Call { api_key: Some("x".into()), ..call("GET", "/status/7", "a") }, 401, "1001")]
#[case::unknown_host(Call { host: "else.example".into(), ..call("GET", "/status/7", "a") }, 404, "1002")]
#[case::large_body(
    Call { headers: vec![("Content-Length", "104857600".into())], ..call("GET", "/status/7", "a") },
    413,
    "1004"
)]
#[case::large_head(
    Call { headers: vec![("X-Long", "x".repeat(40_000))], ..call("GET", "/status/7", "a") },
    431,
    "1005"
)]
#[case::length_and_chunked(
    Call {
        headers: vec![("Content-Length", "4".into()), ("Transfer-Encoding", "chunked".into())],
        ..call("GET", "/status/7", "a")
    },
    400,
    "1021"
)]
#[case::chunked_and_length(
    Call {
        headers: vec![("Transfer-Encoding", "chunked".into()), ("Content-Length", "4".into())],
        ..call("GET", "/status/7", "a")
    },
    400,
    "1021"
)]
#[case::dot_segment(call("GET", "/status/../book/1", "a"), 400, "1021")]
#[case::encoded_dot_segment(call("GET", "/status/%2e%2e%2fbook/1", "a"), 400, "1021")]
#[case::malformed_deadline(
    Call { headers: vec![("X-Deadline-Ms", "soon".into())], ..call("GET", "/status/7", "a") },
    400,
    "1023"
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_carries_the_code_of_its_reason(
    #[case] call: Call,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call).await.unwrap();
    assert_eq!(response.status(), status, "{}", response.text());
    assert_eq!(response.header("x-sesamelock-code"), Some(code));
    assert_eq!(response.header("x-sesamelock-outcome"), Some("not-run"));
    assert!(!response.is_sealed());
    assert_eq!(fleet.execution_count("a"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_smuggled_request_is_never_executed() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let inner = String::from_utf8(call("GET", "/status/smuggled", "inner").to_bytes()).unwrap();
    let outer = format!(
        "POST /status/7 HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: outer\r\nX-Api-Key: {}\r\n\
         Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{inner}",
        document::HOST,
        document::BREWERS_KEY,
        inner.len() + 5
    );
    caller.send(outer.as_bytes()).await.unwrap();
    assert_eq!(caller.read_response("POST").await.unwrap().status(), 400);
    caller.closed().await;
    assert_eq!(fleet.execution_count("inner") + fleet.execution_count("outer"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_request_head_is_refused_after_a_timeout() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(b"GET /status/7 HTTP/1.1\r\nHost: ").await.unwrap();
    let response = caller.read_response("GET").await.unwrap();
    assert_eq!((response.status(), response.header("x-sesamelock-code")), (408, Some("1022")));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_overload_is_refused_at_once_with_a_retry_after_header() {
    let fleet = fleet(1).await;
    // An engine takes two minutes to process this prompt, and the target latency is 1 s.
    let prompt = Some((6_000_000, 60, "a1:3000000,b2:3000000".to_owned()));
    let large_prompt_call = Call { prompt, ..call("POST", "/chat/7", "large") };
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&large_prompt_call).await.unwrap();
    assert_eq!((response.status(), response.header("x-sesamelock-code")), (503, Some("1020")));
    assert!(response.time_to_first_byte.as_millis() < 500, "{:?}", response.time_to_first_byte);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=4.0).contains(&retry_after), "{retry_after}");
    assert_eq!(fleet.execution_count("large"), 0);
}
