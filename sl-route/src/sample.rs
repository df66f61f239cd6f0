//! A random sample of the servers that suit a request equally well.
//!
//! An instance learns of the requests that others have sent some milliseconds later. If all instances chose
//! the best server of the fleet, many would choose the same one within that time, and each would expect its
//! request to be the only new one there. The best of a few servers drawn at random is nearly as good and
//! seldom the same (docs/design.md, "Where a request goes").

use sl_base::{RequestId, hash};

use crate::ServerKey;

/// Draws servers for one attempt. Each instance and each attempt draws others.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    seed: u64,
}

/// The number of servers that are drawn, of those in the own data centre and of the others.
const SAMPLE_SIZE: usize = 4;

/// Up to so many servers are all returned: a draw from few would often leave out the only idle one.
const UNDRAWN_MAX: usize = 8;

impl Sample {
    /// The sample of a request at `instance` that was sent to `tried` servers before.
    pub fn new(instance: u32, request: RequestId, tried: usize) -> Sample {
        let seed = hash::weight(request.0, instance.into());
        Sample { seed: seed.wrapping_add(tried as u64) }
    }

    /// Draws [`SAMPLE_SIZE`] of `items`, whose servers `key` names; returns them all if there are at most
    /// [`UNDRAWN_MAX`].
    pub(crate) fn draw<T>(self, mut items: Vec<T>, key: impl Fn(&T) -> ServerKey) -> Vec<T> {
        if items.len() > UNDRAWN_MAX {
            items.select_nth_unstable_by_key(SAMPLE_SIZE, |it| hash::weight(self.seed, key(it).0));
            items.truncate(SAMPLE_SIZE);
        }
        items
    }
}
