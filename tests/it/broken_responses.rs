//! A success reaches the caller only with the server's whole head and whole body, at whatever byte
//! the server stops.

use std::time::Duration;

use bench::Fleet;
use rstest::rstest;
use stand_ins::{
    Caller, Response,
    script::{Script, ScriptEnd},
    server::Fault,
};

use crate::testbed::{call, fleet};

const LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Content-Length: 12\r\n\r\nhello, hello";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n7\r\n, hello\r\n0\r\nT: t\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Connection: close\r\n\r\nhello, hello";
const LINE_FEEDS: &str = "HTTP/1.1 200 OK\nX-Attempt-Id: {id}\nX-Server-Seal: s\n\
    Content-Length: 12\n\nhello, hello";
const BARE: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Content-Length: 12\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 None\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\r\n";
const NOT_MODIFIED: &str = "HTTP/1.1 304 Same\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Content-Length: 12\r\n\r\n";
const STREAM: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// An error that a server writes after it has stopped in a response.
const ERROR: &str = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Content-Length: 2\r\n\r\nno";

/// Shorter prefixes have no place for a seal, so that a few of them suffice.
const STEP_BEFORE_SEAL: usize = 7;

/// The lengths of prefixes after which a server stops.
fn prefix_lengths(response: &str) -> impl Iterator<Item = usize> {
    let seal = response.find("X-Server-Seal").unwrap();
    (0..seal).step_by(STEP_BEFORE_SEAL).chain(seal..response.len())
}

/// The response to a request to which servers write `bytes`, on a connection that has
/// carried a whole response before if `is_reused`.
async fn respond(
    fleet: &Fleet,
    caller: &mut Caller,
    (method, route): (&'static str, &str),
    (bytes, end): (String, ScriptEnd),
    is_reused: bool,
    id: &str,
) -> Response {
    let set_script = |bytes: &'static str, end: ScriptEnd| {
        let script = Script { bytes, end };
        for server in &fleet.servers {
            server.set_fault(Fault::Scripted { first: script, resumed: script });
        }
    };
    if is_reused {
        set_script(if method == "HEAD" { BARE } else { LENGTH }, ScriptEnd::KeepOpen);
        let before = call(method, &format!("/{route}/{id}/before"), &format!("{id}-before"));
        caller.call(&before).await.unwrap();
    }
    set_script(bytes.leak(), end);
    // A server that has failed several times gets nothing for a moment.
    for attempt in 0..40 {
        let id = format!("{id}-{attempt}");
        let sent = call(method, &format!("/{route}/{id}"), &id);
        let response = caller.call(&sent).await.unwrap();
        if fleet.execution_count(&id) > 0 {
            return response;
        }
        assert!(response.status() >= 500 && !response.is_sealed(), "{}", response.text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("no request was sent to a server; {}", fleet.instances[0].log());
}

/// Guards against a success with an empty or a short body that is framed as whole.
#[rstest]
#[case::length(LENGTH, ("POST", "book"))]
#[case::length_of_an_idempotent_request(LENGTH, ("GET", "status"))]
#[case::length_on_a_streaming_route(LENGTH, ("POST", "chat"))]
#[case::chunks(CHUNKS, ("POST", "book"))]
#[case::chunks_of_an_idempotent_request(CHUNKS, ("GET", "status"))]
#[case::line_feeds(LINE_FEEDS, ("POST", "book"))]
#[case::without_a_length(UNFRAMED, ("POST", "book"))]
#[case::head(BARE, ("HEAD", "book"))]
#[case::no_content(NO_CONTENT, ("POST", "book"))]
#[case::not_modified(NOT_MODIFIED, ("GET", "status"))]
#[case::stream(STREAM, ("POST", "chat"))]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_stops_at_any_byte_is_no_success(
    #[case] whole: &str,
    #[case] request: (&'static str, &str),
    #[values(ScriptEnd::Close, ScriptEnd::Reset)] end: ScriptEnd,
    #[values(false, true)] is_reused: bool,
) {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    for len in prefix_lengths(whole) {
        // Without a length the close in order is the end, once the head is there.
        let head_len = whole.find("\r\n\r\n").map_or(whole.len(), |it| it + 4);
        if whole == UNFRAMED && end == ScriptEnd::Close && len >= head_len {
            break;
        }
        let script = (whole[..len].to_owned(), end);
        let response =
            respond(&fleet, &mut caller, request, script, is_reused, &format!("p{len}")).await;
        let is_local = response.status() >= 500 && !response.is_sealed();
        assert!(is_local && response.is_complete, "{len}: {:?}", response.head);
    }
    let is_whole = (whole != UNFRAMED || end == ScriptEnd::Close) && whole != STREAM;
    if is_whole {
        let script = (whole.to_owned(), ScriptEnd::Close);
        let response = respond(&fleet, &mut caller, request, script, is_reused, "whole").await;
        assert!(response.is_sealed() && response.is_complete, "{:?}", response.head);
        let has_body = !whole.ends_with("\r\n\r\n") || whole == CHUNKS;
        assert_eq!(response.text(), if has_body { "hello, hello" } else { "" });
    }
}

/// Guards against a success with the fields or the body of the error that follows it.
#[rstest]
#[case::length(LENGTH)]
#[case::chunks(CHUNKS)]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_stops_before_an_error_is_no_success(#[case] whole: &str) {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let head_len = whole.find("\r\n\r\n").unwrap() + 4;
    let len = if whole == CHUNKS { whole.len() } else { head_len };
    for len in (1..head_len).step_by(STEP_BEFORE_SEAL).chain(head_len - 24..len) {
        let script = (format!("{}{ERROR}", &whole[..len]), ScriptEnd::KeepOpen);
        let response =
            respond(&fleet, &mut caller, ("POST", "book"), script, false, &format!("e{len}")).await;
        assert!(response.status() >= 500, "{len}: {:?} {}", response.head, response.text());
    }
}

/// Guards against a malformed length in the success that the caller of HEAD gets.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_length_is_no_success_for_head_either() {
    let fleet = fleet(1).await;
    let mut caller = fleet.caller(0).await.unwrap();
    let script = (BARE.replace("12", "12x"), ScriptEnd::KeepOpen);
    let response = respond(&fleet, &mut caller, ("HEAD", "book"), script, false, "malformed").await;
    assert_eq!(response.status(), 502, "{:?}", response.head);
}
