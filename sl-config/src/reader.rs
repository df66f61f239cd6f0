//! Reads one section's keys into checked values and gathers every fault on the way.

use std::{ops::RangeInclusive, str::FromStr};

use miette::SourceSpan;
use sl_base::Millis;
use strum::VariantNames;

use crate::{
    fault::{Fault, Problem},
    ini::{Entry, Section},
    raw::{Raw, Wanted},
};

/// The longest span that a setting may give, in milliseconds: a day.
const SPAN_MAX_MS: u64 = 24 * 60 * 60 * 1_000;

/// Reads `section`; drop it through [`Reader::finish`], which finds the keys that no one asked for.
pub(crate) struct Reader<'a, 'f> {
    section: &'a Section<'a>,
    faults: &'f mut Vec<Fault>,
    asked: Vec<&'static str>,
}

impl<'a, 'f> Reader<'a, 'f> {
    pub(crate) fn new(section: &'a Section<'a>, faults: &'f mut Vec<Fault>) -> Reader<'a, 'f> {
        Reader { section, faults, asked: Vec::new() }
    }

    /// The value of `key`, where the key stands and its value is good.
    pub(crate) fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<Raw<'a>, Error = Wanted>,
    {
        let entry = self.entry(key)?;
        match T::try_from(Raw(entry.value.text)) {
            Ok(value) => Some(value),
            Err(Wanted(wanted)) => {
                self.malformed(entry, wanted);
                None
            }
        }
    }

    /// The value of `key`; a fault where the key is missing.
    pub(crate) fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<Raw<'a>, Error = Wanted>,
    {
        if !self.stands(key) {
            self.missing(key);
        }
        self.optional(key)
    }

    /// A whole number within `range`, or `default` where the key does not stand.
    pub(crate) fn number<N>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: N,
    ) -> N
    where
        N: TryFrom<u64>,
    {
        let Some(entry) = self.entry(key) else {
            return default;
        };
        let value = match u64::try_from(Raw(entry.value.text)) {
            Ok(value) => value,
            Err(Wanted(wanted)) => {
                self.malformed(entry, wanted);
                return default;
            }
        };
        match N::try_from(value) {
            Ok(number) if range.contains(&value) => number,
            _ => {
                let problem = Problem::OutOfRange {
                    value: entry.value.text.to_owned(),
                    min: *range.start(),
                    max: *range.end(),
                };
                self.faults.push(Fault::new(problem, entry.value.span));
                default
            }
        }
    }

    /// A span in milliseconds of at least one, or `default` where the key does not stand.
    pub(crate) fn millis(&mut self, key: &'static str, default: Millis) -> Millis {
        Millis(self.number(key, 1..=SPAN_MAX_MS, default.0))
    }

    /// One of an enum's words, or `default` where the key does not stand.
    pub(crate) fn word<W>(&mut self, key: &'static str, default: W) -> W
    where
        W: FromStr + VariantNames,
    {
        let Some(entry) = self.entry(key) else {
            return default;
        };
        entry.value.text.parse().unwrap_or_else(|_| {
            let problem = Problem::InvalidValue {
                value: entry.value.text.to_owned(),
                expected: format!("a word that `{key}` knows"),
            };
            let fault = Fault::new(problem, entry.value.span)
                .suggesting(entry.value.text, W::VARIANTS.iter().copied());
            self.faults.push(fault);
            default
        })
    }

    /// Whether the key stands, whatever its value.
    pub(crate) fn stands(&self, key: &str) -> bool {
        self.find(key).is_some()
    }

    /// Where the value of `key` stands, or the section's head.
    pub(crate) fn place(&self, key: &str) -> SourceSpan {
        match self.find(key) {
            Some(entry) => entry.value.span,
            None => self.section.head.span,
        }
    }

    /// Notes that two values do not go together; points at the value of `key`.
    pub(crate) fn clash(&mut self, key: &str, why: impl Into<String>) {
        let span = self.place(key);
        let fault = Fault::new(Problem::Conflict(why.into()), span);
        self.faults.push(fault);
    }

    /// Notes that `key` is missing.
    pub(crate) fn missing(&mut self, key: &str) {
        let problem =
            Problem::MissingKey { section: self.section.head.text.to_owned(), key: key.to_owned() };
        let fault = Fault::new(problem, self.section.head.span);
        self.faults.push(fault);
    }

    /// Finds unknown and repeated keys.
    pub(crate) fn finish(self) {
        for (at, entry) in self.section.entries.iter().enumerate() {
            let key = entry.key.text;
            let earlier = &self.section.entries[..at];
            if earlier.iter().any(|it| it.key.text == key) {
                let problem = Problem::Duplicate(key.to_owned());
                self.faults.push(Fault::new(problem, entry.key.span));
            } else if !self.asked.contains(&key) {
                let problem = Problem::UnknownKey {
                    section: self.section.kind().to_owned(),
                    key: key.to_owned(),
                };
                let fault = Fault::new(problem, entry.key.span);
                self.faults.push(fault.suggesting(key, self.asked.iter().copied()));
            }
        }
    }

    fn malformed(&mut self, entry: Entry<'_>, wanted: String) {
        let problem =
            Problem::InvalidValue { value: entry.value.text.to_owned(), expected: wanted };
        self.faults.push(Fault::new(problem, entry.value.span));
    }

    fn entry(&mut self, key: &'static str) -> Option<Entry<'a>> {
        self.asked.push(key);
        self.find(key)
    }

    fn find(&self, key: &str) -> Option<Entry<'a>> {
        let mut entries = self.section.entries.iter();
        entries.find(|it| it.key.text == key).copied()
    }
}
