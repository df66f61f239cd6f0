use sl_edge::sent_requests::{REQUESTS_MAX, SentMethod, SentRequests};

// A copy of the response to a request whose id was forgotten looks like the response to a later
// request with the same id.
#[test]
fn a_connection_knows_the_ids_of_all_its_requests() {
    let mut sent = SentRequests::default();
    for number in 0..REQUESTS_MAX {
        assert!(!sent.is_full());
        let id = number.to_string();
        assert!(!sent.contains(id.as_bytes()));
        sent.record(id.as_bytes(), if number == 0 { b"HEAD" } else { b"POST" });
    }
    assert!(sent.is_full());
    assert!((0..REQUESTS_MAX).all(|it| sent.contains(it.to_string().as_bytes())));
    assert_eq!(sent.method(b"0"), Some(SentMethod::Head));
    assert_eq!(sent.method(b"1"), Some(SentMethod::Other));
    assert_eq!(sent.method(b"another"), None);
}
