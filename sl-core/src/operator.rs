//! Calls to an instance's operator port.

use std::{io, path::PathBuf, time::Duration};

use miette::Diagnostic;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use sl_base::Millis;
use sl_config::{KeySource, Secret, key::KeyError};
use thiserror::Error;

use crate::exit::Exit;

/// The environment variable that holds the operator's key.
pub const KEY_ENV: &str = "SESAMELOCK_OPERATOR_KEY";

/// Which instance to ask, and as whom.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The base address of the instance's operator port.
    pub address: String,
    /// The file that holds the operator's key; [`KEY_ENV`] where there is none.
    pub key_file: Option<PathBuf>,
    /// How long an answer may take.
    pub answer_within: Millis,
}

/// Why an instance did not do what it was asked.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The key could not be read.
    #[error("the operator's key cannot be read")]
    #[diagnostic(help("set {KEY_ENV}, or name a file with --key-file"))]
    Key(#[source] KeyError),
    /// The HTTP client could not be set up.
    #[error("the HTTP client cannot be set up")]
    Setup(#[source] reqwest::Error),
    /// No answer came.
    #[error("{address} gave no answer")]
    Unreachable {
        /// Whom the call went to.
        address: String,
        /// What the HTTP library said.
        source: reqwest::Error,
    },
    /// The key was refused.
    #[error("{0} refused the operator's key")]
    #[diagnostic(help("its settings hold the hashes of the keys it takes: operator-key-hash"))]
    Refused(String),
    /// The instance answered something else.
    #[error("{address} answered with status {status}")]
    Status {
        /// Whom the call went to.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The answer could not be understood.
    #[error("the answer of {address} cannot be understood")]
    Malformed {
        /// Whom the call went to.
        address: String,
        /// What the JSON library said.
        source: serde_json::Error,
    },
}

impl Error {
    /// The exit code that it leads to.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Refused(_) => Exit::Refused,
            Error::Unreachable { .. } => Exit::Unreachable,
            Error::Status { status, .. } if *status == UNAVAILABLE => Exit::Unreachable,
            Error::Key(_) | Error::Setup(_) | Error::Status { .. } | Error::Malformed { .. } => {
                Exit::Failed
            }
        }
    }
}

/// The status of an instance on its way out.
const UNAVAILABLE: u16 = StatusCode::SERVICE_UNAVAILABLE.as_u16();

/// A client of one instance's operator port.
#[derive(Clone, Debug)]
pub struct Operator {
    http: reqwest::Client,
    base: String,
    key: Secret,
}

impl Operator {
    /// A client without any connection yet.
    ///
    /// # Errors
    ///
    /// [`Error`] where the key cannot be read or the HTTP library not be set up.
    pub fn new(options: &Options) -> Result<Operator, Error> {
        let source = match &options.key_file {
            Some(path) => KeySource::File(path.clone()),
            None => KeySource::Env(KEY_ENV.to_owned()),
        };
        let file = |path: PathBuf| -> io::Result<String> { std::fs::read_to_string(path) };
        let key = source.read(file, |name| std::env::var(name)).map_err(Error::Key)?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(Duration::from(options.answer_within))
            .build()
            .map_err(Error::Setup)?;
        let base = options.address.trim_end_matches('/').to_owned();
        Ok(Operator { http, base, key })
    }

    /// The address that it calls.
    pub fn address(&self) -> &str {
        &self.base
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = self.send(self.request(Method::GET, path)).await?;
        serde_json::from_str(&body)
            .map_err(|source| Error::Malformed { address: self.base.clone(), source })
    }

    pub(crate) async fn post(&self, path: &str) -> Result<(), Error> {
        self.send(self.request(Method::POST, path)).await?;
        Ok(())
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.base);
        self.http.request(method, url).bearer_auth(self.key.expose())
    }

    async fn send(&self, request: RequestBuilder) -> Result<String, Error> {
        let address = self.base.clone();
        let unreachable = |source| Error::Unreachable { address: self.base.clone(), source };
        let response = request.send().await.map_err(unreachable)?;
        match response.status() {
            it if it.is_success() => response.text().await.map_err(unreachable),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(Error::Refused(address)),
            status => Err(Error::Status { address, status: status.as_u16() }),
        }
    }
}
