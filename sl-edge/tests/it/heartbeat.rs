//! Instances tell their state at regular intervals.

use sl_base::{Millis, Timestamp};
use sl_edge::heartbeat::{HEARTBEAT_INTERVAL, Heartbeat};

// Guards against an instance that sends notes all the time and therefore never tells its peers that
// it has newer entries of the store, so that they go on sending to servers that shut down.
#[test]
fn a_heartbeat_is_due_every_interval_however_often_notes_are_sent() {
    let start = Timestamp::from_micros(1_000_000);
    let mut heartbeat = Heartbeat::new(start);
    let mut last = start;
    for millis in (0..10_000).step_by(20) {
        let now = start.after(Millis(millis));
        if heartbeat.take_due(now) {
            last = now;
        }
        let latest = last.after(HEARTBEAT_INTERVAL).after(Millis(20));
        assert!(!latest.is_due(now), "none since {:?}, now {now:?}", last);
    }
}
