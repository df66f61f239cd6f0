//! Which bytes of a response are part of a stream.

use proptest::{collection::vec, prelude::*, sample::select, test_runner::RngSeed};
use rstest::rstest;
use sl_edge::event_sequence::{EventSequence, IdRule, SequenceError, Taken};

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

/// Guards against an error's text, or a whole response, in the middle of a stream.
#[rstest]
#[case::error_text("data: failed\n\n", SequenceError::MissingId)]
#[case::plain_text("Internal Server Error\n\n", SequenceError::MissingId)]
#[case::json("{\"code\": 500}\r\n\r\n", SequenceError::MissingId)]
#[case::two_ids("id: 6\nid: 7\ndata: x\n\n", SequenceError::MissingId)]
#[case::head("HTTP/1.1 500 Failed\r\nX-Attempt-Id: a\r\n\r\n", SequenceError::ResponseHead)]
#[case::head_within_an_event(
    "id: 6\ndata: piHTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\n",
    SequenceError::ResponseHead
)]
#[case::same_id("id: 5\ndata: piece 5\n\n", SequenceError::NotIncreasing)]
#[case::lower_id("id: 1\ndata: piece 1\n\n", SequenceError::NotIncreasing)]
fn bytes_that_are_no_event_of_the_stream_end_the_attempt(
    #[case] bytes: &str,
    #[case] error: SequenceError,
    #[values(IdRule::Required, IdRule::AsFirst)] id_rule: IdRule,
    #[values(false, true)] is_resumed: bool,
) {
    let mut sequence = EventSequence::new(id_rule, None);
    sequence.push(events(1..=4).as_bytes());
    if is_resumed {
        sequence.begin_response();
    }
    let taken = sequence.push((event(5) + bytes + &event(6)).as_bytes());
    assert_eq!((&taken.bytes[..], taken.error), (event(5).as_bytes(), Some(error)));
    assert_eq!((taken.event_count, sequence.last_id()), (1, Some(5)));
}

/// Guards against a missing piece, or a piece of another run, where a server goes on elsewhere.
#[rstest]
#[case::the_next_event(&[1, 2, 3], 4, None)]
#[case::not_the_next_event(&[1, 2, 3], 5, Some(SequenceError::Gap))]
#[case::from_the_start(&[1, 2, 3], 1, Some(SequenceError::NotIncreasing))]
#[case::ids_that_are_not_consecutive(&[10, 20], 30, None)]
#[case::one_id_is_known(&[1], 3, None)]
fn a_resumed_stream_goes_on_with_the_next_event(
    #[case] before: &[u64],
    #[case] next: u64,
    #[case] error: Option<SequenceError>,
) {
    let mut sequence = EventSequence::new(IdRule::Required, None);
    sequence.push(events(before.iter().copied()).as_bytes());
    sequence.begin_response();
    let taken = sequence.push(event(next).as_bytes());
    assert_eq!((taken.error, taken.event_count), (error, u32::from(error.is_none())));
}

/// Guards against a whole stream that is cut off because its server is free in its ids.
#[rstest]
#[case::gaps(IdRule::Required, "id: 3\n\nid: 9\n\nid: 10\n\nid: 40\n\n", 4)]
#[case::comments(IdRule::Required, ": a\n\nid: 1\n\n: b\n\n\n\nid: 2\n: c\n\n", 2)]
#[case::without_ids(IdRule::AsFirst, "data: a\n\ndata: b\n\n", 2)]
#[case::an_id_among_others(IdRule::AsFirst, "data: a\n\nid: 7\n\ndata: b\n\n", 3)]
#[case::version(IdRule::Required, "x-weight-versions: 2\nid: 1\n\n", 1)]
#[case::text_of_a_head(IdRule::Required, "id: 1\ndata: HTTP/1.1 200 OK\ndata: A: b\n\n", 1)]
fn a_sound_stream_is_relayed_unchanged(
    #[case] id_rule: IdRule,
    #[case] stream: &str,
    #[case] event_count: u32,
    #[values(1, 7, 1_000)] piece_bytes: usize,
) {
    let mut sequence = EventSequence::new(id_rule, None);
    let pieces: Vec<Taken> =
        stream.as_bytes().chunks(piece_bytes).map(|it| sequence.push(it)).collect();
    assert!(pieces.iter().all(|it| it.error.is_none()), "{pieces:?}");
    let relayed: Vec<u8> = pieces.iter().flat_map(|it| it.bytes.to_vec()).collect();
    assert_eq!(String::from_utf8(relayed).unwrap(), stream);
    assert_eq!((sequence.event_count(), sequence.may_end(false)), (event_count, true));
}

/// Guards against a head that is sent before any event, after which a failure can only be
/// reported by a reset, and against the comments of a server that failed.
#[test]
fn comments_before_the_first_event_wait_for_it() {
    let mut sequence = EventSequence::new(IdRule::Required, None);
    assert!(sequence.push(b": failed\n\n").bytes.is_empty());
    sequence.begin_response();
    assert!(sequence.push(b": busy\n\n").bytes.is_empty());
    assert!(sequence.awaits_first_event());
    assert_eq!(&sequence.push(b"id: 1\n\n").bytes[..], b": busy\n\nid: 1\n\n");
    assert_eq!(&sequence.push(b": on\n\n").bytes[..], b": on\n\n");
    sequence.begin_response();
    assert!(sequence.push(b": failed\n\n").bytes.is_empty());
}

/// Guards against the first event of a stream that its caller resumes: the caller has it already.
#[rstest]
#[case::has_it(7, Some(SequenceError::NotIncreasing))]
#[case::next(8, None)]
#[case::later(12, None)]
fn a_stream_goes_on_after_the_last_event_of_the_caller(
    #[case] id: u64,
    #[case] error: Option<SequenceError>,
) {
    let mut sequence = EventSequence::new(IdRule::Required, Some(7));
    assert_eq!(sequence.push(event(id).as_bytes()).error, error);
}

/// Guards against a stream that ends early and looks complete.
#[rstest]
#[case::whole("", "id: 1\n\n", true, true)]
#[case::partial("", "id: 1\n\nid: 2\n", false, false)]
#[case::empty("", "", true, false)]
#[case::comments("", ": busy\n\n", true, false)]
#[case::resumed("id: 1\n\n", "id: 2\n\n", true, true)]
#[case::resumed_without_an_event("id: 1\n\n", "", false, false)]
#[case::resumed_with_comments("id: 1\n\n", ": busy\n\n", false, false)]
fn a_stream_ends_only_after_an_event_of_the_server_that_ends_it(
    #[case] before: &str,
    #[case] last: &str,
    #[case] may_end: bool,
    #[case] may_end_closed: bool,
) {
    let mut sequence = EventSequence::new(IdRule::Required, None);
    sequence.push(before.as_bytes());
    sequence.begin_response();
    sequence.push(last.as_bytes());
    assert_eq!((sequence.may_end(false), sequence.may_end(true)), (may_end, may_end_closed));
}

/// What a caller gets of the responses of several servers, each in pieces of `piece_bytes`, and why
/// each response was given up.
fn relayed(
    id_rule: IdRule,
    responses: &[String],
    piece_bytes: usize,
) -> (String, Vec<Option<SequenceError>>) {
    let mut sequence = EventSequence::new(id_rule, None);
    let (mut bytes, mut errors) = (Vec::new(), Vec::new());
    for response in responses {
        sequence.begin_response();
        let mut error = None;
        for piece in response.as_bytes().chunks(piece_bytes) {
            let taken = sequence.push(piece);
            bytes.extend_from_slice(&taken.bytes);
            error = taken.error;
            if error.is_some() {
                break;
            }
        }
        errors.push(error);
    }
    (String::from_utf8(bytes).unwrap(), errors)
}

const BLOCKS: [&str; 9] = [
    "id: 1\n\n",
    "id: 2\r\ndata: b\r\n\r\n",
    "id: 3\n\n",
    "id: 4\n\n",
    "data: failed\n\n",
    ": busy\n\n",
    "id: 5\nda",
    "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\n",
    "failed",
];

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0008),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against bytes that are relayed, or not, by the pieces in which they arrive, and
    /// against any order of failures that brings an event twice or bytes that are no event.
    #[test]
    fn no_order_of_servers_brings_anything_but_rising_events(
        blocks in vec(vec(select(&BLOCKS[..]), 0..6), 1..4),
        piece_bytes in 1_usize..40,
    ) {
        let responses: Vec<String> = blocks.iter().map(|it| it.concat()).collect();
        let (text, errors) = relayed(IdRule::Required, &responses, piece_bytes);
        let whole = relayed(IdRule::Required, &responses, 1_000);
        prop_assert_eq!((&text, &errors), (&whole.0, &whole.1));
        prop_assert!(!text.contains("HTTP/"), "{}", text);
        prop_assert!(text.is_empty() || text.ends_with("\n\n") || text.ends_with("\n\r\n"));
        let text = text.replace('\r', "");
        let events: Vec<&str> = text.split_terminator("\n\n").filter(|it| *it != ": busy").collect();
        // Text that follows a part of an event cannot be told from the rest of that event.
        let ids: Option<Vec<&str>> = events.iter().map(|it| it.strip_prefix("id: ")).collect();
        prop_assert!(ids.is_some_and(|it| it.is_sorted_by(|a, b| a[..1] < b[..1])), "{}", text);
    }
}
