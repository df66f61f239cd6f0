//! Bodies over real sockets: complete ones are read, incomplete ones are reported as errors.

use std::time::Duration;

use rstest::rstest;
use sl_http::{Body, BodyError, Conn, Ending, Framing};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

async fn connected_pair() -> (TcpStream, Conn) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    (peer, Conn::new(accepted))
}

async fn read(framing: Framing, bytes: &[u8]) -> (Result<Vec<u8>, BodyError>, Option<Ending>) {
    let (mut peer, mut conn) = connected_pair().await;
    let bytes = bytes.to_vec();
    tokio::spawn(async move {
        // Single bytes make the reader stop at every position.
        for byte in bytes {
            peer.write_all(&[byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
    });
    let mut body = Body::new(framing);
    let read = body.collect(&mut conn, 1_000).await;
    (read.map(|it| it.to_vec()), body.ending())
}

#[rstest]
#[case::length(Framing::Length(5), b"hello", b"hello", Ending::Framed)]
#[case::chunked(
    Framing::Chunked,
    b"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: t\r\n\r\n",
    b"hello",
    Ending::Framed
)]
#[case::none(Framing::Empty, b"", b"", Ending::Framed)]
#[case::close(Framing::UntilClose, b"hello", b"hello", Ending::Closed)]
#[tokio::test]
async fn a_complete_body_is_read(
    #[case] framing: Framing,
    #[case] sent: &[u8],
    #[case] expected: &[u8],
    #[case] ending: Ending,
) {
    let (read, actual) = read(framing, sent).await;
    assert_eq!(read.unwrap(), expected);
    assert_eq!(actual, Some(ending));
}

#[rstest]
#[case::short(Framing::Length(6), b"hello")]
#[case::no_last_chunk(Framing::Chunked, b"5\r\nhello\r\n")]
#[case::half_a_chunk(Framing::Chunked, b"5\r\nhel")]
#[case::no_trailer_end(Framing::Chunked, b"0\r\n")]
#[case::invalid_size(Framing::Chunked, b"x\r\nhello\r\n0\r\n\r\n")]
#[case::signed_size(Framing::Chunked, b"+5\r\nhello\r\n0\r\n\r\n")]
#[case::no_crlf_after_chunk(Framing::Chunked, b"5\r\nhello0\r\n\r\n")]
#[case::over_limit(Framing::Length(1_001), b"")]
#[case::oversized_chunk(Framing::Chunked, b"fffffffff\r\n")]
#[tokio::test]
async fn an_incomplete_body_is_an_error(#[case] framing: Framing, #[case] sent: &[u8]) {
    let (read, ending) = read(framing, sent).await;
    assert!(read.is_err(), "{read:?}");
    assert_eq!(ending, None);
}

#[tokio::test]
async fn a_reset_does_not_end_a_body() {
    let (mut peer, mut conn) = connected_pair().await;
    peer.write_all(b"hello").await.unwrap();
    peer.set_zero_linger().unwrap();
    let mut body = Body::new(Framing::UntilClose);
    assert_eq!(&body.next(&mut conn).await.unwrap().unwrap()[..], b"hello");
    drop(peer);
    assert!(body.next(&mut conn).await.is_err());
}

#[tokio::test]
async fn only_an_open_connection_without_received_bytes_is_idle() {
    let (mut peer, conn) = connected_pair().await;
    assert!(conn.is_idle());
    peer.write_all(b"x").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!conn.is_idle());
    let (peer, conn) = connected_pair().await;
    drop(peer);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!conn.is_idle());
}

#[tokio::test]
async fn waiting_for_close_keeps_received_bytes() {
    let (mut peer, mut conn) = connected_pair().await;
    peer.write_all(b"next").await.unwrap();
    let waited = tokio::time::timeout(Duration::from_millis(50), conn.closed(100)).await;
    assert!(waited.is_err(), "the peer has not closed the connection");
    assert_eq!(&conn.buffered()[..], b"next");
    drop(peer);
    tokio::time::timeout(Duration::from_secs(5), conn.closed(100)).await.unwrap();
}

#[tokio::test]
async fn writing_stops_when_the_peer_responds_early() {
    let (mut peer, mut conn) = connected_pair().await;
    peer.write_all(b"HTTP/1.1 413 No\r\n\r\n").await.unwrap();
    // Larger than the socket buffers of both sides together.
    let large = vec![0; 64 << 20];
    let writing = conn.write_until_response(&large);
    let written = tokio::time::timeout(Duration::from_secs(5), writing).await.unwrap().unwrap();
    assert!(written < large.len());
}
