//! The record behind the burn report: what became of each request, by team and route.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sl_base::Code;
use sl_config::Config;
use sl_front::Label;
use sl_report::{Options, Recorder, Report, Sample, Snapshot};

use crate::clock::Clock;

/// The record; clones are the same.
#[derive(Clone, Debug)]
pub(crate) struct Burn {
    recorder: Arc<Mutex<Recorder>>,
    clock: Clock,
}

impl Burn {
    /// A record that begins now.
    pub(crate) fn new(instance: &str, clock: Clock) -> Burn {
        let recorder = Recorder::new(Options {
            instance: instance.to_owned(),
            from: clock.now(),
            series_max: SERIES_MAX,
        });
        Burn { recorder: Arc::new(Mutex::new(recorder)), clock }
    }

    /// A backend server's answer reached its end.
    pub(crate) fn answered(&self, label: &Label, first_byte_micros: u64) {
        let first_byte_ms = first_byte_micros.div_ceil(MICROS_PER_MILLI);
        self.record(label, Sample::Answered { first_byte_ms });
    }

    /// A request got a final answer of ours.
    pub(crate) fn failed(&self, label: &Label, code: Code) {
        if let Some(sample) = Sample::of(code) {
            self.record(label, sample);
        }
    }

    pub(crate) fn snapshot(&self) -> Snapshot {
        let now = self.clock.now();
        self.lock().snapshot(now)
    }

    /// The report over `snapshots`; none where one of them cannot be read.
    pub(crate) fn report(
        &self,
        config: &Config,
        snapshots: &[Snapshot],
        missing: Vec<String>,
    ) -> Option<Report> {
        Report::merge(config, snapshots, missing).ok()
    }

    fn record(&self, label: &Label, sample: Sample) {
        let now = self.clock.now();
        self.lock().record(now, &label.team, &label.route, sample);
    }

    fn lock(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pairs of team and route that are kept apart; the rest is counted together.
const SERIES_MAX: usize = 256;
const MICROS_PER_MILLI: u64 = 1_000;
