//! A message that stops at any byte is not whole, whether its connection is closed or reset then,
//! or the server goes on with another response.

use bytes::{Bytes, BytesMut};
use rstest::rstest;
use sl_http::{Body, BodyError, Conn, Framing, Head, HeadError, ResponseHead};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1b2\r\nContent-Length: 1234\r\n\r\n";

/// An error with a body, which a server writes after it has stopped in a response.
const ERROR: &str = "HTTP/1.1 500 Failed\r\nX-Attempt-Id: a1b2\r\nContent-Length: 2\r\n\r\nno";

const CHUNKS: &str = "5;x=y\r\nhello\r\na\r\n0123456789\r\n0\r\nT: t\r\nU: 1\r\n\r\n";

/// A connection on which `bytes` arrive before its end.
async fn conn_with(bytes: &[u8], is_reset: bool) -> Conn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let conn = Conn::new(listener.accept().await.unwrap().0);
    peer.write_all(bytes).await.unwrap();
    if is_reset {
        peer.set_zero_linger().unwrap();
    }
    conn
}

/// Guards against a head without its last fields that is taken for a whole one: its body would be
/// empty, or end too early.
#[rstest]
#[case::crlf(HEAD.to_owned())]
#[case::lf(HEAD.replace("\r\n", "\n"))]
#[tokio::test]
async fn a_head_that_stops_at_any_byte_is_an_error(
    #[case] head: String,
    #[values(false, true)] is_reset: bool,
) {
    for len in 0..head.len() {
        let mut conn = conn_with(&head.as_bytes()[..len], is_reset).await;
        let error = conn.read_head::<ResponseHead>(1_000).await.unwrap_err();
        let is_end = matches!(error, HeadError::Closed | HeadError::Truncated | HeadError::Io(_));
        assert!(is_end, "{len}: {error}");
        assert!(len == 0 || !matches!(error, HeadError::Closed), "{len}: {error}");
    }
    let mut conn = conn_with(head.as_bytes(), is_reset).await;
    assert_eq!(conn.read_head::<ResponseHead>(1_000).await.unwrap().status, 200);
}

/// Guards against a success with the fields and the body of an error.
#[rstest]
#[case::crlf(HEAD.to_owned())]
#[case::lf(HEAD.replace("\r\n", "\n"))]
fn a_head_is_not_joined_to_another_one(#[case] head: String) {
    for len in 1..head.len() {
        let mut buf = BytesMut::from(&*format!("{}{ERROR}", &head[..len]));
        let parsed = ResponseHead::parse(&mut buf);
        assert!(parsed.is_err(), "{len}: {parsed:?}");
    }
}

async fn read_body(framing: Framing, bytes: &[u8], is_reset: bool) -> Result<Bytes, BodyError> {
    let mut conn = conn_with(bytes, is_reset).await;
    Body::new(framing).collect(&mut conn, 1_000).await
}

/// Guards against a body that ends early and is taken for a whole one.
#[rstest]
#[case::length(Framing::Length(20), "hello, hello, hello!", 20)]
#[case::chunks(Framing::Chunked, CHUNKS, CHUNKS.len())]
#[tokio::test]
async fn a_body_that_stops_at_any_byte_is_an_error(
    #[case] framing: Framing,
    #[case] body: &str,
    #[case] whole_len: usize,
    #[values(false, true)] is_reset: bool,
) {
    for len in 0..=body.len() {
        let read = read_body(framing, &body.as_bytes()[..len], is_reset).await;
        assert_eq!(read.is_ok(), len == whole_len, "{len}: {read:?}");
    }
}

/// Guards against a reset that is taken for the end of a body without a length.
#[tokio::test]
async fn only_a_close_in_order_ends_a_body_without_a_length() {
    for len in 0..5 {
        let read = read_body(Framing::UntilClose, &b"hello"[..len], true).await;
        assert!(read.is_err(), "{len}: {read:?}");
        let read = read_body(Framing::UntilClose, &b"hello"[..len], false).await;
        assert_eq!(read.unwrap().len(), len);
    }
}

/// Guards against a status line that is taken for a trailer.
#[tokio::test]
async fn chunks_are_not_joined_to_another_response() {
    for len in 0..CHUNKS.len() {
        let bytes = format!("{}{ERROR}", &CHUNKS[..len]);
        let read = read_body(Framing::Chunked, bytes.as_bytes(), false).await;
        assert!(read.is_err(), "{len}: {read:?}");
    }
}

/// Guards against sound trailers and fields that are refused.
#[rstest]
#[case::names("X-Any_1!: x\r\nabc:\r\n")]
#[case::version("Via: HTTP/1.1 proxy\r\n")]
#[tokio::test]
async fn sound_fields_are_accepted(#[case] fields: &str) {
    let body = format!("0\r\n{fields}\r\n");
    assert_eq!(read_body(Framing::Chunked, body.as_bytes(), false).await.unwrap(), "");
    let head = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
    assert!(ResponseHead::parse(&mut BytesMut::from(&*head)).unwrap().is_some());
}

// Guards against a reset that a write has noticed and a read takes for an orderly end: the system reports it
// once, and a body without a length would look complete.
#[tokio::test]
async fn an_end_after_a_failed_write_is_no_orderly_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut conn = Conn::new(listener.accept().await.unwrap().0);
    peer.write_all(b"a part").await.unwrap();
    let mut body = Body::new(Framing::UntilClose);
    assert_eq!(body.next(&mut conn).await.unwrap().unwrap(), "a part");
    peer.set_zero_linger().unwrap();
    drop(peer);
    let upload = vec![0; 1 << 20];
    while conn.write(&upload).await.is_ok() {}
    let end = body.next(&mut conn).await;
    assert!(end.is_err(), "{end:?}");
}
