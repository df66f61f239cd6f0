//! Where an answer goes.

use std::future::Future;

use bytes::Bytes;
use reqwest::header::HeaderMap;

/// Takes an answer piece by piece. The futures carry the backpressure: the next piece is
/// read from the backend server only once the last one is taken.
pub trait AnswerSink: Send {
    /// Takes status and headers, once, before any piece of the body.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] where no one wants the answer any more.
    fn head(&mut self, head: Head) -> impl Future<Output = Result<(), CallerGone>> + Send;

    /// Takes the next piece of the body.
    ///
    /// # Errors
    ///
    /// [`CallerGone`] where no one wants the answer any more.
    fn chunk(&mut self, chunk: Bytes) -> impl Future<Output = Result<(), CallerGone>> + Send;

    /// Hears of the service so far in the route's cost unit, at most every
    /// [`PROGRESS_EVERY`](crate::client::PROGRESS_EVERY).
    fn progress(&mut self, units: u64);
}

/// How an answer begins; internal and hop-by-hop headers are gone.
#[derive(Clone, Debug)]
pub struct Head {
    /// The backend server's HTTP status.
    pub status: u16,
    /// The headers that pass, `Content-Length` among them where the server sent it.
    pub headers: HeaderMap,
    /// Bytes of the body, where the server said so.
    pub length: Option<u64>,
}

/// The caller went away; the attempt ends as aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the caller went away")]
pub struct CallerGone;
