//! Faults in a settings file. All faults of a file are collected, each with the span of text
//! that it refers to.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use thiserror::Error;

/// Kind of a fault, with the names and values concerned.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// A section header without its closing bracket.
    #[error("section header has no closing `]`")]
    UnclosedSection,
    /// A line that is neither a section header, a `key = value` entry nor a comment.
    #[error("expected `key = value`, found no `=`")]
    MissingValue,
    /// An entry above the first section header.
    #[error("entry comes before the first section header")]
    KeyBeforeSection,
    /// A section whose name is not defined.
    #[error("unknown section `{0}`")]
    UnknownSection(String),
    /// A key that is not defined for its section.
    #[error("unknown key `{key}` in [{section}]")]
    UnknownKey {
        /// Name of the section.
        section: String,
        /// The key as written.
        key: String,
    },
    /// A key or section that occurs more than once.
    #[error("`{0}` is defined more than once")]
    Duplicate(String),
    /// A required section is absent.
    #[error("missing section [{0}]")]
    MissingSection(String),
    /// A required key is absent.
    #[error("missing key `{key}` in [{section}]")]
    MissingKey {
        /// Name of the section.
        section: String,
        /// The required key.
        key: String,
    },
    /// A value that cannot be parsed as the key's type.
    #[error("`{value}` is not {expected}")]
    InvalidValue {
        /// The value as written.
        value: String,
        /// Description of a valid value, with its article.
        expected: String,
    },
    /// A number outside the key's range.
    #[error("`{value}` is not between {min} and {max}")]
    OutOfRange {
        /// The value as written.
        value: String,
        /// Smallest valid value.
        min: u64,
        /// Largest valid value.
        max: u64,
    },
    /// Two settings that contradict each other; holds the message.
    #[error("{0}")]
    Conflict(String),
}

/// A fault and where it is in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What is wrong.
    pub problem: Problem,
    /// The part of the text that the fault refers to.
    pub span: SourceSpan,
    /// Suggested correction, if there is one.
    pub help: Option<String>,
}

impl Fault {
    pub(crate) fn new(problem: Problem, span: SourceSpan) -> Fault {
        Fault { problem, span, help: None }
    }

    pub(crate) fn with_help(mut self, help: impl Into<String>) -> Fault {
        self.help = Some(help.into());
        self
    }

    /// Suggests the word of `known` that is most similar to `written`, or lists all of them if
    /// none is similar.
    pub(crate) fn with_suggestion<'k>(
        self,
        written: &str,
        known: impl IntoIterator<Item = &'k str>,
    ) -> Fault {
        let known: Vec<&str> = known.into_iter().collect();
        let closest = known
            .iter()
            .map(|it| (strsim::jaro_winkler(written, it), *it))
            .filter(|(similarity, _)| *similarity > SIMILARITY_MIN)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        match closest {
            Some((_, word)) => self.with_help(format!("did you mean `{word}`?")),
            None if known.is_empty() => self,
            None => self.with_help(format!("one of: {}", known.join(", "))),
        }
    }
}

/// Jaro-Winkler similarity above which a known word is suggested, between 0 and 1.
const SIMILARITY_MIN: f64 = 0.75;

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.problem.fmt(f)
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = self.help.as_ref()?;
        Some(Box::new(help))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// All faults of one text, ordered by position.
#[derive(Debug, Clone)]
pub struct Faults(Box<Inner>);

/// Boxed, so that `Result<Settings, Faults>` stays small.
#[derive(Debug, Clone)]
struct Inner {
    source: NamedSource<String>,
    faults: Vec<Fault>,
}

impl Faults {
    fn new(name: &str, text: String, faults: Vec<Fault>) -> Faults {
        let source = NamedSource::new(name, text).with_language("ini");
        Faults(Box::new(Inner { source, faults }))
    }

    /// Returns `value` if there are no faults, else the faults ordered by position.
    pub(crate) fn into_result<T>(
        name: &str,
        text: &str,
        value: Option<T>,
        mut faults: Vec<Fault>,
    ) -> Result<T, Faults> {
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => {
                faults.sort_by_key(|it| it.span.offset());
                Err(Faults::new(name, text.to_owned(), faults))
            }
        }
    }

    /// Returns the faults, ordered by position in the text.
    pub fn faults(&self) -> &[Fault] {
        &self.0.faults
    }

    /// Returns the name of the text, usually its path.
    pub fn source_name(&self) -> &str {
        self.0.source.name()
    }

    /// Returns the line of `fault` in the text, counted from 1.
    pub fn line(&self, fault: &Fault) -> usize {
        let text = self.0.source.inner();
        let end = fault.span.offset().min(text.len());
        let before = &text.as_bytes()[..end];
        1 + before.iter().filter(|&&it| it == b'\n').count()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults().len();
        let plural = if count == 1 { "" } else { "s" };
        write!(f, "{count} fault{plural} in {}", self.source_name())
    }
}

impl std::error::Error for Faults {}

impl Diagnostic for Faults {
    fn severity(&self) -> Option<Severity> {
        Some(Severity::Error)
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.0.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        Some(Box::new(self.faults().iter().map(|it| it as &dyn Diagnostic)))
    }
}
