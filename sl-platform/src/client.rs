//! The client.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use reqwest::{
    Method, RequestBuilder, Response, StatusCode,
    header::{HeaderMap, IF_MATCH, IF_NONE_MATCH},
};
use sl_base::{
    Millis,
    call::{Call, Reply, Version},
    listing::Listing,
};
use tokio::time::Instant;

use crate::counters::{Counted, Counters, Kind};

/// Where the platform is, and how connections to it are kept.
#[derive(Clone, Debug)]
pub struct Options {
    /// The service's URL without a path, such as `http://127.0.0.1:7000`.
    pub base: String,
    /// How long a connection may take to come about.
    pub connect_within: Millis,
    /// How long an unused connection is kept.
    pub pool_idle: Millis,
    /// Unused connections kept.
    pub pool_max: usize,
}

impl Options {
    /// The usual options for the service at `base`.
    pub fn new(base: impl Into<String>) -> Options {
        Options {
            base: base.into(),
            connect_within: Millis(1_000),
            pool_idle: Millis(5_000),
            pool_max: 4,
        }
    }
}

/// The platform's client; clones share connections and counters.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: Arc<str>,
    counters: Arc<Counters>,
}

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// No answer before the deadline.
    #[error("the platform's list was not answered in time")]
    Timeout,
    /// The connection failed.
    #[error("the platform's list could not be reached")]
    Connection(#[from] reqwest::Error),
    /// The service answered with a failure.
    #[error("the platform's list was refused with status {0}")]
    Status(u16),
    /// The answer is no list.
    #[error("the platform's list could not be understood")]
    Malformed(#[from] serde_json::Error),
}

/// The largest value that the service takes, in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// A watch asks the service to answer this long before the call's deadline.
const WATCH_MARGIN: Duration = Duration::from_millis(250);

const VERSION: &str = "x-version";

impl Client {
    /// A client without any connection yet.
    ///
    /// # Errors
    ///
    /// Where the HTTP library cannot be set up.
    pub fn new(options: Options) -> Result<Client, reqwest::Error> {
        let http = reqwest::Client::builder()
            .http1_only()
            .no_proxy()
            .no_gzip()
            .no_brotli()
            .no_zstd()
            .no_deflate()
            .referer(false)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .connect_timeout(options.connect_within.into())
            .pool_idle_timeout(Duration::from(options.pool_idle))
            .pool_max_idle_per_host(options.pool_max)
            .build()?;
        Ok(Client {
            http,
            base: options.base.trim_end_matches('/').into(),
            counters: Arc::default(),
        })
    }

    /// Makes one call, once. A call that is not answered by `answer_by` is lost; its
    /// connection is closed, so that the next call does not wait on it too.
    pub async fn call(&self, call: &Call, answer_by: Instant) -> Reply {
        let kind = kind(call);
        self.counters.call(kind, sent_bytes(call));
        let answer = self.exchange(call, answer_by);
        let reply = match tokio::time::timeout_at(answer_by, answer).await {
            Ok(Ok(answer)) => answer.reply(kind),
            Ok(Err(err)) if err.is_connect() || err.is_builder() => Reply::Refused,
            Ok(Err(_)) | Err(_) => Reply::Lost,
        };
        match &reply {
            Reply::Lost => self.counters.lost(kind),
            Reply::Refused => self.counters.refused(kind),
            Reply::Value { value, .. } => self.counters.received(kind, value.len()),
            _ => {}
        }
        reply
    }

    /// Reads the list, or nothing where it is still at the version `seen`.
    ///
    /// # Errors
    ///
    /// Where no list came before `answer_by`.
    pub async fn list(&self, seen: u64, answer_by: Instant) -> Result<Option<Listing>, ListError> {
        self.counters.call(Kind::List, 0);
        let listing = tokio::time::timeout_at(answer_by, self.read_list(seen))
            .await
            .unwrap_or(Err(ListError::Timeout));
        if listing.is_err() {
            self.counters.lost(Kind::List);
        }
        listing
    }

    /// The counts of one kind of call.
    pub fn counted(&self, kind: Kind) -> Counted {
        self.counters.read(kind)
    }

    async fn exchange(&self, call: &Call, answer_by: Instant) -> Result<Answer, reqwest::Error> {
        Answer::read(self.request(call, answer_by).send().await?).await
    }

    fn request(&self, call: &Call, answer_by: Instant) -> RequestBuilder {
        match call {
            Call::Get { key } => self.key(Method::GET, key),
            Call::Watch { key, seen } => {
                let wait = answer_by
                    .saturating_duration_since(Instant::now())
                    .saturating_sub(WATCH_MARGIN);
                let query = format!("{key}?watch={}&wait-ms={}", seen.0, millis(wait));
                self.key(Method::GET, &query)
            }
            Call::Put { key, expect, value } => {
                expecting(self.key(Method::PUT, key), *expect).body(value.clone())
            }
            Call::Delete { key, expect } => expecting(self.key(Method::DELETE, key), *expect),
        }
    }

    fn key(&self, method: Method, key: &str) -> RequestBuilder {
        self.http.request(method, format!("{}/kv/{key}", self.base))
    }

    async fn read_list(&self, seen: u64) -> Result<Option<Listing>, ListError> {
        let url = format!("{}/list?seen={seen}", self.base);
        let response = self.http.get(url).send().await?;
        match response.status() {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let body = response.bytes().await?;
                self.counters.received(Kind::List, body.len());
                Ok(Some(serde_json::from_slice(&body)?))
            }
            status => Err(ListError::Status(status.as_u16())),
        }
    }
}

struct Answer {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

impl Answer {
    async fn read(response: Response) -> Result<Answer, reqwest::Error> {
        Ok(Answer {
            status: response.status(),
            version: version(response.headers()),
            body: response.bytes().await?,
        })
    }

    fn reply(self, kind: Kind) -> Reply {
        let write = matches!(kind, Kind::Put | Kind::Delete);
        match (self.status, self.version) {
            (StatusCode::OK, Some(version)) if write => Reply::Done { version },
            (StatusCode::OK, Some(version)) => Reply::Value {
                version,
                value: self.body,
            },
            (StatusCode::NOT_FOUND, _) if !write => Reply::Absent,
            (StatusCode::NOT_MODIFIED, _) if kind == Kind::Watch => Reply::Unchanged,
            (StatusCode::PRECONDITION_FAILED, Some(version)) => Reply::Conflict { version },
            (status, _) if is_refusal(status) => Reply::Refused,
            _ => Reply::Lost,
        }
    }
}

// A failure of the server's own (5xx) says nothing of whether a write took effect.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error()
        && status != StatusCode::REQUEST_TIMEOUT
        && status != StatusCode::PRECONDITION_FAILED
}

fn expecting(request: RequestBuilder, expect: Version) -> RequestBuilder {
    match expect {
        Version::ABSENT => request.header(IF_NONE_MATCH, "*"),
        Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
    }
}

fn version(headers: &HeaderMap) -> Option<Version> {
    headers
        .get(VERSION)?
        .to_str()
        .ok()?
        .parse()
        .ok()
        .map(Version)
}

fn kind(call: &Call) -> Kind {
    match call {
        Call::Get { .. } => Kind::Get,
        Call::Watch { .. } => Kind::Watch,
        Call::Put { .. } => Kind::Put,
        Call::Delete { .. } => Kind::Delete,
    }
}

fn sent_bytes(call: &Call) -> usize {
    match call {
        Call::Put { value, .. } => value.len(),
        _ => 0,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
