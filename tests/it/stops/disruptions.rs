//! What happens beside a shutdown cuts off no request in flight.

use bench::fleet::is_ready;
use stand_ins::{document, store};

use super::*;

/// Changes the settings and has them read; the time of a shutdown in progress stays.
fn reload_settings(fleet: &Fleet) {
    fleet.instances[0].set_stop_within(Duration::from_millis(500)).unwrap();
    fleet.instances[0].signal(Signal::SIGHUP);
}

fn remove_routes(fleet: &Fleet) {
    let mut config = document::standard(2);
    let routes = config["routes"].as_array_mut().unwrap();
    routes.retain(|it| it["name"] == "status");
    fleet.store.put(document::CONFIG_KEY, &config);
}

fn remove_configuration(fleet: &Fleet) {
    fleet.store.remove(document::CONFIG_KEY);
}

fn remove_servers(fleet: &Fleet) {
    fleet.servers.iter().for_each(|it| fleet.store.remove(&it.key()));
}

fn drain_servers(fleet: &Fleet) {
    fleet.servers.iter().for_each(|it| it.register(&fleet.store, "draining"));
}

fn silence_store(fleet: &Fleet) {
    fleet.store.set_fault(store::Fault::Silent);
    fleet.store_relays[0].reset();
}

fn refuse_at_store(fleet: &Fleet) {
    fleet.store.set_fault(store::Fault::Unavailable);
    fleet.store_relays[0].reset();
}

// Guards against requests that are cut off because something else happens during a shutdown.
#[rstest]
#[case::changed_settings(reload_settings, true)]
#[case::removed_routes(remove_routes, false)]
#[case::removed_configuration(remove_configuration, false)]
#[case::removed_servers(remove_servers, false)]
#[case::draining_servers(drain_servers, false)]
#[case::silent_store(silence_store, false)]
#[case::unavailable_store(refuse_at_store, false)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_flight_are_answered(
    #[case] disrupt: fn(&Fleet),
    #[case] changes_settings: bool,
) {
    let mut fleet = fleet_stopping_within(STOP_WITHIN).await;
    make_slow(&fleet);
    fleet.engines().for_each(|it| it.set_fault(Fault::StallsBetweenEvents));
    let calls = [
        late_call("POST", "/book/7", "book"),
        late_call("GET", "/status/7", "status"),
        model_call("/chat/7", "chat"),
        model_call("/sheet/7", "sheet"),
    ];
    let mut sending = Vec::new();
    for call in calls {
        let id = call.attempt_id.clone();
        sending.push(tokio::spawn(send(fleet.caller(0).await.unwrap(), call, Instant::now())));
        eventually("the request is executed", async || fleet.execution_count(&id) > 0).await;
    }
    stop(&fleet);
    eventually("the instance stops", async || !is_ready(&fleet.instances[0]).await).await;
    disrupt(&fleet);
    for sent in all(sending).await {
        assert_eq!(sent.status_and_code(), Some((200, "")), "{sent:?}");
        assert!(sent.is_answered(), "{sent:?}");
    }
    let exit_status = fleet.instances[0].wait_for_exit(STOP_WITHIN + EXIT_DELAY_MAX).await.unwrap();
    assert!(exit_status.success(), "{exit_status:?}");
    let has_changed = fleet.instances[0].log().contains("\"settings changed\"");
    assert_eq!(has_changed, changes_settings);
}

/// Number of requests of each kind that are in flight when the process is frozen.
const FROZEN: usize = 4;

/// Time from these requests to the moment at which the process is frozen; their servers respond
/// later.
const FREEZE_DELAY: Duration = Duration::from_millis(450);

/// Time limit of these requests; the latest of them are due just before the last response.
const FROZEN_TIMEOUT: Duration = Duration::from_millis(900);

// Guards against requests that are cut off because the process was frozen until the end of its
// shutdown, though their servers have responded meanwhile.
#[rstest]
#[case::before_the_end(1_000, 2_000)]
#[case::beyond_the_end(3_400, 4_600)]
#[case::from_the_start_beyond_the_end(500, 4_600)]
#[tokio::test(flavor = "multi_thread")]
async fn responses_that_came_while_the_process_was_frozen_are_delivered(
    #[case] freeze_ms: u64,
    #[case] thaw_ms: u64,
) {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    make_slow(&fleet);
    let stopped_at = stop(&fleet);
    let [freeze, thaw] = [freeze_ms, thaw_ms].map(Duration::from_millis);
    until(stopped_at, freeze - FREEZE_DELAY).await;
    let mut sending = Vec::new();
    for number in 0..2 * FROZEN {
        let (method, target) = [("POST", "/book/7"), ("GET", "/status/7")][number % 2];
        let call = call(method, target, &format!("frozen-{number}"));
        let call = Call { timeout: FROZEN_TIMEOUT, ..call };
        sending.push(tokio::spawn(send(fleet.caller(0).await.unwrap(), call, stopped_at)));
    }
    until(stopped_at, freeze).await;
    fleet.instances[0].signal(Signal::SIGSTOP);
    until(stopped_at, thaw).await;
    fleet.instances[0].signal(Signal::SIGCONT);
    for sent in all(sending).await {
        assert_eq!(sent.status_and_code(), Some((200, "")), "{sent:?}");
        assert!(sent.is_answered(), "{sent:?}");
    }
}
