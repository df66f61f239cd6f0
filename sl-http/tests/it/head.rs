//! Heads are parsed strictly and written back unchanged.

use bytes::BytesMut;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use sl_http::{Head, MalformedHead, RequestHead, ResponseHead};

#[test]
fn a_head_is_written_back_unchanged() {
    let text = b"POST /a%20b?c=d HTTP/1.1\r\nHoSt: x\r\nX-Any: \xff\xfe\r\nX-Any: 2\r\n\r\nrest";
    let mut buf = BytesMut::from(&text[..]);
    let head = RequestHead::parse(&mut buf).unwrap().unwrap();
    assert_eq!(&buf[..], b"rest");
    let mut written = BytesMut::new();
    head.write(&mut written);
    assert_eq!(&written[..], &text[..text.len() - 4]);
    assert_eq!(head.headers.only("x-any"), None, "a repeated field has no single value");
    assert_eq!(head.headers.only("host"), Some("x"));
}

#[rstest]
#[case::space_before_colon("GET / HTTP/1.1\r\nHost : a\r\n\r\n")]
#[case::folded("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n")]
#[case::control("GET / HTTP/1.1\r\nA: b\0c\r\n\r\n")]
#[case::carriage_return("GET / HTTP/1.1\r\nA: b\rc\r\n\r\n")]
#[case::version("GET / HTTP/2.0\r\n\r\n")]
fn a_malformed_head_is_rejected(#[case] text: &str) {
    assert_eq!(RequestHead::parse(&mut BytesMut::from(text)), Err(MalformedHead));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0001),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn parsing_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) {
        let _ = RequestHead::parse(&mut BytesMut::from(&bytes[..]));
        let _ = ResponseHead::parse(&mut BytesMut::from(&bytes[..]));
    }

    #[test]
    fn a_head_received_in_two_parts_parses_the_same(cut in 0_usize..60) {
        let text = b"HTTP/1.1 200 Fine Indeed\r\nA: b\r\nContent-Length: 3\r\n\r\n";
        let mut buf = BytesMut::from(&text[..cut.min(text.len() - 1)]);
        prop_assert_eq!(ResponseHead::parse(&mut buf), Ok(None));
        buf.extend_from_slice(&text[buf.len()..]);
        let head = ResponseHead::parse(&mut buf).unwrap().unwrap();
        prop_assert_eq!((head.status, &head.reason[..]), (200, &b"Fine Indeed"[..]));
        prop_assert!(buf.is_empty());
    }
}
