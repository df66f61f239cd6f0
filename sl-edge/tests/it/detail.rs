//! What is written down of requests when there are many.

use sl_base::{Millis, RequestId, Timestamp};
use sl_edge::detail::{ORDINARY_LINES_PER_SECOND, REQUEST_LINES_PER_SECOND, TailSampler};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

/// A detail whose ordinary lines of this second are written.
fn full() -> TailSampler<&'static str> {
    let mut detail = TailSampler::new(at(0));
    for number in 0..u64::from(ORDINARY_LINES_PER_SECOND) {
        assert_eq!(detail.offer(at(0), RequestId(number), "line"), Some("line"));
    }
    detail
}

#[test]
fn few_lines_are_written_as_they_come() {
    let mut detail = TailSampler::new(at(0));
    assert_eq!(detail.offer(at(1), RequestId(1), "sent"), Some("sent"));
    assert_eq!(detail.finish(at(2), Some(RequestId(1)), false), Some(vec![]));
    assert_eq!(detail.take_left_out(), 0);
}

#[test]
fn beyond_the_bound_only_requests_that_failed_are_told_of_and_these_whole() {
    let mut detail = full();
    for request in [RequestId(1_000), RequestId(1_001)] {
        for line in ["admitted", "sent"] {
            assert_eq!(detail.offer(at(10), request, line), None);
        }
    }
    assert_eq!(detail.finish(at(20), Some(RequestId(1_000)), false), None);
    assert_eq!(detail.take_left_out(), 3);
    let told = detail.finish(at(20), Some(RequestId(1_001)), true).unwrap();
    let told: Vec<_> = told.iter().map(|it| (it.at, it.line)).collect();
    assert_eq!(told, [(at(10), "admitted"), (at(10), "sent")]);
    assert_eq!(detail.take_left_out(), 0);
}

#[test]
fn a_request_whose_lines_wait_is_told_of_in_order_also_in_the_next_second() {
    let mut detail = full();
    detail.offer(at(990), RequestId(1_000), "admitted");
    assert_eq!(detail.offer(at(1_010), RequestId(1_000), "sent"), None);
    let told = detail.finish(at(1_020), Some(RequestId(1_000)), false).unwrap();
    assert_eq!(told.len(), 2);
}

#[test]
fn lines_a_second_are_bounded_whatever_fails() {
    let mut detail = TailSampler::new(at(0));
    let (mut written, mut left_out) = (0, 0);
    for number in 0..10_000 {
        let request = RequestId(number);
        written += u32::from(detail.offer(at(5), request, "admitted").is_some());
        match detail.finish(at(5), Some(request), true) {
            Some(kept) => written += kept.len() as u32 + 1,
            None => left_out += 1,
        }
    }
    assert!(written <= REQUEST_LINES_PER_SECOND, "{written}");
    assert!(left_out > 0 && detail.take_left_out() > left_out);
}

#[test]
fn a_request_that_just_goes_leaves_nothing_behind() {
    let mut detail = full();
    detail.offer(at(10), RequestId(1_000), "admitted");
    detail.discard(RequestId(1_000));
    assert_eq!(detail.take_left_out(), 1);
    assert_eq!(detail.finish(at(20), Some(RequestId(1_000)), true), Some(vec![]));
}
