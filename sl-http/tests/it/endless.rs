//! Bytes without end, as a server in trouble sends them: every reader stops at a limit.

use std::time::Duration;

use rstest::rstest;
use sl_http::{Body, BodyError, Conn, Framing, ResponseHead};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::timeout,
};

/// Bytes after which the peer stops: far more than any limit that these tests check.
const SENT_BYTES_MAX: usize = 4 << 20;

/// How long a reader may take to reach its limit, even on a busy machine.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection whose peer sends `start`, then `repeated` over and over until the reader closes
/// the connection, and at most [`SENT_BYTES_MAX`] bytes.
async fn connect_to_endless(start: &'static [u8], repeated: &'static [u8]) -> Conn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let conn = Conn::new(listener.accept().await.unwrap().0);
    tokio::spawn(async move {
        let _ = peer.write_all(start).await;
        let block = repeated.repeat(1_000);
        let mut sent = 0;
        while sent < SENT_BYTES_MAX && peer.write_all(&block).await.is_ok() {
            sent += block.len();
        }
    });
    conn
}

/// Guards against bytes that count towards no body size: trailers and chunk extensions without
/// end would be read until the server stops, whatever the limit of the body.
#[rstest]
#[case::trailers(b"0\r\n", b"X-A: b\r\n")]
#[case::unnamed_trailers(b"0\r\n", b"zzzzzzzz\r\n")]
#[case::extensions(b"", b"1;extension=extension\r\nx\r\n")]
#[case::one_extension(b"1;", b"x")]
#[tokio::test]
async fn discarded_parts_of_a_chunked_body_are_limited(
    #[case] start: &'static [u8],
    #[case] repeated: &'static [u8],
) {
    let mut conn = connect_to_endless(start, repeated).await;
    let mut body = Body::new(Framing::Chunked);
    let read = timeout(READ_TIMEOUT, body.collect(&mut conn, SENT_BYTES_MAX)).await.unwrap();
    assert!(matches!(read, Err(BodyError::Malformed)), "{read:?}");
    assert_eq!(body.ending(), None);
}

/// How long the reader of the next test may read. It stops by itself afterwards, because it
/// would otherwise never end if it never yielded.
const READ_DEADLINE: Duration = Duration::from_millis(100);

/// Guards against a connection that occupies the thread for as long as its peer sends: the
/// instance has one thread, and a timeout elapses only when the read inside it yields.
#[tokio::test]
async fn a_timeout_elapses_while_bytes_arrive_without_a_pause() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let accepted = listener.accept().unwrap().0;
    accepted.set_nonblocking(true).unwrap();
    let socket = accepted.try_clone().unwrap();
    let mut conn = Conn::new(TcpStream::from_std(accepted).unwrap());
    std::thread::spawn(move || while std::io::Write::write(&mut peer, &[0; 1 << 20]).is_ok() {});
    let started_at = std::time::Instant::now();
    let reading = async {
        while started_at.elapsed() < 10 * READ_DEADLINE {
            // Blocks the thread, so that the read never has to wait.
            while socket.peek(&mut [0]).is_err() {
                std::thread::sleep(Duration::from_micros(50));
            }
            conn.fill().await.unwrap();
            conn.buffered().clear();
        }
    };
    let read = timeout(READ_DEADLINE, reading).await;
    assert!(read.is_err(), "the timeout did not elapse");
}

/// Guards against a buffer of many small chunks that is decoded without a pause, while nobody
/// else is served.
#[tokio::test]
async fn other_tasks_run_while_buffered_chunks_are_decoded() {
    const CHUNKS: usize = 10_000;
    let mut conn = connect_to_endless(b"", b"x").await;
    conn.buffered().extend_from_slice(&b"1\r\nx\r\n".repeat(CHUNKS));
    conn.buffered().extend_from_slice(b"0\r\n\r\n");
    let turns = std::rc::Rc::new(std::cell::Cell::new(0));
    let counted = turns.clone();
    let counting = async move {
        loop {
            counted.set(counted.get() + 1);
            tokio::task::yield_now().await;
        }
    };
    let local = tokio::task::LocalSet::new();
    local.spawn_local(counting);
    let mut body = Body::new(Framing::Chunked);
    let collected = local.run_until(body.collect(&mut conn, CHUNKS)).await.unwrap();
    assert_eq!(collected.len(), CHUNKS);
    assert!(turns.get() > 10, "other tasks had {} turns", turns.get());
}

/// Size of the head of the next test, in bytes.
const LONG_HEAD_BYTES: usize = 1 << 20;

/// Guards against a head in small pieces that occupies the processor: parsing it from the start
/// with each piece takes quadratic time.
#[tokio::test]
async fn the_time_to_read_a_head_grows_with_its_size_only() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    peer.set_nodelay(true).unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    tokio::spawn(async move {
        peer.write_all(b"HTTP/1.1 200 OK\r\nA: ").await.unwrap();
        for _ in 0..LONG_HEAD_BYTES / 64 {
            peer.write_all(&[b'x'; 64]).await.unwrap();
            // The reader gets each piece by itself.
            tokio::task::yield_now().await;
        }
        let _ = peer.write_all(b"\r\n\r\n").await;
        // Keeps the connection open until the reader is done.
        std::future::pending::<()>().await;
    });
    let reading = conn.read_head::<ResponseHead>(2 * LONG_HEAD_BYTES);
    let head = timeout(READ_TIMEOUT, reading).await.unwrap().unwrap();
    assert_eq!(head.headers.get("A").unwrap().len(), LONG_HEAD_BYTES);
}
