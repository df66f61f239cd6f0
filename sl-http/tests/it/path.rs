use rstest::rstest;
use sl_http::has_dot_segment;

/// A server that resolves dots would run a request on another route than the one that decided
/// whether it may be repeated.
#[rstest]
#[case::parent("/status/../book/1")]
#[case::current("/status/./1")]
#[case::at_the_end("/status/..")]
#[case::encoded_dots("/status/%2e%2E/book/1")]
#[case::half_encoded("/status/.%2e/book/1")]
#[case::encoded_slash("/status/..%2fbook/1")]
#[case::both_encoded("/status%2F%2e%2e%2Fbook/1")]
#[case::backslash("/status/..\\book/1")]
#[case::encoded_backslash("/status/..%5Cbook/1")]
fn a_dot_segment_is_found(#[case] path: &str) {
    assert!(has_dot_segment(path));
}

#[rstest]
#[case::plain("/status/7")]
#[case::dots_in_a_name("/status/v1.2..3/a.b")]
#[case::three_dots("/status/.../7")]
#[case::encoded_slash("/status/a%2Fb")]
#[case::encoded_twice("/status/%252e%252e/7")]
#[case::not_an_escape("/status/%zz/7")]
#[case::empty("")]
fn other_paths_have_one_reading(#[case] path: &str) {
    assert!(!has_dot_segment(path));
}
