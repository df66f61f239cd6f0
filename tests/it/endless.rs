//! Servers in trouble send bytes without end, until the instance closes the connection.

use rstest::rstest;
use stand_ins::server::Fault;

use crate::testbed::{call, fleet, model_call};

/// Guards against a reader without a limit: the request would wait until its deadline, although
/// the other server could answer it.
#[rstest]
#[case::head(Fault::EndlessHead)]
#[case::interim(Fault::EndlessInterim)]
#[case::body(Fault::EndlessBody)]
#[case::trailers(Fault::EndlessTrailers)]
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_answered_by_the_other_server(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    fleet.apps().next().unwrap().set_fault(fault);
    for i in 0..8 {
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&call("GET", "/status/7", &format!("a-{i}"))).await.unwrap();
        assert_eq!(
            (response.status(), response.is_complete),
            (200, true),
            "{}\n{}",
            response.text(),
            fleet.instances[0].log()
        );
        assert!(response.text().ends_with("by app-1"), "{}", response.text());
    }
    assert!(!fleet.apps().next().unwrap().executed_requests().is_empty());
}

/// Guards against a stream that goes on without a new event: bytes that complete none must not
/// keep its attempt alive, and no event may be missing or come twice on the other server.
#[rstest]
#[case::head(Fault::EndlessHead)]
#[case::interim(Fault::EndlessInterim)]
#[case::event(Fault::EndlessBody)]
#[case::trailers(Fault::EndlessTrailers)]
#[case::duplicates(Fault::EndlessDuplicates)]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_continues_on_the_other_server(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    fleet.engines().next().unwrap().set_fault(fault);
    for i in 0..4 {
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&model_call("/sheet/7", &format!("b-{i}"))).await.unwrap();
        assert!(response.is_complete, "{}", response.text());
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>(), "{}", response.text());
    }
    assert!(!fleet.engines().next().unwrap().executed_requests().is_empty());
}
