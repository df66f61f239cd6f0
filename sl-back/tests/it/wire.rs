//! What hyper and reqwest do on the wire, against bare sockets that count what they read.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use rstest::rstest;
use sl_back::{Client, Options};
use sl_base::{Millis, Timestamp};
use sl_step::event::AttemptEnd;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
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
    /// Answers, and closes the idle connection at once without having said so.
    AnswerThenClose,
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
    while read_request(&mut socket).await {
        seen.requests.fetch_add(1, Ordering::SeqCst);
        let answer = match then {
            Then::Close => return,
            Then::AnswerThenCloseOnNext if served > 0 => return,
            Then::AnswerThenCloseOnNext | Then::AnswerThenClose => OK,
            Then::Short => "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfour",
            Then::Redirect => "HTTP/1.1 302 Found\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n",
        };
        socket.write_all(answer.as_bytes()).await.unwrap();
        if matches!(then, Then::AnswerThenClose | Then::Short) {
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
    let first = go(
        &client,
        &dispatch(address),
        forward.clone(),
        &mut Sink::default(),
    )
    .await;
    assert!(matches!(first, AttemptEnd::Complete { status: 200, .. }));
    let second = go(&client, &dispatch(address), forward, &mut Sink::default()).await;
    assert_eq!(second, AttemptEnd::LostBeforeAnswer);
    assert_eq!(
        seen.requests.load(Ordering::SeqCst),
        2,
        "each was read once"
    );
    assert_eq!(
        seen.connections.load(Ordering::SeqCst),
        1,
        "the second reused it"
    );
}

#[tokio::test]
async fn a_non_idempotent_request_takes_a_fresh_connection() {
    let (address, seen) = server(Then::AnswerThenCloseOnNext).await;
    let client = client();
    for sent in 1..=3 {
        let end = go(
            &client,
            &dispatch(address),
            booking("{}"),
            &mut Sink::default(),
        )
        .await;
        assert!(matches!(end, AttemptEnd::Complete { status: 200, .. }));
        assert_eq!(seen.connections.load(Ordering::SeqCst), sent);
    }
    assert_eq!(seen.requests.load(Ordering::SeqCst), 3);
}

// The server closes each connection as soon as it falls idle, so that the next request
// races the close. Whatever wins: a request is read once, or provably not at all.
#[tokio::test]
async fn a_race_with_an_idle_close_never_runs_a_request_twice() {
    let (address, seen) = server(Then::AnswerThenClose).await;
    let client = client();
    let mut forward = booking("{}");
    forward.idempotent = true;
    let (mut complete, mut lost, mut unsent) = (0, 0, 0);
    for _ in 0..300 {
        let before = seen.requests.load(Ordering::SeqCst);
        let end = go(
            &client,
            &dispatch(address),
            forward.clone(),
            &mut Sink::default(),
        )
        .await;
        let reads = seen.requests.load(Ordering::SeqCst) - before;
        match end {
            AttemptEnd::Complete { .. } => complete += 1,
            AttemptEnd::LostBeforeAnswer => lost += 1,
            AttemptEnd::NotSent => unsent += 1,
            other => panic!("{other:?}"),
        }
        assert!(reads <= 1, "read {reads} times");
        assert_eq!(matches!(end, AttemptEnd::Complete { .. }), reads == 1);
    }
    assert_eq!(complete + lost + unsent, 300);
}

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
    let client = Client::new(Options::default(), clock).unwrap();
    let end = client
        .run(&dispatch, booking("{}"), &mut Sink::default(), pending())
        .await;
    assert_eq!(end, AttemptEnd::NotSent);
    assert!(server.await.unwrap().is_empty());
}

// A listener whose queue of pending connections is full leaves a connection hanging.
#[tokio::test]
async fn a_slot_that_ends_while_connecting_is_not_sent() {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let full = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    for _ in 0..4 {
        let full = full.clone();
        tokio::spawn(async move {
            if let Ok(it) = TcpStream::connect(address).await {
                full.lock().unwrap().push(it);
            }
        });
    }
    until("the queue is full", || full.lock().unwrap().len() >= 2).await;
    let mut dispatch = dispatch(address);
    dispatch.dispatch_by = now().after(Millis(200));
    let end = go(&client(), &dispatch, booking("{}"), &mut Sink::default()).await;
    assert_eq!(end, AttemptEnd::NotSent);
}
