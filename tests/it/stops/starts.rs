//! Processes that get SIGTERM while they start.

use std::os::unix::process::ExitStatusExt;

use super::*;
use crate::testbed::fleet;

/// Times from the start to SIGTERM, in milliseconds, one for each instance.
const STOPS_AFTER_MS: [u64; 7] = [0, 10, 30, 60, 100, 200, 300];

// Guards against a process that hangs or fails because it gets SIGTERM while it starts. Until it
// has a handler, SIGTERM just ends it.
#[tokio::test(flavor = "multi_thread")]
async fn processes_that_start_exit_in_order() {
    let mut fleet = fleet(STOPS_AFTER_MS.len()).await;
    for instance in &mut fleet.instances {
        instance.kill();
        instance.set_stop_within(STOP_WITHIN).unwrap();
    }
    let exits = fleet.instances.iter_mut().zip(STOPS_AFTER_MS).map(async |(instance, after_ms)| {
        let log_before = instance.log().len();
        instance.start().unwrap();
        sleep(Duration::from_millis(after_ms)).await;
        let has_started = instance.log()[log_before..].contains("\"started\"");
        instance.signal(Signal::SIGTERM);
        let exit_status = instance.wait_for_exit(STOP_WITHIN + EXIT_DELAY_MAX).await.unwrap();
        let has_no_handler = !has_started && exit_status.signal() == Some(Signal::SIGTERM as i32);
        assert!(exit_status.success() || has_no_handler, "{after_ms}: {exit_status:?}");
    });
    futures::future::join_all(exits).await;
}

/// Time that a call to the store takes.
const STORE_DELAY: Duration = Duration::from_millis(200);

// Guards against an instance that registers after it has ended its registration, so that its peers
// count it as a member until the lease expires.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_stops_while_it_registers_leaves_no_entry() {
    let mut fleet = fleet(1).await;
    let instance = &mut fleet.instances[0];
    let entry = format!("sesamelock/instances/{}", instance.name);
    instance.kill();
    fleet.store.remove(&entry);
    fleet.store.set_delay(STORE_DELAY);
    let lease_calls = fleet.store.lease_call_count();
    fleet.instances[0].start().unwrap();
    eventually("a lease is granted", async || fleet.store.lease_call_count() > lease_calls).await;
    stop(&fleet);
    fleet.instances[0].wait_for_exit(Duration::from_secs(10)).await.unwrap();
    let log = fleet.instances[0].log();
    assert_eq!(fleet.store.keys(&entry), Vec::<String>::new(), "{log}");
}
