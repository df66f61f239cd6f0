//! Faults that strike some requests and spare others.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// When a fault strikes: the next so many times, and after that by probability.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Chance {
    /// How many times it strikes for certain.
    pub next: u32,
    /// How probable it is each time after that, from 0 to 1.
    pub probability: f64,
}

impl Chance {
    /// Strikes every time.
    pub const ALWAYS: Chance = Chance { next: 0, probability: 1.0 };

    /// Strikes the next `count` times only.
    pub const fn next(count: u32) -> Chance {
        Chance { next: count, probability: 0.0 }
    }

    /// Strikes with a probability from 0 to 1.
    pub const fn probability(probability: f64) -> Chance {
        Chance { next: 0, probability }
    }

    pub(crate) fn strikes(&mut self, dice: &mut Dice) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.probability > 0.0 && dice.0.random_bool(self.probability.clamp(0.0, 1.0))
    }
}

#[derive(Debug)]
pub(crate) struct Dice(ChaCha8Rng);

impl Dice {
    pub(crate) fn new(seed: u64) -> Dice {
        Dice(ChaCha8Rng::seed_from_u64(seed))
    }
}
