//! Limits the rate of log lines about requests by tail-based sampling: below a limit every
//! line is logged, above it only the lines of requests that failed or were late
//! (docs/OPERATIONS.md). Whether a request did is known only when it ends, so its lines are
//! buffered until then.

use std::collections::HashMap;

use sl_base::{Millis, RequestId, Timestamp};

/// Decides which lines are logged, and buffers lines of requests in flight.
#[derive(Debug)]
pub struct TailSampler<L> {
    window_ends: Timestamp,
    /// Lines logged in the current window of one second.
    written: u32,
    buffered: HashMap<RequestId, Vec<BufferedLine<L>>>,
    dropped: u64,
}

/// A line that was buffered.
#[derive(Debug, PartialEq, Eq)]
pub struct BufferedLine<L> {
    /// When the line was recorded.
    pub at: Timestamp,
    /// The line, as it was recorded.
    pub line: L,
}

/// Lines per second about requests up to which every line is logged at once.
pub const ORDINARY_LINES_PER_SECOND_MAX: u32 = 400;

/// Lines per second about requests up to which those of failed and late requests are logged.
pub const NOTABLE_LINES_PER_SECOND_MAX: u32 = 1_500;

const SECOND: Millis = Millis(1_000);

impl<L> TailSampler<L> {
    /// Creates a sampler whose first window starts `now`.
    pub fn new(now: Timestamp) -> TailSampler<L> {
        let window_ends = now.after(SECOND);
        TailSampler { window_ends, written: 0, buffered: HashMap::new(), dropped: 0 }
    }

    /// Records a line about a request: returns it if it has to be logged now, and buffers it
    /// otherwise.
    pub fn record(&mut self, now: Timestamp, request: RequestId, line: L) -> Option<L> {
        self.roll_window(now);
        let is_buffered = self.buffered.contains_key(&request);
        if !is_buffered && self.written < ORDINARY_LINES_PER_SECOND_MAX {
            self.written += 1;
            return Some(line);
        }
        self.buffered.entry(request).or_default().push(BufferedLine { at: now, line });
        None
    }

    /// Records the end of a request; `is_notable` says that the request failed or was late.
    /// Returns the buffered lines to log before the line about the end, or `None` if all of
    /// them, with the line about the end, are dropped.
    pub fn finish(
        &mut self,
        now: Timestamp,
        request: Option<RequestId>,
        is_notable: bool,
    ) -> Option<Vec<BufferedLine<L>>> {
        self.roll_window(now);
        let buffered = request.and_then(|it| self.buffered.remove(&it)).unwrap_or_default();
        let lines = u32::try_from(buffered.len()).unwrap_or(u32::MAX).saturating_add(1);
        let max_lines =
            if is_notable { NOTABLE_LINES_PER_SECOND_MAX } else { ORDINARY_LINES_PER_SECOND_MAX };
        if self.written.saturating_add(lines) > max_lines {
            self.dropped += u64::from(lines);
            return None;
        }
        self.written += lines;
        Some(buffered)
    }

    /// Drops the buffered lines of a request whose end is not logged.
    pub fn discard(&mut self, request: RequestId) {
        self.dropped += self.buffered.remove(&request).map_or(0, |it| it.len() as u64);
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Starts a new window if the current one has ended.
    fn roll_window(&mut self, now: Timestamp) {
        if self.window_ends.is_due(now) {
            self.window_ends = now.after(SECOND);
            self.written = 0;
        }
    }
}
