//! `sesamelock template discard`: removes a draft.

use std::io;

use serde::Serialize;
use sl_config::Draft;

use super::{Error, read};
use crate::{
    output::{self, Form},
    store::{self, Store, Swapped},
};

/// The draft that was removed.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The draft.
    pub discarded: Draft,
}

/// Removes the draft of the template `name`.
///
/// # Errors
///
/// [`Error`] where there is no draft or the platform does not answer.
pub async fn discard(store: &impl Store, name: &str) -> Result<Outcome, Error> {
    let draft = read::draft(store, name).await?;
    let (version, discarded) = draft.ok_or_else(|| Error::NoDraft(name.to_owned()))?;
    match store::swap(store, &Draft::key(name), version, None).await {
        Swapped::Done => Ok(Outcome { discarded }),
        Swapped::Overtaken => Err(Error::Overtaken(name.to_owned())),
        Swapped::NotDone => Err(Error::Unreachable),
        Swapped::Unknown => Err(Error::Unknown),
    }
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        let Draft {
            name, written_by, ..
        } = &self.discarded;
        match form {
            Form::Json => output::json(out, self),
            Form::Text => writeln!(out, "discarded the draft of `{name}` by {written_by}"),
        }
    }
}
