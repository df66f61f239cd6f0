//! The instance's copy of the platform's store.
//!
//! Updates come from the store itself and from peers, in any order. An item is replaced only
//! by a newer version of it, so that the copy never returns to an earlier state.
//!
//! The store may be restored from an older copy of its own. It then continues at an earlier
//! revision, in a new era: revisions of different eras say nothing about each other, so each is
//! compared together with its era.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
};

use serde::{Deserialize, Serialize};

use crate::UpdatePage;

/// A state of the store. Versions of a later era are higher than all of the eras before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Rises each time that the store is restored from an older copy.
    pub era: u64,
    /// The store's revision within the era; 0 before its first state is known.
    pub revision: u64,
}

impl Version {
    /// The version of a revision of the era.
    pub fn new(era: u64, revision: u64) -> Version {
        Version { era, revision }
    }

    /// Whether nothing is known of the era's contents.
    pub fn is_unknown(self) -> bool {
        self.revision == 0
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// A revision of a key: its value, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key in the store.
    pub key: String,
    /// The store's revision at which the key was last written or removed, in the era of the
    /// update that contains the item.
    pub revision: u64,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// The changes after a revision, or a full listing, as sent to a peer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The version after which `items` lists all changes, in the same era as `version`; `None` if
    /// `items` is a full listing.
    pub since: Option<Version>,
    /// The sender's version: the update contains all changes up to it.
    pub version: Version,
    /// The changed items including removals, or all items.
    pub items: Vec<Item>,
}

/// A copy of the store at one version, with a bounded history of removals.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    version: Version,
    items: BTreeMap<String, StoredValue>,
    /// Revision and key of the latest removals in the era of `version`, oldest first.
    tombstones: VecDeque<(u64, String)>,
    /// `tombstones` contains all removals after this version.
    tombstones_since: Version,
}

/// Bytes of keys and values after which a page ends. A single item may be larger: a value of the store has up
/// to 1,048,576 bytes.
pub const PAGE_BYTES_MAX: usize = 256 * 1_024;

/// Tombstones kept. A peer whose version is older than these gets a full listing.
const TOMBSTONES_MAX: usize = 1_000;

#[derive(Clone, Debug)]
struct StoredValue {
    version: Version,
    value: Vec<u8>,
}

/// A change of the copy that an update caused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key in the store.
    pub key: String,
    /// The new value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Mirror {
    /// Returns the version up to which the copy is complete; all zero before the first update.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The revision at which the key was last written, in the era of the copy; `None` if it does not
    /// exist, or if nothing is known of the era yet.
    pub fn revision_of(&self, key: &str) -> Option<u64> {
        let item = self.items.get(key)?;
        (item.version.era == self.version.era).then_some(item.version.revision)
    }

    /// Records that the store is in a later era, of which nothing is known yet. The items stay
    /// until the next listing. Returns whether the era is later than the copy's.
    pub fn begin_era(&mut self, era: u64) -> bool {
        if era <= self.version.era {
            return false;
        }
        self.version = Version::new(era, 0);
        self.forget_removals();
        true
    }

    /// Applies a full listing of the store at `version`: items that the listing lacks are
    /// removed. A listing older than the copy, or of an unknown version, is ignored. Returns the
    /// changes of values.
    pub fn replace(&mut self, version: Version, items: Vec<Item>) -> Vec<Change> {
        if version < self.version || version.is_unknown() {
            return Vec::new();
        }
        let listed: std::collections::HashSet<&String> = items.iter().map(|it| &it.key).collect();
        let removed: Vec<String> = self
            .items
            .iter()
            .filter(|(key, it)| it.version <= version && !listed.contains(key))
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes: Vec<Change> = Vec::new();
        for key in removed {
            self.items.remove(&key);
            changes.push(Change { key, value: None });
        }
        self.version = version;
        // The listing does not show keys that were added and removed since the last version,
        // so the tombstones of that time are incomplete.
        self.forget_removals();
        changes.extend(items.into_iter().filter_map(|it| self.put(it)));
        changes
    }

    /// Applies the changes between an earlier version of the same era and `version`; those up to
    /// the current version are skipped. Changes of another era are ignored. Returns the changes
    /// of values.
    ///
    /// `items` must contain all changes after the current version.
    pub fn apply_changes(&mut self, version: Version, items: Vec<Item>) -> Vec<Change> {
        if version.era != self.version.era {
            return Vec::new();
        }
        let current = self.version.revision;
        let newer = items.into_iter().filter(|it| it.revision > current);
        let newer: Vec<Item> = newer.collect();
        let changes = newer.into_iter().filter_map(|it| self.put(it)).collect();
        self.version = self.version.max(version);
        changes
    }

    /// Applies an update from a peer. An update that starts after the current version, or in
    /// another era, is ignored, because the changes in between are missing.
    pub fn apply(&mut self, update: Update) -> Vec<Change> {
        match update.since {
            Some(since) if since.era == self.version.era && since <= self.version => {
                self.apply_changes(update.version, update.items)
            }
            // The next request to the peer names the current version, so its response has no gap.
            Some(_) => Vec::new(),
            None => self.replace(update.version, update.items),
        }
    }

    /// Whether the changes after `since` are known, removals among them.
    fn has_changes_since(&self, since: Version) -> bool {
        let is_comparable = since.era == self.version.era && !since.is_unknown();
        is_comparable && since >= self.tombstones_since
    }

    /// The value of a key if it was written after `since`.
    pub fn value_since(&self, key: &str, since: Version) -> Option<&[u8]> {
        let item = self.items.get(key)?;
        (item.version > since).then_some(&item.value)
    }

    /// Returns a page of the changes after the version `since`; or of a full listing if nothing is known at
    /// `since`, if it is of another era, or if not all removals after it are kept. The page begins after
    /// the key `after`, and ends after [`PAGE_BYTES_MAX`].
    pub fn page_since(&self, since: Version, after: Option<&str>) -> UpdatePage {
        let since = Some(since).filter(|it| self.has_changes_since(*it));
        let mut page = UpdatePage { since, version: self.version, ..UpdatePage::default() };
        let mut changes = self.changes_since(since, after);
        let mut bytes = 0;
        while let Some((key, (revision, value))) = changes.pop_first() {
            bytes += key.len() + value.map_or(0, Vec::len);
            page.items.push(Item { key: key.to_owned(), revision, value: value.cloned() });
            if bytes >= PAGE_BYTES_MAX && !changes.is_empty() {
                page.next = Some(key.to_owned());
                break;
            }
        }
        page
    }

    /// What has changed since `since`, or all items, of the keys after `after`: the revision of each, and the
    /// value unless it was removed.
    fn changes_since(
        &self,
        since: Option<Version>,
        after: Option<&str>,
    ) -> BTreeMap<&str, (u64, Option<&Vec<u8>>)> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let values = self.items.range::<str, _>((from, Bound::Unbounded));
        let values = values.filter(|(_, it)| Some(it.version) > since);
        let mut changes: BTreeMap<&str, (u64, Option<&Vec<u8>>)> = values
            .map(|(key, it)| (key.as_str(), (it.version.revision, Some(&it.value))))
            .collect();
        let Some(since) = since else {
            return changes;
        };
        for (revision, key) in &self.tombstones {
            let is_after = after.is_none_or(|it| key.as_str() > it);
            if is_after && *revision > since.revision && !self.items.contains_key(key) {
                changes.insert(key, (*revision, None));
            }
        }
        changes
    }

    /// Stores an item of the current era.
    fn put(&mut self, item: Item) -> Option<Change> {
        let version = Version::new(self.version.era, item.revision);
        let current = self.items.get(&item.key);
        if current.is_some_and(|it| it.version >= version) {
            return None;
        }
        match &item.value {
            Some(value) => {
                let stored = StoredValue { version, value: value.clone() };
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
            self.tombstones_since = Version::new(self.version.era, revision);
        }
    }

    fn forget_removals(&mut self) {
        self.tombstones.clear();
        self.tombstones_since = self.version;
    }
}
