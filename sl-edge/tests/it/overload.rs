use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_edge::overload::LoadShedder;
use sl_route::share::Standing;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

/// Guards against an instance that stays overloaded because one caller's connections all come
/// back to it: each shedding period must be longer than the one before.
#[test]
fn each_shedding_period_of_a_late_instance_is_longer() {
    let mut shedder = LoadShedder::new(at(0));
    let mut shed_starts = Vec::new();
    for tick in 0..600 {
        let now = at(tick * 100);
        if shedder.record_tick(now, 200.0) {
            shed_starts.push(tick * 100);
        }
    }
    let gaps: Vec<u64> = shed_starts.windows(2).map(|it| it[1] - it[0]).collect();
    assert_eq!(gaps, [4_000, 8_000, 16_000]);
}

/// Guards against an instance that leaves the rotation for longer and longer although the load that made it late
/// is long gone.
#[test]
fn a_shedding_period_after_a_calm_minute_is_a_first_one() {
    let mut shedder = LoadShedder::new(at(0));
    let mut shed_starts = Vec::new();
    for tick in 0..1_500 {
        let is_late = !(140..=1_100).contains(&tick);
        if shedder.record_tick(at(tick * 100), if is_late { 200.0 } else { 0.0 }) {
            shed_starts.push(tick * 100);
        }
    }
    let gaps: Vec<u64> = shed_starts.windows(2).map(|it| it[1] - it[0]).collect();
    assert_eq!((gaps[0], gaps[1], gaps[3]), (4_000, 8_000, 4_000), "{gaps:?}");
}

/// Guards against a team whose callers all reach one small instance, which rejects them, leaves the
/// rotation for a few seconds, and gets them back before they have reached a larger one: each time
/// its connections are not accepted until the balancer has noticed.
#[rstest]
#[case::as_large_as_any(1.0, 4_000)]
#[case::half_as_large(2.0, 8_000)]
#[case::a_fifth(5.0, 20_000)]
#[case::tiny(50.0, 32_000)]
#[case::never_shorter(0.5, 4_000)]
fn a_small_instance_leaves_the_rotation_for_longer(#[case] ratio: f64, #[case] expected_ms: u64) {
    let mut shedder = LoadShedder::new(at(0));
    shedder.set_largest_ratio(ratio);
    let start = (0..).find(|tick| shedder.record_tick(at(tick * 100), 200.0)).unwrap() * 100;
    assert!(shedder.is_shedding(at(start + expected_ms - 1)));
    assert!(!shedder.is_shedding(at(start + expected_ms)));
}

#[test]
fn a_single_late_tick_starts_no_shedding() {
    let mut shedder = LoadShedder::new(at(0));
    assert!(!shedder.record_tick(at(0), 200.0));
    assert!(!shedder.record_tick(at(100), 0.0));
    assert!(!shedder.is_shedding(at(200)));
    assert!(shedder.is_lagging());
}

#[test]
fn an_instance_on_time_again_accepts_connections_again() {
    let mut shedder = LoadShedder::new(at(0));
    for tick in 0..5 {
        shedder.record_tick(at(tick * 100), 200.0);
    }
    assert!(shedder.is_shedding(at(500)));
    for tick in 5..60 {
        shedder.record_tick(at(tick * 100), 0.0);
    }
    assert!(!shedder.is_shedding(at(6_000)));
    assert!(!shedder.is_lagging());
}

#[test]
fn the_rejected_fraction_grows_while_an_instance_is_late_and_shrinks_after() {
    let mut shedder = LoadShedder::new(at(0));
    let rejected_of_ten = |shedder: &mut LoadShedder| {
        (0..10).filter(|_| shedder.should_reject(Standing::OverShare)).count()
    };
    assert_eq!(rejected_of_ten(&mut shedder), 0);
    for tick in 0..30 {
        shedder.record_tick(at(tick * 100), 50.0);
    }
    assert!((8..=9).contains(&rejected_of_ten(&mut shedder)));
    for tick in 30..100 {
        shedder.record_tick(at(tick * 100), 0.0);
    }
    assert_eq!(rejected_of_ten(&mut shedder), 0);
}

/// Guards against an instance whose one heavy caller costs a team within its share its requests:
/// on a day like the incident inc1 an instance rejected 84% of such a team's tokens.
#[test]
fn a_late_instance_rejects_requests_of_teams_over_their_share_first() {
    let mut shedder = LoadShedder::new(at(0));
    for tick in 0..30 {
        shedder.record_tick(at(tick * 100), 50.0);
    }
    // Of 14 requests, one is of the team within its share, as the tokens were in that second.
    let mut accepted = 0;
    for request in 0..140 {
        let is_within = request % 14 == 13;
        let standing = if is_within { Standing::WithinShare } else { Standing::OverShare };
        accepted += u32::from(!shedder.should_reject(standing) && is_within);
    }
    assert!(accepted >= 5, "the team got {accepted} of 10, less than half");
}

/// Guards against an instance that goes on rejecting requests for seconds after its overload
/// has ended, which costs a team whose callers all reach that instance most of its requests.
#[rstest]
#[case::within(Standing::WithinShare)]
#[case::over(Standing::OverShare)]
fn an_instance_on_time_for_a_second_rejects_no_more_requests(#[case] standing: Standing) {
    let mut shedder = LoadShedder::new(at(0));
    for tick in 0..30 {
        shedder.record_tick(at(tick * 100), 200.0);
    }
    for _ in 0..20 {
        shedder.should_reject(Standing::WithinShare);
    }
    // The mean lateness takes a moment to fall; the second counts from then on.
    let mut tick = 30;
    while shedder.late_ms() > 10.0 {
        shedder.record_tick(at(tick * 100), 0.0);
        tick += 1;
    }
    for tick in tick..tick + 10 {
        shedder.record_tick(at(tick * 100), 0.0);
    }
    let rejected = (0..10).filter(|_| shedder.should_reject(standing)).count();
    assert_eq!(rejected, 0);
}

/// Guards against an instance that stays late because nothing but the requests of teams within
/// their share reaches it, and none of those is rejected.
#[test]
fn a_late_instance_rejects_requests_within_shares_if_there_are_no_others() {
    let mut shedder = LoadShedder::new(at(0));
    for tick in 0..30 {
        shedder.record_tick(at(tick * 100), 50.0);
    }
    let mut rejected_of = |requests: u32| {
        (0..requests).filter(|_| shedder.should_reject(Standing::WithinShare)).count()
    };
    assert!(rejected_of(20) < 5);
    assert!((8..=9).contains(&rejected_of(10)));
}

/// Guards against an instance that rejects requests for seconds without leaving the balancer's
/// rotation, so that its callers' retries come back to it and are rejected again.
#[test]
fn an_instance_that_rejects_two_fifths_of_its_requests_leaves_the_rotation() {
    let mut shedder = LoadShedder::new(at(0));
    let lateness_ms = 50.0;
    let mut shed_at = None;
    for tick in 0..30 {
        if shedder.record_tick(at(tick * 100), lateness_ms) {
            shed_at = Some(tick * 100);
            break;
        }
    }
    assert!(shed_at.is_some_and(|it| it <= 1_000), "{shed_at:?}");
}

/// Guards against callers that use up their retry at the instance that has just rejected them.
#[test]
fn a_rejected_caller_retries_when_the_balancer_has_moved_it() {
    let mut shedder = LoadShedder::new(at(0));
    assert_eq!(shedder.retry_delay(at(0)), Millis(10));
    for tick in 0..5 {
        shedder.record_tick(at(tick * 100), 200.0);
    }
    assert!(shedder.is_shedding(at(400)));
    assert!(shedder.retry_delay(at(400)) > Millis(2_000));
    assert_eq!(shedder.retry_delay(at(3_500)), Millis(10));
}
