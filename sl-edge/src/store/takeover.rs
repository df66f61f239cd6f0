//! When instances on standby take over from followers of the store that are missing. See
//! docs/CAPACITY.md, "Followers that the store turns away".

use sl_base::{Millis, Timestamp};

use super::FOLLOWERS;

/// Decides when one instance on standby follows the store itself.
///
/// The store may turn away any of the instances, so that those which take over first may be of no use
/// either. They take over in groups by their rank, each several times as large as all before it. A
/// group stays on standby if one before it has found the store in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Takeover {
    /// Since when followers have been missing; `None` while there are enough.
    missing_since: Option<Timestamp>,
}

/// How many instances take over at once.
const FIRST_GROUP: usize = 4 * FOLLOWERS;

/// The time from one group to the next: longer than a call to the store usually takes.
pub const GROUP_INTERVAL: Millis = Millis(100);

/// How many times more instances may follow the store with each group.
const GROUP_GROWTH: usize = 8;

/// With so many groups every instance of the largest fleet has its turn.
const GROUPS_MAX: u32 = 4;

impl Takeover {
    /// Whether the instance has to follow the store now, if `followers_ahead` of the instances that
    /// rank before it do, and `active_ahead` of these run.
    pub fn is_due(&mut self, now: Timestamp, followers_ahead: usize, active_ahead: usize) -> bool {
        if followers_ahead >= FOLLOWERS {
            self.missing_since = None;
            return false;
        }
        let since = *self.missing_since.get_or_insert(now);
        let groups = now.millis_since(since) as u64 / GROUP_INTERVAL.0;
        let growth = GROUP_GROWTH.pow(groups.min(GROUPS_MAX.into()) as u32);
        active_ahead < FIRST_GROUP * growth
    }
}
