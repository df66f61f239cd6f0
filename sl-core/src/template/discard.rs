//! `sesamelock template discard`: removes a draft.

use std::io;

use serde::Serialize;
use sl_config::Draft;

use super::{Error, read};
use crate::{
    output::{self, Form},
    store::{self, Store, Swapped},
};

/// What to discard.
#[derive(Clone, Debug)]
pub struct Options {
    /// The template's name.
    pub name: String,
    /// Who wrote the draft: somebody else's is not removed by mistake.
    pub of: String,
}

/// The draft that was removed.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The draft.
    pub discarded: Draft,
}

/// Removes a draft.
///
/// # Errors
///
/// [`Error`] where there is no such draft or the platform does not answer.
pub async fn discard(store: &impl Store, options: &Options) -> Result<Outcome, Error> {
    let Options { name, of } = options;
    let (version, discarded) = read::draft_by(store, name, of).await?;
    match store::swap(store, &Draft::key(name), version, None).await {
        Swapped::Done => Ok(Outcome { discarded }),
        Swapped::Overtaken => Err(Error::Overtaken(name.clone())),
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
        let Draft { name, written_by, .. } = &self.discarded;
        match form {
            Form::Json => output::json(out, self),
            Form::Text => writeln!(out, "discarded the draft of `{name}` by {written_by}"),
        }
    }
}
