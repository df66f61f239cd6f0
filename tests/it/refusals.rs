//! Requests that are refused, each with the code that says why.

use rstest::rstest;
use stand_ins::{Call, document};

use crate::bed::{call, fleet};

#[rstest]
#[case::unknown_route(call("GET", "/nowhere/", "a"), 404, "1002")]
#[case::no_key(Call { api_key: None, ..call("GET", "/status/7", "a") }, 401, "1001")]
#[case::wrong_key(Call { api_key: Some("x".into()), ..call("GET", "/status/7", "a") }, 401, "1001")]
#[case::other_host(Call { host: "else.example".into(), ..call("GET", "/status/7", "a") }, 404, "1002")]
#[case::large(
    Call { headers: vec![("Content-Length", "104857600".into())], ..call("GET", "/status/7", "a") },
    413,
    "1004"
)]
#[case::large_head(
    Call { headers: vec![("X-Long", "x".repeat(40_000))], ..call("GET", "/status/7", "a") },
    431,
    "1005"
)]
#[case::two_lengths(
    Call {
        headers: vec![("Content-Length", "4".into()), ("Transfer-Encoding", "chunked".into())],
        ..call("GET", "/status/7", "a")
    },
    400,
    "1021"
)]
#[case::two_lengths_turned(
    Call {
        headers: vec![("Transfer-Encoding", "chunked".into()), ("Content-Length", "4".into())],
        ..call("GET", "/status/7", "a")
    },
    400,
    "1021"
)]
#[case::malformed_deadline(
    Call { headers: vec![("X-Deadline-Ms", "soon".into())], ..call("GET", "/status/7", "a") },
    400,
    "1023"
)]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_why(#[case] call: Call, #[case] status: u16, #[case] code: &str) {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let answer = caller.call(&call).await.unwrap();
    assert_eq!(answer.status(), status, "{}", answer.text());
    assert_eq!(answer.header("x-sesamelock-code"), Some(code));
    assert_eq!(answer.header("x-sesamelock-outcome"), Some("not-run"));
    assert!(!answer.is_sealed());
    assert_eq!(fleet.runs_of("a"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_smuggled_request_is_never_run() {
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
    assert_eq!(fleet.runs_of("inner") + fleet.runs_of("outer"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_does_not_come_is_not_waited_for() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(b"GET /status/7 HTTP/1.1\r\nHost: ").await.unwrap();
    let answer = caller.read_response("GET").await.unwrap();
    assert_eq!((answer.status(), answer.header("x-sesamelock-code")), (408, Some("1022")));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_overload_is_refused_at_once_with_when_to_come_back() {
    let fleet = fleet(1).await;
    // Reading this takes an engine two minutes, and the objective is a second.
    let prompt = Some((6_000_000, 60, "a1:3000000,b2:3000000".to_owned()));
    let large = Call { prompt, ..call("POST", "/chat/7", "large") };
    let mut caller = fleet.caller(0).await.unwrap();
    let answer = caller.call(&large).await.unwrap();
    assert_eq!((answer.status(), answer.header("x-sesamelock-code")), (503, Some("1020")));
    assert!(answer.time_to_first_byte.as_millis() < 500, "{:?}", answer.time_to_first_byte);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..=4.0).contains(&after), "{after}");
    assert_eq!(fleet.runs_of("large"), 0);
}
