//! Responses with neither a length nor chunks, which end with their connection.

use rstest::rstest;
use stand_ins::server::Fault;

use crate::testbed::{call, fleet, model_call};

/// Guards against a caller that cannot tell whether its response is complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_response_is_delivered_whole_with_a_length() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::Unframed);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("GET", "/status/7", "a")).await.unwrap();
    assert_eq!((response.status(), response.is_complete), (200, true));
    assert!(response.text().starts_with("GET /status/7 by app-"), "{}", response.text());
    assert_eq!(response.header("content-length"), Some(&*response.body.len().to_string()));
}

/// Guards against a reset that is taken for the end of a response without a length.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_response_that_is_reset_is_not_complete() {
    let fleet = fleet(1).await;
    for app in fleet.apps() {
        app.set_fault(Fault::UnframedReset);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&call("POST", "/book/7", "b-0")).await.unwrap();
    assert_eq!(response.status(), 502, "{}", response.text());
    assert_eq!(fleet.execution_count("b-0"), 1);
    fleet.apps().nth(1).unwrap().set_fault(Fault::None);
    for i in 1..8 {
        let response = caller.call(&call("GET", "/status/7", &format!("b-{i}"))).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
        assert!(response.text().ends_with("by app-1"), "{}", response.text());
    }
}

/// Guards against a complete stream that is run again, or cut off, because only a chunk or a
/// length is taken for its end.
#[rstest]
#[case::may_run_once("/chat/7")]
#[case::resumable("/sheet/7")]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_between_two_events_is_complete(#[case] target: &str) {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(Fault::Unframed);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    for i in 0..3 {
        let attempt_id = format!("c-{i}");
        let response = caller.call(&model_call(target, &attempt_id)).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true));
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>());
        assert_eq!(fleet.execution_count(&attempt_id), 1);
    }
}

/// Guards against a stream without a length that is broken off and looks complete, and against
/// events that are missing or come twice after it is resumed.
#[rstest]
#[case::reset(Fault::UnframedReset)]
#[case::within_an_event(Fault::UnframedPartialEvent)]
#[case::before_any_event(Fault::UnframedNoEvent)]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_that_is_broken_off_continues_elsewhere(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    let failing = fleet.engines().next().unwrap();
    failing.set_fault(fault);
    let mut caller = fleet.caller(0).await.unwrap();
    for i in 0..4 {
        let response = caller.call(&model_call("/sheet/7", &format!("d-{i}"))).await.unwrap();
        assert!(response.is_complete, "{}", response.text());
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>(), "{}", response.text());
    }
    assert!(!failing.executed_requests().is_empty());
}

/// Guards against a broken stream that looks complete, or runs twice, where it may run once.
#[rstest]
#[case::reset(Fault::UnframedReset, 5)]
#[case::within_an_event(Fault::UnframedPartialEvent, 5)]
#[case::before_any_event(Fault::UnframedNoEvent, 0)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_run_once_and_is_broken_off_is_not_complete(
    #[case] fault: Fault,
    #[case] event_count: u64,
) {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(fault);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&model_call("/chat/7", "e")).await.unwrap();
    // Without any event, the response may also be a failure with a status.
    assert!(!response.is_complete || response.status() == 502, "{}", response.text());
    assert_eq!(response.event_ids(), (1..=event_count).collect::<Vec<u64>>());
    assert_eq!(fleet.execution_count("e"), 1);
}

/// Guards against waiting for the end of a response to another request that has none: the
/// connection is dropped, and the other server answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_to_another_request_without_a_length_drops_the_connection() {
    let fleet = fleet(1).await;
    let failing = fleet.apps().next().unwrap();
    failing.set_fault(Fault::UnframedStray);
    let mut caller = fleet.caller(0).await.unwrap();
    for i in 0..4 {
        let response = caller.call(&call("GET", "/status/7", &format!("f-{i}"))).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{}", response.text());
        assert!(response.text().ends_with("by app-1"), "{}", response.text());
    }
    assert!(!failing.executed_requests().is_empty());
    // The server handles each request until its connection is closed.
    bench::eventually("the connections are dropped", async || failing.in_flight() == 0).await;
}

/// Guards against a resumed stream that counts as complete because of the events of another
/// server, when the server that resumes it closes the connection without any.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_that_ends_before_any_further_event_is_not_complete() {
    let fleet = fleet(1).await;
    let mut engines = fleet.engines();
    engines.next().unwrap().set_fault(Fault::UnframedReset);
    engines.next().unwrap().set_fault(Fault::UnframedNoEvent);
    let mut resumed = 0;
    for i in 0..6 {
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&model_call("/sheet/7", &format!("g-{i}"))).await.unwrap();
        assert!(!response.is_complete || response.status() != 200, "{}", response.text());
        resumed += usize::from(fleet.execution_count(&format!("g-{i}")) == 2);
    }
    assert!(resumed > 0, "no stream was resumed");
}
