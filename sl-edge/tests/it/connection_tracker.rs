use futures::FutureExt;
use sl_edge::connection_tracker::{ConnectionTracker, IdleGuard};

fn evicted(idle: &IdleGuard<'_>) -> bool {
    idle.evicted().now_or_never().is_some()
}

/// Guards against running out of descriptors: connections whose callers vanish without closing
/// them accumulate as idle ones.
#[test]
fn a_new_connection_over_the_limit_evicts_the_longest_idle_one() {
    let tracker = ConnectionTracker::new(3);
    let _guards = [tracker.register(), tracker.register(), tracker.register()];
    let idle = [tracker.mark_idle(), tracker.mark_idle(), tracker.mark_idle()];
    assert!(!idle.iter().any(evicted));
    let _new = tracker.register();
    assert_eq!(idle.each_ref().map(evicted), [true, false, false]);
}

#[test]
fn a_connection_in_use_is_never_evicted() {
    let tracker = ConnectionTracker::new(1);
    let _busy = tracker.register();
    drop(tracker.mark_idle());
    let _other = tracker.register();
    let idle = tracker.mark_idle();
    assert!(!evicted(&idle));
    let _third = tracker.register();
    assert!(evicted(&idle));
}

#[test]
fn a_closed_connection_is_not_counted() {
    let tracker = ConnectionTracker::new(1);
    drop(tracker.register());
    let _next = tracker.register();
    let idle = tracker.mark_idle();
    assert!(!evicted(&idle));
    assert_eq!(tracker.open_count(), 1);
}

// A shutdown that does not wait for requests that are in progress cuts them off.
#[test]
fn a_request_counts_as_in_progress_until_its_guard_is_dropped() {
    let tracker = ConnectionTracker::new(2);
    let (first, second) = (tracker.mark_in_progress(), tracker.mark_in_progress());
    assert_eq!(tracker.in_progress_count(), 2);
    drop(first);
    assert_eq!(tracker.in_progress_count(), 1);
    drop(second);
    assert_eq!(tracker.in_progress_count(), 0);
}
