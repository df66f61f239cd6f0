//! INI text as sections and entries with their spans, so that a fault can refer to a line and
//! a value.

use ini_core::{Item, Parser};
use miette::SourceSpan;

use crate::fault::{Fault, Problem};

/// A slice of the text and its span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Spanned<'a> {
    pub(crate) text: &'a str,
    pub(crate) span: SourceSpan,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    pub(crate) key: Spanned<'a>,
    pub(crate) value: Spanned<'a>,
}

#[derive(Clone, Debug)]
pub(crate) struct Section<'a> {
    pub(crate) header: Spanned<'a>,
    pub(crate) entries: Vec<Entry<'a>>,
}

impl<'a> Section<'a> {
    /// Returns the first word of the header.
    pub(crate) fn kind(&self) -> &'a str {
        self.header.text.split_whitespace().next().unwrap_or_default()
    }
}

/// Splits `text` into sections; adds a fault for each line that is not valid INI.
pub(crate) fn sections<'a>(text: &'a str, faults: &mut Vec<Fault>) -> Vec<Section<'a>> {
    let mut sections: Vec<Section<'a>> = Vec::new();
    for item in Parser::new(text).auto_trim(true) {
        match item {
            Item::Section(header) => sections.push(new_section(text, header)),
            Item::Error(line) => match parse_header(line) {
                Some(header) => sections.push(new_section(text, header)),
                None => faults.push(Fault::new(Problem::UnclosedSection, spanned(text, line).span)),
            },
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Property(key, None) => {
                faults.push(Fault::new(Problem::MissingValue, spanned(text, key).span));
            }
            Item::Property(key, Some(value)) => {
                let entry = Entry { key: spanned(text, key), value: spanned(text, value) };
                match sections.last_mut() {
                    Some(section) => section.entries.push(entry),
                    None => faults.push(Fault::new(Problem::KeyBeforeSection, entry.key.span)),
                }
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }
    sections
}

fn parse_header(line: &str) -> Option<&str> {
    let inner = line.trim().strip_prefix('[')?;
    Some(inner.strip_suffix(']')?.trim())
}

fn new_section<'a>(text: &str, header: &'a str) -> Section<'a> {
    Section { header: spanned(text, header), entries: Vec::new() }
}

/// Pairs `part`, which must be a slice of `text`, with its span.
fn spanned<'a>(text: &str, part: &'a str) -> Spanned<'a> {
    let offset = part.as_ptr() as usize - text.as_ptr() as usize;
    let span = (offset, part.len()).into();
    Spanned { text: part, span }
}
