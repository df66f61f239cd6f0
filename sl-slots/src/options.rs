//! Settings of the lending.

use sl_base::Millis;
use strum::{Display, EnumString, IntoStaticStr};

/// How instances share the slots of backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// A home lends slots as windows with a lease.
    #[default]
    Lent,
    /// Each instance has an equal part of each server's slots.
    FixedSplit,
    /// Each instance uses all slots and knows only what it sent itself.
    Uncoordinated,
}

/// Settings of [`Slots`](crate::Slots); the same on all instances.
#[derive(Clone, Debug)]
pub struct Options {
    /// How slots are shared.
    pub policy: Policy,
    /// How long after a confirmed renewal left its slots may be used.
    pub lease: Millis,
    /// How often loans are renewed; well below half the lease.
    pub renew_every: Millis,
    /// The least time between two renewals to one home when something urgent changed.
    pub urgent_gap: Millis,
    /// The least time between two renewals to one home when something else changed.
    pub lazy_gap: Millis,
    /// How long a slot is kept with no work for it.
    pub idle_keep: Millis,
    /// How long slots of a holder that fell silent count as busy after their lease.
    pub lost_after: Millis,
    /// How long a server is avoided that refused a connection.
    pub avoid_for: Millis,
    /// How far the own neediest team's virtual time may lie above the one of a team that
    /// waits elsewhere before a slot is given up. More is kinder to utilisation, less to
    /// the gap between teams. In the parts of `sl_fair::Service`.
    pub tolerance: u64,
    /// How often slots may be given up again for the same waiting work elsewhere; the
    /// period of the reports that tell of it.
    pub surrender_every: Millis,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            policy: Policy::Lent,
            lease: Millis(3_000),
            renew_every: Millis(1_000),
            urgent_gap: Millis(10),
            lazy_gap: Millis(250),
            idle_keep: Millis(5_000),
            lost_after: Millis(5_000),
            avoid_for: Millis(500),
            tolerance: 500 * 1_024,
            surrender_every: Millis(1_000),
        }
    }
}
