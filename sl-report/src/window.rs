//! A sliding window over the recent past, in steps, each with a histogram.

use std::collections::VecDeque;

use hdrhistogram::Histogram;
use sl_base::{Millis, Timestamp};

/// Latencies beyond this many milliseconds are recorded as this many.
pub(crate) const LATENCY_MAX_MS: u64 = 3_600_000;
/// Significant decimal digits of a recorded latency.
const DIGITS: u8 = 1;

/// One step of a window.
#[derive(Clone, Debug)]
struct Step {
    until: Timestamp,
    tally: Tally,
}

/// What was counted in some span of time.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// Milliseconds to the first byte of the requests that were answered.
    pub(crate) answered: Histogram<u32>,
    /// Requests that were not answered.
    pub(crate) unanswered: u64,
}

/// The shape of a window: `steps` steps of `step` each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WindowShape {
    pub(crate) step: Millis,
    pub(crate) steps: usize,
}

/// A window that forgets its oldest step as a new one begins.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    shape: WindowShape,
    steps: VecDeque<Step>,
}

impl WindowShape {
    pub(crate) fn span(self) -> Millis {
        Millis(self.step.0 * self.steps as u64)
    }
}

impl Tally {
    pub(crate) fn new() -> Tally {
        let answered = Histogram::new_with_bounds(1, LATENCY_MAX_MS, DIGITS);
        let answered = answered.expect("the constant bounds are in hdrhistogram's range");
        Tally { answered, unanswered: 0 }
    }

    pub(crate) fn add(&mut self, other: &Tally) {
        // Both sides have the same bounds, so the sum always fits.
        let _ = self.answered.add(&other.answered);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
    }
}

impl Window {
    pub(crate) fn new(shape: WindowShape) -> Window {
        Window { shape, steps: VecDeque::new() }
    }

    pub(crate) fn current(&mut self, now: Timestamp) -> &mut Tally {
        self.forget(now);
        if self.steps.back().is_none_or(|it| it.until.is_due(now)) {
            let until = now.after(self.shape.step);
            self.steps.push_back(Step { until, tally: Tally::new() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last].tally
    }

    pub(crate) fn sum(&mut self, now: Timestamp) -> Tally {
        self.forget(now);
        let mut sum = Tally::new();
        for step in &self.steps {
            sum.add(&step.tally);
        }
        sum
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    pub(crate) fn forget(&mut self, now: Timestamp) {
        let horizon = now.before(self.shape.span());
        while self.steps.front().is_some_and(|it| it.until.is_due(horizon)) {
            self.steps.pop_front();
        }
    }
}
