//! Reading of settings files.

use std::{
    fs, io,
    path::{Path, PathBuf},
};

use miette::Diagnostic;
use sl_config::{Faults, Settings};
use thiserror::Error;

/// Error of reading a file.
#[derive(Debug, Error, Diagnostic)]
#[error("failed to read {}", path.display())]
pub struct ReadError {
    /// Path of the file.
    pub path: PathBuf,
    /// The underlying I/O error.
    pub source: io::Error,
}

impl ReadError {
    /// Returns a function that adds `path` to an I/O error, for use with `map_err`.
    pub(crate) fn at(path: &Path) -> impl Fn(io::Error) -> ReadError {
        move |source| ReadError { path: path.to_owned(), source }
    }
}

/// Reads a settings file; the inner result holds the settings or their faults.
///
/// # Errors
///
/// [`ReadError`] if the file cannot be read.
pub(crate) fn settings(path: &Path) -> Result<Result<Settings, Faults>, ReadError> {
    let text = fs::read_to_string(path).map_err(ReadError::at(path))?;
    Ok(Settings::parse(&path.display().to_string(), &text))
}
