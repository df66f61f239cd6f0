//! How instances learn about the requests that other instances send.

use sl_base::Millis;
use strum::{Display, EnumIter, EnumString};

/// How instances learn about the requests that other instances send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Not at all: an instance knows only its own requests and their first tokens.
    Apart,
    /// Not at all, and each instance may use an equal share of every engine's slots.
    LentSlots,
    /// From reports of the engines, which cover the requests of all instances but are outdated by
    /// the interval and the delay of the reports.
    Reports,
    /// By gossip every 100 ms.
    Digest,
    /// By gossip of notes, which are batched for a few milliseconds.
    Notes,
    /// From a coordinator for each engine, which knows all requests at once and is queried before
    /// each request is sent.
    Home,
}

/// The interval in which an instance sends its notes, and the network delay of the notes.
#[derive(Clone, Copy, Debug)]
pub(super) struct GossipTiming {
    pub(super) interval: Millis,
    pub(super) delay: Millis,
}

impl Policy {
    /// The timing of the gossip; `None` if instances do not exchange notes.
    pub(super) fn gossip_timing(self) -> Option<GossipTiming> {
        let (interval, delay) = match self {
            Policy::Apart | Policy::LentSlots => return None,
            Policy::Reports => (200, 50),
            Policy::Digest => (100, 1),
            Policy::Notes => (5, 1),
            Policy::Home => (0, 0),
        };
        Some(GossipTiming { interval: Millis(interval), delay: Millis(delay) })
    }

    /// The delay of the query to the coordinator before a request is sent.
    pub(super) fn lookup_delay(self) -> Millis {
        match self {
            Policy::Home => Millis(2),
            _ => Millis(0),
        }
    }

    /// The number of an engine's `slots` that each of `instances` may use.
    pub(super) fn slot_limit(self, slots: u32, instances: u32) -> u32 {
        match self {
            Policy::LentSlots => slots.div_ceil(instances),
            _ => slots,
        }
    }
}
