//! A sliding window, divided into steps that each have their own histogram.

use std::collections::VecDeque;

use hdrhistogram::Histogram;
use sl_base::{Millis, Timestamp};

/// Longer latencies are recorded as this value.
pub(crate) const LATENCY_MS_MAX: u64 = 3_600_000;
/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 1;

/// One step of a window; records samples until `ends_at`.
#[derive(Clone, Debug)]
struct Step {
    ends_at: Timestamp,
    tally: Tally,
}

/// Requests counted in a period.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// Milliseconds to the first byte, over the answered requests.
    pub(crate) answered: Histogram<u32>,
    /// Number of requests without an answer from a backend server.
    pub(crate) unanswered: u64,
}

/// The length of a window: `steps` steps of `step` each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WindowShape {
    pub(crate) step: Millis,
    pub(crate) steps: usize,
}

/// A window that drops steps once they are older than its length.
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
        let answered = Histogram::new_with_bounds(1, LATENCY_MS_MAX, SIGNIFICANT_DIGITS);
        let answered = answered.expect("the constant bounds are in hdrhistogram's range");
        Tally { answered, unanswered: 0 }
    }

    pub(crate) fn add(&mut self, other: &Tally) {
        // Cannot fail: both histograms have the same bounds.
        let _ = self.answered.add(&other.answered);
        self.unanswered = self.unanswered.saturating_add(other.unanswered);
    }
}

impl Window {
    pub(crate) fn new(shape: WindowShape) -> Window {
        Window { shape, steps: VecDeque::new() }
    }

    /// Returns the tally of the current step; begins a new step if the last one is over.
    pub(crate) fn current(&mut self, now: Timestamp) -> &mut Tally {
        self.expire(now);
        if self.steps.back().is_none_or(|it| it.ends_at.is_due(now)) {
            let ends_at = now.after(self.shape.step);
            self.steps.push_back(Step { ends_at, tally: Tally::new() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last].tally
    }

    pub(crate) fn sum(&mut self, now: Timestamp) -> Tally {
        self.expire(now);
        let mut sum = Tally::new();
        for step in &self.steps {
            sum.add(&step.tally);
        }
        sum
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Drops the steps that ended before the window begins.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        let window_start = now.before(self.shape.span());
        while self.steps.front().is_some_and(|it| it.ends_at.is_due(window_start)) {
            self.steps.pop_front();
        }
    }
}
