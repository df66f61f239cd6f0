//! The error of any command, and its exit code.

use miette::Diagnostic;
use thiserror::Error;

use crate::{check, exit::Exit, explain, hash, operator, report, run, template};

/// Error of a command.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// `check settings` or `check configuration` failed.
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
    /// A call to an instance's operator port failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] operator::Error),
    /// `report` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Report(#[from] report::Error),
    /// The HTTP client could not be built.
    #[error("failed to build the HTTP client")]
    Http(#[from] reqwest::Error),
    /// The output could not be written, or the async runtime could not be started.
    #[error("failed to start the async runtime or to write the output")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Maps this error to the exit code of the process.
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
