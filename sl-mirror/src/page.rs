//! Updates in pages: what a peer lacks may be larger than a message between instances. See
//! docs/CAPACITY.md, "Messages between instances".

use serde::{Deserialize, Serialize};

use crate::{Item, Update, Version};

/// A part of an [`Update`]: the items whose keys follow those of the page before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdatePage {
    /// See [`Update::since`].
    pub since: Option<Version>,
    /// The sender's version when it made the page. Those of later pages may be higher.
    pub version: Version,
    /// The items of the page, in the order of their keys.
    pub items: Vec<Item>,
    /// The key after which the next page begins; `None` in the last page.
    pub next: Option<String>,
}

/// Pages of one update do not belong together: the sender's copy was replaced between them, or it no
/// longer has all removals since the requested version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the update changed between two of its pages")]
pub struct PageMismatch;

/// Puts an update together from its pages.
#[derive(Debug, Default)]
pub struct PagedUpdate(Option<Update>);

impl PagedUpdate {
    /// Adds the next page.
    ///
    /// # Errors
    ///
    /// [`PageMismatch`] if the page does not continue the ones before.
    pub fn add(&mut self, page: UpdatePage) -> Result<(), PageMismatch> {
        let UpdatePage { since, version, items, next: _ } = page;
        // The items of later pages may be newer than the first page. Changes of keys in earlier pages may
        // be missing, so the version stays that of the first page.
        let update = self.0.get_or_insert_with(|| Update { since, version, items: Vec::new() });
        if update.since != since || update.version.era != version.era {
            return Err(PageMismatch);
        }
        update.items.extend(items);
        Ok(())
    }

    /// The whole update, with its items in the order in which they changed; `None` without a page.
    pub fn finish(self) -> Option<Update> {
        let mut update = self.0?;
        update.items.sort_by_key(|it| it.revision);
        Some(update)
    }
}
