//! Requests that resume a stream while an instance stops.

use super::*;
use crate::testbed::{cut_streams, fleet_of_two_versions, resuming};

fn make_sound(fleet: &Fleet) {
    fleet.engines().for_each(|it| it.set_fault(Fault::None));
}

/// Makes the engines respond 2 s late.
fn make_engines_slow(fleet: &Fleet) {
    fleet.engines().for_each(|it| it.set_fault(Fault::StallsBeforeResponse));
}

/// Resumes `began` on a new connection every [`CONNECT_INTERVAL`], between two times after SIGTERM.
async fn resume_between(
    fleet: &Fleet,
    began: &(String, Response),
    stopped_at: Instant,
    times_ms: std::ops::Range<u64>,
) -> Vec<Sent> {
    let mut sending = Vec::new();
    for (number, ms) in times_ms.step_by(CONNECT_INTERVAL.as_millis() as usize).enumerate() {
        until(stopped_at, Duration::from_millis(ms)).await;
        let Ok(caller) = fleet.caller(0).await else { break };
        let call = resuming(&began.0, &format!("again-{number}"), &began.1);
        sending.push(tokio::spawn(send(caller, call, stopped_at)));
    }
    all(sending).await
}

// Guards against a resumed stream that is accepted and has not begun when the process exits.
#[rstest]
#[case::at_sound_engines(make_sound)]
#[case::at_slow_engines(make_engines_slow)]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams_are_answered_or_not_run(#[case] fault: fn(&Fleet)) {
    let fleet = fleet_stopping_within(STOP_WITHIN).await;
    fleet.engines().for_each(|it| it.set_fault(Fault::TruncatesResponse));
    let cut = cut_streams(&fleet, 0).await;
    fleet.engines().for_each(|it| it.set_fault(Fault::Hangs));
    let mut endless = fleet.caller(0).await.unwrap();
    endless.send(&model_call("/chat/7", "endless").to_bytes()).await.unwrap();
    eventually("the stream is executed", async || fleet.execution_count("endless") > 0).await;
    fault(&fleet);
    let sent = resume_between(&fleet, &cut[0], stop(&fleet), 2_200..4_100).await;
    assert!(sent.len() > 15, "{}", sent.len());
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}

/// Time that a call to the store takes.
const STORE_DELAY: Duration = Duration::from_millis(600);

// Guards against an exit while a request that was accepted waits for the store, which may know
// where its stream began: it was neither in flight nor being received.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams_of_unknown_origin_are_answered_or_not_run() {
    let fleet = fleet_of_two_versions(1).await;
    let (_, response) = cut_streams(&fleet, 0).await.swap_remove(0);
    make_sound(&fleet);
    fleet.store.set_delay(STORE_DELAY);
    let began = ("begun-elsewhere".to_owned(), response);
    // There are no other requests, so the process may exit when these are answered.
    let sent = resume_between(&fleet, &began, stop(&fleet), 2_200..2_580).await;
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}
