//! The instance's copy of the platform's store.
//!
//! Updates come from the store itself and from peers, in any order. An item is replaced only
//! by a newer revision of it, so that the copy never returns to an earlier state.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// A revision of a key: its value, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key in the store.
    pub key: String,
    /// The store's revision at which the key was last written or removed.
    pub revision: u64,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// The changes after a revision, or a full listing, as sent to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The revision after which `items` lists all changes; `None` if `items` is a full listing.
    pub since: Option<u64>,
    /// The sender's revision: the update contains all changes up to it.
    pub revision: u64,
    /// The changed items including removals, or all items.
    pub items: Vec<Item>,
}

/// A copy of the store at one revision, with a bounded history of removals.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: u64,
    items: HashMap<String, StoredValue>,
    /// Revision and key of the latest removals, oldest first.
    tombstones: VecDeque<(u64, String)>,
    /// `tombstones` contains all removals after this revision.
    tombstones_since: u64,
}

/// Tombstones kept. A peer whose revision is older than these gets a full listing.
const TOMBSTONES_MAX: usize = 1_000;

#[derive(Clone, Debug)]
struct StoredValue {
    revision: u64,
    value: Vec<u8>,
}

/// A change of the copy that an update caused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key in the store.
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Mirror {
    /// Returns the revision up to which the copy is complete; 0 before the first update.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies a full listing of the store at `revision`: items that the listing lacks are
    /// removed. A listing older than the copy is ignored. Returns the changes of values.
    pub fn replace(&mut self, revision: u64, items: Vec<Item>) -> Vec<Change> {
        if revision < self.revision {
            return Vec::new();
        }
        let listed: std::collections::HashSet<&String> = items.iter().map(|it| &it.key).collect();
        let removed: Vec<String> = self
            .items
            .iter()
            .filter(|(key, it)| it.revision <= revision && !listed.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes: Vec<Change> = Vec::new();
        for key in removed {
            self.items.remove(&key);
            changes.push(Change { key, value: None });
        }
        // The listing does not show keys that were added and removed since the last revision,
        // so the tombstones of that time are incomplete.
        self.tombstones.clear();
        self.tombstones_since = revision;
        changes.extend(items.into_iter().filter_map(|it| self.put(it)));
        self.revision = revision;
        changes
    }

    /// Applies the changes between an earlier revision and `revision`; those up to the current
    /// revision are skipped. Returns the changes of values.
    ///
    /// `items` must contain all changes after the current revision.
    pub fn apply_changes(&mut self, revision: u64, items: Vec<Item>) -> Vec<Change> {
        let current = self.revision;
        let newer = items.into_iter().filter(|it| it.revision > current);
        let newer: Vec<Item> = newer.collect();
        let changes = newer.into_iter().filter_map(|it| self.put(it)).collect();
        self.revision = self.revision.max(revision);
        changes
    }

    /// Applies an update from a peer. An update that starts after the current revision is
    /// ignored, because the changes in between are missing.
    pub fn apply(&mut self, update: Update) -> Vec<Change> {
        match update.since {
            Some(since) if since <= self.revision => {
                self.apply_changes(update.revision, update.items)
            }
            // The next request to the peer names the current revision, so its response has no gap.
            Some(_) => Vec::new(),
            None => self.replace(update.revision, update.items),
        }
    }

    /// Returns the changes after the revision `since`, or a full listing if `since` is 0 or not
    /// all removals after it are kept.
    pub fn update_since(&self, since: u64) -> Update {
        if since == 0 || since < self.tombstones_since {
            return self.full_update();
        }
        let newer = self.items.iter().filter(|(_, it)| it.revision > since);
        let removed = self.tombstones.iter().filter(|(revision, _)| *revision > since);
        let removed = removed.filter(|(_, key)| !self.items.contains_key(key));
        let removed = removed.map(|(revision, key)| Item {
            key: key.clone(),
            revision: *revision,
            value: None,
        });
        let mut items: Vec<Item> = newer.map(to_item).chain(removed).collect();
        items.sort_by_key(|it| it.revision);
        Update { since: Some(since), revision: self.revision, items }
    }

    /// Returns a full listing.
    pub fn full_update(&self) -> Update {
        let items = self.items.iter().map(to_item).collect();
        Update { since: None, revision: self.revision, items }
    }

    fn put(&mut self, item: Item) -> Option<Change> {
        let current = self.items.get(&item.key);
        if current.is_some_and(|it| it.revision >= item.revision) {
            return None;
        }
        match &item.value {
            Some(value) => {
                let stored = StoredValue { revision: item.revision, value: value.clone() };
                let previous = self.items.insert(item.key.clone(), stored);
                let is_unchanged = previous.is_some_and(|it| it.value == *value);
                (!is_unchanged).then_some(Change { key: item.key, value: item.value })
            }
            None => {
                // Recorded even if the key is missing here, since a peer may still have it.
                self.push_tombstone(item.revision, item.key.clone());
                self.items.remove(&item.key)?;
                Some(Change { key: item.key, value: None })
            }
        }
    }

    fn push_tombstone(&mut self, revision: u64, key: String) {
        self.tombstones.push_back((revision, key));
        if self.tombstones.len() > TOMBSTONES_MAX
            && let Some((revision, _)) = self.tombstones.pop_front()
        {
            self.tombstones_since = revision;
        }
    }
}

fn to_item((key, stored): (&String, &StoredValue)) -> Item {
    Item { key: key.clone(), revision: stored.revision, value: Some(stored.value.clone()) }
}
