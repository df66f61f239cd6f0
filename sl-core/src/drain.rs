//! `sesamelock drain`: begins a planned stop of one instance.

use std::{io, time::Duration};

use serde::Serialize;
use sl_base::Millis;
use tokio::time::Instant;

use crate::{
    exit::Exit,
    operator::{Error, Operator},
    output::{self, Form},
    status,
};

/// How to drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// When what is still under way is cut off; the instance's settings say it otherwise.
    pub within: Option<Millis>,
    /// How long to wait for the instance to be gone.
    pub wait: Option<Millis>,
}

/// How far the drain came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The instance has begun to stop.
    Draining,
    /// The instance is gone.
    Gone,
    /// The instance was still there when the wait was over.
    StillThere,
}

/// How long between two looks at whether the instance is gone.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// Begins a planned stop, and waits for its end where that is asked for.
///
/// # Errors
///
/// [`Error`] where the instance does not take the call.
pub async fn drain(operator: &Operator, options: &Options) -> Result<Outcome, Error> {
    let path = match options.within {
        Some(Millis(millis)) => format!("/drain?within_ms={millis}"),
        None => "/drain".to_owned(),
    };
    operator.post(&path).await?;
    let Some(wait) = options.wait else {
        return Ok(Outcome::Draining);
    };
    let until = Instant::now() + Duration::from(wait);
    while Instant::now() < until {
        match status::status(operator).await {
            Err(Error::Unreachable { .. }) => return Ok(Outcome::Gone),
            _ => tokio::time::sleep(LOOK_EVERY).await,
        }
    }
    Ok(Outcome::StillThere)
}

impl Outcome {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Outcome::Draining | Outcome::Gone => Exit::Done,
            Outcome::StillThere => Exit::Failed,
        }
    }

    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match (form, self) {
            (Form::Json, it) => output::json(out, it),
            (Form::Text, Outcome::Draining) => writeln!(out, "draining"),
            (Form::Text, Outcome::Gone) => writeln!(out, "gone"),
            (Form::Text, Outcome::StillThere) => writeln!(out, "still there"),
        }
    }
}
