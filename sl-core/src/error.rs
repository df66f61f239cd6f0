//! Every command's error, with the exit code that it leads to.

use miette::Diagnostic;
use thiserror::Error;

use crate::{check, exit::Exit, explain, hash, operator, report, run, template};

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// `check` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Check(#[from] check::Error),
    /// `check template` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Template(#[from] template::Error),
    /// `hash` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Hash(#[from] hash::Error),
    /// `explain` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Explain(#[from] explain::Error),
    /// `run` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Run(#[from] run::Error),
    /// An instance did not do what it was asked.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] operator::Error),
    /// `report` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Report(#[from] report::Error),
    /// The HTTP client could not be set up.
    #[error("the HTTP client cannot be set up")]
    Http(#[from] reqwest::Error),
    /// The output could not be written, or the runtime not be set up.
    #[error("the command cannot be run or its output not be written")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Check(_)
            | Error::Template(_)
            | Error::Hash(_)
            | Error::Http(_)
            | Error::Io(_) => Exit::Failed,
            Error::Run(e) => e.exit(),
            Error::Explain(e) => e.exit(),
            Error::Operator(e) => e.exit(),
            Error::Report(e) => e.exit(),
        }
    }
}
