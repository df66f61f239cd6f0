//! What is wrong with a text that an operator wrote: every fault at once, each with the
//! place that it points at.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, Severity, SourceCode, SourceSpan};
use thiserror::Error;

/// What a fault is about.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Problem {
    /// A section head without its closing bracket.
    #[error("this section head has no closing `]`")]
    UnclosedSection,
    /// A line that is neither a head, an entry nor a comment.
    #[error("this line has no `=` and no value")]
    MissingValue,
    /// An entry above the first section head.
    #[error("this entry stands before the first section")]
    KeyBeforeSection,
    /// A section that is not known.
    #[error("there is no section `{0}`")]
    UnknownSection(String),
    /// A key that the section does not have.
    #[error("there is no key `{key}` in [{section}]")]
    UnknownKey {
        /// The section's kind.
        section: String,
        /// The key as written.
        key: String,
    },
    /// A key or section that stands twice.
    #[error("`{0}` stands here a second time")]
    Duplicate(String),
    /// A section that must be there.
    #[error("the section [{0}] is missing")]
    MissingSection(String),
    /// A key that must be there.
    #[error("[{section}] needs `{key}`")]
    MissingKey {
        /// The section's kind.
        section: String,
        /// The key that is wanted.
        key: String,
    },
    /// A value that does not read as what the key wants.
    #[error("`{value}` is not {expected}")]
    InvalidValue {
        /// The value as written.
        value: String,
        /// What the key wants.
        expected: String,
    },
    /// A number past the key's bounds.
    #[error("`{value}` is not between {min} and {max}")]
    OutOfRange {
        /// The value as written.
        value: String,
        /// The least that the key takes.
        min: u64,
        /// The most that the key takes.
        max: u64,
    },
    /// Two values that do not go together.
    #[error("{0}")]
    Conflict(String),
}

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// What it is about.
    pub problem: Problem,
    /// The line's part that it points at.
    pub span: SourceSpan,
    /// How it may be mended.
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

    /// Adds a suggestion where one of `known` is close to what was written.
    pub(crate) fn suggesting<'k>(
        self,
        written: &str,
        known: impl IntoIterator<Item = &'k str>,
    ) -> Fault {
        let known: Vec<&str> = known.into_iter().collect();
        let near = known
            .iter()
            .map(|it| (strsim::jaro_winkler(written, it), *it))
            .filter(|(likeness, _)| *likeness > LIKENESS_MIN)
            .max_by(|a, b| a.0.total_cmp(&b.0));
        match near {
            Some((_, word)) => self.with_help(format!("did you mean `{word}`?")),
            None if known.is_empty() => self,
            None => self.with_help(format!("one of: {}", known.join(", "))),
        }
    }
}

/// How like a known word a written one must be to be suggested, between 0 and 1.
const LIKENESS_MIN: f64 = 0.75;

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

/// Every fault of one text, in the order of the text.
#[derive(Debug, Clone)]
pub struct Faults(Box<Inner>);

/// Apart, so that a result that may be faults stays small.
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

    /// The result of reading `text`: `value`, or every fault that was found.
    pub(crate) fn settle<T>(
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

    /// The faults, in the order of the text.
    pub fn faults(&self) -> &[Fault] {
        &self.0.faults
    }

    /// The name of the text that they were found in.
    pub fn source_name(&self) -> &str {
        self.0.source.name()
    }

    /// The line of `fault` in the text, counted from one.
    pub fn line(&self, fault: &Fault) -> usize {
        let text = self.0.source.inner();
        let until = fault.span.offset().min(text.len());
        let before = &text.as_bytes()[..until];
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
