//! Bodies over real sockets, whole or known not to be.

use std::time::Duration;

use rstest::rstest;
use sl_http::{Body, BodyError, Conn, Ending, Framing};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

async fn pair() -> (TcpStream, Conn) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let there = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (here, _) = listener.accept().await.unwrap();
    (there, Conn::new(here))
}

async fn read(framing: Framing, bytes: &[u8]) -> (Result<Vec<u8>, BodyError>, Option<Ending>) {
    let (mut there, mut conn) = pair().await;
    let bytes = bytes.to_vec();
    tokio::spawn(async move {
        // Byte by byte, so that every place is a place to stop at.
        for byte in bytes {
            there.write_all(&[byte]).await.unwrap();
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
async fn a_whole_body(
    #[case] framing: Framing,
    #[case] sent: &[u8],
    #[case] wanted: &[u8],
    #[case] ending: Ending,
) {
    let (read, ended) = read(framing, sent).await;
    assert_eq!(read.unwrap(), wanted);
    assert_eq!(ended, Some(ending));
}

#[rstest]
#[case::short(Framing::Length(6), b"hello")]
#[case::no_last_chunk(Framing::Chunked, b"5\r\nhello\r\n")]
#[case::half_a_chunk(Framing::Chunked, b"5\r\nhel")]
#[case::no_trailer_end(Framing::Chunked, b"0\r\n")]
#[case::size(Framing::Chunked, b"x\r\nhello\r\n0\r\n\r\n")]
#[case::signed_size(Framing::Chunked, b"+5\r\nhello\r\n0\r\n\r\n")]
#[case::no_break(Framing::Chunked, b"5\r\nhello0\r\n\r\n")]
#[case::large(Framing::Length(1_001), b"")]
#[case::large_chunk(Framing::Chunked, b"fffffffff\r\n")]
#[tokio::test]
async fn a_body_that_is_not_whole(#[case] framing: Framing, #[case] sent: &[u8]) {
    let (read, ended) = read(framing, sent).await;
    assert!(read.is_err(), "{read:?}");
    assert_eq!(ended, None);
}

#[tokio::test]
async fn a_connection_that_was_reset_is_no_end() {
    let (mut there, mut conn) = pair().await;
    there.write_all(b"hello").await.unwrap();
    there.set_zero_linger().unwrap();
    let mut body = Body::new(Framing::UntilClose);
    assert_eq!(&body.next(&mut conn).await.unwrap().unwrap()[..], b"hello");
    drop(there);
    assert!(body.next(&mut conn).await.is_err());
}

#[tokio::test]
async fn a_quiet_connection_is_told_from_others() {
    let (mut there, mut conn) = pair().await;
    assert!(conn.is_idle());
    there.write_all(b"x").await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!conn.is_idle());
    let (there, mut conn) = pair().await;
    drop(there);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!conn.is_idle());
}

#[tokio::test]
async fn what_comes_while_waiting_is_kept_and_an_end_is_seen() {
    let (mut there, mut conn) = pair().await;
    there.write_all(b"next").await.unwrap();
    let waited = tokio::time::timeout(Duration::from_millis(50), conn.closed(100)).await;
    assert!(waited.is_err(), "the other side is still there");
    assert_eq!(&conn.buffered()[..], b"next");
    drop(there);
    tokio::time::timeout(Duration::from_secs(5), conn.closed(100)).await.unwrap();
}

#[tokio::test]
async fn writing_stops_where_the_other_side_answers_early() {
    let (mut there, mut conn) = pair().await;
    there.write_all(b"HTTP/1.1 413 No\r\n\r\n").await.unwrap();
    // More than any buffer between the two takes.
    let large = vec![0; 64 << 20];
    let writing = conn.write_until_response(&large);
    let written = tokio::time::timeout(Duration::from_secs(5), writing).await.unwrap().unwrap();
    assert!(written < large.len());
}
