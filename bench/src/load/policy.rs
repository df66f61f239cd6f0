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
    /// By gossip of notes, which are gathered for as long as in a large fleet.
    GatheredNotes,
    /// By gossip of notes over relays: datagrams with a few notes each, which overtake one another.
    RelayedNotes,
    /// From a coordinator for each engine, which knows all requests at once and is queried before
    /// each request is sent.
    Home,
}

/// The interval in which an instance sends its notes, the network delay of the notes, and how they are split.
#[derive(Clone, Copy, Debug)]
pub(super) struct GossipTiming {
    pub(super) interval: Millis,
    pub(super) delay: Millis,
    /// The largest further delay of a datagram, drawn for each receiver.
    pub(super) jitter: Millis,
    /// Notes that one datagram holds.
    pub(super) datagram_notes: usize,
}

/// Notes in one datagram over relays: so many notes on attempts, with the parts of their prompts, are
/// below the usual MTU.
const RELAYED_DATAGRAM_NOTES: usize = 20;

impl Policy {
    /// The timing of the gossip; `None` if instances do not exchange notes.
    pub(super) fn gossip_timing(self) -> Option<GossipTiming> {
        let (interval, delay, jitter) = match self {
            Policy::Apart | Policy::LentSlots => return None,
            Policy::Reports => (200, 50, 0),
            Policy::Digest => (100, 1, 0),
            Policy::Notes => (5, 1, 0),
            Policy::GatheredNotes => (20, 3, 0),
            Policy::RelayedNotes => (20, 3, 60),
            Policy::Home => (0, 0, 0),
        };
        let [interval, delay, jitter] = [interval, delay, jitter].map(Millis);
        let is_relayed = self == Policy::RelayedNotes;
        let datagram_notes = if is_relayed { RELAYED_DATAGRAM_NOTES } else { usize::MAX };
        Some(GossipTiming { interval, delay, jitter, datagram_notes })
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
