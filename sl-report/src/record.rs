//! Recording what became of requests, with bounded memory.

use std::collections::BTreeMap;

use sl_base::{Code, Millis, Timestamp};

use crate::{
    snapshot::{EncodedTally, Series, Snapshot},
    window::{LATENCY_MAX_MS, Window, WindowShape},
};

/// The short window: alerts react to it.
pub(crate) const SHORT: WindowShape = WindowShape { step: Millis(60_000), steps: 5 };
/// The long window: alerts hold only if it burns too.
pub(crate) const LONG: WindowShape = WindowShape { step: Millis(300_000), steps: 12 };
/// The team and route under which everything past the bound of series is counted.
pub const OVERFLOW: &str = "(other)";

/// How a recorder is set up.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name.
    pub instance: String,
    /// When recording began; what came before is a gap, not health.
    pub started_at: Timestamp,
    /// Pairs of team and route that are kept apart at most.
    pub max_series: usize,
}

/// What became of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A backend server answered; the first byte took this many milliseconds.
    Answered {
        /// Milliseconds from the arrival to the first byte.
        first_byte_ms: u64,
    },
    /// The caller got no answer from a backend server, and not by its own fault.
    Unanswered,
}

impl Sample {
    /// How a result code counts, or nothing where the caller's own request was at fault
    /// or the caller went away.
    pub fn of(code: Code) -> Option<Sample> {
        match code {
            Code::UnknownCredential
            | Code::UnknownRoute
            | Code::BodyTooLarge
            | Code::HeadersTooLarge
            | Code::BodyIncomplete
            | Code::CallerGone
            | Code::Malformed
            | Code::HeadersLate
            | Code::HeaderInvalid => None,
            Code::OverShare
            | Code::TooLate
            | Code::NoServer
            | Code::TurnedAway
            | Code::Draining
            | Code::NoConfiguration
            | Code::CrashesServers
            | Code::Overloaded
            | Code::InstanceFull
            | Code::TotalTimeout
            | Code::ConnectionLost
            | Code::CrossedAnswer => Some(Sample::Unanswered),
        }
    }
}

/// Records samples by team and route.
#[derive(Debug)]
pub struct Recorder {
    options: Options,
    series: BTreeMap<(String, String), Windows>,
}

#[derive(Debug)]
struct Windows {
    short: Window,
    long: Window,
}

impl Recorder {
    /// A recorder that holds nothing yet.
    pub fn new(options: Options) -> Recorder {
        Recorder { options, series: BTreeMap::new() }
    }

    /// Counts one request.
    pub fn record(&mut self, now: Timestamp, team: &str, route: &str, sample: Sample) {
        let windows = self.windows(now, team, route);
        for window in [&mut windows.short, &mut windows.long] {
            let tally = window.current(now);
            match sample {
                Sample::Answered { first_byte_ms } => {
                    tally.answered.saturating_record(first_byte_ms.clamp(1, LATENCY_MAX_MS));
                }
                Sample::Unanswered => tally.unanswered += 1,
            }
        }
    }

    /// What both windows hold at `now`.
    pub fn snapshot(&mut self, now: Timestamp) -> Snapshot {
        let series = self.series.iter_mut().map(|((team, route), windows)| Series {
            team: team.clone(),
            route: route.clone(),
            short: EncodedTally::of(&windows.short.sum(now)),
            long: EncodedTally::of(&windows.long.sum(now)),
        });
        Snapshot {
            instance: self.options.instance.clone(),
            started_at: self.options.started_at,
            taken_at: now,
            series: series.collect(),
        }
    }

    fn windows(&mut self, now: Timestamp, team: &str, route: &str) -> &mut Windows {
        let key = (team.to_owned(), route.to_owned());
        if !self.series.contains_key(&key) && self.series.len() >= self.options.max_series {
            self.forget_idle(now);
        }
        let full = self.series.len() >= self.options.max_series;
        let key = if full && !self.series.contains_key(&key) {
            (OVERFLOW.to_owned(), OVERFLOW.to_owned())
        } else {
            key
        };
        self.series.entry(key).or_insert_with(Windows::new)
    }

    fn forget_idle(&mut self, now: Timestamp) {
        self.series.retain(|_, windows| {
            windows.long.forget(now);
            !windows.long.is_empty()
        });
    }
}

impl Windows {
    fn new() -> Windows {
        Windows { short: Window::new(SHORT), long: Window::new(LONG) }
    }
}
