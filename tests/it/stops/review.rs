//! Requests that were accepted keep the time that they were given, and their responses are waited
//! for.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

use super::*;

/// Shorter than a request that was accepted may take.
const SHORT_STOP: Duration = Duration::from_millis(400);

/// From this time on, a shorter time for the shutdown counts whatever the balancer needs.
const CALLERS_MOVED: Duration = Duration::from_millis(2_700);

// Guards against a second SIGTERM that, after a reload, shortens a shutdown under a request that
// was accepted because it was due before the end: the caller got 504, and its server had run it.
#[tokio::test(flavor = "multi_thread")]
async fn a_sigterm_after_a_reload_leaves_requests_that_were_accepted_their_time() {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    make_slow(&fleet);
    let stopped_at = stop(&fleet);
    until(stopped_at, CALLERS_MOVED).await;
    let caller = fleet.caller(0).await.unwrap();
    let sending = tokio::spawn(send(caller, late_call("POST", "/book/7", "kept"), stopped_at));
    eventually("the request is executed", async || fleet.execution_count("kept") > 0).await;
    fleet.instances[0].set_stop_within(SHORT_STOP).unwrap();
    fleet.instances[0].signal(Signal::SIGHUP);
    eventually("the settings are read", async || {
        fleet.instances[0].log().contains("\"settings changed\"")
    })
    .await;
    stop(&fleet);
    let sent = sending.await.unwrap();
    assert_eq!(sent.status_and_code(), Some((200, "")), "{sent:?}");
}

// Guards against a caller that sends its next request on a connection that is about to be closed:
// it was told that the connection is kept, since that was decided when its request came.
#[rstest]
#[case::plain("/book/7")]
#[case::stream("/chat/7")]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_begins_during_a_shutdown_announces_the_close(#[case] target: &str) {
    let fleet = fleet_stopping_within(STOP_WITHIN).await;
    fleet.servers.iter().for_each(|it| it.set_fault(Fault::StallsBeforeResponse));
    let caller = fleet.caller(0).await.unwrap();
    let call = model_call(target, "before");
    let sending = tokio::spawn(send(caller, call, Instant::now()));
    eventually("the request is executed", async || fleet.execution_count("before") > 0).await;
    stop(&fleet);
    let sent = sending.await.unwrap();
    let response = sent.response.unwrap();
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
}

/// Time in which a stream has begun, and after which its engine is silent.
const STREAM_STARTED: Duration = Duration::from_millis(300);

/// Time for which an engine is silent, so that the stream ends when idle connections have been
/// closed.
const SILENCE: Duration = Duration::from_millis(2_800);

// Guards against a connection that is closed at once after a response that said that it is kept,
// while the next request is in transit.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_after_a_stream_that_ended_late_gets_a_response() {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    fleet.engines().for_each(|it| it.set_fault(Fault::StallsBetweenEvents));
    let mut caller = fleet.caller(0).await.unwrap();
    caller.send(&model_call("/chat/7", "stream").to_bytes()).await.unwrap();
    eventually("the stream is executed", async || fleet.execution_count("stream") > 0).await;
    sleep(STREAM_STARTED).await;
    fleet.engines().for_each(|it| it.silence(SILENCE));
    let stopped_at = stop(&fleet);
    let response = caller.read_response("POST").await.unwrap();
    assert!(response.is_complete && response.header("connection").is_none(), "{response:?}");
    assert!(stopped_at.elapsed() > Duration::from_millis(2_620), "{:?}", stopped_at.elapsed());
    let next = send(caller, late_call("POST", "/book/7", "next"), stopped_at).await;
    assert!(next.is_answered(), "{next:?}");
}

// Guards against a count of cut requests that lacks those whose deadline the shutdown has cut.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_deadline_the_shutdown_cut_counts_as_cut() {
    let mut fleet = fleet_stopping_within(STOP_WITHIN).await;
    fleet.engines().for_each(|it| it.set_fault(Fault::Hangs));
    let stopped_at = stop(&fleet);
    until(stopped_at, Duration::from_millis(1_000)).await;
    let caller = fleet.caller(0).await.unwrap();
    let sent = send(caller, model_call("/sheet/7", "cut"), stopped_at).await;
    assert_eq!(sent.status_and_code().map(|it| it.0), Some(504), "{sent:?}");
    assert_eq!(fleet.execution_count("cut").min(1), 1);
    fleet.instances[0].wait_for_exit(STOP_WITHIN + EXIT_DELAY_MAX).await.unwrap();
    let log = fleet.instances[0].log();
    let count = log.split("\"cut\":").nth(1).unwrap_or_default();
    assert!(count.starts_with("1,") || count.starts_with("1}"), "{log}");
}

/// Bytes of a response that fills the buffers of a connection.
const LARGE_BYTES: usize = 7 << 20;

/// The receive buffer of a caller that reads late, in bytes.
const RECEIVE_BUFFER: u32 = 16 * 1_024;

/// Time after which a server sends a large response.
const RESPONSE_DELAY: Duration = Duration::from_millis(80);

/// Serves requests with large responses that have `status`, and counts them.
async fn serve_large(listener: TcpListener, status: u16, arrivals: Arc<AtomicUsize>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(respond_large(stream, status, arrivals.clone()));
    }
}

async fn respond_large(
    mut stream: TcpStream,
    status: u16,
    arrivals: Arc<AtomicUsize>,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut received).await? == 0 {
            return Ok(());
        }
    }
    arrivals.fetch_add(1, Ordering::Relaxed);
    sleep(RESPONSE_DELAY).await;
    let text = String::from_utf8_lossy(&received).to_lowercase();
    let id = text.lines().find_map(|it| it.strip_prefix("x-attempt-id: ")).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {status} Large\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: seal\r\n\
         Connection: close\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'x'; LARGE_BYTES]).await
}

/// Registers a server with large responses under the ids of both plain servers. Returns the number
/// of requests that it got.
async fn add_large_server(fleet: &Fleet, status: u16) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(bench::fleet::ANY_PORT).await.unwrap();
    let address = listener.local_addr().unwrap();
    fleet.apps().for_each(|it| it.register_at(&fleet.store, address, "ready"));
    let arrivals = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_large(listener, status, arrivals.clone()));
    crate::testbed::settle(fleet).await;
    arrivals
}

/// Sends a request, and reads the response from `read_at` on. Returns the number of bytes of the
/// response and its first line.
async fn read_late(address: SocketAddr, call: Call, read_at: Instant) -> (usize, String) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
    let mut stream = socket.connect(address).await.unwrap();
    stream.write_all(&call.to_bytes()).await.unwrap();
    sleep(read_at.saturating_duration_since(Instant::now())).await;
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    let text = String::from_utf8_lossy(&received);
    (received.len(), text.lines().next().unwrap_or_default().to_owned())
}

// Guards against an exit in the middle of a response that is being written: of a server's error
// that was withheld for another attempt, which is no longer in flight, and of a success.
#[rstest]
#[case::success(200)]
#[case::server_error(500)]
#[tokio::test(flavor = "multi_thread")]
async fn an_exit_waits_for_responses_that_are_read_late(#[case] status: u16) {
    let fleet = fleet_stopping_within(STOP_WITHIN).await;
    let arrivals = add_large_server(&fleet, status).await;
    let stopped_at = stop(&fleet);
    until(stopped_at, Duration::from_millis(2_300)).await;
    let read_at = stopped_at + Duration::from_millis(3_250);
    let address = fleet.instances[0].caller;
    let call = late_call("GET", "/status/7", "large");
    let reading = tokio::spawn(read_late(address, call, read_at));
    eventually("the request is sent", async || arrivals.load(Ordering::Relaxed) > 0).await;
    // No other server is left, so the error is not withheld any longer.
    fleet.apps().for_each(|it| fleet.store.remove(&it.key()));
    let (bytes, first_line) = reading.await.unwrap();
    assert!(first_line.contains(&status.to_string()), "{first_line}");
    assert!(bytes > LARGE_BYTES, "{bytes} of {LARGE_BYTES}; {}", fleet.instances[0].log());
}

/// Parts of the time in which a throttled process runs and in which it does not.
const RUNNING: Duration = Duration::from_millis(25);
const STOPPED: Duration = Duration::from_millis(75);

/// Lets the first instance run for a quarter of the time.
async fn throttle(fleet: &Fleet) {
    loop {
        fleet.instances[0].signal(Signal::SIGSTOP);
        sleep(STOPPED).await;
        fleet.instances[0].signal(Signal::SIGCONT);
        sleep(RUNNING).await;
    }
}

// Guards against requests that a process loses because it gets a quarter of a core.
#[rstest]
#[case::sound_servers(|_: &Fleet| ())]
#[case::slow_servers(make_slow)]
#[case::silent_servers(make_silent)]
#[tokio::test(flavor = "multi_thread")]
async fn a_throttled_process_answers_what_it_accepts(#[case] fault: fn(&Fleet)) {
    let (fleet, _streaming) = fleet_with_endless_stream().await;
    fault(&fleet);
    let stopped_at = stop(&fleet);
    let sending = send_on_new_connections(fleet.instances[0].caller, stopped_at);
    let sent = tokio::select! {
        sent = sending => sent,
        () = throttle(&fleet) => unreachable!(),
    };
    assert!(sent.len() > 20, "{}", sent.len());
    assert_eq!(violations(&fleet, &sent), Vec::<String>::new());
}

// Guards against a request that counts as cut, and names the end of the shutdown as the reason,
// though its caller's own deadline ended it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_at_its_own_deadline_does_not_count_as_cut() {
    let mut fleet = fleet_stopping_within(STOP_WITHIN).await;
    fleet.engines().for_each(|it| it.set_fault(Fault::Hangs));
    let caller = fleet.caller(0).await.unwrap();
    let timeout = STOP_WITHIN + Duration::from_millis(250);
    let call = Call { timeout, ..model_call("/chat/7", "own") };
    let sent_at = Instant::now();
    let sending = tokio::spawn(send(caller, call, sent_at));
    until(sent_at, Duration::from_millis(300)).await;
    stop(&fleet);
    let sent = sending.await.unwrap();
    assert_eq!(sent.status_and_code(), Some((504, "3005")), "{sent:?}");
    fleet.instances[0].wait_for_exit(STOP_WITHIN + EXIT_DELAY_MAX).await.unwrap();
    assert!(fleet.instances[0].log().contains("\"cut\":0"), "{}", fleet.instances[0].log());
}
