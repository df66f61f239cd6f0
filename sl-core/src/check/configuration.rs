//! `sesamelock check configuration`: checks the operator's configuration before it is written to
//! the store. docs/design/check-configuration.md lists the findings.

mod difference;
mod finding;

use std::{fs, io, path::PathBuf};

use platform::parse_entries;
use serde::Serialize;

pub use difference::Difference;
pub use finding::{Finding, Position, Severity};

use super::Error;
use crate::{
    exit::Exit,
    file::ReadError,
    output::{self, OutputFormat},
};

/// Options of `check configuration`.
#[derive(Clone, Debug)]
pub struct Options {
    /// The configuration to check.
    pub file: PathBuf,
    /// The version in force.
    pub in_force: Option<PathBuf>,
    /// Text or JSON output.
    pub format: OutputFormat,
}

/// Result of checking a configuration.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Path of the configuration.
    pub file: PathBuf,
    /// What is wrong or suspicious.
    pub findings: Vec<Finding>,
    /// Differences from the version in force; none if either cannot be decoded.
    pub differences: Vec<Difference>,
}

/// Reads the files and checks the configuration.
///
/// # Errors
///
/// [`Error::Read`] if a file cannot be read.
pub fn check(options: &Options) -> Result<Outcome, Error> {
    let read = |path: &PathBuf| fs::read(path).map_err(ReadError::at(path));
    let text = read(&options.file)?;
    let in_force = options.in_force.as_ref().map(read).transpose()?;
    let (findings, differences) = inspect(&text, in_force.as_deref());
    Ok(Outcome { file: options.file.clone(), findings, differences })
}

/// Checks the text of a configuration, and compares it with that of the version in force.
pub fn inspect(text: &[u8], in_force: Option<&[u8]>) -> (Vec<Finding>, Vec<Difference>) {
    let mut findings = finding::of_size(text.len()).into_iter().collect::<Vec<_>>();
    let entries = parse_entries(text).map_err(|e| findings.push(Finding::malformed(&e))).ok();
    let in_force = in_force.and_then(|it| {
        let malformed = |e| findings.push(Finding::malformed_in_force(&e));
        parse_entries(it).map_err(malformed).ok()
    });
    let Some(entries) = entries else {
        return (findings, Vec::new());
    };
    findings.extend(finding::of_entries(&entries, in_force.as_ref().map(|it| it.version)));
    let differences = in_force.map(|it| difference::between(&it, &entries)).unwrap_or_default();
    (findings, differences)
}

impl Outcome {
    /// Maps this outcome to the exit code of the process. Warnings alone are no faults.
    pub fn exit(&self) -> Exit {
        if self.has_errors() { Exit::Faults } else { Exit::Done }
    }

    fn has_errors(&self) -> bool {
        self.findings.iter().any(|it| it.severity == Severity::Error)
    }

    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, self),
            OutputFormat::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        let file = self.file.display();
        for it in &self.findings {
            writeln!(out, "{file}: {}: {}: {}", it.severity, it.position, it.problem)?;
        }
        for it in &self.differences {
            writeln!(out, "{file}: {it}")?;
        }
        if !self.has_errors() {
            writeln!(out, "{file}: valid")?;
        }
        Ok(())
    }
}
