//! How fast a server was seen to be: servers differ widely, and load reports lag.

/// A moving average of one slot's speed, in units per million microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    units_per_second: u64,
}

/// Weight of a new sample: one in so many.
const SAMPLE_WEIGHT: u64 = 8;

const MICROS_PER_SECOND: u64 = 1_000_000;

impl Speed {
    /// Takes a request's service and its time on the slot.
    pub fn sample(&mut self, units: u64, micros: u64) {
        let sample = units.saturating_mul(MICROS_PER_SECOND) / micros.max(1);
        self.units_per_second = if self.units_per_second == 0 {
            sample
        } else {
            (self.units_per_second.saturating_mul(SAMPLE_WEIGHT - 1) + sample) / SAMPLE_WEIGHT
        };
    }

    /// The speed to expect; a server that was never tried counts as fast, so that it is.
    pub fn expected(self) -> u64 {
        if self.units_per_second == 0 { u64::MAX } else { self.units_per_second }
    }
}
