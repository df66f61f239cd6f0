//! What hyper and reqwest do on the wire, against bare sockets that count what they read.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use rstest::rstest;
use sl_back::{Client, Options};
use sl_base::{Millis, Timestamp};
use sl_step::event::AttemptEnd;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::timeout,
};

use crate::support::{Sink, booking, client, dispatch, go, now, until};

#[derive(Debug, Default)]
struct Seen {
    connections: AtomicUsize,
    requests: AtomicUsize,
}

/// What a socket does with a request that it has read.
#[derive(Clone, Copy, PartialEq)]
enum Then {
    /// Closes without an answer.
    Close,
    /// Answers, and closes the connection once it is told to by the next request's bytes.
    AnswerThenCloseOnNext,
    /// Answers, and closes the connection unannounced once it was idle for a few milliseconds.
    CloseWhenIdle,
    /// Promises ten bytes and sends four.
    Short,
    /// Redirects elsewhere.
    Redirect,
}

async fn server(then: Then) -> (SocketAddr, Arc<Seen>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let counted = seen.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            counted.connections.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(talk(socket, then, counted.clone()));
        }
    });
    (address, seen)
}

async fn talk(mut socket: TcpStream, then: Then, seen: Arc<Seen>) {
    let mut served = 0;
    loop {
        let patience = match then {
            Then::CloseWhenIdle if served > 0 => {
                Duration::from_millis(seen.requests.load(Ordering::SeqCst) as u64 % 4)
            }
            _ => Duration::from_secs(60),
        };
        if timeout(patience, read_request(&mut socket)).await != Ok(true) {
            return;
        }
        seen.requests.fetch_add(1, Ordering::SeqCst);
        let answer = match then {
            Then::Close => return,
            Then::AnswerThenCloseOnNext if served > 0 => return,
            Then::AnswerThenCloseOnNext | Then::CloseWhenIdle => OK,
            Then::Short => "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
            Then::Redirect => "HTTP/1.1 302 Found\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n",
        };
        socket.write_all(answer.as_bytes()).await.unwrap();
        if then == Then::Short {
            return;
        }
        served += 1;
    }
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Reads one request whose body is `{}`; false at the connection's end.
async fn read_request(socket: &mut TcpStream) -> bool {
    let mut text = Vec::new();
    while !text.ends_with(b"{}") {
        let mut buf = [0; 1024];
        match socket.read(&mut buf).await {
            Ok(n) if n > 0 => text.extend_from_slice(&buf[..n]),
            _ => return false,
        }
    }
    true
}

#[rstest]
#[tokio::test]
async fn a_request_that_was_read_is_not_sent_again(#[values(true, false)] idempotent: bool) {
    let (address, seen) = server(Then::Close).await;
    let mut forward = booking("{}");
    forward.idempotent = idempotent;
    let end = go(&client(), &dispatch(address), forward, &mut Sink::default()).await;
    assert_eq!(end, AttemptEnd::LostBeforeAnswer);
    assert_eq!(seen.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn a_request_lost_on_a_kept_connection_is_not_sent_again() {
    let (address, seen) = server(Then::AnswerThenCloseOnNext).await;
    let client = client();
    let mut forward = booking("{}");
    forward.idempotent = true;
    let first = go(&client, &dispatch(address), forward.clone(), &mut Sink::default()).await;
    assert!(matches!(first, AttemptEnd::Complete { status: 200, .. }));
    let second = go(&client, &dispatch(address), forward, &mut Sink::default()).await;
    assert_eq!(second, AttemptEnd::LostBeforeAnswer);
    assert_eq!(seen.requests.load(Ordering::SeqCst), 2, "each was read once");
    assert_eq!(seen.connections.load(Ordering::SeqCst), 1, "the second reused it");
}

#[tokio::test]
async fn a_non_idempotent_request_takes_a_fresh_connection() {
    let (address, seen) = server(Then::AnswerThenCloseOnNext).await;
    let client = client();
    for sent in 1..=3 {
        let end = go(&client, &dispatch(address), booking("{}"), &mut Sink::default()).await;
        assert!(matches!(end, AttemptEnd::Complete { status: 200, .. }));
        assert_eq!(seen.connections.load(Ordering::SeqCst), sent);
    }
    assert_eq!(seen.requests.load(Ordering::SeqCst), 3);
}

// The server closes each connection when it has been idle for as long as the client
// waits, give or take, so that the close and the next request cross. Whatever wins: a
// request is read once, or provably not at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_race_with_an_idle_close_never_runs_a_request_twice() {
    let (address, seen) = server(Then::CloseWhenIdle).await;
    let client = client();
    let mut forward = booking("{}");
    forward.idempotent = true;
    for at in 0..ROUNDS {
        let before = seen.requests.load(Ordering::SeqCst);
        let end = go(&client, &dispatch(address), forward.clone(), &mut Sink::default()).await;
        let reads = seen.requests.load(Ordering::SeqCst) - before;
        match end {
            AttemptEnd::Complete { .. } => assert_eq!(reads, 1),
            AttemptEnd::LostBeforeAnswer | AttemptEnd::NotSent => assert_eq!(reads, 0),
            other => panic!("{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(at % 5)).await;
    }
    let connections = seen.connections.load(Ordering::SeqCst) as u64;
    assert!(connections < ROUNDS, "some connections were used again");
}

/// Requests in the race.
const ROUNDS: u64 = 300;

#[tokio::test]
async fn an_answer_shorter_than_promised_is_lost_midway() {
    let (address, _seen) = server(Then::Short).await;
    let mut sink = Sink::default();
    let end = go(&client(), &dispatch(address), booking("{}"), &mut sink).await;
    assert!(matches!(end, AttemptEnd::LostMidway { .. }), "{end:?}");
    assert_eq!(sink.body, b"four");
    assert_eq!(sink.head.unwrap().length, Some(10));
}

#[tokio::test]
async fn a_redirect_is_the_callers_to_follow() {
    let (address, seen) = server(Then::Redirect).await;
    let mut sink = Sink::default();
    let end = go(&client(), &dispatch(address), booking("{}"), &mut sink).await;
    assert!(matches!(end, AttemptEnd::Complete { status: 302, .. }));
    assert_eq!(sink.head.unwrap().headers["location"], "/b");
    assert_eq!(seen.requests.load(Ordering::SeqCst), 1);
}

// Besides the caller's own headers only these go out. `accept: */*` is the library's, and
// says no more than its absence does.
#[tokio::test]
async fn what_goes_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut text = Vec::new();
        while !text.ends_with(b"{}") {
            socket.read_buf(&mut text).await.unwrap();
        }
        socket.write_all(OK.as_bytes()).await.unwrap();
        String::from_utf8(text).unwrap()
    });
    let mut forward = booking("{}");
    forward.target = "/a//b?c=d%2Fe".parse().unwrap();
    for (name, value) in [
        ("x-own", "1"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("x-sesamelock-attempt", "99"),
        ("accept-encoding", "gzip"),
        ("host", "elsewhere"),
        ("content-length", "5000"),
    ] {
        forward.headers.insert(name, value.parse().unwrap());
    }
    let end = go(&client(), &dispatch(address), forward, &mut Sink::default()).await;
    assert!(matches!(end, AttemptEnd::Complete { status: 200, .. }));
    let text = server.await.unwrap().to_ascii_lowercase();
    let (line, rest) = text.split_once("\r\n").unwrap();
    assert_eq!(line, "post /a//b?c=d%2fe http/1.1");
    let (head, body) = rest.split_once("\r\n\r\n").unwrap();
    let mut headers: Vec<&str> = head.split("\r\n").collect();
    headers.sort_unstable();
    let host = format!("host: {address}");
    let expected = [
        "accept-encoding: gzip",
        "accept: */*",
        "content-length: 2",
        &host,
        "x-own: 1",
        "x-sesamelock-attempt: 7",
    ];
    assert_eq!((headers.as_slice(), body), (expected.as_slice(), "{}"));
}

// The bytes count, not only whole requests: hyper has the head in hand by then.
#[tokio::test]
async fn a_closed_slot_lets_no_byte_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let mut bytes = Vec::new();
        let (mut socket, _) = listener.accept().await.unwrap();
        socket.read_to_end(&mut bytes).await.unwrap();
        bytes
    });
    let readings = Arc::new(AtomicUsize::new(0));
    let clock = move || match readings.fetch_add(1, Ordering::SeqCst) {
        0 => Timestamp::from_micros(0),
        _ => Timestamp::from_micros(10_000_000),
    };
    let mut dispatch = dispatch(address);
    dispatch.dispatch_by = Timestamp::from_micros(5_000_000);
    dispatch.first_byte_by = Timestamp::from_micros(5_000_000);
    let client = Client::new(Options::default(), clock).unwrap();
    let end = client.run(&dispatch, booking("{}"), &mut Sink::default(), pending()).await;
    assert_eq!(end, AttemptEnd::NotSent);
    assert!(server.await.unwrap().is_empty());
}

/// What comes first while a connection hangs.
#[derive(Clone, Copy, Debug)]
enum First {
    Slot,
    Answer,
    Total,
    Abort,
    Connect,
}

// A listener whose queue of pending connections is full leaves a connection hanging.
#[rstest]
#[tokio::test]
async fn whatever_ends_a_hanging_connection_nothing_was_sent(
    #[values(First::Slot, First::Answer, First::Total, First::Abort, First::Connect)] first: First,
) {
    let (address, _full) = full_listener().await;
    let soon = now().after(Millis(200));
    let mut dispatch = dispatch(address);
    let mut abort_after = Duration::from_secs(60);
    match first {
        First::Slot => dispatch.dispatch_by = soon,
        First::Answer => dispatch.first_byte_by = soon,
        First::Total => dispatch.total_by = soon,
        First::Abort => abort_after = Duration::from_millis(200),
        First::Connect => {}
    }
    let abort = tokio::time::sleep(abort_after);
    let mut sink = Sink::default();
    let end = client().run(&dispatch, booking("{}"), &mut sink, abort).await;
    assert_eq!(end, AttemptEnd::NotSent);
}

async fn full_listener() -> (SocketAddr, impl Sized) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let full: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    for _ in 0..4 {
        let full = full.clone();
        tokio::spawn(async move {
            if let Ok(it) = TcpStream::connect(address).await {
                full.lock().unwrap().push(it);
            }
        });
    }
    until("the queue is full", || full.lock().unwrap().len() >= 2).await;
    (address, (listener, full))
}

// A caller that reads nothing holds the backend server back; what piles up between them
// is bounded by the sockets' buffers, not by the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_nothing_holds_the_server_back() {
    let written = Arc::new(AtomicUsize::new(0));
    let address = flood(written.clone()).await;
    let mut sink = Sink { stuck_after: Some(1), ..Sink::default() };
    let mut dispatch = dispatch(address);
    dispatch.total_by = now().after(Millis(1_500));
    let end = go(&client(), &dispatch, booking("{}"), &mut sink).await;
    assert!(matches!(end, AttemptEnd::TotalTimeout { .. }), "{end:?}");
    let written = written.load(Ordering::SeqCst);
    assert!(written < FLOOD / 4, "{written} bytes left the server");
}

/// Bytes of an answer that no buffer holds.
const FLOOD: usize = 256 << 20;

async fn flood(written: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        assert!(read_request(&mut socket).await);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {FLOOD}\r\n\r\n");
        socket.write_all(head.as_bytes()).await.unwrap();
        let piece = vec![b'x'; 64 << 10];
        while socket.write_all(&piece).await.is_ok() {
            written.fetch_add(piece.len(), Ordering::SeqCst);
        }
    });
    address
}
