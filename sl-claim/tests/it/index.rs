use rstest::rstest;
use sl_base::{Incarnation, InstanceId, RequestId};
use sl_claim::{
    Token, Verdict,
    index::Index,
    segment::{Fate, Record, Segment, What},
};

use crate::world::key;

fn token(request: u64) -> Token {
    Token { instance: InstanceId(1), incarnation: Incarnation(1), request: RequestId(request) }
}

fn record(request: u64, what: What) -> Record {
    Record { key: key(1), token: token(request), what }
}

const CLAIM: What = What::Claim;
const NOT_RUN: What = What::Outcome(Fate::NotRun);
const RAN: What = What::Outcome(Fate::Ran { status: 201 });

#[rstest]
#[case::free(&[], None, None)]
#[case::claimed(&[(1, CLAIM)], Some(Verdict::Granted), Some(Verdict::Unknown))]
#[case::second_claim(&[(1, CLAIM), (2, CLAIM)], Some(Verdict::Granted), Some(Verdict::Unknown))]
#[case::released(&[(1, CLAIM), (1, NOT_RUN)], Some(Verdict::Unknown), None)]
#[case::others_release(&[(1, CLAIM), (2, NOT_RUN)], Some(Verdict::Granted), Some(Verdict::Unknown))]
#[case::release_first(&[(1, NOT_RUN)], Some(Verdict::Unknown), None)]
#[case::release_first_after_another(
    &[(2, CLAIM), (2, NOT_RUN), (1, NOT_RUN)],
    Some(Verdict::Unknown),
    None
)]
#[case::ran_then_released(
    &[(1, CLAIM), (1, RAN), (1, NOT_RUN)],
    Some(Verdict::Ran { status: 201 }),
    Some(Verdict::Ran { status: 201 })
)]
fn verdict(
    #[case] records: &[(u64, What)],
    #[case] own: Option<Verdict>,
    #[case] other: Option<Verdict>,
) {
    let mut index = Index::default();
    // To take the segment again changes nothing.
    for _ in 0..2 {
        for &(request, what) in records {
            index.apply(0, &record(request, what));
        }
        assert_eq!(index.verdict(key(1), token(1)), own);
        assert_eq!(index.verdict(key(1), token(3)), other);
    }
}

#[test]
fn segment_survives_encoding_and_rejects_what_is_none() {
    let segment =
        Segment { seq: 3, records: vec![record(1, CLAIM), record(1, RAN)], ..Segment::default() };
    assert_eq!(Segment::decode(&segment.encode()), Ok(segment));
    assert!(Segment::decode(b"\xff").is_err());
}

/// What docs/CAPACITY.md counts with.
#[test]
fn claim_with_its_outcome_stays_below_eighty_bytes() {
    let token = Token {
        instance: InstanceId(u32::MAX),
        incarnation: Incarnation(1_800_000_000_000_000),
        request: RequestId(10_000_000),
    };
    let records = [CLAIM, RAN].map(|what| Record { key: key(1), token, what });
    let segment = Segment { records: records.to_vec(), ..Segment::default() };
    let bytes = segment.encode().len() - Segment::default().encode().len();
    assert!(bytes < 80, "{bytes} bytes");
    println!("a claim and its outcome take {bytes} bytes in the service");
    println!("a key takes {} bytes in the index", 16 + size_of::<sl_claim::index::Entry>());
}
