//! The INI text as sections and entries that remember where they stand, so that every
//! fault can point at its line and value.

use ini_core::{Item, Parser};
use miette::SourceSpan;

use crate::fault::{Fault, Problem};

/// A piece of the text and its place.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Piece<'a> {
    pub(crate) text: &'a str,
    pub(crate) span: SourceSpan,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry<'a> {
    pub(crate) key: Piece<'a>,
    pub(crate) value: Piece<'a>,
}

#[derive(Clone, Debug)]
pub(crate) struct Section<'a> {
    pub(crate) head: Piece<'a>,
    pub(crate) entries: Vec<Entry<'a>>,
}

impl<'a> Section<'a> {
    /// The first word of the head, such as `team`.
    pub(crate) fn kind(&self) -> &'a str {
        self.head.text.split_whitespace().next().unwrap_or_default()
    }
}

/// Splits `text` into sections; whatever is no INI becomes a fault.
pub(crate) fn sections<'a>(text: &'a str, faults: &mut Vec<Fault>) -> Vec<Section<'a>> {
    let mut found: Vec<Section<'a>> = Vec::new();
    for item in Parser::new(text).auto_trim(true) {
        match item {
            Item::Section(head) => found.push(section(text, head)),
            Item::Error(line) => match head_of(line) {
                Some(head) => found.push(section(text, head)),
                None => faults.push(Fault::new(Problem::UnclosedSection, piece(text, line).span)),
            },
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Property(key, None) => {
                faults.push(Fault::new(Problem::MissingValue, piece(text, key).span));
            }
            Item::Property(key, Some(value)) => {
                let entry = Entry { key: piece(text, key), value: piece(text, value) };
                match found.last_mut() {
                    Some(section) => section.entries.push(entry),
                    None => faults.push(Fault::new(Problem::KeyBeforeSection, entry.key.span)),
                }
            }
            Item::Comment(_) | Item::Blank | Item::SectionEnd => {}
        }
    }
    found
}

fn head_of(line: &str) -> Option<&str> {
    let inner = line.trim().strip_prefix('[')?;
    Some(inner.strip_suffix(']')?.trim())
}

fn section<'a>(text: &str, head: &'a str) -> Section<'a> {
    Section { head: piece(text, head), entries: Vec::new() }
}

/// The place of `part`, which is a slice of `text`.
fn piece<'a>(text: &str, part: &'a str) -> Piece<'a> {
    let start = part.as_ptr() as usize - text.as_ptr() as usize;
    let span = (start, part.len()).into();
    Piece { text: part, span }
}
