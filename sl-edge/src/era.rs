//! The era of the platform's store, as far as this instance knows.
//!
//! A store that is restored from an older copy continues in a new era: what the fleet wrote since
//! the copy is gone, its leases too, and revisions seen before say nothing about those to come.
//! docs/design.md describes what an instance does then.

use std::cell::Cell;

use sl_base::Timestamp;
use tokio::sync::watch;

use crate::store::outage::REREGISTRATION_TIME;

/// The latest era that the store or a peer has named, and when this instance learned of it.
#[derive(Debug, Default)]
pub(crate) struct EraTracker {
    latest: watch::Sender<u64>,
    /// When the store was last found to have been restored; `None` before.
    restored_at: Cell<Option<Timestamp>>,
}

impl EraTracker {
    /// The latest era; 0 before the first is known.
    pub(crate) fn latest(&self) -> u64 {
        *self.latest.borrow()
    }

    /// Records an era that the store or a peer names. `is_first` if nothing was known of the store
    /// before, so that there is nothing to lose. Returns whether the era is later than the latest.
    pub(crate) fn observe(&self, now: Timestamp, era: u64, is_first: bool) -> bool {
        if era <= self.latest() {
            return false;
        }
        if !is_first {
            self.restored_at.set(Some(now));
        }
        self.latest.send_replace(era);
        true
    }

    /// When all entries are listed again after the last restore; `None` without one.
    pub(crate) fn complete_at(&self) -> Option<Timestamp> {
        self.restored_at.get().map(|it| it.after(REREGISTRATION_TIME))
    }

    /// Waits until the latest era is later than `era`.
    pub(crate) async fn later_than(&self, era: u64) {
        // Cannot fail: the sender lives as long as `self`.
        let _ = self.latest.subscribe().wait_for(|it| *it > era).await;
    }
}
