//! Reads the keys of a section into checked values and collects the faults.

use std::{ops::RangeInclusive, str::FromStr};

use miette::SourceSpan;
use sl_base::Millis;
use strum::VariantNames;

use crate::{
    fault::{Fault, Problem},
    ini::{Entry, Section},
    raw::{Expected, RawValue, Seconds},
};

/// Longest duration that a setting may hold: one day, in milliseconds.
const DURATION_MS_MAX: u64 = 24 * 60 * 60 * 1_000;

/// Reads the keys of `section`. Call [`Reader::finish`] after the last one: keys that were
/// never read are reported as unknown.
pub(crate) struct Reader<'a, 'f> {
    section: &'a Section<'a>,
    faults: &'f mut Vec<Fault>,
    known_keys: Vec<&'a str>,
}

impl<'a, 'f> Reader<'a, 'f> {
    pub(crate) fn new(section: &'a Section<'a>, faults: &'f mut Vec<Fault>) -> Reader<'a, 'f> {
        Reader { section, faults, known_keys: Vec::new() }
    }

    /// Returns the value of `key`, or `None` if the key is absent; adds a fault if the value is
    /// invalid.
    pub(crate) fn optional<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<RawValue<'a>, Error = Expected>,
    {
        let entry = self.entry(key)?;
        match T::try_from(RawValue(entry.value.text)) {
            Ok(value) => Some(value),
            Err(Expected(expected)) => {
                self.invalid_value(entry, expected);
                None
            }
        }
    }

    /// Returns the value of `key`; adds a fault if the key is absent or its value invalid.
    pub(crate) fn required<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: TryFrom<RawValue<'a>, Error = Expected>,
    {
        if !self.contains(key) {
            self.missing_key(key);
        }
        self.optional(key)
    }

    /// Returns the keys of a section that may have any keys, with their values; adds a fault for
    /// each invalid value.
    pub(crate) fn all<T>(&mut self) -> Vec<(&'a str, T)>
    where
        T: TryFrom<RawValue<'a>, Error = Expected>,
    {
        let mut values = Vec::new();
        for entry in &self.section.entries {
            self.known_keys.push(entry.key.text);
            match T::try_from(RawValue(entry.value.text)) {
                Ok(value) => values.push((entry.key.text, value)),
                Err(Expected(expected)) => self.invalid_value(*entry, expected),
            }
        }
        values
    }

    /// Returns an integer within `range`, or `default` if the key is absent or, with a fault, if
    /// the value is invalid.
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
        let value = match u64::try_from(RawValue(entry.value.text)) {
            Ok(value) => value,
            Err(Expected(expected)) => {
                self.invalid_value(entry, expected);
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

    /// Like [`Reader::number`], for a duration from 1 ms to one day.
    pub(crate) fn millis(&mut self, key: &'static str, default: Millis) -> Millis {
        Millis(self.number(key, 1..=DURATION_MS_MAX, default.0))
    }

    /// Returns a duration that is given under either of two keys: in whole milliseconds, or in
    /// seconds with a fraction. Returns `default` if both are absent or, with a fault, if the
    /// value is invalid or both are present.
    pub(crate) fn duration(
        &mut self,
        millis_key: &'static str,
        seconds_key: &'static str,
        default: Millis,
    ) -> Millis {
        let in_seconds = self.optional::<Seconds>(seconds_key);
        if self.contains(millis_key) && self.contains(seconds_key) {
            let message = format!("`{millis_key}` and `{seconds_key}` are mutually exclusive");
            self.conflict(seconds_key, message);
        }
        let in_millis = self.millis(millis_key, default);
        in_seconds.map_or(in_millis, |it| it.0)
    }

    /// Like [`Reader::number`], for one of the names of an enum's variants.
    pub(crate) fn variant<W>(&mut self, key: &'static str, default: W) -> W
    where
        W: FromStr + VariantNames,
    {
        let Some(entry) = self.entry(key) else {
            return default;
        };
        entry.value.text.parse().unwrap_or_else(|_| {
            let problem = Problem::InvalidValue {
                value: entry.value.text.to_owned(),
                expected: format!("a valid value of `{key}`"),
            };
            let fault = Fault::new(problem, entry.value.span)
                .with_suggestion(entry.value.text, W::VARIANTS.iter().copied());
            self.faults.push(fault);
            default
        })
    }

    /// Whether the key is present, with a valid value or not.
    pub(crate) fn contains(&self, key: &str) -> bool {
        self.find(key).is_some()
    }

    /// Returns the span of the value of `key`, or of the section header if the key is absent.
    pub(crate) fn span(&self, key: &str) -> SourceSpan {
        match self.find(key) {
            Some(entry) => entry.value.span,
            None => self.section.header.span,
        }
    }

    /// Adds a fault at the value of `key`, which conflicts with another setting.
    pub(crate) fn conflict(&mut self, key: &str, message: impl Into<String>) {
        let span = self.span(key);
        let fault = Fault::new(Problem::Conflict(message.into()), span);
        self.faults.push(fault);
    }

    /// Adds a fault for the absent `key`.
    pub(crate) fn missing_key(&mut self, key: &str) {
        let problem = Problem::MissingKey {
            section: self.section.header.text.to_owned(),
            key: key.to_owned(),
        };
        let fault = Fault::new(problem, self.section.header.span);
        self.faults.push(fault);
    }

    /// Adds faults for unknown and duplicate keys.
    pub(crate) fn finish(self) {
        for (index, entry) in self.section.entries.iter().enumerate() {
            let key = entry.key.text;
            let earlier = &self.section.entries[..index];
            if earlier.iter().any(|it| it.key.text == key) {
                let problem = Problem::Duplicate(key.to_owned());
                self.faults.push(Fault::new(problem, entry.key.span));
            } else if !self.known_keys.contains(&key) {
                let problem = Problem::UnknownKey {
                    section: self.section.kind().to_owned(),
                    key: key.to_owned(),
                };
                let fault = Fault::new(problem, entry.key.span);
                self.faults.push(fault.with_suggestion(key, self.known_keys.iter().copied()));
            }
        }
    }

    fn invalid_value(&mut self, entry: Entry<'_>, expected: String) {
        let problem = Problem::InvalidValue { value: entry.value.text.to_owned(), expected };
        self.faults.push(Fault::new(problem, entry.value.span));
    }

    fn entry(&mut self, key: &'static str) -> Option<Entry<'a>> {
        self.known_keys.push(key);
        self.find(key)
    }

    fn find(&self, key: &str) -> Option<Entry<'a>> {
        let mut entries = self.section.entries.iter();
        entries.find(|it| it.key.text == key).copied()
    }
}
