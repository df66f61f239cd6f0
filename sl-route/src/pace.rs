//! How fast an engine generates the tokens of its streams beside its other work.
//!
//! A step of an engine generates a token for each running stream. It takes a constant, some time for
//! each running stream, and the time of the chunk of prefill in it, so the interval between two
//! events grows with the batch and with the part of the time that goes to prefill
//! (docs/design/admission-balance.md).

use sl_base::Timestamp;

/// The interval between the events of an engine's streams, estimated from streams that completed.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    totals: WorkTotals,
    fit: IntervalFit,
}

/// The work of an engine up to a time. The difference of two gives the means in between.
#[derive(Clone, Copy, Debug)]
pub struct WorkTotals {
    at: Timestamp,
    /// Milliseconds of completed prefill.
    prefill_ms: f64,
    /// Milliseconds for which streams ran, summed over the streams.
    stream_ms: f64,
}

/// The interval between events without prefill as a linear function of the number of running
/// streams, fitted to samples whose weights decay.
#[derive(Clone, Copy, Debug)]
struct IntervalFit {
    weight: f64,
    mean_running: f64,
    mean_interval_ms: f64,
    /// Weighted sums of the products of deviations from the means.
    running_squares: f64,
    products: f64,
    samples: u32,
}

/// Initial estimate of the interval between two events of a stream, in milliseconds.
const INTERVAL_MS_DEFAULT: f64 = 40.0;

/// Bounds on the interval between two events without prefill, in milliseconds.
const INTERVAL_MS_MIN: f64 = 1.0;
const INTERVAL_MS_MAX: f64 = 1_000.0;

/// Factor by which the weight of older samples decays with each new one: by half in 50 samples.
const SAMPLE_DECAY: f64 = 0.986;

/// Weight of the initial estimate, in samples.
const PRIOR_WEIGHT: f64 = 1.0;

/// Sum of squared deviations of the number of streams that speaks for no dependence on it. Keeps the
/// slope small while all samples have about the same number.
const SLOPE_PRIOR_SQUARES: f64 = 500.0;

/// The number of samples from which the estimate counts as measured.
const SAMPLES_MIN: u32 = 10;

/// Upper bound on the fraction of the time that goes to prefill.
const PREFILL_FRACTION_MAX: f64 = 0.95;

/// The prefill fraction at which decoding would stall. Slightly above 1, because a token is also
/// generated with each prefilled chunk.
const STALL_FRACTION: f64 = 1.05;

impl Pace {
    /// The pace of an engine without samples.
    pub fn new(now: Timestamp) -> Pace {
        Pace {
            totals: WorkTotals { at: now, prefill_ms: 0.0, stream_ms: 0.0 },
            fit: IntervalFit {
                weight: PRIOR_WEIGHT,
                mean_running: 0.0,
                mean_interval_ms: INTERVAL_MS_DEFAULT,
                running_squares: 0.0,
                products: 0.0,
                samples: 0,
            },
        }
    }

    /// Counts `running` streams from the last call to `now`, and returns the totals.
    pub fn advance(&mut self, now: Timestamp, running: usize) -> WorkTotals {
        let totals = &mut self.totals;
        totals.stream_ms += now.millis_since(totals.at) * running as f64;
        totals.at = totals.at.max(now);
        *totals
    }

    /// Records prefill that has been completed.
    pub fn record_prefill(&mut self, millis: f64) {
        self.totals.prefill_ms += millis;
    }

    /// Records the mean interval between the events of a stream that began when the totals were
    /// `since` and ends now.
    pub fn record_interval(&mut self, since: WorkTotals, interval_ms: f64) {
        let elapsed_ms = self.totals.at.millis_since(since.at);
        if elapsed_ms <= 0.0 {
            return;
        }
        let prefill_fraction = (self.totals.prefill_ms - since.prefill_ms) / elapsed_ms;
        let running = (self.totals.stream_ms - since.stream_ms) / elapsed_ms;
        let undisturbed_ms = interval_ms * decode_fraction(prefill_fraction);
        self.fit.record(running, undisturbed_ms.clamp(INTERVAL_MS_MIN, INTERVAL_MS_MAX));
    }

    /// The expected interval between events while `running` streams run and `prefill_fraction` of
    /// the time goes to prefill, in milliseconds.
    pub fn interval_ms(&self, running: usize, prefill_fraction: f64) -> f64 {
        self.fit.interval_ms(running as f64) / decode_fraction(prefill_fraction)
    }

    /// Whether the estimate is based on samples.
    pub fn is_measured(&self) -> bool {
        self.fit.samples >= SAMPLES_MIN
    }
}

impl IntervalFit {
    fn record(&mut self, running: f64, interval_ms: f64) {
        let old_weight = self.weight * SAMPLE_DECAY;
        self.weight = old_weight + 1.0;
        let running_deviation = running - self.mean_running;
        let interval_deviation = interval_ms - self.mean_interval_ms;
        let spread = old_weight / self.weight;
        self.running_squares =
            self.running_squares * SAMPLE_DECAY + running_deviation.powi(2) * spread;
        self.products =
            self.products * SAMPLE_DECAY + running_deviation * interval_deviation * spread;
        self.mean_running += running_deviation / self.weight;
        self.mean_interval_ms += interval_deviation / self.weight;
        self.samples = self.samples.saturating_add(1);
    }

    fn interval_ms(&self, running: f64) -> f64 {
        let slope = (self.products / (self.running_squares + SLOPE_PRIOR_SQUARES)).max(0.0);
        let interval_ms = self.mean_interval_ms + slope * (running - self.mean_running);
        interval_ms.clamp(INTERVAL_MS_MIN, INTERVAL_MS_MAX)
    }
}

/// The part of the time in which an engine generates tokens.
fn decode_fraction(prefill_fraction: f64) -> f64 {
    STALL_FRACTION - prefill_fraction.clamp(0.0, PREFILL_FRACTION_MAX)
}
