//! Event streams are complete and in order, from one execution or resumed after the last event.

use rstest::rstest;
use stand_ins::server::Fault;

use crate::testbed::{fleet, model_call};

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_continues_on_another_server() {
    let fleet = fleet(1).await;
    let truncating = fleet.engines().next().unwrap();
    truncating.set_fault(Fault::TruncatesResponse);
    let mut caller = fleet.caller(0).await.unwrap();
    let mut resumed = 0;
    for i in 0..6 {
        let response = caller.call(&model_call("/sheet/7", &format!("r-{i}"))).await.unwrap();
        assert!(response.is_complete);
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>(), "{}", response.text());
        resumed += usize::from(fleet.execution_count(&format!("r-{i}")) == 2);
    }
    assert!(resumed > 0, "no stream was sent to the server that truncates responses");
    let executed = fleet.engines().nth(1).unwrap().executed_requests();
    assert!(executed.iter().any(|it| it.last_event_id == Some(5)), "{executed:?}");
}

#[rstest]
#[case::truncated(Fault::TruncatesResponse)]
#[case::dropped(Fault::DropsResponse)]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_stream_that_may_run_once_is_not_retried_and_not_complete(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(fault);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&model_call("/chat/7", "once")).await.unwrap();
    match fault {
        Fault::TruncatesResponse => {
            assert_eq!((response.status(), response.is_complete), (200, false));
            assert!(!response.text().contains("id: 99"), "an incomplete event was forwarded");
        }
        _ => assert_eq!(response.status(), 502),
    }
    assert_eq!(fleet.execution_count("once"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_after_its_last_event() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let mut call = model_call("/sheet/7", "again");
    call.headers.push(("Last-Event-Id", "7".to_owned()));
    let response = caller.call(&call).await.unwrap();
    assert_eq!(response.event_ids(), [8, 9, 10]);
}

// Guards against a head without any event, after which a failure can only be reported by a reset.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_fails_before_its_first_event_is_answered_with_a_failure() {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(Fault::ResetsBeforeEvents);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    for target in ["/chat/7", "/sheet/7"] {
        let response = caller.call(&model_call(target, "early")).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (502, true), "{target}");
        assert!(!response.is_sealed());
        assert_eq!(response.header("x-sesamelock-outcome"), Some("unknown"));
    }
}

// Guards against a stream that looks complete, since the server that was to continue it closed the
// connection, which ends a response without a length, before its first event.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_without_events_that_ends_with_its_connection_is_not_complete() {
    let fleet = fleet(1).await;
    let faults = [Fault::TruncatesResponse, Fault::UnframedNoEvent];
    for (engine, fault) in fleet.engines().zip(faults) {
        engine.set_fault(fault);
    }
    let mut resumed = 0;
    for index in 0..6 {
        let id = format!("resumed-{index}");
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&model_call("/sheet/7", &id)).await.unwrap();
        let is_whole = response.event_ids() == (1..=10).collect::<Vec<u64>>();
        assert!(
            !response.is_complete || response.status() != 200 || is_whole,
            "{}",
            response.text()
        );
        let executed = fleet.engines().nth(1).unwrap().executed_requests();
        let continued = executed.iter().find(|it| it.attempt_id == id);
        resumed += usize::from(continued.is_some_and(|it| it.last_event_id.is_some()));
    }
    assert!(resumed > 0, "no stream was continued");
}
