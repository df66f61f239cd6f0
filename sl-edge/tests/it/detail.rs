//! Which log lines about requests are written at a high rate of requests.

use sl_base::{Millis, RequestId, Timestamp};
use sl_edge::detail::{NOTABLE_LINES_PER_SECOND_MAX, ORDINARY_LINES_PER_SECOND_MAX, TailSampler};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

/// A sampler that has reached the limit for ordinary requests in the current second.
fn full() -> TailSampler<&'static str> {
    let mut sampler = TailSampler::new(at(0));
    for number in 0..u64::from(ORDINARY_LINES_PER_SECOND_MAX) {
        assert_eq!(sampler.record(at(0), RequestId(number), "line"), Some("line"));
    }
    sampler
}

#[test]
fn below_the_limit_lines_are_written_at_once() {
    let mut sampler = TailSampler::new(at(0));
    assert_eq!(sampler.record(at(1), RequestId(1), "sent"), Some("sent"));
    assert_eq!(sampler.finish(at(2), Some(RequestId(1)), false), Some(vec![]));
    assert_eq!(sampler.take_dropped(), 0);
}

#[test]
fn above_the_limit_all_lines_of_failed_requests_are_written_and_no_others() {
    let mut sampler = full();
    for request in [RequestId(1_000), RequestId(1_001)] {
        for line in ["admitted", "sent"] {
            assert_eq!(sampler.record(at(10), request, line), None);
        }
    }
    assert_eq!(sampler.finish(at(20), Some(RequestId(1_000)), false), None);
    assert_eq!(sampler.take_dropped(), 3);
    let written = sampler.finish(at(20), Some(RequestId(1_001)), true).unwrap();
    let written: Vec<_> = written.iter().map(|it| (it.at, it.line)).collect();
    assert_eq!(written, [(at(10), "admitted"), (at(10), "sent")]);
    assert_eq!(sampler.take_dropped(), 0);
}

#[test]
fn buffered_lines_of_a_request_are_written_together_in_the_next_second() {
    let mut sampler = full();
    sampler.record(at(990), RequestId(1_000), "admitted");
    assert_eq!(sampler.record(at(1_010), RequestId(1_000), "sent"), None);
    let written = sampler.finish(at(1_020), Some(RequestId(1_000)), false).unwrap();
    assert_eq!(written.len(), 2);
}

#[test]
fn lines_per_second_are_bounded_even_if_all_requests_fail() {
    let mut sampler = TailSampler::new(at(0));
    let (mut written, mut dropped) = (0, 0);
    for number in 0..10_000 {
        let request = RequestId(number);
        written += u32::from(sampler.record(at(5), request, "admitted").is_some());
        match sampler.finish(at(5), Some(request), true) {
            Some(buffered) => written += buffered.len() as u32 + 1,
            None => dropped += 1,
        }
    }
    assert!(written <= NOTABLE_LINES_PER_SECOND_MAX, "{written}");
    assert!(dropped > 0 && sampler.take_dropped() > dropped);
}

#[test]
fn discarding_a_request_drops_and_counts_its_buffered_lines() {
    let mut sampler = full();
    sampler.record(at(10), RequestId(1_000), "admitted");
    sampler.discard(RequestId(1_000));
    assert_eq!(sampler.take_dropped(), 1);
    assert_eq!(sampler.finish(at(20), Some(RequestId(1_000)), true), Some(vec![]));
}
