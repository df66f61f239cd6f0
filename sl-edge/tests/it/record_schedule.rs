use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_edge::record_schedule::{FollowerRank, RECORD_WRITE_INTERVAL, RecordSchedule};

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

/// The times, in milliseconds, at which followers begin writes if the store refuses each of them.
/// Each follower finds at its time of `found_ms` that the record has to change, and checks every
/// 100 ms.
fn refused_writes(found_ms: &[u64], until_ms: u64) -> Vec<(u64, usize)> {
    let followers = found_ms.len() as u64;
    let mut schedules: Vec<RecordSchedule> =
        found_ms.iter().map(|_| RecordSchedule::default()).collect();
    let mut writes = Vec::new();
    for millis in 0..until_ms {
        for (index, schedule) in schedules.iter_mut().enumerate() {
            let is_check =
                millis >= found_ms[index] && (millis - found_ms[index]).is_multiple_of(100);
            let rank = FollowerRank { ahead: index as u64, followers };
            if is_check && schedule.is_due(at(millis), rank) {
                schedule.write_started(at(millis));
                writes.push((millis, index));
            }
        }
    }
    writes
}

// Guards against calls that a store which refuses them gets from three followers every 100 ms: each
// call costs, also one that is answered 412 or 429.
#[rstest]
#[case::alone(&[0])]
#[case::two_followers(&[0, 90])]
#[case::three_followers(&[0, 0, 0])]
#[case::found_late(&[0, 70, 150])]
#[case::found_early(&[200, 0, 100])]
fn a_refused_record_is_written_every_400_ms_at_most_by_one_follower_at_a_time(
    #[case] found_ms: &[u64],
) {
    let writes = refused_writes(found_ms, 60_000);
    for pair in writes.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= RECORD_WRITE_INTERVAL.0, "{pair:?} of {writes:?}");
    }
    for index in 0..found_ms.len() {
        assert!(writes.iter().any(|it| it.1 == index), "follower {index} never writes: {writes:?}");
    }
}

// Guards against a record that waits for a first follower whose writes do not arrive, for longer than
// new streams wait for the record.
#[test]
fn the_second_follower_writes_before_new_streams_stop_waiting() {
    let writes = refused_writes(&[0, 0, 0], 2_000);
    assert_eq!(writes.first(), Some(&(0, 0)), "the first follower writes at once");
    assert!(writes.iter().any(|it| it.1 == 1), "{writes:?}");
}

// Guards against a second change of the record, within a second after the first one, that waits as if
// the store had refused the first.
#[test]
fn a_change_after_one_that_was_written_does_not_wait() {
    let rank = FollowerRank { ahead: 0, followers: 3 };
    let mut schedule = RecordSchedule::default();
    assert!(schedule.is_due(at(0), rank));
    schedule.write_started(at(0));
    assert!(!schedule.is_due(at(100), rank), "the watch has not brought the record yet");
    schedule.reset();
    assert!(schedule.is_due(at(200), rank));
}
