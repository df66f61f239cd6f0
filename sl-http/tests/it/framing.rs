//! Messages without one certain body length are rejected.

use bytes::BytesMut;
use rstest::rstest;
use sl_http::{Framing, FramingError, Head, RequestHead, ResponseHead};

fn request(fields: &str) -> RequestHead {
    let text = format!("POST /a HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    RequestHead::parse(&mut BytesMut::from(text.as_bytes())).unwrap().unwrap()
}

fn response(status: u16, fields: &str) -> ResponseHead {
    let text = format!("HTTP/1.1 {status} Any\r\n{fields}\r\n");
    ResponseHead::parse(&mut BytesMut::from(text.as_bytes())).unwrap().unwrap()
}

#[rstest]
#[case::none("", Ok(Framing::Empty))]
#[case::length("Content-Length: 5\r\n", Ok(Framing::Length(5)))]
#[case::zero("Content-Length: 0\r\n", Ok(Framing::Empty))]
#[case::chunked("Transfer-Encoding: Chunked\r\n", Ok(Framing::Chunked))]
#[case::same_twice("Content-Length: 5\r\nContent-Length: 5\r\n", Ok(Framing::Length(5)))]
#[case::different(
    "Content-Length: 5\r\nContent-Length: 6\r\n",
    Err(FramingError::ConflictingLengths)
)]
#[case::both(
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    Err(FramingError::ConflictingLengths)
)]
#[case::both_reversed(
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
    Err(FramingError::ConflictingLengths)
)]
#[case::signed("Content-Length: +5\r\n", Err(FramingError::InvalidLength))]
#[case::list("Content-Length: 5, 5\r\n", Err(FramingError::InvalidLength))]
#[case::empty("Content-Length: \r\n", Err(FramingError::InvalidLength))]
#[case::huge("Content-Length: 99999999999999999999\r\n", Err(FramingError::InvalidLength))]
#[case::gzip("Transfer-Encoding: gzip, chunked\r\n", Err(FramingError::UnknownCoding))]
#[case::twice("Transfer-Encoding: chunked, chunked\r\n", Err(FramingError::UnknownCoding))]
#[case::unknown("Transfer-Encoding: xchunked\r\n", Err(FramingError::UnknownCoding))]
fn a_request_has_the_declared_framing_or_is_rejected(
    #[case] fields: &str,
    #[case] expected: Result<Framing, FramingError>,
) {
    assert_eq!(Framing::of_request(&request(fields)), expected);
}

#[rstest]
#[case::close(200, "", b"GET", Framing::UntilClose)]
#[case::head(200, "Content-Length: 5\r\n", b"HEAD", Framing::Empty)]
#[case::no_content(204, "", b"GET", Framing::Empty)]
#[case::not_modified(304, "Content-Length: 5\r\n", b"GET", Framing::Empty)]
#[case::interim(100, "", b"GET", Framing::Empty)]
#[case::length(500, "Content-Length: 5\r\n", b"GET", Framing::Length(5))]
fn a_response_has_the_framing_of_its_method_status_and_fields(
    #[case] status: u16,
    #[case] fields: &str,
    #[case] method: &[u8],
    #[case] expected: Framing,
) {
    assert_eq!(Framing::of_response(method, &response(status, fields)), Ok(expected));
}

/// Guards against a malformed length that reaches the caller of HEAD, as no body shows that it is
/// wrong.
#[rstest]
#[case::malformed("Content-Length: 12x\r\n", FramingError::InvalidLength)]
#[case::two("Content-Length: 1\r\nContent-Length: 2\r\n", FramingError::ConflictingLengths)]
fn a_response_without_a_body_has_a_valid_length(
    #[case] fields: &str,
    #[case] error: FramingError,
    #[values((200, "HEAD"), (304, "GET"), (204, "GET"))] (status, method): (u16, &str),
) {
    let head = response(status, fields);
    assert_eq!(Framing::of_response(method.as_bytes(), &head), Err(error));
}

#[rstest]
#[case("GET / HTTP/1.1\r\n\r\n", true)]
#[case("GET / HTTP/1.1\r\nConnection: x, Close\r\n\r\n", false)]
#[case("GET / HTTP/1.0\r\n\r\n", false)]
#[case("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", true)]
fn a_connection_is_kept_alive_unless_the_request_says_otherwise(
    #[case] text: &str,
    #[case] kept_alive: bool,
) {
    let head = RequestHead::parse(&mut BytesMut::from(text)).unwrap().unwrap();
    assert_eq!(head.keeps_alive(), kept_alive);
}
