//! A refusal of an earlier request, which a faulty server writes once more on a connection that is
//! in use again, says nothing of the request that is sent there now.

use bench::Fleet;
use rstest::rstest;
use stand_ins::{
    Call, Response, document,
    late_copy::DELAY,
    late_refusal::{LateRefusal, Moment, RefusalId, RefusalKind},
    server::Fault,
};

use crate::testbed::{call, fleet, metrics, model_call, settle};

/// Requests in a row, so that all servers reuse connections.
const REQUESTS: usize = 8;

/// A fleet in which a refused request of any kind may be sent to a second server.
async fn fleet_with_retries() -> Fleet {
    let fleet = fleet(1).await;
    let mut config = document::standard(2);
    for route in config["routes"].as_array_mut().unwrap() {
        route["max_attempts"] = 2.into();
    }
    fleet.store.put(document::CONFIG_KEY, &config);
    settle(&fleet).await;
    fleet
}

fn set_faults(fleet: &Fleet, fault: Fault) {
    fleet.apps().chain(fleet.engines()).for_each(|it| it.set_fault(fault));
}

/// A request for `route` with the method `method` and its own id.
fn numbered(method: &'static str, route: &str, number: usize) -> Call {
    let (target, id) = (format!("/{route}/{number}"), format!("{route}-{number}"));
    match route {
        "chat" | "sheet" => model_call(&target, &id),
        _ => call(method, &target, &id),
    }
}

/// Sends `calls` one after the other, each on a connection of its own.
async fn call_in_turn(fleet: &Fleet, calls: impl Iterator<Item = Call>) -> Vec<Response> {
    let mut responses = Vec::new();
    for call in calls {
        let mut caller = fleet.caller(0).await.unwrap();
        responses.push(caller.call(&call).await.unwrap());
        // A refusal that does not wait for the next request arrives in this time.
        tokio::time::sleep(DELAY * 2).await;
    }
    responses
}

fn outcome(response: &Response) -> Option<&str> {
    response.header("x-sesamelock-outcome")
}

/// Checks each response against what the servers executed. Returns how many requests ended with
/// an unknown outcome.
fn check(fleet: &Fleet, route: &str, responses: &[Response]) -> usize {
    let is_idempotent = ["status", "sheet"].contains(&route);
    for (i, response) in responses.iter().enumerate() {
        let executions = fleet.execution_count(&format!("{route}-{i}"));
        let seen = format!("{route}-{i}: executed {executions} times, {response:?}");
        assert!(is_idempotent || executions <= 1, "a second run, {seen}");
        match response.status() {
            200 => assert!(executions > 0 && response.is_complete, "{seen}"),
            502 => assert_eq!(outcome(response), Some("unknown"), "{seen}"),
            _ => panic!("neither its response nor an unknown outcome, {seen}"),
        }
    }
    responses.iter().filter(|it| it.status() == 502).count()
}

/// Attempts of the instance that ended with a rejection that may be late.
async fn unmatched_rejections(fleet: &Fleet) -> u64 {
    let name = "sesamelock_faults_total{name=\"unmatched_rejection\"} ";
    let metrics = metrics(fleet).await;
    let value = metrics.lines().find_map(|it| it.strip_prefix(name));
    value.map_or(0, |it| it.parse().unwrap())
}

const WITHOUT_ID: LateRefusal =
    LateRefusal { moment: Moment::AfterNext, kind: RefusalKind::Full, id: RefusalId::None };

// The server runs the request while its earlier refusal is read: the caller was told that its
// request had not run, or the request ran on a second server.
#[rstest]
#[case::before_the_next_request(Moment::BeforeNext)]
#[case::after_the_next_request(Moment::AfterNext)]
#[case::in_two_writes(Moment::InTwoWrites)]
#[case::around_the_next_request(Moment::AroundNext)]
#[case::after_an_interim_response(Moment::AfterInterim)]
#[case::with_the_response(Moment::WithResponse)]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_may_be_late_is_no_proof_that_a_request_has_not_run(
    #[case] moment: Moment,
    #[values(("GET", "status"), ("POST", "book"))] (method, route): (&'static str, &str),
) {
    let fleet = fleet_with_retries().await;
    set_faults(&fleet, Fault::RepeatsRefusal(LateRefusal { moment, ..WITHOUT_ID }));
    let calls = (0..REQUESTS).map(|it| numbered(method, route, it));
    check(&fleet, route, &call_in_turn(&fleet, calls).await);
    assert!(moment.is_on_idle_connection() || unmatched_rejections(&fleet).await > 0);
}

// A request that may be repeated goes to a sound server instead.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_costs_no_idempotent_request(#[values("GET", "HEAD")] method: &'static str) {
    let fleet = fleet_with_retries().await;
    let refusal = LateRefusal { kind: RefusalKind::FullWithBody, ..WITHOUT_ID };
    fleet.apps().next().unwrap().set_fault(Fault::RepeatsRefusal(refusal));
    // The stand-in sends a body to a HEAD request too, so only the last request is one.
    let calls = (0..REQUESTS).map(|it| {
        let is_last = it == REQUESTS - 1;
        numbered(if is_last { method } else { "GET" }, "status", it)
    });
    assert_eq!(check(&fleet, "status", &call_in_turn(&fleet, calls).await), 0);
    assert!(unmatched_rejections(&fleet).await > 0);
}

#[rstest]
#[case::after_the_next_request(Moment::AfterNext)]
#[case::around_the_next_request(Moment::AroundNext)]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_may_be_late_is_no_proof_that_a_stream_has_not_begun(
    #[case] moment: Moment,
    #[values("chat", "sheet")] route: &str,
) {
    let fleet = fleet_with_retries().await;
    set_faults(&fleet, Fault::RepeatsRefusal(LateRefusal { moment, ..WITHOUT_ID }));
    let calls = (0..REQUESTS).map(|it| numbered("POST", route, it));
    check(&fleet, route, &call_in_turn(&fleet, calls).await);
    assert!(moment.is_on_idle_connection() || unmatched_rejections(&fleet).await > 0);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn no_kind_of_late_refusal_is_a_proof(
    #[values(
        RefusalKind::FullWithBody,
        RefusalKind::TooMany,
        RefusalKind::NoAttemptId,
        RefusalKind::Misdirected
    )]
    kind: RefusalKind,
) {
    let fleet = fleet_with_retries().await;
    set_faults(&fleet, Fault::RepeatsRefusal(LateRefusal { kind, ..WITHOUT_ID }));
    let calls = (0..REQUESTS).map(|it| numbered("POST", "book", it));
    assert!(check(&fleet, "book", &call_in_turn(&fleet, calls).await) > 0);
}

// A late refusal with the id of its own request is skipped, so that the response behind it is
// delivered.
#[rstest]
#[case::after_the_next_request(Moment::AfterNext)]
#[case::in_two_writes(Moment::InTwoWrites)]
#[case::around_the_next_request(Moment::AroundNext)]
#[case::after_an_interim_response(Moment::AfterInterim)]
#[case::with_the_response(Moment::WithResponse)]
#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_with_the_id_of_its_request_costs_no_response(
    #[case] moment: Moment,
    #[values(RefusalKind::Full, RefusalKind::FullWithBody, RefusalKind::Misdirected)]
    kind: RefusalKind,
) {
    let fleet = fleet_with_retries().await;
    let refusal = LateRefusal { moment, kind, id: RefusalId::Previous };
    set_faults(&fleet, Fault::RepeatsRefusal(refusal));
    let calls = (0..REQUESTS).map(|it| numbered("POST", "book", it));
    assert_eq!(check(&fleet, "book", &call_in_turn(&fleet, calls).await), 0);
}

// Callers choose attempt ids, so two requests may have the same one, with many others between them
// on the same connection. A connection that had forgotten the first id was used for the second.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_of_a_request_with_the_same_attempt_id_is_no_proof() {
    let fleet = fleet_with_retries().await;
    let same = || call("POST", "/book/7", "same");
    bench::eventually("both servers have executed the first request", async || {
        fleet.caller(0).await.unwrap().call(&same()).await.unwrap();
        fleet.apps().all(|it| !it.executed_requests().is_empty())
    })
    .await;
    set_faults(&fleet, Fault::RepeatsRefusal(LateRefusal { id: RefusalId::First, ..WITHOUT_ID }));
    let others = (0..REQUESTS * 3).map(|it| numbered("POST", "book", it));
    assert_eq!(check(&fleet, "book", &call_in_turn(&fleet, others).await), 0);
    let before = fleet.execution_count("same");
    for response in call_in_turn(&fleet, (0..4).map(|_| same())).await {
        assert_eq!(response.status(), 200, "{response:?}");
    }
    assert_eq!(fleet.execution_count("same"), before + 4);
}

// The sending of a long body stops at bytes that arrive meanwhile, so the server has read a part
// of the request when the refusal is judged.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_during_a_long_body_is_no_proof_if_it_may_be_late() {
    const BODY_BYTES: usize = 900 << 10;
    let fleet = fleet_with_retries().await;
    set_faults(&fleet, Fault::RepeatsRefusal(WITHOUT_ID));
    let calls = (0..REQUESTS).map(|it| {
        let body = vec![b'x'; BODY_BYTES].into();
        Call { body, ..numbered("POST", "book", it) }
    });
    assert!(check(&fleet, "book", &call_in_turn(&fleet, calls).await) > 0);
}

// Callers that are refused may come again at once, which an unknown outcome would take from them.
#[rstest]
#[case::with_its_id_on_a_reused_connection(Fault::Full, true, 503, "not-run")]
#[case::with_its_id_on_a_new_connection(Fault::Full, false, 503, "not-run")]
#[case::without_id_on_a_new_connection(Fault::FullWithoutId, false, 503, "not-run")]
#[case::without_id_on_a_reused_connection(Fault::FullWithoutId, true, 502, "unknown")]
#[case::without_id_behind_a_stray_response(Fault::FullAfterStray, false, 502, "unknown")]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_passed_on_as_not_run_where_it_is_certain(
    #[case] fault: Fault,
    #[case] has_connections: bool,
    #[case] status: u16,
    #[case] expected_outcome: &str,
) {
    let fleet = fleet(1).await;
    if has_connections {
        let calls = (0..REQUESTS).map(|it| numbered("POST", "book", it));
        let responses = call_in_turn(&fleet, calls).await;
        assert!(responses.iter().all(|it| it.status() == 200), "{responses:?}");
    }
    set_faults(&fleet, fault);
    let response = fleet.caller(0).await.unwrap().call(&numbered("POST", "book", 99)).await;
    let response = response.unwrap();
    assert_eq!((response.status(), outcome(&response)), (status, Some(expected_outcome)));
    assert_eq!(fleet.execution_count("book-99"), 0);
}
