use futures::FutureExt;
use sl_edge::unused::{ConnectionTracker, IdleGuard};

fn evicted(idle: &IdleGuard<'_>) -> bool {
    idle.evicted().now_or_never().is_some()
}

/// The pattern of callers that drop connections without notice: they pile up.
#[test]
fn the_connection_that_was_unused_for_longest_yields_to_a_new_one() {
    let tracker = ConnectionTracker::new(3);
    let _open = [tracker.register(), tracker.register(), tracker.register()];
    let idle = [tracker.mark_idle(), tracker.mark_idle(), tracker.mark_idle()];
    assert!(!idle.iter().any(evicted));
    let _new = tracker.register();
    assert_eq!(idle.each_ref().map(evicted), [true, false, false]);
}

#[test]
fn a_connection_in_use_never_yields() {
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
fn an_ended_connection_makes_room() {
    let tracker = ConnectionTracker::new(1);
    drop(tracker.register());
    let _next = tracker.register();
    let idle = tracker.mark_idle();
    assert!(!evicted(&idle));
    assert_eq!(tracker.open_count(), 1);
}
