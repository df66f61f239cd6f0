//! Output as text or JSON.

use std::io;

use serde::Serialize;

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// A single JSON document.
    Json,
}

/// Writes `value` as an indented JSON document with a trailing line break.
pub(crate) fn json(out: &mut impl io::Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}
