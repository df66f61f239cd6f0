//! Secrets. Settings say where a secret is to be found and never hold it.

use std::{fmt, io, path::PathBuf};

use thiserror::Error;

/// Bytes that a secret must have at least.
pub const SECRET_BYTES_MIN: usize = 16;

/// Where a secret is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// A file that holds nothing else.
    File(PathBuf),
    /// An environment variable.
    Env(String),
}

/// A secret that was read; it does not show itself in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// The secret's bytes.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// The BLAKE3 hash in hex by which the secret is known where it must not be kept.
    pub fn hash(&self) -> String {
        blake3::hash(self.0.as_bytes()).to_hex().to_string()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl TryFrom<String> for Secret {
    type Error = SecretTooShort;

    fn try_from(text: String) -> Result<Secret, SecretTooShort> {
        let text = text.trim();
        if text.len() < SECRET_BYTES_MIN {
            return Err(SecretTooShort);
        }
        Ok(Secret(text.to_owned()))
    }
}

/// A secret that could be guessed.
#[derive(Debug, Error)]
#[error("a secret needs at least {SECRET_BYTES_MIN} bytes")]
pub struct SecretTooShort;

/// Why a secret could not be read.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("the key file {path} cannot be read")]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The environment variable is not set.
    #[error("the environment variable {0} is not set")]
    Env(String),
    /// It is too short.
    #[error("the key from {from}: {source}")]
    TooShort {
        /// Where it came from.
        from: KeySource,
        /// What is wanted.
        source: SecretTooShort,
    },
}

impl fmt::Display for KeySource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeySource::File(path) => write!(f, "file {}", path.display()),
            KeySource::Env(name) => write!(f, "environment variable {name}"),
        }
    }
}

impl KeySource {
    /// The secret, with the reading left to the caller: `file` is
    /// [`std::fs::read_to_string`] and `env` [`std::env::var`] in a daemon.
    ///
    /// # Errors
    ///
    /// [`KeyError`] where it is not there or too short to be one.
    pub fn read<P, V, E>(&self, file: P, env: V) -> Result<Secret, KeyError>
    where
        P: FnOnce(PathBuf) -> io::Result<String>,
        V: FnOnce(&str) -> Result<String, E>,
    {
        let text = match self {
            KeySource::File(path) => file(path.clone())
                .map_err(|source| KeyError::File { path: path.clone(), source })?,
            KeySource::Env(name) => env(name).map_err(|_| KeyError::Env(name.clone()))?,
        };
        Secret::try_from(text).map_err(|source| KeyError::TooShort { from: self.clone(), source })
    }
}
