//! `sesamelock template accept`: puts drafts in force, all or none.

use std::{io, time::Duration};

use miette::Diagnostic;
use serde::Serialize;
use sl_base::{
    Millis, Revision,
    call::{Reply, Version},
};
use sl_config::{
    ChangeId, Draft,
    accept::{Acceptance, Conflict, Ended, Next, Stamp},
    assemble::AssembleError,
    head::CHANGE_ID_BYTES,
};
use thiserror::Error;
use tokio::time::Instant;

use super::{diff, read};
use crate::{
    exit::Exit,
    operator::{self, Operator},
    output::{self, Form},
    status,
    store::{self, Store},
};

/// What to accept.
#[derive(Clone, Debug)]
pub struct Options {
    /// The templates whose drafts are accepted together.
    pub names: Vec<String>,
    /// Who wrote the drafts: somebody else's is not accepted by mistake.
    pub of: String,
    /// Who accepts.
    pub by: String,
    /// How long to wait for every instance to run the revision.
    pub wait: Millis,
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The revision that holds the drafts.
    pub revision: Revision,
    /// Whether this command made the revision; the drafts were what was accepted already otherwise.
    pub changed: bool,
    /// The attempt's id, as the history has it.
    pub change: ChangeId,
    /// The instances that do not run the revision yet; none where nobody was asked.
    pub behind: Option<Vec<String>>,
    /// Drafts that were accepted and could not be removed.
    pub drafts_left: Vec<String>,
}

/// Why nothing was accepted, or why that is not known.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The platform or a draft is at fault.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Template(#[from] super::Error),
    /// Somebody else changed a template first.
    #[error("{conflict}; nothing was accepted\n{}", theirs(conflict))]
    #[diagnostic(help(
        "the accepted text against the draft's base:\n{between}\n\
         make the edit anew on the accepted text: \
         `sesamelock template discard {0}`, then `edit {0}`", conflict.name
    ))]
    Conflict {
        /// The conflict.
        conflict: Box<Conflict>,
        /// What came between, as a unified diff.
        between: String,
    },
    /// The configuration would have faults.
    #[error("the configuration would have faults; nothing was accepted")]
    Faulty {
        /// What is wrong.
        #[source]
        #[diagnostic_source]
        source: AssembleError,
    },
    /// Others were faster each time.
    #[error("other changes came first each time; nothing was accepted")]
    Busy,
    /// The head would be too large.
    #[error("the list of templates would not fit a value of the platform; nothing was accepted")]
    TooLarge,
    /// A value in the platform's service is not what it should be.
    #[error("{0}; nothing was accepted")]
    Damaged(String),
    /// It was accepted, but the instances could not be asked.
    #[error("revision {revision} is accepted, but the instances could not be asked")]
    NotAsked {
        /// The revision.
        revision: Revision,
        /// Why not.
        #[source]
        #[diagnostic_source]
        source: operator::Error,
    },
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Template(e) => e.exit(),
            Error::Conflict { .. } | Error::Busy => Exit::Conflict,
            Error::Faulty { .. } | Error::TooLarge => Exit::Faults,
            Error::Damaged(_) => Exit::Failed,
            Error::NotAsked { .. } => Exit::NotEverywhere,
        }
    }
}

fn theirs(conflict: &Conflict) -> String {
    let line = |it: &sl_config::Change| format!("  revision {} by {}", it.revision, it.accepted_by);
    let lines: Vec<String> = conflict.theirs.iter().map(line).collect();
    lines.join("\n")
}

/// How long between two looks at which revision the instances run.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Accepts drafts, then asks the fleet through `operator` until each instance runs them.
///
/// # Errors
///
/// [`Error`] where nothing was accepted, where that is not known, or where no instance answers.
pub async fn accept(
    store: &impl Store,
    operator: Option<&Operator>,
    options: &Options,
) -> Result<Outcome, Error> {
    let drafts = drafts(store, options).await?;
    let mut edits = Vec::with_capacity(drafts.len());
    for (_, draft) in &drafts {
        edits.push(draft.edit().map_err(super::Error::Page)?);
    }
    let stamp = Stamp {
        id: ChangeId(rand::random::<[u8; CHANGE_ID_BYTES]>()),
        accepted_by: options.by.clone(),
        at: store::now(),
    };
    let change = stamp.id;
    let ended = drive(store, Acceptance::new(stamp, edits)).await;
    let (revision, changed) = settle(store, ended).await?;
    let drafts_left = remove(store, &drafts).await;
    let behind = match operator {
        Some(operator) => Some(wait(operator, revision, options.wait).await?),
        None => None,
    };
    Ok(Outcome { revision, changed, change, behind, drafts_left })
}

async fn drafts(
    store: &impl Store,
    options: &Options,
) -> Result<Vec<(Version, Draft)>, super::Error> {
    let mut drafts = Vec::with_capacity(options.names.len());
    for name in &options.names {
        drafts.push(read::draft_by(store, name, &options.of).await?);
    }
    Ok(drafts)
}

async fn drive(store: &impl Store, mut acceptance: Acceptance) -> Ended {
    let mut call = acceptance.first();
    let mut failures = 0;
    loop {
        let reply = store.call(&call).await;
        if matches!(reply, Reply::Lost | Reply::Refused) {
            store::pause(failures).await;
            failures += 1;
        }
        match acceptance.step(reply) {
            Next::Call(next) => call = next,
            Next::Done(ended) => return *ended,
        }
    }
}

async fn settle(store: &impl Store, ended: Ended) -> Result<(Revision, bool), Error> {
    match ended {
        Ended::Accepted { revision } => Ok((revision, true)),
        Ended::Unchanged { revision } => Ok((revision, false)),
        Ended::Conflict(conflict) => Err(explain(store, conflict).await),
        Ended::Faulty(source) => Err(Error::Faulty { source }),
        Ended::Busy => Err(Error::Busy),
        Ended::TooLarge => Err(Error::TooLarge),
        Ended::Damaged(what) => Err(Error::Damaged(what)),
        Ended::Unreachable => Err(super::Error::Unreachable.into()),
        Ended::Unknown => Err(super::Error::Unknown.into()),
    }
}

async fn explain(store: &impl Store, conflict: Conflict) -> Error {
    let before = read::text(store, conflict.base.page).await;
    let now = read::text(store, conflict.now).await;
    let between = match (before, now) {
        (Ok(before), Ok(now)) => diff::unified(&before, &now, "base", "accepted"),
        _ => "(its pages cannot be read)".to_owned(),
    };
    Error::Conflict { conflict: conflict.into(), between }
}

/// Removes accepted drafts; the names of those that could not be.
async fn remove(store: &impl Store, drafts: &[(Version, Draft)]) -> Vec<String> {
    let mut left = Vec::new();
    for (version, draft) in drafts {
        let key = Draft::key(&draft.name);
        if store::swap(store, &key, *version, None).await != store::Swapped::Done {
            left.push(draft.name.clone());
        }
    }
    left
}

/// Asks until every instance runs `revision` or `wait` is over; who does not run it then.
async fn wait(operator: &Operator, revision: Revision, wait: Millis) -> Result<Vec<String>, Error> {
    let until = Instant::now() + Duration::from(wait);
    loop {
        let seen = status::status(operator).await;
        let is_over = Instant::now() >= until;
        match seen {
            Ok(seen) => {
                let behind = status::behind(&seen.fleet, revision);
                if behind.is_empty() || is_over {
                    return Ok(behind);
                }
            }
            Err(source) if is_over => return Err(Error::NotAsked { revision, source }),
            Err(_) => {}
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

impl Outcome {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match &self.behind {
            Some(behind) if !behind.is_empty() => Exit::NotEverywhere,
            _ => Exit::Done,
        }
    }

    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        if form == Form::Json {
            return output::json(out, self);
        }
        match self.changed {
            true => writeln!(out, "accepted as revision {}", self.revision)?,
            false => writeln!(out, "accepted already, as of revision {}", self.revision)?,
        }
        for name in &self.drafts_left {
            writeln!(out, "the draft of `{name}` could not be removed")?;
        }
        match self.behind.as_deref() {
            None => Ok(()),
            Some([]) => writeln!(out, "every instance runs it"),
            Some(behind) => writeln!(out, "not yet on it: {}", behind.join(", ")),
        }
    }
}
