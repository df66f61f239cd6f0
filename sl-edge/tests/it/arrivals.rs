//! Messages of peers that come late or twice.

use sl_base::{Incarnation, InstanceId};
use sl_edge::arrivals::{MessageArrivals, PeerArrival};

const FROM: InstanceId = InstanceId(7);

fn record(arrivals: &mut MessageArrivals, sequence: u64) -> PeerArrival {
    arrivals.record(FROM, Incarnation(1), sequence)
}

/// Guards against messages that are taken for copies because a newer one has overtaken them.
#[test]
fn a_message_that_was_overtaken_counts_once() {
    let mut arrivals = MessageArrivals::default();
    assert_eq!(record(&mut arrivals, 5), PeerArrival::New { missed: 0 });
    assert_eq!(record(&mut arrivals, 8), PeerArrival::New { missed: 2 });
    assert_eq!(record(&mut arrivals, 7), PeerArrival::Overtaken);
    assert_eq!(record(&mut arrivals, 7), PeerArrival::Repeated);
    assert_eq!(record(&mut arrivals, 8), PeerArrival::Repeated);
    assert_eq!(record(&mut arrivals, 9), PeerArrival::New { missed: 0 });
    assert_eq!(record(&mut arrivals, 6), PeerArrival::Overtaken);
}

#[test]
fn a_message_too_old_to_tell_counts_as_repeated() {
    let mut arrivals = MessageArrivals::default();
    record(&mut arrivals, 1);
    assert_eq!(record(&mut arrivals, 1_000), PeerArrival::New { missed: 998 });
    assert_eq!(record(&mut arrivals, 873), PeerArrival::Overtaken);
    assert_eq!(record(&mut arrivals, 872), PeerArrival::Repeated);
    assert_eq!(record(&mut arrivals, u64::MAX), PeerArrival::New { missed: u64::MAX - 1_001 });
}

#[test]
fn a_new_run_of_an_instance_starts_afresh_and_ends_the_earlier_one() {
    let mut arrivals = MessageArrivals::default();
    record(&mut arrivals, 100);
    let mut of_run = |run, sequence| arrivals.record(FROM, Incarnation(run), sequence);
    assert_eq!(of_run(2, 1), PeerArrival::New { missed: 0 });
    assert_eq!(of_run(1, 101), PeerArrival::Repeated);
    assert_eq!(of_run(2, 2), PeerArrival::New { missed: 0 });
}
