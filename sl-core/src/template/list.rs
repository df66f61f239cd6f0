//! `sesamelock template list`: the accepted templates.

use std::io;

use serde::Serialize;
use sl_base::Revision;
use sl_config::PageHash;

use super::{Error, read};
use crate::{
    output::{self, Form},
    store::Store,
};

/// The accepted templates.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The accepted revision.
    pub revision: Revision,
    /// The templates, by name.
    pub templates: Vec<Row>,
}

/// One accepted template.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// The revision that accepted it as it is.
    pub since: Revision,
    /// Its page.
    pub page: PageHash,
    /// Who wrote a draft of it that waits, if there is one.
    pub draft_by: Option<String>,
}

/// Lists the accepted templates.
///
/// # Errors
///
/// [`Error`] where the platform does not answer.
pub async fn list(store: &impl Store) -> Result<Outcome, Error> {
    let head = read::head(store).await?;
    let mut templates = Vec::with_capacity(head.pages.len());
    for (name, accepted) in &head.pages {
        let draft = read::draft(store, name).await?;
        templates.push(Row {
            name: name.clone(),
            since: accepted.since,
            page: accepted.hash,
            draft_by: draft.map(|(_, it)| it.written_by),
        });
    }
    Ok(Outcome { revision: head.revision, templates })
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
        writeln!(out, "revision {}", self.revision)?;
        for it in &self.templates {
            let draft = it.draft_by.as_ref();
            let draft = draft.map_or_else(String::new, |by| format!("  draft by {by}"));
            writeln!(out, "{:<32} since revision {}{draft}", it.name, it.since)?;
        }
        Ok(())
    }
}
