//! `sesamelock check template`: fills the template of the deploy file in with values and
//! checks the settings that come of it, before it is deployed.

use std::{fs, io, path::PathBuf};

use miette::Diagnostic;
use platform::template::{self, MissingValue, TemplateError};
use serde::Serialize;
use sl_config::{Faults, Settings};
use thiserror::Error;

use crate::{
    check,
    exit::Exit,
    file::Unreadable,
    output::{self, Form},
};

/// What to check.
#[derive(Clone, Debug)]
pub struct Options {
    /// The template.
    pub template: PathBuf,
    /// What it is filled in with, in TOML.
    pub values: PathBuf,
    /// The form of the output.
    pub form: Form,
}

/// What was found.
#[derive(Debug)]
pub struct Outcome {
    /// The template.
    pub template: PathBuf,
    /// Its placeholders that have no value.
    pub gaps: Vec<MissingValue>,
    /// What is wrong with the settings that come of it.
    pub faults: Option<Faults>,
}

/// Why a template could not be checked.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// A file could not be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Read(#[from] Unreadable),
    /// The template or the values are none.
    #[error("the template cannot be filled in")]
    Template(#[from] TemplateError),
}

/// Fills the template in, and checks what comes of it.
///
/// # Errors
///
/// [`Error`] where a file cannot be read, or is no template or no values.
pub fn check(options: &Options) -> Result<Outcome, Error> {
    let read = |path: &PathBuf| fs::read_to_string(path).map_err(Unreadable::at(path));
    let filled = template::render(&read(&options.template)?, &read(&options.values)?)?;
    let name = format!("{}, filled in", options.template.display());
    Ok(Outcome {
        template: options.template.clone(),
        gaps: filled.missing,
        faults: Settings::parse(&name, &filled.text).err(),
    })
}

impl Outcome {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        if self.is_good() { Exit::Done } else { Exit::Faults }
    }

    fn is_good(&self) -> bool {
        self.gaps.is_empty() && self.faults.is_none()
    }

    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match form {
            Form::Json => output::json(out, &self.rows()),
            Form::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        let template = self.template.display();
        for gap in &self.gaps {
            writeln!(out, "{template}: line {}: there is no value for `{}`", gap.line, gap.name)?;
        }
        if let Some(faults) = &self.faults {
            check::write_faults(faults, out)?;
        }
        if self.is_good() {
            writeln!(out, "{template}: good")?;
        }
        Ok(())
    }

    fn rows(&self) -> Vec<Row> {
        let gaps = self.gaps.iter().map(|it| Row {
            line: it.line,
            is_filled_in: false,
            problem: format!("there is no value for `{}`", it.name),
        });
        let faults = self.faults.iter().flat_map(|all| {
            all.faults().iter().map(|it| Row {
                line: all.line(it),
                is_filled_in: true,
                problem: it.to_string(),
            })
        });
        gaps.chain(faults).collect()
    }
}

#[derive(Serialize)]
struct Row {
    line: usize,
    /// Whether the line is one of what came of the template, rather than one of its own.
    is_filled_in: bool,
    problem: String,
}
