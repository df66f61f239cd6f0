//! Growing delays between attempts that fail.

use sl_base::Millis;

/// A delay that doubles with every failure, up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Millis,
    max: Millis,
    next: Millis,
}

impl Backoff {
    /// Delays from `initial` up to `max`.
    pub fn new(initial: Millis, max: Millis) -> Backoff {
        Backoff { initial, max, next: initial }
    }

    /// The delay after another failure.
    pub fn next_delay(&mut self) -> Millis {
        let delay = self.next;
        self.next = Millis(delay.0.saturating_mul(2)).min(self.max);
        delay
    }

    /// Starts anew after a success.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
