//! How instances hear of each other's work.

use sl_base::Millis;
use strum::{Display, EnumIter, EnumString};

/// How instances hear of each other's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// They do not: each knows its own sends and first tokens.
    Apart,
    /// They do not, and each has an even part of every engine's slots.
    LentSlots,
    /// They see what engines report: what all sent, as it was some time ago.
    Reports,
    /// They tell each other every 100 ms.
    Digest,
    /// They tell each other what happens, gathered for a few milliseconds.
    Notes,
    /// A home for each engine knows all at once, and is asked before each send.
    Home,
}

/// How often notes go out, and how long they are on the way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exchange {
    pub(super) pace: Millis,
    pub(super) way: Millis,
}

impl Policy {
    /// How notes go, where they do.
    pub(super) fn exchange(self) -> Option<Exchange> {
        let (pace, way) = match self {
            Policy::Apart | Policy::LentSlots => return None,
            Policy::Reports => (200, 50),
            Policy::Digest => (100, 1),
            Policy::Notes => (5, 1),
            Policy::Home => (0, 0),
        };
        Some(Exchange { pace: Millis(pace), way: Millis(way) })
    }

    /// What is asked before each send takes this long.
    pub(super) fn question(self) -> Millis {
        match self {
            Policy::Home => Millis(2),
            _ => Millis(0),
        }
    }

    /// An instance's part of `slots` among `instances`.
    pub(super) fn slots(self, slots: u32, instances: u32) -> u32 {
        match self {
            Policy::LentSlots => slots.div_ceil(instances),
            _ => slots,
        }
    }
}
