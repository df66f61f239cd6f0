//! The bound on the processor time that messages from peers take.

use std::time::Duration;

use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_edge::note_budget::{
    NOTE_FRACTION, NOTES_SAVED_MAX, NoteBudget, THREAD_FRACTION, THREAD_SAVED_MAX,
};

const START: Timestamp = Timestamp::from_micros(1_000_000_000);

const SPAN: Millis = Millis(10_000);

/// Processor time for one datagram, and for one step of a caller's request.
const STEP: Duration = Duration::from_micros(60);

/// Fraction of the processor in [`SPAN`] that messages take at once after a pause. More becomes available
/// while it is spent, so it is what was saved divided by the fraction that is not added meanwhile.
const SAVED_FRACTION: f64 = (NOTES_SAVED_MAX.0 as f64 * NOTE_FRACTION / (1.0 - NOTE_FRACTION)
    + THREAD_SAVED_MAX.0 as f64 * THREAD_FRACTION / (1.0 - THREAD_FRACTION))
    / SPAN.0 as f64;

/// An instance whose peers always have messages for it.
struct Instance {
    budget: NoteBudget,
    cores: f64,
    now: Timestamp,
    thread_time: Duration,
    note_time: Duration,
}

impl Instance {
    fn new(cores: f64) -> Instance {
        let budget = NoteBudget::new(START, cores, Duration::ZERO);
        let (thread_time, note_time) = (Duration::ZERO, Duration::ZERO);
        Instance { budget, cores, now: START, thread_time, note_time }
    }

    /// Handles a message if there is time for it.
    fn handle_message(&mut self) -> bool {
        let has_time = self.budget.has_time(self.now, self.thread_time);
        if has_time {
            self.note_time += STEP;
            self.budget.spend(STEP);
            self.work(STEP);
        }
        has_time
    }

    /// Uses the whole processor of the instance for `time`.
    fn work(&mut self, time: Duration) {
        self.thread_time += time;
        self.wait(time.div_f64(self.cores));
    }

    fn wait(&mut self, time: Duration) {
        self.now = Timestamp::from_micros(self.now.as_micros() + time.as_micros() as u64);
    }

    /// Fraction of the instance's processor that messages have taken.
    fn note_fraction(&self) -> f64 {
        let passed = self.now.millis_since(START) / 1_000.0;
        self.note_time.as_secs_f64() / self.cores / passed
    }
}

/// Guards against callers that get no processor time while the fleet is asked for much.
#[rstest]
fn callers_in_demand_leave_messages_a_fifth(#[values(0.09, 0.45, 1.0)] cores: f64) {
    let mut instance = Instance::new(cores);
    while !START.after(SPAN).is_due(instance.now) {
        // Callers in demand use whatever messages leave.
        if !instance.handle_message() {
            instance.work(STEP);
        }
    }
    let bound = NOTE_FRACTION + SAVED_FRACTION + 0.001;
    let fraction = instance.note_fraction();
    assert!((NOTE_FRACTION * 0.95..bound).contains(&fraction), "{fraction}");
}

/// Guards against notes that are dropped although nothing else needs the processor, and against notes
/// that leave nothing for a caller that comes.
#[rstest]
fn without_callers_messages_take_half(#[values(0.09, 0.45, 1.0)] cores: f64) {
    let mut instance = Instance::new(cores);
    while !START.after(SPAN).is_due(instance.now) {
        if !instance.handle_message() {
            instance.wait(STEP);
        }
    }
    let bound = THREAD_FRACTION + SAVED_FRACTION + 0.001;
    let fraction = instance.note_fraction();
    assert!((THREAD_FRACTION * 0.95..bound).contains(&fraction), "{fraction}");
}

/// Guards against a flood of messages that costs the instance its processor although none is read.
#[rstest]
fn messages_that_are_dropped_unread_have_the_same_bound(#[values(0.09, 1.0)] cores: f64) {
    let mut instance = Instance::new(cores);
    while !START.after(SPAN).is_due(instance.now) {
        // Callers have used the whole processor.
        instance.thread_time += Duration::from_secs(1);
        match instance.budget.paused_until() {
            Some(until) if !until.is_due(instance.now) => instance.wait(STEP),
            _ => {
                instance.budget.has_time(instance.now, instance.thread_time);
                instance.note_time += STEP;
                instance.budget.spend(STEP);
                instance.work(STEP);
            }
        }
    }
    // The debt is as much as what was saved.
    let bound = NOTE_FRACTION + 2.0 * SAVED_FRACTION + 0.001;
    assert!(instance.note_fraction() < bound, "{}", instance.note_fraction());
}

/// Guards against a view that stays old after other work has taken the whole processor.
#[test]
fn messages_are_handled_again_soon_after_other_work() {
    let mut instance = Instance::new(0.09);
    while instance.handle_message() {}
    instance.thread_time += Duration::from_secs(5);
    assert!(!instance.handle_message());
    instance.wait(Duration::from_millis(THREAD_SAVED_MAX.0 + 20));
    assert!(instance.handle_message());
}

/// Guards against an unused second that messages then spend at once, as a late tick.
#[test]
fn an_unused_budget_does_not_add_up() {
    let mut instance = Instance::new(0.09);
    instance.wait(Duration::from_secs(60));
    while instance.handle_message() {}
    let saved = SPAN.0 as f64 / 1_000.0 * SAVED_FRACTION * 0.09;
    assert!(instance.note_time.as_secs_f64() < saved + 0.000_1, "{:?}", instance.note_time);
}
