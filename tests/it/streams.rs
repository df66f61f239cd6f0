//! Streams of events: whole, in order, from one run or resumed behind the last event.

use rstest::rstest;
use stand_ins::server::Fault;

use crate::bed::{fleet, generate};

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_goes_on_at_another_server() {
    let fleet = fleet(1).await;
    let broken = fleet.engines().next().unwrap();
    broken.set_fault(Fault::TruncatesResponse);
    let mut caller = fleet.caller(0).await.unwrap();
    let mut resumed = 0;
    for at in 0..6 {
        let answer = caller.call(&generate("/sheet/7", &format!("r-{at}"))).await.unwrap();
        assert!(answer.is_complete);
        assert_eq!(answer.event_ids(), (1..=10).collect::<Vec<u64>>(), "{}", answer.text());
        resumed += usize::from(fleet.runs_of(&format!("r-{at}")) == 2);
    }
    assert!(resumed > 0, "no stream met the broken server");
    let last = fleet.engines().nth(1).unwrap().executed_requests();
    assert!(last.iter().any(|it| it.last_event_id == Some(5)), "{last:?}");
}

#[rstest]
#[case::broken_off(Fault::TruncatesResponse)]
#[case::lost(Fault::DropsResponse)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_run_once_is_cut_visibly(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    for engine in fleet.engines() {
        engine.set_fault(fault);
    }
    let mut caller = fleet.caller(0).await.unwrap();
    let answer = caller.call(&generate("/chat/7", "once")).await.unwrap();
    match fault {
        Fault::TruncatesResponse => {
            assert_eq!((answer.status(), answer.is_complete), (200, false));
            assert!(!answer.text().contains("id: 99"), "half an event was passed on");
        }
        _ => assert_eq!(answer.status(), 502),
    }
    assert_eq!(fleet.runs_of("once"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_behind_its_last_event() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let mut call = generate("/sheet/7", "again");
    call.headers.push(("Last-Event-Id", "7".to_owned()));
    let answer = caller.call(&call).await.unwrap();
    assert_eq!(answer.event_ids(), [8, 9, 10]);
}
