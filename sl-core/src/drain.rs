//! `sesamelock drain`: starts a graceful shutdown of one instance.

use std::{io, time::Duration};

use serde::Serialize;
use sl_base::Millis;
use tokio::time::Instant;

use crate::{
    exit::Exit,
    operator::{Error, Operator},
    output::{self, OutputFormat},
    status,
};

/// Options of `drain`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time until requests still in flight are cut off; by default the instance's own
    /// `stop-within-ms` setting.
    pub drain_timeout: Option<Millis>,
    /// How long to wait for the instance to exit; no wait if absent.
    pub wait_timeout: Option<Millis>,
}

/// State of the drain when the command returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The instance accepted the call and has begun to drain.
    Draining,
    /// The operator port no longer responds.
    #[serde(rename = "gone")]
    Exited,
    /// The instance still responded when the wait timed out.
    #[serde(rename = "still-there")]
    StillRunning,
}

/// Interval between polls of an instance that drains.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a graceful shutdown, and waits for the instance to exit if a wait timeout is given.
///
/// # Errors
///
/// [`Error`] if the instance does not accept the call.
pub async fn drain(operator: &Operator, options: &Options) -> Result<Outcome, Error> {
    let path = match options.drain_timeout {
        Some(Millis(millis)) => format!("/drain?within_ms={millis}"),
        None => "/drain".to_owned(),
    };
    operator.post(&path).await?;
    let Some(wait_timeout) = options.wait_timeout else {
        return Ok(Outcome::Draining);
    };
    let deadline = Instant::now() + Duration::from(wait_timeout);
    while Instant::now() < deadline {
        match status::status(operator).await {
            Err(Error::Unreachable { .. }) => return Ok(Outcome::Exited),
            _ => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
    Ok(Outcome::StillRunning)
}

impl Outcome {
    /// Maps this outcome to the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self {
            Outcome::Draining | Outcome::Exited => Exit::Done,
            Outcome::StillRunning => Exit::Failed,
        }
    }

    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match (format, self) {
            (OutputFormat::Json, outcome) => output::json(out, outcome),
            (OutputFormat::Text, Outcome::Draining) => writeln!(out, "draining"),
            (OutputFormat::Text, Outcome::Exited) => writeln!(out, "gone"),
            (OutputFormat::Text, Outcome::StillRunning) => writeln!(out, "still running"),
        }
    }
}
