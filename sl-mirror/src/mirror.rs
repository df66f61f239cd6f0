//! What this instance knows of the platform's store, whoever told it.
//!
//! The store itself and fellow instances both tell of changes. Only what is newer than
//! what is known is taken, so that nothing goes back to an earlier state.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// An item that is known, or a removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The store's revision at the change.
    pub revision: u64,
    /// The value; none where the key was removed.
    pub value: Option<Vec<u8>>,
}

/// What an instance knows, for a fellow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The revision from which on the items are all that changed; none where they are all
    /// that there is.
    pub since: Option<u64>,
    /// Everything up to this revision is in it.
    pub revision: u64,
    /// The items.
    pub items: Vec<Item>,
}

/// The known items.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    revision: u64,
    items: HashMap<String, Known>,
    /// The latest removals, oldest first.
    removed: VecDeque<(u64, String)>,
    /// All removals after this revision are among them.
    removed_from: u64,
}

/// Removals that are remembered.
const REMOVED_MAX: usize = 1_000;

#[derive(Clone, Debug)]
struct Known {
    revision: u64,
    value: Vec<u8>,
}

/// A change to what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The value; none where the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Mirror {
    /// The revision up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes over all items of the store as of `revision`; what is known and not among
    /// them was removed.
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
        // What came and went between the two revisions is not known.
        self.removed.clear();
        self.removed_from = revision;
        changes.extend(items.into_iter().filter_map(|it| self.put(it)));
        self.revision = revision;
        changes
    }

    /// Takes over changes that lead from an earlier revision to `revision`.
    pub fn apply_changes(&mut self, revision: u64, items: Vec<Item>) -> Vec<Change> {
        let known_to = self.revision;
        let newer = items.into_iter().filter(|it| it.revision > known_to);
        let newer: Vec<Item> = newer.collect();
        let changes = newer.into_iter().filter_map(|it| self.put(it)).collect();
        self.revision = self.revision.max(revision);
        changes
    }

    /// Takes over what a fellow knows.
    pub fn apply(&mut self, contents: Update) -> Vec<Change> {
        match contents.since {
            Some(since) if since <= self.revision => {
                self.apply_changes(contents.revision, contents.items)
            }
            // Something between is missing; the next answer will have all of it.
            Some(_) => Vec::new(),
            None => self.replace(contents.revision, contents.items),
        }
    }

    /// What has changed since the revision `known`, or everything where that is not known.
    pub fn update_since(&self, known: u64) -> Update {
        if known == 0 || known < self.removed_from {
            return self.full_update();
        }
        let newer = self.items.iter().filter(|(_, it)| it.revision > known);
        let gone = self.removed.iter().filter(|(revision, _)| *revision > known);
        let gone = gone.filter(|(_, key)| !self.items.contains_key(key));
        let gone =
            gone.map(|(revision, key)| Item { key: key.clone(), revision: *revision, value: None });
        let mut items: Vec<Item> = newer.map(item).chain(gone).collect();
        items.sort_by_key(|it| it.revision);
        Update { since: Some(known), revision: self.revision, items }
    }

    /// Everything that is known.
    pub fn full_update(&self) -> Update {
        let items = self.items.iter().map(item).collect();
        Update { since: None, revision: self.revision, items }
    }

    fn put(&mut self, item: Item) -> Option<Change> {
        let known = self.items.get(&item.key);
        if known.is_some_and(|it| it.revision >= item.revision) {
            return None;
        }
        match &item.value {
            Some(value) => {
                let known = Known { revision: item.revision, value: value.clone() };
                let before = self.items.insert(item.key.clone(), known);
                let is_same = before.is_some_and(|it| it.value == *value);
                (!is_same).then_some(Change { key: item.key, value: item.value })
            }
            None => {
                // A fellow may know the item although this one never did.
                self.remember(item.revision, item.key.clone());
                self.items.remove(&item.key)?;
                Some(Change { key: item.key, value: None })
            }
        }
    }

    fn remember(&mut self, revision: u64, key: String) {
        self.removed.push_back((revision, key));
        if self.removed.len() > REMOVED_MAX
            && let Some((revision, _)) = self.removed.pop_front()
        {
            self.removed_from = revision;
        }
    }
}

fn item((key, known): (&String, &Known)) -> Item {
    Item { key: key.clone(), revision: known.revision, value: Some(known.value.clone()) }
}
