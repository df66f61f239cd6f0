//! `sesamelock check template`: renders a settings template with given values and validates
//! the resulting settings before the template is deployed.

use std::{fs, io, path::PathBuf};

use miette::Diagnostic;
use platform::template::{self, MissingValue, TemplateError};
use serde::Serialize;
use sl_config::{Faults, Settings};
use thiserror::Error;

use crate::{
    check,
    exit::Exit,
    file::ReadError,
    output::{self, OutputFormat},
};

/// Options of `check template`.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the template.
    pub template: PathBuf,
    /// TOML file with the values of the placeholders.
    pub values: PathBuf,
    /// Text or JSON output.
    pub format: OutputFormat,
}

/// Result of checking a template.
#[derive(Debug)]
pub struct Outcome {
    /// Path of the template.
    pub template: PathBuf,
    /// Placeholders that have no value.
    pub missing_values: Vec<MissingValue>,
    /// Faults of the rendered settings; none if they are valid.
    pub faults: Option<Faults>,
}

/// Error that prevents checking a template.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The template or the values file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] ReadError),
    /// The template or the values cannot be parsed.
    #[error("failed to render the template")]
    Template(#[from] TemplateError),
}

/// Renders the template and validates the resulting settings.
///
/// # Errors
///
/// [`Error`] if a file cannot be read or parsed.
pub fn check(options: &Options) -> Result<Outcome, Error> {
    let read = |path: &PathBuf| fs::read_to_string(path).map_err(ReadError::at(path));
    let rendered = template::render(&read(&options.template)?, &read(&options.values)?)?;
    let name = format!("{} (rendered)", options.template.display());
    Ok(Outcome {
        template: options.template.clone(),
        missing_values: rendered.missing,
        faults: Settings::parse(&name, &rendered.text).err(),
    })
}

impl Outcome {
    /// Maps this outcome to the exit code of the process.
    pub fn exit(&self) -> Exit {
        if self.is_valid() { Exit::Done } else { Exit::Faults }
    }

    fn is_valid(&self) -> bool {
        self.missing_values.is_empty() && self.faults.is_none()
    }

    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, &self.rows()),
            OutputFormat::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        let template = self.template.display();
        for missing in &self.missing_values {
            writeln!(
                out,
                "{template}: line {}: no value for placeholder `{}`",
                missing.line, missing.name
            )?;
        }
        if let Some(faults) = &self.faults {
            check::write_faults(faults, out)?;
        }
        if self.is_valid() {
            writeln!(out, "{template}: valid")?;
        }
        Ok(())
    }

    fn rows(&self) -> Vec<Row> {
        let missing_values = self.missing_values.iter().map(|it| Row {
            line: it.line,
            is_filled_in: false,
            problem: format!("no value for placeholder `{}`", it.name),
        });
        let faults = self.faults.iter().flat_map(|all| {
            all.faults().iter().map(|it| Row {
                line: all.line(it),
                is_filled_in: true,
                problem: it.to_string(),
            })
        });
        missing_values.chain(faults).collect()
    }
}

/// One missing value or fault in the JSON output.
#[derive(Serialize)]
struct Row {
    /// Line in the rendered settings if `is_filled_in`, else in the template; from 1.
    line: usize,
    is_filled_in: bool,
    problem: String,
}
