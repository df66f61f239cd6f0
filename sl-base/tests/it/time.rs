use rstest::rstest;
use sl_base::{Millis, Timestamp};

#[rstest]
#[case(0, 1, 1)]
#[case(999, 1_000, 1)]
#[case(0, 1_001, 2)]
#[case(5, 5, 0)]
#[case(6, 5, 0)]
fn remaining_time_is_rounded_up(#[case] now: u64, #[case] deadline: u64, #[case] millis: u64) {
    let remaining = Timestamp::from_micros(deadline).remaining(Timestamp::from_micros(now));
    assert_eq!(remaining, Millis(millis));
}

#[test]
fn deadlines_saturate_instead_of_overflowing() {
    assert_eq!(Timestamp::NEVER.after(Millis(u64::MAX)), Timestamp::NEVER);
    assert!(!Timestamp::NEVER.is_due(Timestamp::from_micros(1)));
}
