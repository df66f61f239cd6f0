//! Servers in trouble send bytes without end, until the instance closes the connection.

use bench::{Fleet, eventually, fleet::ANY_PORT};
use futures::future::join_all;
use rstest::rstest;
use sl_edge::response_memory::LARGE_RESPONSES_BYTES_MAX;
use stand_ins::{Response, Server, ServerSpec, endless::Unfinished, server::Fault};

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
    let in_trouble = fleet.apps().next().unwrap();
    in_trouble.set_fault(fault);
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
    assert!(!in_trouble.executed_requests().is_empty());
    eventually("all connections to it are closed", async || in_trouble.in_flight() == 0).await;
}

/// Guards against a stream that goes on without a new event: bytes that complete none must not
/// keep its attempt alive, and no event may be missing or come twice on the other server.
#[rstest]
#[case::head(Fault::EndlessHead)]
#[case::interim(Fault::EndlessInterim)]
#[case::event(Fault::EndlessBody)]
#[case::trailers(Fault::EndlessTrailers)]
#[case::duplicates(Fault::EndlessDuplicates)]
#[case::trickle(Fault::TricklesEvent)]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_continues_on_the_other_server(#[case] fault: Fault) {
    let fleet = fleet(1).await;
    let in_trouble = fleet.engines().next().unwrap();
    in_trouble.set_fault(fault);
    for i in 0..4 {
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&model_call("/sheet/7", &format!("b-{i}"))).await.unwrap();
        assert!(response.is_complete, "{}", response.text());
        assert_eq!(response.event_ids(), (1..=10).collect::<Vec<u64>>(), "{}", response.text());
    }
    assert!(!in_trouble.executed_requests().is_empty());
    eventually("all connections to it are closed", async || in_trouble.in_flight() == 0).await;
}

/// Requests that are sent at the same time to the server in trouble.
const CALLERS: usize = 40;

/// Memory by which the instance may grow while it serves these requests, in KiB: twice the
/// memory of large bodies, because buffers grow by doubling, and 1 MB for each caller, of which
/// buffers of bodies, events and connections use less than half.
const GROWTH_KIB_MAX: u64 = 2 * (LARGE_RESPONSES_BYTES_MAX as u64 / 1_024) + CALLERS as u64 * 1_024;

/// Guards against an instance that runs out of memory, or serves nobody else, while a server
/// sends bytes without end to many callers.
#[rstest]
#[case::body("app", "/status/7", "/chat/7")]
#[case::event("model", "/sheet/7", "/status/7")]
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_bounds_its_memory_and_serves_others(
    #[case] service: &str,
    #[case] target: &'static str,
    #[case] other_target: &'static str,
) {
    let mut fleet = fleet(1).await;
    let sound = fleet.servers.iter().find(|it| it.spec.service == service).unwrap();
    let spec = ServerSpec { id: "in-trouble".to_owned(), slots: CALLERS, ..sound.spec.clone() };
    let in_trouble = Server::start(ANY_PORT, spec).await.unwrap();
    in_trouble.set_fault(Fault::EndlessBody);
    in_trouble.register(&fleet.store, "ready");
    // All callers are to get the endless bytes, so no other server of the service is left.
    for sound in fleet.servers.iter().filter(|it| it.spec.service == service) {
        fleet.store.remove(&sound.key());
    }
    let log_has = |text: &str| fleet.instances[0].log().matches(text).count();
    eventually("the new server is known and the others are gone", async || {
        log_has("in-trouble") > 0 && log_has(r#""now":"gone""#) == 2
    })
    .await;
    let memory_before = peak_memory_kib(&fleet);
    let others = async {
        for i in 0..4 {
            let response = call_once(&fleet, other_target, format!("other-{i}")).await;
            assert_eq!((response.status(), response.is_complete), (200, true));
        }
    };
    let calls = (0..CALLERS).map(|i| call_once(&fleet, target, format!("m-{i}")));
    let (_, ()) = tokio::join!(join_all(calls), others);
    let growth = peak_memory_kib(&fleet) - memory_before;
    assert!(growth < GROWTH_KIB_MAX, "grew by {growth} KiB of {GROWTH_KIB_MAX}");
    assert_eq!(in_trouble.executed_requests().len(), CALLERS);
    assert!(fleet.instances[0].is_running());
}

/// Engines in trouble at the same time.
const ENGINES_IN_TROUBLE: usize = 4;

/// Memory of the smallest instance of a deployment, in KiB.
const SMALLEST_INSTANCE_KIB: u64 = 64 * 1_024;

/// Guards against bytes that are bounded for each response and not for all: several engines send some
/// of what they never finish, and an instance that keeps these bytes for each of hundreds of requests
/// has no memory left for the others.
#[rstest]
#[case::response_to_another_request(Unfinished::OtherBody, 990_000)]
#[case::comments(Unfinished::Comments, 990_000)]
#[case::event(Unfinished::Event, 125_000)]
#[case::head(Unfinished::Head, 32_000)]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_many_servers_leave_unfinished_fit_the_smallest_instance(
    #[case] unfinished: Unfinished,
    #[case] len: usize,
) {
    let mut fleet = fleet(1).await;
    let sound = fleet.engines().next().unwrap().spec.clone();
    let mut in_trouble = Vec::new();
    for i in 0..ENGINES_IN_TROUBLE {
        let spec = ServerSpec { id: format!("in-trouble-{i}"), ..sound.clone() };
        let server = Server::start(ANY_PORT, spec).await.unwrap();
        server.set_fault(Fault::LeavesUnfinished(unfinished, len));
        server.register(&fleet.store, "ready");
        in_trouble.push(server);
    }
    for sound in fleet.engines() {
        fleet.store.remove(&sound.key());
    }
    let log_has = |text: &str| fleet.instances[0].log().matches(text).count();
    eventually("the new engines are known and the others are gone", async || {
        log_has("in-trouble-3") > 0 && log_has(r#""now":"gone""#) == 2
    })
    .await;
    let attempts = || in_trouble.iter().map(|it| it.executed_requests().len()).sum::<usize>();
    let others = async {
        let expected = ENGINES_IN_TROUBLE * sound.slots / 2;
        eventually("half of the slots are taken", async || attempts() >= expected).await;
        for i in 0..4 {
            let response = call_once(&fleet, "/status/7", format!("other-{i}")).await;
            assert_eq!((response.status(), response.is_complete), (200, true));
        }
    };
    let targets =
        ["/chat/7", "/sheet/7"].into_iter().cycle().take(ENGINES_IN_TROUBLE * sound.slots);
    let calls = targets.enumerate().map(|(i, it)| call_once(&fleet, it, format!("u-{i}")));
    tokio::join!(join_all(calls), others);
    let peak = peak_memory_kib(&fleet);
    assert!(peak < SMALLEST_INSTANCE_KIB, "{peak} KiB after {} attempts", attempts());
    assert!(fleet.instances[0].is_running());
}

async fn call_once(fleet: &Fleet, target: &str, attempt_id: String) -> Response {
    let call = match target.starts_with("/status") {
        true => call("GET", target, &attempt_id),
        false => model_call(target, &attempt_id),
    };
    fleet.caller(0).await.unwrap().call(&call).await.unwrap()
}

/// The largest resident memory that the process of the first instance has used, in KiB.
fn peak_memory_kib(fleet: &Fleet) -> u64 {
    let process_id = fleet.instances[0].process_id().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Memory by which the instance may grow while it reads a list of cached parts, in KiB.
const LIST_GROWTH_KIB_MAX: u64 = 16 * 1_024;

/// Guards against an engine whose list of cached parts fills the memory of the instance.
#[tokio::test(flavor = "multi_thread")]
async fn a_list_of_cached_parts_without_end_is_given_up() {
    let fleet = fleet(1).await;
    let log_has = |text: &str| fleet.instances[0].log().contains(text);
    eventually("the caches of all engines are listed", async || {
        log_has(r#""parts":0,"server":"engine-0""#) && log_has(r#""parts":0,"server":"engine-1""#)
    })
    .await;
    let memory_before = peak_memory_kib(&fleet);
    let mut added = Vec::new();
    // Caches are listed one after another, so the second list shows that the first has ended.
    for (id, fault) in [("in-trouble", Fault::EndlessCacheList), ("sound", Fault::None)] {
        let spec = fleet.engines().next().unwrap().spec.clone();
        let server =
            Server::start(ANY_PORT, ServerSpec { id: id.to_owned(), ..spec }).await.unwrap();
        server.set_fault(fault);
        server.register(&fleet.store, "ready");
        added.push(server);
    }
    eventually("the cache of the sound engine is listed", async || {
        log_has(r#""parts":0,"server":"sound""#)
    })
    .await;
    let growth = peak_memory_kib(&fleet) - memory_before;
    assert!(growth < LIST_GROWTH_KIB_MAX, "grew by {growth} KiB of {LIST_GROWTH_KIB_MAX}");
}
