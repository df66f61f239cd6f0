//! Output for people or for programs.

use std::{
    io,
    time::{Duration, UNIX_EPOCH},
};

use serde::Serialize;
use sl_base::Timestamp;

/// The form of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Text for people.
    Text,
    /// One JSON document.
    Json,
}

/// Writes `value` as one JSON document.
pub(crate) fn json(out: &mut impl io::Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer_pretty(&mut *out, value)?;
    writeln!(out)
}

/// A point in time for people, in UTC to the second.
pub(crate) fn wall_clock(at: Timestamp) -> String {
    let time = UNIX_EPOCH + Duration::from_micros(at.as_micros());
    humantime::format_rfc3339_seconds(time).to_string()
}
