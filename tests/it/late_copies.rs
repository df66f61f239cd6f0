//! A second copy of a response, which a server sends late on a connection that is in use again,
//! reaches no caller.

use bench::Fleet;
use rstest::rstest;
use stand_ins::{
    Call, document,
    late_copy::{DELAY, LateCopy},
    server::Fault,
};

use crate::testbed::{call, fleet};

/// Requests in a row, so that both servers reuse connections.
const REQUESTS: usize = 8;

/// Sends requests for different paths one after the other, each on a connection of its own, and
/// returns the status and the text of each response.
async fn call_in_turn(fleet: &Fleet, method: &'static str, route: &str) -> Vec<(u16, String)> {
    let mut responses = Vec::new();
    for i in 0..REQUESTS {
        let sent = call(method, &format!("/{route}/{i}"), &format!("{route}-{i}"));
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&sent).await.unwrap();
        responses.push((response.status(), response.text().to_owned()));
        // A copy that does not wait for the next request arrives in this time.
        tokio::time::sleep(DELAY * 2).await;
    }
    responses
}

// The bytes of a copy that is taken for the response to the next request reach another caller.
#[rstest]
#[case::before_the_next_request(LateCopy::BeforeNext)]
#[case::after_the_next_request(LateCopy::AfterNext)]
#[case::in_two_writes(LateCopy::InTwoWrites)]
#[case::around_the_next_request(LateCopy::AroundNext)]
#[case::longer(LateCopy::Longer)]
#[case::chunked(LateCopy::Chunked)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_gets_its_own_response_despite_a_late_copy_of_an_earlier_one(
    #[case] copy: LateCopy,
    #[values(("GET", "status"), ("POST", "book"))] (method, route): (&'static str, &str),
) {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::SendsLateCopy(copy));
    }
    let responses = call_in_turn(&fleet, method, route).await;
    for (i, (status, text)) in responses.iter().enumerate() {
        assert_eq!(*status, 200, "{responses:?}");
        assert!(text.starts_with(&format!("{method} /{route}/{i} by ")), "{responses:?}");
        assert_eq!(text.matches(" by ").count(), 1, "{responses:?}");
        assert_eq!(fleet.execution_count(&format!("{route}-{i}")), 1);
    }
}

// Without an attempt id a copy cannot be told from the response, so the attempt fails.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_without_an_attempt_id_reaches_no_caller(
    #[values(("GET", "status"), ("POST", "book"))] (method, route): (&'static str, &str),
) {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::SendsLateCopy(LateCopy::WithoutAttemptId));
    }
    let responses = call_in_turn(&fleet, method, route).await;
    for (i, (status, text)) in responses.iter().enumerate() {
        let is_own = text.starts_with(&format!("{method} /{route}/{i} by "));
        assert!(if *status == 200 { is_own } else { *status == 502 }, "{responses:?}");
    }
}

// Callers choose attempt ids, so the requests of two callers may have the same one, and a copy
// for the one then looks like the response to the other.
#[rstest]
#[case::before_the_next_request(LateCopy::BeforeNext)]
#[case::after_the_next_request(LateCopy::AfterNext)]
#[case::in_two_writes(LateCopy::InTwoWrites)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_reaches_no_later_request_with_the_same_attempt_id(#[case] copy: LateCopy) {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::SendsLateCopy(copy));
    }
    for i in 0..REQUESTS {
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&call("GET", &format!("/status/{i}"), "same")).await.unwrap();
        assert_eq!(response.status(), 200);
        assert!(response.text().starts_with(&format!("GET /status/{i} ")), "{}", response.text());
        tokio::time::sleep(DELAY * 2).await;
    }
}

// The response to a HEAD request has no body, whatever length it states. A copy of the response
// to a GET request has one, which was read as the next response.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_copy_is_read_by_the_method_of_its_own_request() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::SendsLateCopy(LateCopy::AfterNext));
    }
    call_in_turn(&fleet, "GET", "status").await;
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("HEAD", "/status/7", "head")).await.unwrap();
    assert_eq!((response.status(), response.text()), (200, ""));
}

// Bytes that arrive while a long body is being sent may be the response, so the sending stops. If
// they are not, the server waits for the rest of the body.
#[rstest]
#[case::late_copy(Fault::SendsLateCopy(LateCopy::AfterNext))]
#[case::interim_response(Fault::SendsInterim)]
#[tokio::test(flavor = "multi_thread")]
async fn a_long_body_is_sent_to_its_end_unless_its_response_arrives(#[case] fault: Fault) {
    const BODY_BYTES: usize = 12 << 20;
    let fleet = fleet(1).await;
    let mut config = document::standard(2);
    config["limits"]["max_body_bytes"] = (BODY_BYTES * 2).into();
    config["routes"][1]["timeout_ms"] = 8_000.into();
    fleet.store.put(document::CONFIG_KEY, &config);
    for app in fleet.apps() {
        app.set_fault(fault);
    }
    let long_call = |id: &str| {
        let body = vec![b'x'; BODY_BYTES].into();
        Call { body, ..call("POST", "/book/7", id) }
    };
    bench::eventually("long bodies are accepted", async || {
        let mut caller = fleet.caller(0).await.unwrap();
        caller.call(&long_call("first")).await.is_ok_and(|it| it.status() == 200)
    })
    .await;
    for i in 0..REQUESTS {
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&long_call(&format!("long-{i}"))).await.unwrap();
        assert_eq!(response.status(), 200, "{i}: {}", response.text());
        assert_eq!(fleet.execution_count(&format!("long-{i}")), 1);
    }
}
