//! What callers get under named loads, with the real decisions. Bounds are the targets of
//! docs/design.md, not what was last measured.

use bench::load::{Load, Options, Policy, Tally, play};
use rstest::rstest;
use sl_base::Millis;

fn played(load: Load, policy: Policy) -> Tally {
    let within = Millis(30_000);
    play(Options { seed: 1, load, policy, instances: 9, engines: 12, within })
}

#[test]
fn the_same_seed_plays_the_same() {
    let twice = [(); 2].map(|()| played(Load::Burst, Policy::Notes));
    assert_eq!(format!("{:?}", twice[0]), format!("{:?}", twice[1]));
}

#[test]
fn on_a_calm_day_few_shared_parts_are_read_again() {
    let tally = played(Load::Calm, Policy::Notes);
    assert!(tally.read_again < 0.12, "{}", tally.read_again);
}

/// The patterns of a jump in traffic, of callers that do not wait, and of one team at many
/// times its usual: nine tenths of the calm day's credit are left.
#[rstest]
#[case::burst(Load::Burst)]
#[case::impatient(Load::Impatient)]
#[case::greedy_team(Load::GreedyTeam)]
#[case::hot_part(Load::HotPart)]
fn a_disturbance_leaves_nine_tenths_of_the_credit(#[case] load: Load) {
    let calm = played(Load::Calm, Policy::Notes);
    let tally = played(load, Policy::Notes);
    assert!(tally.credit_disturbed >= 0.9 * calm.credit_disturbed, "{tally:?}");
}

/// The pattern of a flood, and of half of the engines lost: what can still be served is,
/// and no kind of request is left out.
#[rstest]
#[case::flood(Load::Flood)]
#[case::half_lost(Load::HalfLost)]
fn what_cannot_be_served_is_refused_and_no_kind_is_left_out(#[case] load: Load) {
    let tally = played(load, Policy::Notes);
    for kind in &tally.kinds {
        let served = f64::from(kind.in_time) / f64::from(kind.asked);
        assert!(served > 0.5, "{kind:?}");
        // What is sent gets through.
        assert!(f64::from(kind.late + kind.failed) < 0.1 * f64::from(kind.asked), "{kind:?}");
    }
}

/// Instances that hear of each other at once do not all send to the same engine.
#[rstest]
#[case::apart(Policy::Apart)]
#[case::lent_slots(Policy::LentSlots)]
#[case::reports(Policy::Reports)]
fn hearing_of_each_send_beats_what_is_heard_later(#[case] policy: Policy) {
    let notes = played(Load::Burst, Policy::Notes);
    let other = played(Load::Burst, policy);
    assert!(notes.credit > other.credit, "{} {}", notes.credit, other.credit);
    assert!(notes.read_again < other.read_again);
}
