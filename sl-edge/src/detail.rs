//! How much of each request is written down: every line while there are few, beyond a bound
//! only the lines of requests that failed or were late (docs/OPERATIONS.md). Which requests
//! these are shows at their end, so lines are kept until then.

use std::collections::HashMap;

use sl_base::{Millis, RequestId, Timestamp};

/// Lines on requests, of which some wait for their request's end.
#[derive(Debug)]
pub struct TailSampler<L> {
    second_ends: Timestamp,
    /// Lines that were written in this second.
    written: u32,
    kept: HashMap<RequestId, Vec<BufferedLine<L>>>,
    left_out: u64,
}

/// A line that waited.
#[derive(Debug, PartialEq, Eq)]
pub struct BufferedLine<L> {
    /// When what it tells happened.
    pub at: Timestamp,
    /// The line.
    pub line: L,
}

/// Lines a second on requests, beyond which those of ordinary ones wait.
pub const ORDINARY_LINES_PER_SECOND: u32 = 400;

/// Lines a second on requests of any kind.
pub const REQUEST_LINES_PER_SECOND: u32 = 1_500;

const SECOND: Millis = Millis(1_000);

impl<L> TailSampler<L> {
    /// Nothing has been written yet.
    pub fn new(now: Timestamp) -> TailSampler<L> {
        let second_ends = now.after(SECOND);
        TailSampler { second_ends, written: 0, kept: HashMap::new(), left_out: 0 }
    }

    /// Takes a line on a request; gives it back where it is to be written now.
    pub fn offer(&mut self, now: Timestamp, request: RequestId, line: L) -> Option<L> {
        self.turn(now);
        let is_kept = self.kept.contains_key(&request);
        if !is_kept && self.written < ORDINARY_LINES_PER_SECOND {
            self.written += 1;
            return Some(line);
        }
        self.kept.entry(request).or_default().push(BufferedLine { at: now, line });
        None
    }

    /// Takes the end of a request, which `is_telling` where the request failed or was late.
    /// Gives the lines that are to be written before the one on the end; none where that
    /// one is to be left out, too.
    pub fn finish(
        &mut self,
        now: Timestamp,
        request: Option<RequestId>,
        is_notable: bool,
    ) -> Option<Vec<BufferedLine<L>>> {
        self.turn(now);
        let kept = request.and_then(|it| self.kept.remove(&it)).unwrap_or_default();
        let lines = u32::try_from(kept.len()).unwrap_or(u32::MAX).saturating_add(1);
        let lines_max =
            if is_notable { REQUEST_LINES_PER_SECOND } else { ORDINARY_LINES_PER_SECOND };
        if self.written.saturating_add(lines) > lines_max {
            self.left_out += u64::from(lines);
            return None;
        }
        self.written += lines;
        Some(kept)
    }

    /// Drops the lines on a request whose end is not written down.
    pub fn discard(&mut self, request: RequestId) {
        self.left_out += self.kept.remove(&request).map_or(0, |it| it.len() as u64);
    }

    /// How many lines were left out since this was last asked.
    pub fn take_left_out(&mut self) -> u64 {
        std::mem::take(&mut self.left_out)
    }

    fn turn(&mut self, now: Timestamp) {
        if self.second_ends.is_due(now) {
            self.second_ends = now.after(SECOND);
            self.written = 0;
        }
    }
}
