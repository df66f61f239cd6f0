//! Settings of [`Members`](crate::Members).

use sl_base::Millis;

/// Spans and bounds of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The time between two probes. One goes to a member that is held alive, and one to a
    /// member that is held dead while the platform lists it.
    pub probe_every: Millis,
    /// How long a probed member may stay silent before others are asked to probe it.
    pub direct_wait: Millis,
    /// How long the others may take to reach it before it is suspected.
    pub indirect_wait: Millis,
    /// How many others are asked to probe a silent member, or told of a change at once.
    pub indirect: usize,
    /// The most rounds of probes through others that begin in one probe period.
    pub indirect_rounds: u32,
    /// How often in one probe period changes are passed on before the next probe.
    pub pushes: u32,
    /// How long a suspected member has to object before it is held dead.
    pub suspect_for: Millis,
    /// How long a dead member that is no longer listed is remembered, so that late news
    /// does not bring it back.
    pub forget_after: Millis,
    /// How long neither a peer nor the platform may answer before the instance counts as
    /// isolated.
    pub isolated_after: Millis,
    /// The most changes that one message carries.
    pub changes_per_message: usize,
    /// How often a change is passed on, in multiples of the fleet's binary logarithm.
    pub gossip_factor: u32,
    /// The most members that are kept.
    pub max_members: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            probe_every: Millis(500),
            direct_wait: Millis(300),
            indirect_wait: Millis(500),
            indirect: 3,
            indirect_rounds: 2,
            pushes: 2,
            suspect_for: Millis(1_500),
            forget_after: Millis(60_000),
            isolated_after: Millis(4_000),
            changes_per_message: 8,
            gossip_factor: 3,
            max_members: 4_096,
        }
    }
}
