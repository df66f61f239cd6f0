//! Every command's error, with the exit code that it leads to.

use miette::Diagnostic;
use thiserror::Error;

use crate::{check, exit::Exit, run};

/// Why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// `check` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Check(#[from] check::Error),
    /// `run` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Run(#[from] run::Error),
    /// The output could not be written.
    #[error("the output cannot be written")]
    Output(#[from] std::io::Error),
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Check(_) | Error::Output(_) => Exit::Failed,
            Error::Run(e) => e.exit(),
        }
    }
}
