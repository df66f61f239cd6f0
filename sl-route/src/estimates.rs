//! How far the expected time to the first token holds, and what attempts ask engines to prefill, over
//! one second at a time. Only for the log and the metrics.
//!
//! First attempts and retries are counted apart, because they are admitted by different limits, and so
//! are attempts with a planned transfer, because their prefill is estimated without the parts that are to
//! arrive (docs/design.md, "Where a request goes").

use sl_base::{Millis, Timestamp};
use strum::{Display, EnumIter, IntoEnumIterator, IntoStaticStr};

/// What an attempt at an engine is, as far as estimates differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptKind {
    /// The first attempt of a request; the engine prefills all that it has not cached.
    First,
    /// The first attempt of a request, with a transfer from another engine.
    FirstFetched,
    /// A further attempt of a request.
    Retry,
    /// A further attempt of a request, with a transfer from another engine.
    RetryFetched,
}

impl AttemptKind {
    /// The kind of the attempt with this number, starting at 1.
    pub fn new(attempt: u32, is_fetched: bool) -> AttemptKind {
        match (attempt > 1, is_fetched) {
            (false, false) => AttemptKind::First,
            (false, true) => AttemptKind::FirstFetched,
            (true, false) => AttemptKind::Retry,
            (true, true) => AttemptKind::RetryFetched,
        }
    }

    /// Whether a transfer from another engine was planned.
    pub fn is_fetched(self) -> bool {
        matches!(self, AttemptKind::FirstFetched | AttemptKind::RetryFetched)
    }
}

/// Attempts of one kind since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptCounts {
    /// Attempts that were sent.
    pub sent: u32,
    /// Tokens that engines were expected to prefill for them.
    pub prefill_tokens: u64,
    /// Attempts whose first token arrived.
    pub started: u32,
    /// Sum of the expected milliseconds to these first tokens.
    pub expected_ms: f64,
    /// Sum of the actual milliseconds to these first tokens.
    pub took_ms: f64,
}

/// Counts of all kinds since the last report.
#[derive(Clone, Debug)]
pub struct Estimates {
    report_at: Timestamp,
    counts: [AttemptCounts; KINDS],
}

const KINDS: usize = 4;

/// Interval between two reports.
const REPORT_INTERVAL: Millis = Millis(1_000);

impl Estimates {
    /// Creates empty counts.
    pub fn new(now: Timestamp) -> Estimates {
        Estimates { report_at: now.after(REPORT_INTERVAL), counts: Default::default() }
    }

    /// Counts an attempt that was sent to an engine.
    pub fn record_sent(&mut self, kind: AttemptKind, prefill_tokens: u32) {
        let counts = &mut self.counts[kind as usize];
        counts.sent += 1;
        counts.prefill_tokens += u64::from(prefill_tokens);
    }

    /// Counts a first token.
    pub fn record_started(&mut self, kind: AttemptKind, expected_ms: f64, took_ms: f64) {
        let counts = &mut self.counts[kind as usize];
        counts.started += 1;
        counts.expected_ms += expected_ms;
        counts.took_ms += took_ms;
    }

    /// Takes the counts once a report is due; kinds without any attempt are left out.
    pub fn take_report(&mut self, now: Timestamp) -> Vec<(AttemptKind, AttemptCounts)> {
        if !self.report_at.is_due(now) {
            return Vec::new();
        }
        self.report_at = now.after(REPORT_INTERVAL);
        let counts = std::mem::take(&mut self.counts);
        let all = AttemptKind::iter().map(|it| (it, counts[it as usize]));
        all.filter(|(_, it)| it.sent + it.started > 0).collect()
    }
}
