//! HTTP client of an instance's operator port.

use std::{io, path::PathBuf, time::Duration};

use miette::Diagnostic;
use reqwest::{Method, RequestBuilder, StatusCode};
use serde::de::DeserializeOwned;
use sl_base::Millis;
use sl_config::{KeySource, Secret, key::KeyError};
use thiserror::Error;

use crate::exit::Exit;

/// Environment variable that holds the operator key.
pub const KEY_ENV: &str = "SESAMELOCK_OPERATOR_KEY";

/// Address, credentials and timeout of calls to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Base URL of the instance's operator port.
    pub address: String,
    /// File with the operator key; if absent, the key is read from [`KEY_ENV`].
    pub key_file: Option<PathBuf>,
    /// Timeout of each call, from connecting to the end of the response body.
    pub response_timeout: Millis,
}

/// Error of a call to an operator port.
#[derive(Debug, Error, Diagnostic)]
pub enum Error {
    /// The operator key could not be read.
    #[error("failed to read the operator key")]
    #[diagnostic(help("set {KEY_ENV}, or pass a file with --key-file"))]
    Key(#[source] KeyError),
    /// The HTTP client could not be built.
    #[error("failed to build the HTTP client")]
    Setup(#[source] reqwest::Error),
    /// The call failed before a complete response arrived.
    #[error("no response from {address}")]
    Unreachable {
        /// Base URL of the operator port.
        address: String,
        /// The underlying HTTP error.
        source: reqwest::Error,
    },
    /// The instance rejected the operator key; holds the base URL.
    #[error("{0} rejected the operator key")]
    #[diagnostic(help(
        "the instance accepts keys whose hashes are listed in its operator-key-hash setting"
    ))]
    Refused(String),
    /// The instance responded with an unexpected HTTP status.
    #[error("unexpected HTTP status {status} from {address}")]
    Status {
        /// Base URL of the operator port.
        address: String,
        /// The HTTP status code.
        status: u16,
    },
    /// The response body is not the expected JSON.
    #[error("invalid response body from {address}")]
    InvalidResponse {
        /// Base URL of the operator port.
        address: String,
        /// The underlying JSON error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Maps this error to the exit code of the process.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Refused(_) => Exit::Refused,
            Error::Unreachable { .. } => Exit::Unreachable,
            Error::Status { status, .. } if *status == UNAVAILABLE => Exit::Unreachable,
            Error::Key(_)
            | Error::Setup(_)
            | Error::Status { .. }
            | Error::InvalidResponse { .. } => Exit::Failed,
        }
    }
}

/// Status with which an instance that is stopping responds.
const UNAVAILABLE: u16 = StatusCode::SERVICE_UNAVAILABLE.as_u16();

/// A client of one instance's operator port.
#[derive(Clone, Debug)]
pub struct Operator {
    http: reqwest::Client,
    base_url: String,
    key: Secret,
}

impl Operator {
    /// Creates a client; it connects with the first call.
    ///
    /// # Errors
    ///
    /// [`Error`] if the key cannot be read or the HTTP client cannot be built.
    pub fn new(options: &Options) -> Result<Operator, Error> {
        let source = match &options.key_file {
            Some(path) => KeySource::File(path.clone()),
            None => KeySource::Env(KEY_ENV.to_owned()),
        };
        let read_file = |path: PathBuf| -> io::Result<String> { std::fs::read_to_string(path) };
        let key = source.read(read_file, |name| std::env::var(name)).map_err(Error::Key)?;
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(Duration::from(options.response_timeout))
            .build()
            .map_err(Error::Setup)?;
        let base_url = options.address.trim_end_matches('/').to_owned();
        Ok(Operator { http, base_url, key })
    }

    /// Returns the base URL of the operator port, without a trailing slash.
    pub fn address(&self) -> &str {
        &self.base_url
    }

    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let body = self.send(self.request(Method::GET, path)).await?;
        serde_json::from_str(&body)
            .map_err(|source| Error::InvalidResponse { address: self.base_url.clone(), source })
    }

    pub(crate) async fn post(&self, path: &str) -> Result<(), Error> {
        self.send(self.request(Method::POST, path)).await?;
        Ok(())
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("{}{path}", self.base_url);
        self.http.request(method, url).bearer_auth(self.key.expose())
    }

    async fn send(&self, request: RequestBuilder) -> Result<String, Error> {
        let address = self.base_url.clone();
        let unreachable = |source| Error::Unreachable { address: self.base_url.clone(), source };
        let response = request.send().await.map_err(unreachable)?;
        match response.status() {
            status if status.is_success() => response.text().await.map_err(unreachable),
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Err(Error::Refused(address)),
            status => Err(Error::Status { address, status: status.as_u16() }),
        }
    }
}
