//! `sesamelock hash`: computes the hash that a template or settings file holds in place of a
//! secret. The secret is read from standard input, because command-line arguments are
//! visible in process listings.

use std::io;

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;

use crate::output::{self, OutputFormat};

/// Minimum length of a secret in bytes: BLAKE3 is fast, so a short secret could be recovered
/// from its hash by brute force.
pub const SECRET_BYTES_MIN: usize = 16;

/// Result of hashing a secret.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// BLAKE3 hash of the secret, in lower-case hex.
    pub hash: String,
}

/// Error that prevents hashing a secret.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// Standard input could not be read.
    #[error("failed to read the secret from standard input")]
    Read(#[from] io::Error),
    /// The secret is too short; holds its length in bytes.
    #[error("secret too short: got {0} bytes, need at least {SECRET_BYTES_MIN}")]
    #[diagnostic(help("generate a random secret, for example of 32 letters and digits"))]
    TooShort(usize),
}

/// Hashes the secret read from `input`, without its trailing line break.
///
/// # Errors
///
/// [`Error`] if the secret cannot be read or is too short.
pub fn hash(mut input: impl io::Read) -> Result<Outcome, Error> {
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    let secret = text.trim_end_matches(['\r', '\n']);
    if secret.len() < SECRET_BYTES_MIN {
        return Err(Error::TooShort(secret.len()));
    }
    let hash = blake3::hash(secret.as_bytes()).to_hex().to_string();
    Ok(Outcome { hash })
}

impl Outcome {
    /// Writes the outcome to `out`, as text or JSON.
    ///
    /// # Errors
    ///
    /// Any error returned by `out`.
    pub fn write(&self, format: OutputFormat, out: &mut impl io::Write) -> io::Result<()> {
        match format {
            OutputFormat::Json => output::json(out, self),
            OutputFormat::Text => writeln!(out, "{}", self.hash),
        }
    }
}
