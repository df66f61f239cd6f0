//! `sesamelock template show`: a template's text, as accepted now or at a revision.

use std::io;

use serde::Serialize;
use sl_base::Revision;

use super::{Error, read};
use crate::{
    output::{self, Form},
    store::Store,
};

/// What to show.
#[derive(Clone, Debug)]
pub struct Options {
    /// The template's name.
    pub name: String,
    /// Which text.
    pub which: Which,
}

/// Which text of a template.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// The accepted one.
    Accepted,
    /// The one that was accepted at a revision.
    At(Revision),
    /// The draft.
    Draft,
}

/// A template's text.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The template's name.
    pub name: String,
    /// The revision at which it is accepted, or on which the draft is based.
    pub revision: Revision,
    /// The text; none for a draft that removes the template.
    pub text: Option<String>,
}

/// Reads a template's text.
///
/// # Errors
///
/// [`Error`] where there is no such template or the platform does not answer.
pub async fn show(store: &impl Store, options: &Options) -> Result<Outcome, Error> {
    let name = options.name.clone();
    if options.which == Which::Draft {
        let draft = read::draft(store, &name).await?;
        let (_, draft) = draft.ok_or_else(|| Error::NoDraft(name.clone()))?;
        return Ok(Outcome { name, revision: draft.base, text: draft.text });
    }
    let head = read::head(store).await?;
    let revision = match options.which {
        Which::At(revision) => revision,
        _ => head.revision,
    };
    if revision > head.revision {
        return Err(Error::TooNew(head.revision.0));
    }
    if revision < head.reaches_back_to() {
        return Err(Error::TooOld(head.reaches_back_to().0));
    }
    let hash = head.page_at(&name, revision);
    let hash = hash.ok_or_else(|| Error::NoTemplate(name.clone()))?;
    let page = read::page(store, hash).await?;
    Ok(Outcome { name, revision, text: Some(page.text().to_owned()) })
}

impl Outcome {
    /// Writes it out; as text, just the template's own.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match (form, &self.text) {
            (Form::Json, _) => output::json(out, self),
            (Form::Text, Some(text)) => out.write_all(text.as_bytes()),
            (Form::Text, None) => writeln!(out, "; the draft removes the template"),
        }
    }
}
