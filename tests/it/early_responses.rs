//! Servers that respond before they have read a long request, and responses with odd statuses.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bench::Fleet;
use rstest::rstest;
use serde_json::json;
use stand_ins::{Call, Response, document};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::testbed::{call, fleet, model_call, settle};

/// Bytes of the body of each request: more than the systems at both ends keep for a reader that is late.
const UPLOAD_BYTES: usize = 8 << 20;

/// Time from an orderly end to the reset that follows it.
const RESET_DELAY: Duration = Duration::from_millis(300);

/// How a server ends the connection after its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// With a reset.
    Reset,
    /// With an orderly end, and a reset later.
    OrderlyThenReset,
    /// With an orderly end.
    Orderly,
}

/// What a server does with each request.
#[derive(Clone, Debug)]
struct Script {
    /// Bytes of the request that the server reads before it responds.
    reads: usize,
    /// The pause between the response and the end of the connection.
    pause: Duration,
    response: String,
    end: End,
}

/// Reads the head of a request and `bytes` of its body. Returns the attempt id.
async fn read_request(stream: &mut TcpStream, bytes: usize) -> std::io::Result<String> {
    let mut received = Vec::new();
    let mut buf = vec![0; 64 << 10];
    loop {
        let text = String::from_utf8_lossy(&received[..received.len().min(8 << 10)]).into_owned();
        if let Some(end) = text.find("\r\n\r\n")
            && received.len() >= end + 4 + bytes
        {
            let id =
                text.lines().find_map(|it| it.split_once(": ").filter(|it| it.0 == "X-Attempt-Id"));
            return Ok(id.map(|it| it.1.to_owned()).unwrap_or_default());
        }
        match stream.read(&mut buf).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            read => received.extend_from_slice(&buf[..read]),
        }
    }
}

async fn serve(mut stream: TcpStream, script: Script) -> std::io::Result<()> {
    let id = read_request(&mut stream, script.reads).await?;
    let response = script.response.replace("{id}", &id);
    stream.write_all(response.as_bytes()).await?;
    tokio::time::sleep(script.pause).await;
    if script.end != End::Reset {
        stream.shutdown().await?;
        tokio::time::sleep(RESET_DELAY).await;
    }
    if script.end != End::Orderly {
        stream.set_zero_linger()?;
    }
    Ok(())
}

/// What the server does with the next requests.
type CurrentScript = Arc<Mutex<Script>>;

/// Starts a server that follows the script.
async fn start_server(script: CurrentScript) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = script.lock().unwrap().clone();
            tokio::spawn(serve(stream, script));
        }
    });
    address
}

/// A fleet whose only server of each service follows the script, which can be replaced.
async fn fleet_with(script: Script) -> (Fleet, CurrentScript) {
    let fleet = fleet(1).await;
    let mut config = document::standard(2);
    config["limits"]["max_body_bytes"] = json!(UPLOAD_BYTES);
    config["routes"][1]["timeout_ms"] = json!(8_000);
    fleet.store.put(document::CONFIG_KEY, &config);
    let script = Arc::new(Mutex::new(script));
    let address = start_server(script.clone()).await;
    for server in &fleet.servers {
        fleet.store.remove(&server.key());
    }
    for service in ["app", "model"] {
        let entry = json!({
            "service": service, "address": address.to_string(), "zone": "", "slots": 6,
            "state": "ready", "version": "v1", "sequence": 1, "born": 1,
        });
        fleet.store.put(&format!("servers/odd-{service}"), &entry);
    }
    settle(&fleet).await;
    (fleet, script)
}

async fn send(fleet: &Fleet, request: Call) -> Option<Response> {
    let mut caller = fleet.caller(0).await.unwrap();
    caller.call(&request).await.ok()
}

/// A plain request and a stream, both of which may run once, that differ from those of other numbers.
fn requests(number: usize) -> [Call; 2] {
    let plain = call("POST", &format!("/book/{number}"), &format!("plain-{number}"));
    let mut stream = model_call("/chat/7", &format!("stream-{number}"));
    stream.prompt = Some((1_400, 60, format!("a{number}:1000,b{number}:400")));
    [plain, stream]
}

/// The same with a long body.
fn uploads(number: usize) -> [Call; 2] {
    requests(number).map(|it| Call { body: vec![b'x'; UPLOAD_BYTES].into(), ..it })
}

fn head(framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {{id}}\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\
         {framing}\r\n"
    )
}

const EVENT: &str = "id: 1\ndata: one\n\n";

// Guards against a part of a response that is delivered as a whole one: the server responds before it has read
// a long upload and resets the connection while it is written, at once or some time after an orderly end.
#[rstest]
#[case::no_length("Connection: close\r\n", EVENT)]
#[case::length("Content-Length: 400\r\n", EVENT)]
#[case::chunks("Transfer-Encoding: chunked\r\n", "14\r\nid: 1\ndata: one\n\n..")]
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_a_response_to_an_unread_upload_is_never_a_whole_one(
    #[case] framing: &str,
    #[case] body: &str,
    #[values(End::Reset, End::OrderlyThenReset)] end: End,
) {
    let response = head(framing) + body;
    let script = Script { reads: 0, pause: Duration::ZERO, response, end };
    let (fleet, current) = fleet_with(script.clone()).await;
    let reads = [0, 200_000, UPLOAD_BYTES / 2];
    let variants = reads.into_iter().flat_map(|reads| [0, 100].map(|pause_ms| (reads, pause_ms)));
    for (number, (reads, pause_ms)) in variants.enumerate() {
        let pause = Duration::from_millis(pause_ms);
        *current.lock().unwrap() = Script { reads, pause, ..script.clone() };
        for upload in uploads(number) {
            let target = upload.target.clone();
            // A stream whose head has been sent can only be broken off.
            if let Some(response) = send(&fleet, upload).await {
                let is_failure =
                    response.status() == 502 && response.header("x-server-seal").is_none();
                assert!(
                    is_failure || !response.is_complete,
                    "{target}, {reads} bytes read, {pause_ms} ms: {} {}",
                    response.status(),
                    response.text()
                );
            }
        }
    }
}

// Guards against a response that counts as cut off although the server has read the request: its end is that of
// its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_without_a_length_to_a_request_that_was_read_is_whole() {
    let response = head("Connection: close\r\n") + EVENT;
    let script = Script { reads: UPLOAD_BYTES, pause: Duration::ZERO, response, end: End::Orderly };
    let (fleet, _) = fleet_with(script).await;
    for upload in uploads(0) {
        let target = upload.target.clone();
        let response = send(&fleet, upload).await.unwrap();
        assert_eq!((response.status(), response.is_complete), (200, true), "{target}");
        assert_eq!(response.text(), EVENT, "{target}");
    }
}

// Guards against statuses that HTTP does not have, which callers can't interpret, in answers of servers in
// trouble; and against interim or switching statuses that are taken for an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_status_is_no_answer() {
    let head = head("Content-Length: 18\r\n") + EVENT;
    let with_status = |status: &str| Script {
        reads: 0,
        pause: Duration::ZERO,
        response: head.replace("200 OK", &format!("{status} Odd")),
        end: End::Orderly,
    };
    let (fleet, current) = fleet_with(with_status("000")).await;
    for (number, status) in ODD_STATUSES.into_iter().enumerate() {
        *current.lock().unwrap() = with_status(status);
        for request in requests(number) {
            let target = request.target.clone();
            let response = send(&fleet, request).await.unwrap();
            assert_eq!(response.status(), 502, "{status} {target}: {}", response.text());
            let code = response.header("x-sesamelock-code");
            assert_eq!(code, Some("3007"), "{status} {target}");
            assert_eq!(response.header("x-server-seal"), None, "{status} {target}");
        }
    }
}

/// Statuses that HTTP does not have, or that are no final answer.
const ODD_STATUSES: [&str; 13] =
    ["000", "001", "099", "00", "0000", "20", "2000", "100", "101", "199", "600", "799", "999"];
