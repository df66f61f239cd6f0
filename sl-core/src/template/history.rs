//! `sesamelock template history`: who accepted what.

use std::io;

use serde::Serialize;
use sl_base::Revision;
use sl_config::{Change, head::Swap};

use super::{Error, read};
use crate::{
    output::{self, Form},
    store::Store,
};

/// The accepted changes that the head remembers.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The accepted revision.
    pub revision: Revision,
    /// The changes, the newest first.
    pub changes: Vec<Change>,
}

/// Reads the history, of one template where `name` says which.
///
/// # Errors
///
/// [`Error`] where the platform does not answer.
pub async fn history(store: &impl Store, name: Option<&str>) -> Result<Outcome, Error> {
    let head = read::head(store).await?;
    let touches = |it: &&Change| name.is_none_or(|name| it.swaps.iter().any(|it| it.name == name));
    let changes = head.history.iter().rev().filter(touches);
    Ok(Outcome { revision: head.revision, changes: changes.cloned().collect() })
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
        for change in &self.changes {
            write_change(change, out)?;
        }
        Ok(())
    }
}

pub(super) fn write_change(change: &Change, out: &mut impl io::Write) -> io::Result<()> {
    let swaps: Vec<String> = change.swaps.iter().map(describe).collect();
    writeln!(
        out,
        "revision {:<6} {}  by {:<16} {}",
        change.revision.0,
        output::wall_clock(change.at),
        change.accepted_by,
        swaps.join(", ")
    )
}

fn describe(swap: &Swap) -> String {
    let verb = match (swap.before, swap.after) {
        (None, _) => "added",
        (_, None) => "removed",
        _ => "changed",
    };
    format!("{verb} {}", swap.name)
}
