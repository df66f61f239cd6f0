//! Secrets. Settings name the file or environment variable that holds a secret, never the
//! secret itself.

use std::{fmt, io, path::PathBuf};

use thiserror::Error;

/// Minimum length of a secret in bytes.
pub const SECRET_BYTES_MIN: usize = 16;

/// Location of a secret.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// A file whose whole content, without surrounding white space, is the secret.
    File(PathBuf),
    /// The name of an environment variable.
    Env(String),
}

/// A secret; its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret in plain text.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the BLAKE3 hash in hex, for places that must not hold the secret itself.
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

/// The secret is shorter than [`SECRET_BYTES_MIN`] and could be guessed.
#[derive(Debug, Error)]
#[error("secret too short: need at least {SECRET_BYTES_MIN} bytes")]
pub struct SecretTooShort;

/// Error of reading a secret.
#[derive(Debug, Error)]
pub enum KeyError {
    /// The file could not be read.
    #[error("failed to read key file {path}")]
    File {
        /// Path of the key file.
        path: PathBuf,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The named environment variable is not set or not valid UTF-8.
    #[error("environment variable {0} is not set or not valid UTF-8")]
    Env(String),
    /// The secret is too short.
    #[error("invalid key from {location}: {source}")]
    TooShort {
        /// Where the secret was read from.
        location: KeySource,
        /// The error that states the minimum length.
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
    /// Reads the secret with the given functions; the daemon passes
    /// [`std::fs::read_to_string`] as `read_file` and [`std::env::var`] as `read_env`.
    ///
    /// # Errors
    ///
    /// [`KeyError`] if the secret cannot be read or is too short.
    pub fn read<P, V, E>(&self, read_file: P, read_env: V) -> Result<Secret, KeyError>
    where
        P: FnOnce(PathBuf) -> io::Result<String>,
        V: FnOnce(&str) -> Result<String, E>,
    {
        let text = match self {
            KeySource::File(path) => read_file(path.clone())
                .map_err(|source| KeyError::File { path: path.clone(), source })?,
            KeySource::Env(name) => read_env(name).map_err(|_| KeyError::Env(name.clone()))?,
        };
        Secret::try_from(text)
            .map_err(|source| KeyError::TooShort { location: self.clone(), source })
    }
}
