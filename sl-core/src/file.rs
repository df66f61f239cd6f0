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
pub struct Unreadable {
    /// Path of the file.
    pub path: PathBuf,
    /// The underlying I/O error.
    pub source: io::Error,
}

impl Unreadable {
    /// Returns a function that adds `path` to an I/O error, for use with `map_err`.
    pub(crate) fn at(path: &Path) -> impl Fn(io::Error) -> Unreadable {
        move |source| Unreadable { path: path.to_owned(), source }
    }
}

/// Reads a settings file; the inner result holds the settings or their faults.
///
/// # Errors
///
/// [`Unreadable`] if the file cannot be read.
pub(crate) fn settings(path: &Path) -> Result<Result<Settings, Faults>, Unreadable> {
    let text = fs::read_to_string(path).map_err(Unreadable::at(path))?;
    Ok(Settings::parse(&path.display().to_string(), &text))
}
