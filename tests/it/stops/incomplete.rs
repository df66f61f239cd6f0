//! Requests of which the last byte comes around the end of a shutdown.

use super::*;

/// Time between the two parts of a request; shorter than the limit for a request head.
const PART_DELAY: Duration = Duration::from_millis(300);

/// The last bytes of the requests come from this time after SIGTERM on...
const FROM: Duration = Duration::from_millis(2_800);

/// ...until this one, which is after the exit.
const TO: Duration = Duration::from_millis(4_200);

/// Bytes that are sent last: of a head its last line, of a body the second half, and of a body in
/// chunks the end.
const LAST_PART_BYTES: usize = 5;

fn head_only(attempt_id: &str) -> Call {
    late_call("GET", "/status/7", attempt_id)
}

fn with_body(attempt_id: &str) -> Call {
    Call { body: "0123456789".into(), ..late_call("POST", "/book/7", attempt_id) }
}

fn in_chunks(attempt_id: &str) -> Call {
    let headers = vec![("Transfer-Encoding", "chunked".to_owned())];
    let body = "a\r\n0123456789\r\n0\r\n\r\n".into();
    Call { headers, body, ..late_call("POST", "/book/7", attempt_id) }
}

/// Sends a request in two parts, the second one `after` SIGTERM.
async fn send_in_parts(
    address: SocketAddr,
    call: Call,
    stopped_at: Instant,
    after: Duration,
) -> Option<Sent> {
    until(stopped_at, after - PART_DELAY).await;
    let mut caller = Caller::connect(address).await.ok()?;
    let bytes = call.to_bytes();
    let (first, last) = bytes.split_at(bytes.len() - LAST_PART_BYTES);
    caller.send(first).await.ok()?;
    until(stopped_at, after).await;
    let after = stopped_at.elapsed();
    let response = match caller.send(last).await {
        Ok(()) => caller.read_response(call.method).await,
        Err(e) => Err(e),
    };
    let took = stopped_at.elapsed() - after;
    Some(Sent { attempt_id: call.attempt_id, after, took, response })
}

// Guards against requests that are executed, or read and not answered, because their last byte
// comes shortly before the exit.
#[rstest]
#[case::head(head_only, 40, |_: &Fleet| ())]
#[case::head_and_slow_servers(head_only, 120, make_slow)]
#[case::body(with_body, 40, |_: &Fleet| ())]
#[case::body_and_slow_servers(with_body, 120, make_slow)]
#[case::chunked_body(in_chunks, 40, |_: &Fleet| ())]
#[case::chunked_body_and_slow_servers(in_chunks, 120, make_slow)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_become_complete_late_are_answered_or_not_run(
    #[case] call: fn(&str) -> Call,
    #[case] interval_ms: u64,
    #[case] fault: fn(&Fleet),
) {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    fault(&fleet);
    let stopped_at = stop(&fleet);
    let address = fleet.instances[0].caller;
    let times = (FROM.as_millis() as u64..TO.as_millis() as u64).step_by(interval_ms as usize);
    let sending = times.map(|ms| {
        let call = call(&format!("parts-{ms}"));
        send_in_parts(address, call, stopped_at, Duration::from_millis(ms))
    });
    let sent: Vec<Sent> = futures::future::join_all(sending).await.into_iter().flatten().collect();
    assert!(sent.len() >= 9, "{}", sent.len());
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}
