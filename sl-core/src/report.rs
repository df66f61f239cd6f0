//! `sesamelock report`: shows the error-budget burn rates of the fleet.

use std::{fs, io, path::PathBuf};

use miette::Diagnostic;
use sl_report::{Report, render};
use thiserror::Error;

use crate::{
    exit::Exit,
    operator::{self, Operator},
    output::{self, OutputFormat},
};

/// Options of `report`.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// File to write a plot to, in SVG; no plot if absent.
    pub svg: Option<PathBuf>,
}

/// Result of `report`.
#[derive(Debug)]
pub struct Outcome {
    /// Burn rates merged from the records of all reachable instances.
    pub report: Report,
}

/// Error of `report`.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The call to the instance failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] operator::Error),
    /// The plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] render::PlotError),
    /// The plot could not be written.
    #[error("failed to write {}", path.display())]
    Write {
        /// Path of the SVG file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
}

impl Error {
    /// Maps this error to the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Operator(e) => e.exit(),
            Error::Plot(_) | Error::Write { .. } => Exit::Failed,
        }
    }
}

/// Fetches the report from an instance, which merges its own records with its peers'.
///
/// # Errors
///
/// [`Error`] if the call fails, or if the plot cannot be drawn or written.
pub async fn report(operator: &Operator, options: &Options) -> Result<Outcome, Error> {
    let report: Report = operator.get("/report").await?;
    if let Some(path) = &options.svg {
        let svg = render::svg(&report)?;
        fs::write(path, svg).map_err(|source| Error::Write { path: path.clone(), source })?;
    }
    Ok(Outcome { report })
}

impl Outcome {
    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, &self.report),
            OutputFormat::Text => out.write_all(render::table(&self.report).as_bytes()),
        }
    }
}
