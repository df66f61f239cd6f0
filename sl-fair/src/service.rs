//! Service that is already divided by the share at the time of the charge, so that a
//! later change of the share acts on the future only.

use serde::{Deserialize, Serialize};

/// Parts of a service unit at share one.
pub const PARTS_PER_UNIT: u64 = 1_024;

/// Normalised service, or virtual time, in [`PARTS_PER_UNIT`]ths of a cost unit at share one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Service(pub u64);

impl Service {
    /// No service.
    pub const ZERO: Service = Service(0);

    /// What `units` weigh for a team with `share`; a share of zero counts as one.
    pub fn of(units: u64, share: u32) -> Service {
        Service(units.saturating_mul(PARTS_PER_UNIT) / u64::from(share.max(1)))
    }

    /// The sum, which saturates.
    pub fn plus(self, other: Service) -> Service {
        Service(self.0.saturating_add(other.0))
    }

    /// The difference, or zero where `other` is greater.
    pub fn minus(self, other: Service) -> Service {
        Service(self.0.saturating_sub(other.0))
    }
}
