//! `sesamelock report`: the report on service-level burn.

use std::{fs, io, path::PathBuf};

use miette::Diagnostic;
use sl_report::{Report, render};
use thiserror::Error;

use crate::{
    exit::Exit,
    operator::{self, Operator},
    output::{self, Form},
};

/// What to make of the report.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Where to write a plot as SVG.
    pub svg: Option<PathBuf>,
}

/// The report.
#[derive(Debug)]
pub struct Outcome {
    /// What the asked instance gathered.
    pub report: Report,
}

/// Why there is no report.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The instance gave none.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] operator::Error),
    /// The plot could not be drawn.
    #[error(transparent)]
    Plot(#[from] render::PlotError),
    /// The plot could not be written.
    #[error("{} cannot be written", path.display())]
    Write {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Operator(e) => e.exit(),
            Error::Plot(_) | Error::Write { .. } => Exit::Failed,
        }
    }
}

/// Asks an instance, which gathers what its peers recorded.
///
/// # Errors
///
/// [`Error`] where the instance does not answer or the plot cannot be written.
pub async fn report(operator: &Operator, options: &Options) -> Result<Outcome, Error> {
    let report: Report = operator.get("/report").await?;
    if let Some(path) = &options.svg {
        let svg = render::svg(&report)?;
        fs::write(path, svg).map_err(|source| Error::Write { path: path.clone(), source })?;
    }
    Ok(Outcome { report })
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match form {
            Form::Json => output::json(out, &self.report),
            Form::Text => out.write_all(render::table(&self.report).as_bytes()),
        }
    }
}
