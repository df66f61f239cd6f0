//! `sesamelock check`: validates settings files and reports all faults in one run.

pub mod configuration;

use std::{io, path::PathBuf};

use miette::{Diagnostic, GraphicalReportHandler, GraphicalTheme};
use serde::Serialize;
use sl_config::Faults;
use thiserror::Error;

use crate::{
    exit::Exit,
    file::{self, ReadError},
    output::{self, OutputFormat},
};

/// Options of `check settings`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings files to check.
    pub files: Vec<PathBuf>,
    /// Text or JSON output.
    pub format: OutputFormat,
}

/// Result of checking a list of settings files.
#[derive(Debug)]
pub struct Outcome {
    /// Faults of the invalid files, one entry per file.
    pub faults: Vec<Faults>,
    /// Files without faults.
    pub valid: Vec<PathBuf>,
}

/// Error that prevents a check.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// A settings file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] ReadError),
}

/// Checks every file, and goes on after an invalid one.
///
/// # Errors
///
/// [`Error::Read`] on the first file that cannot be read.
pub fn check(options: &Options) -> Result<Outcome, Error> {
    let mut outcome = Outcome { faults: Vec::new(), valid: Vec::new() };
    for path in &options.files {
        match file::settings(path)? {
            Err(faults) => outcome.faults.push(faults),
            Ok(_) => outcome.valid.push(path.clone()),
        }
    }
    Ok(outcome)
}

impl Outcome {
    /// Maps this outcome to the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self.faults.is_empty() {
            true => Exit::Done,
            false => Exit::Faults,
        }
    }

    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, &fault_rows(&self.faults)),
            OutputFormat::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        for faults in &self.faults {
            write_faults(faults, out)?;
        }
        for path in &self.valid {
            writeln!(out, "{}: valid", path.display())?;
        }
        Ok(())
    }
}

/// Writes all faults, each with an excerpt of the file that marks the invalid part.
pub(crate) fn write_faults(faults: &Faults, out: &mut impl io::Write) -> io::Result<()> {
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor());
    let mut text = String::new();
    handler.render_report(&mut text, faults).map_err(io::Error::other)?;
    out.write_all(text.as_bytes())
}

/// One fault in the JSON output.
#[derive(Serialize)]
struct Row<'a> {
    file: &'a str,
    line: usize,
    problem: String,
    help: Option<&'a str>,
}

fn fault_rows(all: &[Faults]) -> Vec<Row<'_>> {
    all.iter().flat_map(rows_of_file).collect()
}

fn rows_of_file(faults: &Faults) -> impl Iterator<Item = Row<'_>> {
    faults.faults().iter().map(|it| Row {
        file: faults.source_name(),
        line: faults.line(it),
        problem: it.to_string(),
        help: it.help.as_deref(),
    })
}
