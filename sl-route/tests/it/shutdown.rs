//! A request that is accepted during a graceful shutdown can be answered before its end.

use proptest::prelude::*;
use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_route::shutdown::{Candidate, Options, Phase, Shutdown, StopRequest};

const OPTIONS: Options = Options { drain_timeout: Millis(7_400), balancer_delay: Millis(2_600) };

fn start() -> Timestamp {
    Timestamp::from_micros(1_000_000_000)
}

fn at(ms: u64) -> Timestamp {
    start().after(Millis(ms))
}

/// A request that arrives `arrival_ms` after the start and is due `timeout_ms` later.
fn candidate(arrival_ms: u64, timeout_ms: u64) -> Candidate {
    let deadline = at(arrival_ms + timeout_ms);
    Candidate { arrived_at: at(arrival_ms), deadline, is_resumable: false }
}

/// A shutdown with a request in flight all the while, at `now_ms`.
fn busy_shutdown(now_ms: u64) -> Shutdown {
    let mut shutdown = Shutdown::begin(start(), StopRequest::Terminate, OPTIONS);
    shutdown.advance(at(now_ms), true);
    shutdown
}

// Requests with a timeout of 800 ms that were accepted 7.3 s after SIGTERM had no answer at the
// exit, 7.55 s after it.
#[rstest]
#[case::early(0, 800, true)]
#[case::the_last_to_fit(6_500, 800, true)]
#[case::late(6_501, 800, false)]
#[case::just_before_the_end(7_390, 800, false)]
#[case::short(7_000, 300, true)]
#[case::long(0, 10_000, false)]
fn a_request_is_accepted_only_if_it_is_due_before_the_end(
    #[case] arrival_ms: u64,
    #[case] timeout_ms: u64,
    #[case] expected: bool,
) {
    let shutdown = busy_shutdown(arrival_ms);
    assert_eq!(shutdown.accepts(at(arrival_ms), candidate(arrival_ms, timeout_ms)), expected);
}

#[rstest]
#[case::while_the_balancer_sends_connections(2_500, true)]
#[case::once_callers_have_moved(2_600, false)]
fn a_stream_that_can_be_resumed_elsewhere_is_accepted_at_first(
    #[case] arrival_ms: u64,
    #[case] expected: bool,
) {
    let stream = Candidate { is_resumable: true, ..candidate(arrival_ms, 12_000) };
    assert_eq!(busy_shutdown(arrival_ms).accepts(at(arrival_ms), stream), expected);
}

#[rstest]
#[case::time_left(5_300, true)]
#[case::too_late(5_401, false)]
fn a_request_whose_head_was_read_before_the_start_is_accepted_with_time_left(
    #[case] now_ms: u64,
    #[case] expected: bool,
) {
    let arrived_at = start().before(Millis(1));
    let upload = Candidate { arrived_at, ..candidate(0, 8_000) };
    assert_eq!(busy_shutdown(now_ms).accepts(at(now_ms), upload), expected);
}

// A second SIGTERM ended the process at once, with all requests in flight.
#[rstest]
#[case::sigterm(StopRequest::Terminate)]
#[case::drain(StopRequest::Drain(None))]
#[case::longer_drain(StopRequest::Drain(Some(Millis(60_000))))]
fn a_further_request_for_a_shutdown_never_lengthens_it(#[case] request: StopRequest) {
    let mut shutdown = busy_shutdown(1_000);
    shutdown.request(at(1_000), request, OPTIONS);
    assert_eq!(shutdown.ends_at(), at(7_400));
    assert_eq!(shutdown.advance(at(7_399), true), Phase::ClosingIdle);
    assert_eq!(shutdown.advance(at(7_400), true), Phase::Terminating);
}

// After a reload, a further SIGTERM took the time from requests that had been accepted.
#[test]
fn a_further_sigterm_does_not_shorten_a_shutdown() {
    let mut shutdown = busy_shutdown(3_000);
    let shorter = Options { drain_timeout: Millis(400), ..OPTIONS };
    shutdown.request(at(3_000), StopRequest::Terminate, shorter);
    assert_eq!(shutdown.ends_at(), at(7_400));
}

#[test]
fn only_the_first_sigterm_shortens_the_drain_of_an_operator() {
    let drain = StopRequest::Drain(Some(Millis(60_000)));
    let mut shutdown = Shutdown::begin(start(), drain, OPTIONS);
    shutdown.request(at(10_000), StopRequest::Terminate, OPTIONS);
    assert_eq!(shutdown.ends_at(), at(17_400));
    shutdown.request(at(11_000), StopRequest::Terminate, OPTIONS);
    assert_eq!(shutdown.ends_at(), at(17_400));
}

#[test]
fn callers_get_time_to_move_even_if_an_operator_grants_less() {
    let drain = StopRequest::Drain(Some(Millis(500)));
    let mut shutdown = Shutdown::begin(start(), drain, OPTIONS);
    assert_eq!(shutdown.advance(at(2_699), false), Phase::ClosingIdle);
    assert!(shutdown.accepts(at(2_000), candidate(2_000, 500)));
    assert_eq!(shutdown.advance(at(2_700), false), Phase::Terminating);
}

// The platform ends the process when its grace period is over.
#[test]
fn a_short_grace_period_ends_the_shutdown_before_callers_have_moved() {
    let options = Options { drain_timeout: Millis(500), ..OPTIONS };
    let mut shutdown = Shutdown::begin(start(), StopRequest::Terminate, options);
    assert_eq!(shutdown.advance(at(600), true), Phase::Terminating);
}

#[test]
fn an_aborted_shutdown_ends_at_once() {
    let mut shutdown = busy_shutdown(300);
    shutdown.request(at(300), StopRequest::Interrupt, OPTIONS);
    assert_eq!(shutdown.advance(at(300), true), Phase::Terminating);
    assert!(!shutdown.accepts(at(300), candidate(300, 1)));
}

#[test]
fn a_shutdown_without_requests_ends_once_callers_have_moved() {
    let mut shutdown = Shutdown::begin(start(), StopRequest::Terminate, OPTIONS);
    assert_eq!(shutdown.advance(at(2_650), false), Phase::ClosingIdle);
    assert_eq!(shutdown.advance(at(2_700), false), Phase::Terminating);
}

proptest! {
    /// Whatever comes after the acceptance, short of an abort, the deadline is before the end.
    #[test]
    fn an_accepted_request_is_due_before_the_end_or_capped(
        drain_ms in 0_u64..20_000,
        arrival_ms in 0_u64..20_000,
        timeout_ms in 1_u64..15_000,
        repeats in proptest::collection::vec(0_u64..20_000, 0..4),
    ) {
        let options = Options { drain_timeout: Millis(drain_ms), ..OPTIONS };
        let mut shutdown = Shutdown::begin(start(), StopRequest::Terminate, options);
        shutdown.advance(at(arrival_ms), true);
        let request = candidate(arrival_ms, timeout_ms);
        let is_accepted = shutdown.accepts(at(arrival_ms), request);
        for repeat in repeats {
            shutdown.request(at(arrival_ms + repeat), StopRequest::Drain(None), options);
        }
        if is_accepted {
            prop_assert!(request.deadline < shutdown.ends_at());
        }
        prop_assert!(shutdown.cap(request.deadline) < shutdown.ends_at());
    }
}
