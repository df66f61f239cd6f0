//! A caller gets whole events of its stream with rising ids, and then the end that the server
//! declared or a reset, whatever servers write after a stream has broken off.

use bench::Fleet;
use rstest::rstest;
use stand_ins::{
    Call, Response,
    script::{Script, ScriptEnd},
    server::Fault,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::testbed::{fleet, model_call};

/// Events of a whole stream, and those that the first server sends.
const EVENTS: u64 = 10;
const FIRST_EVENTS: u64 = 5;

/// The end of a stream's head, by how its length is given.
const CHUNKED: &str = "Transfer-Encoding: chunked";
const LONG: &str = "Content-Length: 900";
const UNFRAMED: &str = "Connection: close";

const EVENT_STREAM: &str = "text/event-stream";

/// An error with everything that a sound response has.
const ERROR: &str = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n\
    Content-Type: text/event-stream\r\nContent-Length: 18\r\n\r\ndata: it failed\n\n\n";

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

fn chunk(data: &str) -> String {
    format!("{:x}\r\n{data}\r\n", data.len())
}

/// A chunk with `data`, and the end of the body.
fn last_chunks(data: &str) -> String {
    chunk(data) + "0\r\n\r\n"
}

fn head(status: &str, content_type: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {{id}}\r\nX-Server-Seal: s\r\n\
         Content-Type: {content_type}\r\n{framing}\r\n\r\n"
    )
}

fn whole(status: &str, content_type: &str, body: &str) -> String {
    head(status, content_type, &format!("Content-Length: {}", body.len())) + body
}

/// The head and the first events of a stream, with `rest` after them.
fn begun(framing: &str, rest: &str) -> String {
    let first = events(1..=FIRST_EVENTS);
    let first = if framing == CHUNKED { chunk(&first) } else { first };
    head("200 OK", EVENT_STREAM, framing) + &first + rest
}

fn script(bytes: String, end: ScriptEnd) -> Script {
    Script { bytes: bytes.leak(), end }
}

/// What the second server writes, by name.
fn second_scripts() -> Vec<(&'static str, Script)> {
    let begun = |body: &str| head("200 OK", EVENT_STREAM, CHUNKED) + &chunk(body);
    let stream = |body: &str| head("200 OK", EVENT_STREAM, CHUNKED) + &last_chunks(body);
    let bodies = [
        ("error", ERROR.to_owned()),
        ("rejection", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into()),
        ("unproven rejection", whole("503 Full", "text/plain", "it failed\n\n")),
        ("not found", whole("404 Gone", EVENT_STREAM, "data: it failed\n\n")),
        ("no content", head("204 None", EVENT_STREAM, "X-Any: x")),
        ("partial content", whole("206 Part", EVENT_STREAM, &events(6..=10))),
        ("redirect", whole("302 Found", EVENT_STREAM, "data: elsewhere\n\n")),
        ("interim and error", format!("HTTP/1.1 103 Hints\r\nA: b\r\n\r\n{ERROR}")),
        ("text", whole("200 OK", "text/plain", "it failed\n\n")),
        ("JSON", whole("200 OK", "application/json", "{\"code\": 500}\r\n\r\n")),
        ("empty JSON", whole("200 OK", "application/json", "")),
        ("events of another type", whole("200 OK", "text/plain", &events(6..=10))),
        ("an event without an id", stream("data: it failed\n\n")),
        ("an event after the next", stream(&events(8..=10))),
        ("events from the start", stream(&events(1..=10))),
        ("a response in the stream", stream(&(event(6) + ERROR))),
        ("no event", head("200 OK", EVENT_STREAM, UNFRAMED)),
        ("an empty stream", whole("200 OK", EVENT_STREAM, "")),
        ("an empty stream in chunks", head("200 OK", EVENT_STREAM, CHUNKED) + "0\r\n\r\n"),
        ("a comment", stream(": busy\n\n")),
        ("a part of an event", stream("id: 6\ndata: pi")),
        ("some events", begun(&events(6..=7))),
        ("a part of a head", ERROR[..60].to_owned()),
        ("garbage", "\u{16}\u{3}it failed\r\n\r\n".to_owned()),
        ("nothing", String::new()),
    ];
    bodies.map(|(name, bytes)| (name, script(bytes, ScriptEnd::Close))).to_vec()
}

/// A stream's request that no other one resembles, so that none is barred for the faults of others.
fn own_call(route: &str, attempt_id: &str) -> Call {
    let hash = attempt_id.bytes().fold(7_u64, |acc, it| acc.wrapping_mul(31) + u64::from(it));
    let prompt = Some((1_400, 60, format!("{hash:x}:1000,{:x}:400", hash ^ 1)));
    Call { prompt, ..model_call(&format!("/{route}/{attempt_id}"), attempt_id) }
}

fn set_fault(fleet: &Fleet, first: Script, resumed: Script) {
    for engine in fleet.engines() {
        engine.set_fault(Fault::Scripted { first, resumed });
    }
}

/// Whether the body is a run of whole events from the first on; returns their number.
fn whole_events(text: &str) -> Option<u64> {
    (0..=EVENTS).find(|it| events(1..=*it) == text)
}

/// Sends requests until one has begun and was sent to a second server; all responses have to keep
/// the rule.
async fn resumed_response(fleet: &Fleet, name: &str) -> Response {
    for number in 0..20 {
        let id = format!("{}-{number}", name.replace(' ', "-"));
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&own_call("sheet", &id)).await.unwrap();
        if response.status() == 200 {
            let count = whole_events(response.text());
            assert!(count.is_some(), "{name}: {}", response.text());
            assert!(!response.is_complete || count == Some(EVENTS), "{name}: ends early");
        }
        if fleet.execution_count(&id) == 2 {
            return response;
        }
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    panic!("{name}: no stream was resumed; {}", fleet.instances[0].log());
}

/// Guards against the text or the head of an error in the middle of a stream, and against a stream
/// that ends early and looks complete.
#[rstest]
#[case::reset(begun(CHUNKED, ""), ScriptEnd::Reset)]
#[case::closed_in_chunks(begun(CHUNKED, ""), ScriptEnd::Close)]
#[case::closed_before_its_length(begun(LONG, ""), ScriptEnd::Close)]
#[case::reset_without_a_length(begun(UNFRAMED, ""), ScriptEnd::Reset)]
#[case::closed_in_an_event(begun(UNFRAMED, "id: 6\ndata: pi"), ScriptEnd::Close)]
#[case::error_in_a_chunk(begun(CHUNKED, &last_chunks("data: no\n\n")), ScriptEnd::KeepOpen)]
#[case::text_in_a_chunk(begun(CHUNKED, &last_chunks("it failed")), ScriptEnd::KeepOpen)]
#[case::response_in_a_chunk(begun(CHUNKED, &last_chunks(ERROR)), ScriptEnd::KeepOpen)]
#[case::response_between_chunks(begun(CHUNKED, ERROR), ScriptEnd::KeepOpen)]
#[case::response_in_a_length(begun(LONG, ERROR), ScriptEnd::Close)]
#[case::response_without_a_length(begun(UNFRAMED, ERROR), ScriptEnd::Close)]
#[case::response_in_an_event(begun(UNFRAMED, &format!("id: 6\nda{ERROR}")), ScriptEnd::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_ends_with_a_reset_unless_another_server_goes_on(
    #[case] first: String,
    #[case] end: ScriptEnd,
) {
    let fleet = fleet(1).await;
    let first = script(first, end);
    for (name, second) in second_scripts() {
        set_fault(&fleet, first, second);
        let response = resumed_response(&fleet, name).await;
        assert!(!response.is_complete, "{name}: {}", response.text());
    }
    let rest = head("200 OK", EVENT_STREAM, CHUNKED) + &last_chunks(&events(6..=10));
    set_fault(&fleet, first, script(rest, ScriptEnd::KeepOpen));
    let response = resumed_response(&fleet, "sound").await;
    assert!(response.is_complete, "{}", response.text());
    // A stream that may run once is not resumed.
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&own_call("chat", "once")).await.unwrap();
    assert_eq!((response.text(), response.is_complete), (&*events(1..=5), false));
    assert_eq!(fleet.execution_count("once"), 1);
}

/// Guards against the same where the first server falls silent: it is given up after a pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_ends_with_a_reset_unless_another_server_goes_on() {
    let fleet = fleet(1).await;
    let first = script(begun(CHUNKED, ""), ScriptEnd::Stall);
    for name in ["error", "empty JSON", "an event without an id"] {
        let second = second_scripts().into_iter().find(|it| it.0 == name).unwrap().1;
        set_fault(&fleet, first, second);
        let response = resumed_response(&fleet, name).await;
        assert!(!response.is_complete, "{name}: {}", response.text());
    }
}

/// Guards against bytes of a first server whose head was read, and which sent no event.
#[rstest]
#[case::reset("", ScriptEnd::Reset)]
#[case::closed("", ScriptEnd::Close)]
#[case::error("12\r\ndata: it failed\n\n\n\r\n0\r\n\r\n", ScriptEnd::KeepOpen)]
#[case::part("8\r\nid: 1\nda\r\n", ScriptEnd::Close)]
#[case::comment("8\r\n: busy\n\n\r\n", ScriptEnd::Close)]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_fails_before_its_first_event_leaves_no_bytes(
    #[case] rest: &str,
    #[case] end: ScriptEnd,
) {
    let fleet = fleet(1).await;
    let failing = script(head("200 OK", EVENT_STREAM, CHUNKED) + rest, end);
    for (engine, response) in fleet.engines().zip([failing, script(ERROR.to_owned(), end)]) {
        engine.set_fault(Fault::Scripted { first: response, resumed: response });
    }
    let mut retried = 0;
    for number in 0..8 {
        let id = format!("early-{number}");
        let mut caller = fleet.caller(0).await.unwrap();
        let response = caller.call(&own_call("sheet", &id)).await.unwrap();
        let is_own = response.text() == "data: it failed\n\n\n" && response.is_sealed();
        assert!(response.status() != 500 || is_own, "{}", response.text());
        assert!(response.status() >= 500 && response.is_complete, "{}", response.text());
        retried += usize::from(fleet.execution_count(&id) == 2);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert!(retried > 0, "no stream was sent to the other server");
}

/// Guards against a response that is no stream of events and is read as one: it is relayed whole.
#[rstest]
#[case::json("200 OK", "application/json", "{\"code\": 7}\n\n")]
#[case::empty("200 OK", "text/plain", "")]
#[case::created("201 Created", EVENT_STREAM, "data: made\n\n")]
#[case::error("500 Failed", EVENT_STREAM, "data: it failed\n\n")]
#[tokio::test(flavor = "multi_thread")]
async fn another_response_of_a_streaming_route_is_relayed_whole(
    #[case] status: &str,
    #[case] content_type: &str,
    #[case] body: &str,
    #[values("chat", "sheet")] route: &str,
) {
    let fleet = fleet(1).await;
    let response = script(whole(status, content_type, body), ScriptEnd::KeepOpen);
    set_fault(&fleet, response, response);
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&own_call(route, "other")).await.unwrap();
    assert_eq!((response.text(), response.is_complete), (body, true));
    assert_eq!(response.header("content-length"), Some(&*body.len().to_string()));
    assert!(status.starts_with(&response.status().to_string()));
}

/// Guards against events that are left out of a stream whose server knows no resumption.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_not_resumable_is_relayed_whole_whatever_event_the_caller_names() {
    let fleet = fleet(1).await;
    let stream = head("200 OK", EVENT_STREAM, CHUNKED) + &last_chunks(&events(1..=10));
    let stream = script(stream, ScriptEnd::KeepOpen);
    set_fault(&fleet, stream, stream);
    let mut call = own_call("chat", "named");
    call.headers.push(("Last-Event-Id", "7".to_owned()));
    let response = fleet.caller(0).await.unwrap().call(&call).await.unwrap();
    assert_eq!((response.text(), response.is_complete), (&*events(1..=10), true));
}

/// The body that a caller of HTTP/1.0 gets, and whether its connection was closed in order.
async fn call_with_http_10(fleet: &Fleet, call: &Call) -> (String, bool) {
    let mut stream = TcpStream::connect(fleet.instances[0].caller).await.unwrap();
    let bytes = String::from_utf8(call.to_bytes()).unwrap().replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let is_closed = stream.read_to_end(&mut received).await.is_ok();
    let text = String::from_utf8(received).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    assert!(!head.contains("Transfer-Encoding"), "{head}");
    (body.to_owned(), is_closed)
}

/// Guards against a close that ends a broken stream as if it were whole.
#[rstest]
#[case::whole(begun(UNFRAMED, &events(6..=10)), 10)]
#[case::broken(begun(CHUNKED, ""), 5)]
#[case::broken_without_a_length(begun(UNFRAMED, "id: 6\n"), 5)]
#[tokio::test(flavor = "multi_thread")]
async fn only_a_whole_stream_ends_with_a_close_for_callers_without_chunks(
    #[case] bytes: String,
    #[case] event_count: u64,
    #[values("chat", "sheet")] route: &str,
) {
    let fleet = fleet(1).await;
    set_fault(&fleet, script(bytes, ScriptEnd::Close), script(ERROR.to_owned(), ScriptEnd::Close));
    let (body, is_closed) = call_with_http_10(&fleet, &own_call(route, "old")).await;
    assert_eq!((&*body, is_closed), (&*events(1..=event_count), event_count == EVENTS));
}

/// Guards against an instance that is killed in the middle of a stream: the system then closes the
/// connection in order, which would end the stream as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_reset_for_callers_without_chunks_when_the_instance_is_killed() {
    let mut fleet = fleet(1).await;
    let stalled = script(begun(CHUNKED, ""), ScriptEnd::Stall);
    set_fault(&fleet, stalled, stalled);
    let mut stream = TcpStream::connect(fleet.instances[0].caller).await.unwrap();
    let bytes = String::from_utf8(own_call("chat", "killed").to_bytes()).unwrap();
    stream.write_all(bytes.replace("HTTP/1.1", "HTTP/1.0").as_bytes()).await.unwrap();
    let mut received = Vec::new();
    while !received.ends_with(event(FIRST_EVENTS).as_bytes()) {
        assert!(stream.read_buf(&mut received).await.unwrap() > 0);
    }
    fleet.instances[0].kill();
    assert!(stream.read_buf(&mut received).await.is_err(), "the connection was closed in order");
}

/// Guards against callers that never learn that a stream was complete, as the server broke off
/// after its last event.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_has_all_events_gets_the_end_when_it_resumes_the_stream() {
    let fleet = fleet(1).await;
    let first = script(begun(CHUNKED, &chunk(&events(6..=10))), ScriptEnd::Reset);
    let empty = head("200 OK", EVENT_STREAM, CHUNKED) + "0\r\n\r\n";
    set_fault(&fleet, first, script(empty, ScriptEnd::KeepOpen));
    let mut caller = fleet.caller(0).await.unwrap();
    let response = caller.call(&own_call("sheet", "whole")).await.unwrap();
    assert_eq!((response.text(), response.is_complete), (&*events(1..=10), false));
    let mut call = own_call("sheet", "resumed");
    call.headers.push(("Last-Event-Id", EVENTS.to_string()));
    call.headers.push(("Resumes", "whole".to_owned()));
    let response = fleet.caller(0).await.unwrap().call(&call).await.unwrap();
    assert_eq!((response.status(), response.text(), response.is_complete), (200, "", true));
}
