//! `sesamelock template`: templates in the platform's service. Each command reads the
//! head, and none changes what is accepted but [`accept`].

pub mod accept;
pub mod diff;
pub mod discard;
pub mod edit;
pub mod history;
pub mod list;
pub mod show;

mod read;

use miette::Diagnostic;
use sl_config::{Faults, PageHash, page::PageError};
use thiserror::Error;

use crate::exit::Exit;

/// Why a template command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The platform gave no answer.
    #[error("the platform gave no answer; nothing was changed")]
    Unreachable,
    /// The platform gave no answer to a write.
    #[error("the platform gave no answer to a write, which may or may not have taken effect")]
    #[diagnostic(help("see `sesamelock template show` and `history` once it answers"))]
    Unknown,
    /// A value in the platform's service is not what it should be.
    #[error("the platform's value of `{key}` is damaged: {why}")]
    Damaged {
        /// The value's key.
        key: String,
        /// What is wrong.
        why: String,
    },
    /// A page that the head names is not there.
    #[error("the page {0} is missing from the platform's service")]
    NoPage(PageHash),
    /// There is no such template.
    #[error("there is no template `{0}`")]
    NoTemplate(String),
    /// There is no such draft.
    #[error("there is no draft of `{0}`")]
    #[diagnostic(help("write one with `sesamelock template edit`"))]
    NoDraft(String),
    /// The history does not reach back that far.
    #[error("the history reaches back to revision {0} only")]
    TooOld(u64),
    /// There is no such revision yet.
    #[error("the last revision is {0}")]
    TooNew(u64),
    /// The text has faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faults(#[from] Faults),
    /// The text is too large.
    #[error(transparent)]
    Page(#[from] PageError),
    /// Somebody else's draft would be overwritten.
    #[error("there is a draft of `{name}` by {by} already")]
    #[diagnostic(help("accept or discard it first, or overwrite it with --replace"))]
    DraftOfAnother {
        /// The template's name.
        name: String,
        /// Who wrote the draft.
        by: String,
    },
    /// The draft is somebody else's.
    #[error("the draft of `{name}` was written by {by}")]
    #[diagnostic(help(
        "look at it with `sesamelock template diff {name}`; if you mean it, add --of {by}"
    ))]
    NotYours {
        /// The template's name.
        name: String,
        /// Who wrote the draft.
        by: String,
    },
    /// The draft was changed meanwhile.
    #[error("the draft of `{0}` was changed meanwhile")]
    Overtaken(String),
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Unreachable => Exit::Unreachable,
            Error::Unknown => Exit::Unknown,
            Error::NoTemplate(_) | Error::NoDraft(_) => Exit::NotFound,
            Error::TooOld(_) | Error::TooNew(_) => Exit::NotFound,
            Error::Faults(_) | Error::Page(_) => Exit::Faults,
            Error::DraftOfAnother { .. } | Error::NotYours { .. } => Exit::Conflict,
            Error::Overtaken(_) => Exit::Conflict,
            Error::Damaged { .. } | Error::NoPage(_) => Exit::Failed,
        }
    }
}
