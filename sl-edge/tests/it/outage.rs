//! What counts as an outage of the store after which a missing entry may have lapsed.

use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_edge::store::outage::{CallEnd, Outage, REREGISTRATION_TIME};

const HEARTBEAT: Millis = Millis(1_200);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

/// A call that was sent at `millis` and got no response.
fn unanswered(millis: u64) -> CallEnd {
    CallEnd::Unanswered { since: at(millis) }
}

/// When missing entries are complete again after calls that ended so, in milliseconds.
fn complete_at(ends: &[(u64, CallEnd)]) -> Option<u64> {
    let mut outage = Outage::new(at(0), HEARTBEAT);
    for &(millis, end) in ends {
        outage.record(at(millis), end);
    }
    outage.complete_at().map(|it| it.millis_since(at(0)) as u64)
}

// Guards against one failed call that counts as an outage, after which removed servers get requests for
// two more seconds; and against an outage that does not count, after which servers whose leases lapsed
// are dropped at once.
#[rstest]
#[case::watch_cut(&[(1_900, CallEnd::Broken), (1_950, CallEnd::Answered)], None)]
#[case::cut_several_times(
    &[(1_000, CallEnd::Broken), (1_050, CallEnd::Answered), (1_500, CallEnd::Broken),
      (1_550, CallEnd::Answered), (2_400, CallEnd::Broken), (2_450, CallEnd::Answered)],
    None
)]
#[case::just_shorter_than_a_heartbeat(&[(500, CallEnd::Broken), (1_699, CallEnd::Answered)], None)]
#[case::as_long_as_a_heartbeat(&[(500, CallEnd::Broken), (1_700, CallEnd::Answered)], Some(1_700))]
#[case::several_failures(
    &[(500, CallEnd::Broken), (600, CallEnd::Broken), (4_000, CallEnd::Broken), (5_000, CallEnd::Answered)],
    Some(5_000)
)]
#[case::silent_watch(&[(2_600, unanswered(0)), (2_700, CallEnd::Answered)], Some(2_700))]
#[case::lost_response_beside_an_answer(
    &[(2_000, CallEnd::Answered), (2_600, unanswered(0)), (2_700, CallEnd::Answered)],
    None
)]
#[case::shorter_one_after_an_outage(
    &[(0, CallEnd::Broken), (3_000, CallEnd::Answered), (9_000, CallEnd::Broken), (9_100, CallEnd::Answered)],
    Some(3_000)
)]
fn an_outage_counts_if_leases_can_have_lapsed(
    #[case] ends: &[(u64, CallEnd)],
    #[case] answered_again: Option<u64>,
) {
    assert_eq!(complete_at(ends), answered_again.map(|it| it + REREGISTRATION_TIME.0));
}
