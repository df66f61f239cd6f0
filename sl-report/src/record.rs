//! Recording of request outcomes in bounded memory.

use std::collections::BTreeMap;

use sl_base::{Code, Millis, Timestamp};

use crate::{
    snapshot::{EncodedTally, Series, Snapshot},
    window::{LATENCY_MS_MAX, Window, WindowShape},
};

/// The short window, 5 minutes: lets alerts react quickly.
pub(crate) const SHORT: WindowShape = WindowShape { step: Millis(60_000), steps: 5 };
/// The long window, 1 hour: alerts fire only if the burn rate over it is high as well.
pub(crate) const LONG: WindowShape = WindowShape { step: Millis(300_000), steps: 12 };
/// Team and route under which requests are counted once the limit on series is reached.
pub const OVERFLOW_LABEL: &str = "(other)";

/// Options of a [`Recorder`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the instance.
    pub instance: String,
    /// When recording began. Time before it is reported as not covered rather than as free of
    /// failures.
    pub started_at: Timestamp,
    /// Maximum number of pairs of team and route that are recorded separately.
    pub max_series: usize,
}

/// Outcome of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A backend server answered.
    Answered {
        /// Milliseconds from the arrival of the request to the first byte of the response.
        first_byte_ms: u64,
    },
    /// The caller got no answer from a backend server, through no fault of its own.
    Unanswered,
}

impl Sample {
    /// Classifies a result code; `None` if the request was invalid or the caller disconnected,
    /// which does not count against the objectives.
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
            | Code::VersionGone
            | Code::OriginUnknown
            | Code::VersionUnrecorded
            | Code::TotalTimeout
            | Code::ConnectionLost
            | Code::CrossedAnswer
            | Code::InstanceStopped => Some(Sample::Unanswered),
        }
    }
}

/// Records samples per team and route.
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
    /// Creates an empty recorder.
    pub fn new(options: Options) -> Recorder {
        Recorder { options, series: BTreeMap::new() }
    }

    /// Counts one request in both windows.
    pub fn record(&mut self, now: Timestamp, team: &str, route: &str, sample: Sample) {
        let windows = self.windows(now, team, route);
        for window in [&mut windows.short, &mut windows.long] {
            let tally = window.current(now);
            match sample {
                Sample::Answered { first_byte_ms } => {
                    tally.answered.saturating_record(first_byte_ms.clamp(1, LATENCY_MS_MAX));
                }
                Sample::Unanswered => tally.unanswered += 1,
            }
        }
    }

    /// Returns the contents of both windows at `now`.
    pub fn snapshot(&mut self, now: Timestamp) -> Snapshot {
        let series = self.series.iter_mut().map(|((team, route), windows)| Series {
            team: team.clone(),
            route: route.clone(),
            short: EncodedTally::encode(&windows.short.sum(now)),
            long: EncodedTally::encode(&windows.long.sum(now)),
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
            self.evict_idle(now);
        }
        let is_full = self.series.len() >= self.options.max_series;
        let key = if is_full && !self.series.contains_key(&key) {
            (OVERFLOW_LABEL.to_owned(), OVERFLOW_LABEL.to_owned())
        } else {
            key
        };
        self.series.entry(key).or_insert_with(Windows::new)
    }

    /// Removes the series that have no sample left in the long window.
    fn evict_idle(&mut self, now: Timestamp) {
        self.series.retain(|_, windows| {
            windows.long.expire(now);
            !windows.long.is_empty()
        });
    }
}

impl Windows {
    fn new() -> Windows {
        Windows { short: Window::new(SHORT), long: Window::new(LONG) }
    }
}
