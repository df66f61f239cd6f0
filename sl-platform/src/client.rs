//! The client.

use std::{
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use reqwest::{
    RequestBuilder, Response, StatusCode,
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
pub struct Client(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    options: Options,
    pool: RwLock<Pool>,
    counters: Counters,
}

/// Connections that were made since the last silence.
#[derive(Clone, Debug)]
struct Pool {
    http: reqwest::Client,
    generation: u64,
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
    /// The answer is larger than [`LIST_MAX`].
    #[error("the platform's list is larger than {LIST_MAX} bytes")]
    TooLarge,
    /// The answer is no list.
    #[error("the platform's list could not be understood")]
    Malformed(#[from] serde_json::Error),
}

/// The largest value that the service takes, in bytes.
pub const VALUE_MAX: usize = 1 << 20;

/// The largest list that is read, in bytes.
pub const LIST_MAX: usize = 16 << 20;

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
        let pool = Pool { http: connect(&options)?, generation: 0 };
        Ok(Client(Arc::new(Shared {
            options,
            pool: RwLock::new(pool),
            counters: Counters::default(),
        })))
    }

    /// Makes one call, once. A call that is not answered by `answer_by` is lost; no
    /// connection that was kept until then is used again, since they may have fallen
    /// silent together.
    pub async fn call(&self, call: &Call, answer_by: Instant) -> Reply {
        let kind = kind(call);
        let counters = &self.0.counters;
        counters.call(kind, sent_bytes(call));
        let reply =
            if is_plain(key(call)) { self.exchange(call, answer_by).await } else { Reply::Refused };
        match &reply {
            Reply::Lost => counters.lost(kind),
            Reply::Refused => counters.refused(kind),
            Reply::Value { value, .. } => counters.received(kind, value.len()),
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
        self.0.counters.call(Kind::List, 0);
        let pool = self.pool();
        let listing = match tokio::time::timeout_at(answer_by, self.read_list(&pool, seen)).await {
            Ok(listing) => listing,
            Err(_) => {
                self.renew(&pool);
                Err(ListError::Timeout)
            }
        };
        if listing.is_err() {
            self.0.counters.lost(Kind::List);
        }
        listing
    }

    /// The counts of one kind of call.
    pub fn counted(&self, kind: Kind) -> Counted {
        self.0.counters.read(kind)
    }

    async fn exchange(&self, call: &Call, answer_by: Instant) -> Reply {
        let pool = self.pool();
        let kind = kind(call);
        let request = self.request(&pool, call, answer_by);
        let answer = async { Answer::read(request.send().await?).await };
        match tokio::time::timeout_at(answer_by, answer).await {
            Ok(Ok(answer)) => answer.reply(kind),
            Ok(Err(ReadError::Http(err))) if err.is_connect() || err.is_builder() => Reply::Refused,
            Ok(Err(_)) => Reply::Lost,
            Err(_) => {
                self.renew(&pool);
                Reply::Lost
            }
        }
    }

    fn request(&self, pool: &Pool, call: &Call, answer_by: Instant) -> RequestBuilder {
        let url = format!("{}/kv/{}", self.base(), key(call));
        match call {
            Call::Get { .. } => pool.http.get(url),
            Call::Watch { seen, .. } => {
                let wait = answer_by
                    .saturating_duration_since(Instant::now())
                    .saturating_sub(WATCH_MARGIN);
                let query = format!("watch={}&wait-ms={}", seen.0, millis(wait));
                pool.http.get(format!("{url}?{query}"))
            }
            Call::Put { expect, value, .. } => {
                expecting(pool.http.put(url), *expect).body(value.clone())
            }
            Call::Delete { expect, .. } => expecting(pool.http.delete(url), *expect),
        }
    }

    async fn read_list(&self, pool: &Pool, seen: u64) -> Result<Option<Listing>, ListError> {
        let url = format!("{}/list?seen={seen}", self.base());
        let response = pool.http.get(url).send().await?;
        match response.status() {
            StatusCode::NOT_MODIFIED => Ok(None),
            StatusCode::OK => {
                let body = read_whole(response, LIST_MAX).await?;
                self.0.counters.received(Kind::List, body.len());
                Ok(Some(serde_json::from_slice(&body)?))
            }
            status => Err(ListError::Status(status.as_u16())),
        }
    }

    fn base(&self) -> &str {
        self.0.options.base.trim_end_matches('/')
    }

    fn pool(&self) -> Pool {
        let pool = self.0.pool.read().unwrap_or_else(PoisonError::into_inner);
        pool.clone()
    }

    // Calls that were given up at the same time renew the connections once.
    fn renew(&self, silent: &Pool) {
        let Ok(http) = connect(&self.0.options) else {
            return;
        };
        let mut pool = self.0.pool.write().unwrap_or_else(PoisonError::into_inner);
        if pool.generation == silent.generation {
            pool.http = http;
            pool.generation += 1;
        }
    }
}

fn connect(options: &Options) -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
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
        .build()
}

#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    #[error("the body is too large")]
    TooLarge,
}

impl From<ReadError> for ListError {
    fn from(err: ReadError) -> ListError {
        match err {
            ReadError::Http(err) => ListError::Connection(err),
            ReadError::TooLarge => ListError::TooLarge,
        }
    }
}

async fn read_whole(mut response: Response, max: usize) -> Result<Bytes, ReadError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > max {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

struct Answer {
    status: StatusCode,
    version: Option<Version>,
    body: Bytes,
}

impl Answer {
    async fn read(response: Response) -> Result<Answer, ReadError> {
        Ok(Answer {
            status: response.status(),
            version: version(response.headers()),
            body: read_whole(response, VALUE_MAX).await?,
        })
    }

    fn reply(self, kind: Kind) -> Reply {
        let write = matches!(kind, Kind::Put | Kind::Delete);
        match (self.status, self.version) {
            (StatusCode::OK, Some(version)) if write => Reply::Done { version },
            (StatusCode::OK, Some(version)) => Reply::Value { version, value: self.body },
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
    headers.get(VERSION)?.to_str().ok()?.parse().ok().map(Version)
}

fn kind(call: &Call) -> Kind {
    match call {
        Call::Get { .. } => Kind::Get,
        Call::Watch { .. } => Kind::Watch,
        Call::Put { .. } => Kind::Put,
        Call::Delete { .. } => Kind::Delete,
    }
}

fn key(call: &Call) -> &str {
    match call {
        Call::Get { key } | Call::Watch { key, .. } => key,
        Call::Put { key, .. } | Call::Delete { key, .. } => key,
    }
}

// Only these go into a URL and come out as the same key.
fn is_plain(key: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    key.split('/')
        .all(|part| !part.is_empty() && part.contains(|c| c != '.') && part.chars().all(is_plain))
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
