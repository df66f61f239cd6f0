//! The data centres that the operator has evacuated: nothing is sent to their servers. See
//! docs/design/evacuation.md.

use std::{collections::BTreeMap, sync::Arc};

use sl_base::Timestamp;

use crate::directory::RESTORE_PERIOD;

/// The evacuated data centres, by name.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// When the evacuation of each data centre ends; `None` while the operator demands it.
    data_centres: BTreeMap<Arc<str>, Option<Timestamp>>,
    /// Until then, the store may lack what was written to it before it was restored.
    restore_ends_at: Timestamp,
}

impl Evacuations {
    /// Begins or confirms the evacuation of a data centre. Returns whether it begins.
    pub fn begin(&mut self, data_centre: Arc<str>) -> bool {
        self.data_centres.insert(data_centre, None).is_none()
    }

    /// Records that the store no longer demands the evacuation. It ends now, or at the end of the
    /// period after a restore in which the operator may demand it again.
    pub fn request_end(&mut self, now: Timestamp, data_centre: &str) {
        if let Some(ends_at) = self.data_centres.get_mut(data_centre) {
            ends_at.get_or_insert(self.restore_ends_at.max(now));
        }
    }

    /// Records that the store was restored from an older copy at `now`.
    pub fn begin_restore(&mut self, now: Timestamp) {
        self.restore_ends_at = now.after(RESTORE_PERIOD);
        for ends_at in self.data_centres.values_mut() {
            *ends_at = ends_at.map(|it| it.max(self.restore_ends_at));
        }
    }

    /// Removes the evacuations that have ended at `now`, and returns their data centres.
    pub fn take_ended(&mut self, now: Timestamp) -> Vec<Arc<str>> {
        let has_ended = |it: &Option<Timestamp>| it.is_some_and(|at| at.is_due(now));
        let ended = self.data_centres.iter().filter(|(_, it)| has_ended(it));
        let ended: Vec<Arc<str>> = ended.map(|(name, _)| name.clone()).collect();
        for data_centre in &ended {
            self.data_centres.remove(data_centre);
        }
        ended
    }

    /// Whether nothing may be sent to the servers of the data centre.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.data_centres.contains_key(data_centre)
    }

    /// The names of the evacuated data centres, sorted.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.data_centres.keys()
    }
}
