//! `sesamelock template diff`: what accepting a draft would change.

use std::io;

use serde::Serialize;
use similar::TextDiff;
use sl_base::Revision;
use sl_config::Change;

use super::{Error, read};
use crate::{
    output::{self, Form},
    store::Store,
};

/// What a draft changes.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The template's name.
    pub name: String,
    /// The revision that the draft is based on.
    pub base: Revision,
    /// The draft against its base, as a unified diff.
    pub draft: String,
    /// Changes of the template that were accepted after the draft's base.
    pub theirs: Vec<Change>,
    /// The accepted text against the draft's base, as a unified diff; empty where nothing came between.
    pub between: String,
}

/// Lines around each change of a unified diff.
const CONTEXT_LINES: usize = 3;

/// Compares the draft of the template `name` with its base, and that with what is accepted.
///
/// # Errors
///
/// [`Error`] where there is no draft or the platform does not answer.
pub async fn diff(store: &impl Store, name: &str) -> Result<Outcome, Error> {
    let draft = read::draft(store, name).await?;
    let (_, draft) = draft.ok_or_else(|| Error::NoDraft(name.to_owned()))?;
    let head = read::head(store).await?;
    let base = read::text(store, draft.base_page).await?;
    let accepted = read::text(store, head.page(name)).await?;
    let text = draft.text.clone().unwrap_or_default();
    Ok(Outcome {
        name: name.to_owned(),
        base: draft.base,
        draft: unified(&base, &text, &at(name, draft.base), &format!("{name} draft")),
        theirs: head.changes_since(name, draft.base),
        between: unified(&base, &accepted, &at(name, draft.base), &at(name, head.revision)),
    })
}

fn at(name: &str, revision: Revision) -> String {
    format!("{name} at revision {revision}")
}

/// A unified diff; empty where the texts are equal.
pub(super) fn unified(before: &str, after: &str, from: &str, to: &str) -> String {
    if before == after {
        return String::new();
    }
    TextDiff::from_lines(before, after)
        .unified_diff()
        .context_radius(CONTEXT_LINES)
        .header(from, to)
        .to_string()
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        if form == Form::Json {
            return output::json(out, self);
        }
        out.write_all(self.draft.as_bytes())?;
        if self.theirs.is_empty() {
            return Ok(());
        }
        writeln!(out, "\naccepted since, so that the draft cannot be:")?;
        for change in &self.theirs {
            writeln!(out, "  revision {} by {}", change.revision, change.accepted_by)?;
        }
        out.write_all(self.between.as_bytes())
    }
}
