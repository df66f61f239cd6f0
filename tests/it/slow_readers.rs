//! Callers and backend servers that read slowly, and hosts that are gone. See docs/design/slow-readers.md.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bench::{Fleet, eventually};
use futures::future::join_all;
use nix::{libc, sys::signal::Signal};
use rstest::rstest;
use socket2::{SockFilter, SockRef};
use stand_ins::{
    Call,
    script::{ATTEMPT_ID, Script, ScriptEnd},
    server::Fault,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::sleep,
};

use crate::testbed::{add_upload_route, call, fleet, metrics, model_call};

/// Pauses below and above the time after which a host that acknowledges nothing is gone.
const PAUSES: [Duration; 2] = [Duration::from_millis(2_000), Duration::from_millis(5_000)];

/// Bytes of a receive buffer that holds less than the smallest response.
const SMALL_BUFFER: u32 = 2_304;

/// Bytes of a response that fits into the buffers of the instance's host, and of one that does not.
const SMALL_RESPONSE: usize = 4_800;
const LARGE_RESPONSE: usize = 3_500_000;

/// Bytes of an event.
const EVENT_BYTES: usize = 1_000;

/// Within which a host that is gone is noticed: 3 s, and the time between two checks and two probes.
const NOTICED_WITHIN: Duration = Duration::from_millis(4_500);

/// When a caller stops reading.
#[derive(Clone, Copy, Debug)]
enum Place {
    Start,
    Middle,
}

fn script(content_type: &str, framing: &str, body: &str, end: ScriptEnd) -> Script {
    let bytes = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {ATTEMPT_ID}\r\nX-Server-Seal: seal\r\n\
         Content-Type: {content_type}\r\n{framing}\r\n\r\n{body}"
    );
    Script { bytes: bytes.leak(), end }
}

fn plain_response(len: usize) -> Fault {
    let framing = format!("Content-Length: {len}");
    let first = script("text/plain", &framing, &"a".repeat(len), ScriptEnd::KeepOpen);
    Fault::Scripted { first, resumed: first }
}

/// Events of `len` bytes in all.
fn events(len: usize) -> String {
    let event = |id| {
        let data = "e".repeat(EVENT_BYTES);
        let event = format!("id: {id}\ndata: {data}\n\n");
        format!("{:x}\r\n{event}\r\n", event.len())
    };
    (1..=len.div_ceil(EVENT_BYTES)).map(event).collect()
}

fn stream(len: usize, end: ScriptEnd) -> Fault {
    let last = if end == ScriptEnd::KeepOpen { "0\r\n\r\n" } else { "" };
    let body = events(len) + last;
    let first = script("text/event-stream", "Transfer-Encoding: chunked", &body, end);
    Fault::Scripted { first, resumed: first }
}

async fn connect(address: SocketAddr, buffer: Option<u32>) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    buffer.into_iter().for_each(|it| socket.set_recv_buffer_size(it).unwrap());
    socket.connect(address).await.unwrap()
}

/// Has the socket drop everything that arrives, as if its host were gone.
fn lose_host(stream: &TcpStream) {
    const RETURN: u16 = (libc::BPF_RET | libc::BPF_K) as u16;
    SockRef::from(stream).attach_filter(&[SockFilter::new(RETURN, 0, 0, 0)]).unwrap();
}

/// Sends the call and reads its response with a pause; the number of bytes received by the end of the
/// response or the connection.
async fn read_with_pause(
    mut stream: TcpStream,
    call: &Call,
    pause: Duration,
    place: Place,
    expected: usize,
) -> usize {
    stream.write_all(&call.to_bytes()).await.unwrap();
    let pause_at = match place {
        Place::Start => 0,
        Place::Middle => expected / 2,
    };
    let mut received = 0;
    let mut has_paused = false;
    let mut buf = vec![0; 64 * 1_024];
    while received < expected {
        if !has_paused && received >= pause_at {
            has_paused = true;
            sleep(pause).await;
        }
        match stream.read(&mut buf).await {
            Ok(read) if read > 0 => received += read,
            _ => break,
        }
    }
    received
}

// Guards against responses that are cut off because their caller reads nothing for some seconds: on Linux
// TCP_USER_TIMEOUT ends a connection whose peer keeps its window closed, though it answers each probe.
#[rstest]
#[case::small_window(Some(SMALL_BUFFER), SMALL_RESPONSE)]
#[case::large_window(None, LARGE_RESPONSE)]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_pauses_gets_its_whole_response(
    #[case] buffer: Option<u32>,
    #[case] len: usize,
) {
    let fleet = fleet(1).await;
    fleet.apps().for_each(|it| it.set_fault(plain_response(len)));
    fleet.engines().for_each(|it| it.set_fault(stream(len, ScriptEnd::KeepOpen)));
    let address = fleet.instances[0].caller;
    let mut readers = Vec::new();
    for pause in PAUSES {
        for place in [Place::Start, Place::Middle] {
            let id = format!("{place:?}-{}", pause.as_millis());
            readers.push((call("POST", "/book/7", &format!("plain-{id}")), pause, place));
            readers.push((model_call("/chat/7", &format!("stream-{id}")), pause, place));
        }
    }
    // Heads and framing come on top of the bodies.
    let reading = readers.iter().map(async |(call, pause, place)| {
        let stream = connect(address, buffer).await;
        let received = read_with_pause(stream, call, *pause, *place, len).await;
        (received < len).then(|| format!("{}: {received}", call.attempt_id))
    });
    let cut: Vec<String> = join_all(reading).await.into_iter().flatten().collect();
    assert_eq!(cut, Vec::<String>::new(), "{}", fleet.instances[0].log());
}

async fn hosts_gone(fleet: &Fleet) -> u64 {
    let text = metrics(fleet).await;
    let value = text.lines().find_map(|it| it.strip_prefix("sesamelock_hosts_gone_total "));
    value.and_then(|it| it.parse().ok()).unwrap_or(0)
}

// Guards against work that goes on for a caller whose host is gone: with no timeout at all, the system takes
// a quarter of an hour to notice.
#[tokio::test(flavor = "multi_thread")]
async fn work_ends_soon_after_the_host_of_its_caller_is_gone() {
    let fleet = fleet(1).await;
    fleet.engines().for_each(|it| it.set_fault(stream(SMALL_RESPONSE, ScriptEnd::Stall)));
    let mut stream = connect(fleet.instances[0].caller, None).await;
    stream.write_all(&model_call("/chat/7", "gone").to_bytes()).await.unwrap();
    lose_host(&stream);
    let gone_at = Instant::now();
    let in_flight = || fleet.engines().map(|it| it.in_flight()).sum::<usize>();
    eventually("the request is in flight", async || in_flight() == 1).await;
    eventually("the request is cancelled", async || in_flight() == 0).await;
    let took = gone_at.elapsed();
    assert!(took < NOTICED_WITHIN, "{took:?}");
    eventually("the log says why", async || fleet.instances[0].log().contains("host-gone")).await;
}

// Guards against a host that is taken for one whose caller pauses, because it was lost during the pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_lost_while_its_caller_pauses_is_noticed() {
    let fleet = fleet(1).await;
    fleet.apps().for_each(|it| it.set_fault(plain_response(SMALL_RESPONSE)));
    let mut stream = connect(fleet.instances[0].caller, Some(SMALL_BUFFER)).await;
    stream.write_all(&call("POST", "/book/7", "lost").to_bytes()).await.unwrap();
    // So that the host is noticed before the connection has been idle for too long.
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(hosts_gone(&fleet).await, 0);
    lose_host(&stream);
    let gone_at = Instant::now();
    eventually("the host is known to be gone", async || hosts_gone(&fleet).await == 1).await;
    let took = gone_at.elapsed();
    assert!(took < NOTICED_WITHIN, "{took:?}");
}

// Guards against unread responses that are lost because the instance closes their connection, or exits.
#[rstest]
#[case::closed_after_the_response(None)]
#[case::instance_stops(Some(Signal::SIGTERM))]
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_response_outlives_its_connection_at_the_instance(
    #[case] signal: Option<Signal>,
) {
    let mut fleet = fleet(1).await;
    fleet.apps().for_each(|it| it.set_fault(plain_response(SMALL_RESPONSE)));
    let stream = connect(fleet.instances[0].caller, Some(SMALL_BUFFER)).await;
    let mut request = call("POST", "/book/7", "unread");
    request.headers.push(("Connection", "close".to_owned()));
    let reading = read_with_pause(stream, &request, PAUSES[1] * 2, Place::Start, SMALL_RESPONSE);
    let stopping = async {
        sleep(Duration::from_millis(500)).await;
        if let Some(signal) = signal {
            fleet.instances[0].signal(signal);
            fleet.instances[0].wait_for_exit(Duration::from_secs(8)).await.unwrap();
        }
    };
    let (received, ()) = tokio::join!(reading, stopping);
    assert!(received >= SMALL_RESPONSE, "{received}");
}

// Guards against requests that are lost because a server reads their body slowly.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_pauses_within_a_body_gets_the_whole_of_it() {
    let fleet = fleet(1).await;
    add_upload_route(&fleet, "non_idempotent", 1).await;
    let listener = TcpSocket::new_v4().unwrap();
    listener.set_recv_buffer_size(SMALL_BUFFER).unwrap();
    listener.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = listener.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let apps: Vec<_> = fleet.apps().collect();
    fleet.store.remove(&apps[1].key());
    apps[0].register_at(&fleet.store, address, "ready");
    eventually("the server has moved", async || {
        fleet.instances[0].log().matches(r#""now":"gone""#).count() == 1
    })
    .await;
    let body = vec![b'x'; 1_000_000];
    let request = Call { body: body.clone().into(), ..call("POST", "/upload/7", "slow") };
    let mut caller = fleet.caller(0).await.unwrap();
    let serving = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        sleep(PAUSES[1]).await;
        let mut received = 0;
        let mut buf = vec![0; 64 * 1_024];
        while received < body.len() {
            received += stream.read(&mut buf).await.unwrap();
        }
        let response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: slow\r\nX-Server-Seal: seal\r\n\
                        Content-Length: 2\r\n\r\nok";
        stream.write_all(response.as_bytes()).await.unwrap();
        stream
    };
    let (response, _stream) = tokio::join!(caller.call(&request), serving);
    let response = response.unwrap();
    assert_eq!((response.status(), response.text()), (200, "ok"), "{}", fleet.instances[0].log());
}
