use std::time::{Duration, Instant};

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use sl_edge::{EVENT_BYTES_MAX, EventSplitter};

/// The bytes and the id of each event.
type Events = Vec<(Vec<u8>, Option<u64>)>;

fn split(pieces: &[&[u8]]) -> (Events, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece);
        while let Some(event) = splitter.next_event() {
            events.push((event.bytes.to_vec(), event.id));
        }
    }
    (events, splitter.is_partial())
}

#[rstest]
#[case::lines(b"id: 7\ndata: x\n\n", Some(7))]
#[case::returns(b"id: 7\r\ndata: x\r\n\r\n", Some(7))]
#[case::version_first(b"x-weight-versions: 2\nid:7\ndata: x\n\n", Some(7))]
#[case::no_id(b"data: id: 7\n\n", None)]
#[case::no_number(b"id: seven\n\n", None)]
fn the_id_of_an_event_is_parsed(#[case] bytes: &[u8], #[case] id: Option<u64>) {
    assert_eq!(split(&[bytes]), (vec![(bytes.to_vec(), id)], false));
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let (events, is_partial) = split(&[b"id: 1\n\nid: 2\ndata"]);
    assert_eq!((events.len(), is_partial), (1, true));
}

/// Guards against a stream that fills the memory of the instance with an event without end.
#[test]
fn only_an_event_above_the_size_limit_is_oversized() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; EVENT_BYTES_MAX]);
    assert_eq!((splitter.next_event(), splitter.is_oversized()), (None, false));
    splitter.push(b"x");
    assert_eq!((splitter.next_event(), splitter.is_oversized()), (None, true));
}

/// Guards against a stream that occupies the processor by sending a large event in small
/// pieces: a search from the start with each piece takes quadratic time.
#[test]
fn the_time_to_split_an_event_grows_with_its_size_only() {
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut splitter = EventSplitter::default();
    for pushed in 0..EVENT_BYTES_MAX {
        splitter.push(b"x");
        assert_eq!(splitter.next_event(), None);
        assert!(Instant::now() < deadline, "only {pushed} bytes in 20 s");
    }
    splitter.push(b"\n\n");
    assert_eq!(splitter.next_event().unwrap().bytes.len(), EVENT_BYTES_MAX + 2);
    assert!(!splitter.is_partial());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0007),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn events_do_not_depend_on_the_pieces_received(at in 0_usize..40, other in 0_usize..40) {
        let whole = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n\n";
        let (first, second) = (at.min(other).min(whole.len()), at.max(other).min(whole.len()));
        let pieces = [&whole[..first], &whole[first..second], &whole[second..]];
        prop_assert_eq!(split(&pieces), split(&[whole]));
    }
}
