//! `sesamelock hash`: the hash under which a template or settings file names a secret.
//! The secret comes from standard input, so that it stands in no list of processes.

use std::io;

use miette::Diagnostic;
use serde::Serialize;
use thiserror::Error;

use crate::output::{self, Form};

/// Bytes that a secret has at least, because the hash is fast and a short secret could be
/// found by trying.
pub const SECRET_BYTES_MIN: usize = 16;

/// What was hashed.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The BLAKE3 hash in hex.
    pub hash: String,
}

/// Why a secret was not hashed.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// Standard input could not be read.
    #[error("the secret cannot be read from standard input")]
    Read(#[from] io::Error),
    /// The secret is too short.
    #[error("a secret must have {SECRET_BYTES_MIN} bytes at least; this one has {0}")]
    #[diagnostic(help("draw one at random, such as 32 letters and digits"))]
    Short(usize),
}

/// Hashes the secret that `input` holds, without the line's end.
///
/// # Errors
///
/// [`Error`] where it cannot be read or is too short.
pub fn hash(mut input: impl io::Read) -> Result<Outcome, Error> {
    let mut text = String::new();
    input.read_to_string(&mut text)?;
    let secret = text.trim_end_matches(['\r', '\n']);
    if secret.len() < SECRET_BYTES_MIN {
        return Err(Error::Short(secret.len()));
    }
    let hash = blake3::hash(secret.as_bytes()).to_hex().to_string();
    Ok(Outcome { hash })
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match form {
            Form::Json => output::json(out, self),
            Form::Text => writeln!(out, "{}", self.hash),
        }
    }
}
