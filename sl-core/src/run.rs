//! `sesamelock run`: runs an instance of the router.

use std::{
    io,
    path::{Path, PathBuf},
};

use miette::Diagnostic;
use sl_config::{Faults, Settings};
use thiserror::Error;

use crate::{
    exit::Exit,
    file::{self, ReadError},
};

/// Options of `run`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the settings file, which is read again on SIGHUP and polled for changes.
    pub settings: PathBuf,
}

/// Error that stopped the daemon or prevented its start.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The settings file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] ReadError),
    /// The settings have faults.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] Faults),
    /// The daemon failed.
    #[error(transparent)]
    Daemon(#[from] sl_edge::Error),
    /// The async runtime could not be started.
    #[error("failed to start the async runtime")]
    Runtime(#[source] io::Error),
}

impl Error {
    /// Maps this error to the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Settings(_) => Exit::Faults,
            Error::Read(_) | Error::Daemon(_) | Error::Runtime(_) => Exit::Failed,
        }
    }
}

/// Reads the settings and runs the daemon until a signal stops it.
///
/// # Errors
///
/// [`Error`] if the settings are invalid or the daemon fails.
pub fn run(options: &Options) -> Result<(), Error> {
    let settings = read(&options.settings)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let path = options.settings.clone();
    let reload = move || read(&path).map_err(|e| e.to_string());
    runtime.block_on(async { sl_edge::run(settings, sl_edge::signals()?, reload).await })?;
    Ok(())
}

fn read(path: &Path) -> Result<Settings, Error> {
    Ok(file::settings(path)??)
}
