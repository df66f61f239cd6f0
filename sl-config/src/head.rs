//! The head: the one value that says which pages are accepted. It is only ever replaced
//! by compare-and-swap, and so its revisions are one total order; docs/design.md says why
//! nothing else has to be agreed upon.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{IfIsHumanReadable, hex::Hex, serde_as};
use sl_base::{Revision, Timestamp};
use thiserror::Error;

use crate::page::PageHash;

/// Where the head stands in the platform's key-value service.
pub const KEY: &str = "config/head";

/// Changes that the head remembers.
pub const HISTORY_MAX: usize = 50;

/// Bytes that the head may have: what the platform takes as one value.
pub const BYTES_MAX: usize = 1_024 * 1_024;

/// The accepted pages at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Rises by one with every accepted change.
    pub revision: Revision,
    /// The accepted page of each template, by the template's name.
    pub pages: BTreeMap<String, Accepted>,
    /// The last changes, the newest last.
    pub history: VecDeque<Change>,
}

/// A template's accepted page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The page.
    pub hash: PageHash,
    /// The revision that accepted it.
    pub since: Revision,
}

/// Names one operator's attempt to have a change accepted, so that a lost answer can be
/// made good by reading the head.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(#[serde_as(as = "IfIsHumanReadable<Hex>")] pub [u8; CHANGE_ID_BYTES]);

/// Bytes in a [`ChangeId`], drawn at random.
pub const CHANGE_ID_BYTES: usize = 16;

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: Revision,
    /// The attempt that made it.
    pub id: ChangeId,
    /// Who accepted it.
    pub accepted_by: String,
    /// When, by the operator's wall clock.
    pub at: Timestamp,
    /// What it did to each template that it touched.
    pub swaps: Vec<Swap>,
}

/// What a change did to one template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Swap {
    /// The template's name.
    pub name: String,
    /// The page before, or none where the template is new.
    pub before: Option<PageHash>,
    /// The page after, or none where the template was removed.
    pub after: Option<PageHash>,
}

/// Why bytes are no head.
#[derive(Debug, Error)]
pub enum HeadError {
    /// They are not the JSON of one.
    #[error("the head cannot be read")]
    Json(#[from] serde_json::Error),
    /// Its parts do not go together.
    #[error("the head is at revision {0}, but its last change is not")]
    Torn(Revision),
}

impl Head {
    /// Reads a head from the platform's value.
    ///
    /// # Errors
    ///
    /// [`HeadError`] where the value is no head.
    pub fn decode(bytes: &[u8]) -> Result<Head, HeadError> {
        let head: Head = serde_json::from_slice(bytes)?;
        match head.last().map(|it| it.revision) == Some(head.revision) {
            true => Ok(head),
            false => Err(HeadError::Torn(head.revision)),
        }
    }

    /// The value that the platform keeps.
    ///
    /// # Errors
    ///
    /// Those of the JSON library, which names of templates cannot cause.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        Ok(serde_json::to_vec(self)?.into())
    }

    /// Whether an instance that runs `other` moves on to this head. Never backwards, and
    /// never for another head of the same revision: there is none.
    pub fn supersedes(&self, other: Revision) -> bool {
        self.revision > other
    }

    /// The change that made this head; none before the first one.
    pub fn last(&self) -> Option<&Change> {
        self.history.back()
    }

    /// The change that `id` made, where the history still holds it.
    pub fn change(&self, id: ChangeId) -> Option<&Change> {
        self.history.iter().rev().find(|it| it.id == id)
    }

    /// The accepted page of a template.
    pub fn page(&self, name: &str) -> Option<PageHash> {
        self.pages.get(name).map(|it| it.hash)
    }

    /// The page that a template had at `revision`, as far as the history reaches.
    pub fn page_at(&self, name: &str, revision: Revision) -> Option<PageHash> {
        let swap_of = |it: &Change| it.swaps.iter().find(|it| it.name == name).cloned();
        let later = self.history.iter().filter(|it| it.revision > revision);
        match later.filter_map(swap_of).next() {
            Some(swap) => swap.before,
            None => self.page(name),
        }
    }

    /// The oldest revision that [`Head::page_at`] can answer for.
    pub fn reaches_back_to(&self) -> Revision {
        let oldest = self.history.front().map_or(0, |it| it.revision.0);
        Revision(oldest.saturating_sub(1))
    }

    /// The changes after `revision` that touched the template `name`, the oldest first.
    pub fn changes_since(&self, name: &str, revision: Revision) -> Vec<Change> {
        let touches = |it: &&Change| it.swaps.iter().any(|it| it.name == name);
        let later = self.history.iter().filter(|it| it.revision > revision);
        later.filter(touches).cloned().collect()
    }
}
