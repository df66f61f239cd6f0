//! `sesamelock status`: shows the fleet as one instance sees it.

mod table;

use std::io;

use sl_base::status::FleetStatus;

use crate::{
    operator::{Error, Operator},
    output::{self, OutputFormat},
};

/// Result of `status`.
#[derive(Debug)]
pub struct Outcome {
    /// Status of the fleet, as collected by the called instance.
    pub fleet: FleetStatus,
}

/// Fetches the fleet status from an instance, which in turn queries its peers.
///
/// # Errors
///
/// [`Error`] if the call fails.
pub async fn status(operator: &Operator) -> Result<Outcome, Error> {
    let fleet = operator.get("/status").await?;
    Ok(Outcome { fleet })
}

impl Outcome {
    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, &self.fleet),
            OutputFormat::Text => table::write(&self.fleet, out),
        }
    }
}
