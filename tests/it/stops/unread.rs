//! Callers that send more than a whole request.

use super::*;

/// Bytes of one write.
const PIECE_BYTES: usize = 16 * 1_024;

/// Time between two writes.
const PIECE_INTERVAL: Duration = Duration::from_millis(10);

/// Number of writes after the first one, so that the caller sends for longer than a closing
/// connection is read.
const PIECES: usize = 50;

/// A whole request, to be followed by bytes that are no request.
fn whole_request(attempt_id: &str) -> Vec<u8> {
    late_call("POST", "/book/7", attempt_id).to_bytes()
}

/// The head of a request with a body as large as what follows, less one byte, so that it is never
/// complete.
fn unfinished_body(attempt_id: &str) -> Vec<u8> {
    request_with_length(attempt_id, PIECES * PIECE_BYTES + 1)
}

/// The head of a request with a body that is too large.
fn large_body(attempt_id: &str) -> Vec<u8> {
    request_with_length(attempt_id, 8 << 20)
}

fn request_with_length(attempt_id: &str, length: usize) -> Vec<u8> {
    let bytes = late_call("POST", "/book/7", attempt_id).to_bytes();
    let head = String::from_utf8(bytes).unwrap();
    head.replace("Content-Length: 0", &format!("Content-Length: {length}")).into_bytes()
}

/// Sends a request and further bytes, and reads the response only after that.
async fn send_more(
    mut caller: Caller,
    attempt_id: String,
    bytes: Vec<u8>,
    stopped_at: Instant,
) -> Sent {
    let after = stopped_at.elapsed();
    let mut written = caller.send(&bytes).await;
    for _ in 0..PIECES {
        if written.is_err() {
            break;
        }
        sleep(PIECE_INTERVAL).await;
        written = caller.send(&[b'x'; PIECE_BYTES]).await;
    }
    let response = caller.read_response("POST").await;
    let took = stopped_at.elapsed() - after;
    Sent { attempt_id, after, took, response }
}

// Guards against a response that is lost because the connection is closed, or the process exits,
// with unread bytes of the caller: the system then resets the connection.
#[rstest]
#[case::a_whole_request(whole_request)]
#[case::an_unfinished_body(unfinished_body)]
#[case::a_body_that_is_too_large(large_body)]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_send_more_get_their_response(#[case] request: fn(&str) -> Vec<u8>) {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    let stopped_at = stop(&fleet);
    until(stopped_at, Duration::from_millis(2_000)).await;
    let mut sending = Vec::new();
    while let Ok(caller) = fleet.caller(0).await {
        let id = format!("more-{}", sending.len());
        let bytes = request(&id);
        sending.push(tokio::spawn(send_more(caller, id, bytes, stopped_at)));
        sleep(CONNECT_INTERVAL).await;
    }
    let sent = all(sending).await;
    assert!(sent.len() > 15, "{}", sent.len());
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}
