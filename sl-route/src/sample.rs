//! A random sample of equally suited servers.
//!
//! An instance learns of what others have sent some milliseconds later. If all of them chose the best server
//! of the fleet, many would choose the same one within that time, and each would expect to be the only one.
//! The best of a few drawn at random is nearly as good and seldom the same
//! (docs/design.md, "Where a request goes").

use sl_base::{RequestId, hash};

use crate::ServerKey;

/// Draws servers for one attempt. Each instance and each attempt draws others.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    seed: u64,
}

/// The number of servers that are drawn, of those in the own data centre and of the others.
const SAMPLE_SIZE: usize = 4;

/// As few servers as this are all considered: a draw of them would often leave out the only idle one.
const DRAWN_FROM_MIN: usize = 8;

impl Sample {
    /// The sample of a request at `instance` that was sent to `tried` servers before.
    pub fn new(instance: u32, request: RequestId, tried: usize) -> Sample {
        let seed = hash::weight(request.0, instance.into());
        Sample { seed: seed.wrapping_add(tried as u64) }
    }

    /// Draws [`SAMPLE_SIZE`] of `items`, which `key` tells apart, or returns them all if they are few.
    pub(crate) fn draw<T>(self, mut items: Vec<T>, key: impl Fn(&T) -> ServerKey) -> Vec<T> {
        if items.len() > DRAWN_FROM_MIN {
            items.select_nth_unstable_by_key(SAMPLE_SIZE, |it| hash::weight(self.seed, key(it).0));
            items.truncate(SAMPLE_SIZE);
        }
        items
    }
}
