//! Accepting edits: write the pages, then compare-and-swap the head. No I/O happens here:
//! [`Acceptance`] says which call to make next and learns its reply, so that a test can
//! lose any answer.

mod acceptance;

use sl_base::{Revision, Timestamp};
use thiserror::Error;

pub use acceptance::{Acceptance, Ended, FAILURES_MAX, Next, PLANS_MAX};

use crate::{
    head::{self, Accepted, Change, ChangeId, Head, Swap},
    page::{Page, PageHash},
};

/// An edit of one template.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The template's name.
    pub name: String,
    /// What the edit was based on.
    pub base: Base,
    /// The new page, or none to remove the template.
    pub after: Option<Page>,
}

/// What an edit was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Base {
    /// The revision that the operator saw.
    pub revision: Revision,
    /// The template's page then; none where there was no such template.
    pub page: Option<PageHash>,
}

/// Who accepts, and under which id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The attempt's id, drawn at random.
    pub id: ChangeId,
    /// Who accepts.
    pub accepted_by: String,
    /// When, by the operator's wall clock.
    pub at: Timestamp,
}

/// An edit whose template somebody else changed first.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{name}` was changed after revision {}, on which the edit is based", base.revision)]
pub struct Conflict {
    /// The template's name.
    pub name: String,
    /// What the edit was based on.
    pub base: Base,
    /// The template's page now; none where it was removed.
    pub now: Option<PageHash>,
    /// The other changes, the oldest first, as far as the history reaches.
    pub theirs: Vec<Change>,
}

/// The head that accepting `edits` on `head` makes; none where they change nothing.
/// Edits of other templates are no conflict: the pages are independent of each other
/// but for the checks that [`Library::assemble`] makes.
///
/// # Errors
///
/// [`Conflict`] where another change of an edited template was accepted first.
pub fn plan(head: &Head, edits: &[Edit], stamp: &Stamp) -> Result<Option<Head>, Box<Conflict>> {
    let mut next = head.clone();
    let revision = Revision(head.revision.0 + 1);
    let mut swaps = Vec::new();
    for edit in edits {
        let before = next.page(&edit.name);
        let after = edit.after.as_ref().map(Page::hash);
        if before == after {
            continue;
        }
        check_base(head, edit)?;
        match after {
            Some(hash) => {
                let since = revision;
                next.pages.insert(edit.name.clone(), Accepted { hash, since });
            }
            None => {
                next.pages.remove(&edit.name);
            }
        }
        let name = edit.name.clone();
        swaps.push(Swap { name, before, after });
    }
    if swaps.is_empty() {
        return Ok(None);
    }
    next.revision = revision;
    next.history.push_back(Change {
        revision,
        id: stamp.id,
        accepted_by: stamp.accepted_by.clone(),
        at: stamp.at,
        swaps,
    });
    while next.history.len() > head::HISTORY_MAX {
        next.history.pop_front();
    }
    Ok(Some(next))
}

fn check_base(head: &Head, edit: &Edit) -> Result<(), Box<Conflict>> {
    let now = head.page(&edit.name);
    let theirs = head.changes_since(&edit.name, edit.base.revision);
    let accepted_later = head.pages.get(&edit.name).is_some_and(|it| it.since > edit.base.revision);
    if now == edit.base.page && theirs.is_empty() && !accepted_later {
        return Ok(());
    }
    Err(Box::new(Conflict { name: edit.name.clone(), base: edit.base, now, theirs }))
}
