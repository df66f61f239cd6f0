//! What the door needs of the daemon behind it.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use sl_back::Target;
use sl_base::{Code, Millis, RequestId};
use sl_config::Config;
use sl_step::event::Arrival;
use tokio::sync::mpsc;

use crate::Refusal;

/// The daemon behind the door.
pub trait Node: Clone + Send + Sync + 'static {
    /// The configuration in force, or none before the first one came.
    fn config(&self) -> Option<Arc<Config>>;

    /// Whether the balancer may send new work.
    fn is_ready(&self) -> bool;

    /// An id that no request of this life had before.
    fn next_request(&self) -> RequestId;

    /// Hands a request over; its answer comes through [`Job::answer`].
    ///
    /// # Errors
    ///
    /// The code to refuse it with where the daemon takes no more; nothing was kept then.
    fn submit(&self, job: Job) -> Result<(), Code>;

    /// Says that a submitted request's caller went away before the answer's end.
    fn caller_gone(&self, request: RequestId);

    /// Counts a request that the door refused by itself; the label is there where team
    /// and route were found.
    fn refused(&self, code: Code, label: Option<&Label>);

    /// The metrics in OpenMetrics text.
    fn metrics(&self) -> impl Future<Output = String> + Send;

    /// The status report as JSON, or none where the daemon is on its way out.
    fn status(&self) -> impl Future<Output = Option<String>> + Send;

    /// The report on service-level burn as JSON, or none where the daemon is on its way out.
    fn report(&self) -> impl Future<Output = Option<String>> + Send;

    /// Begins a planned stop; everything still under way `within` from now is cut off.
    fn drain(&self, within: Option<Millis>);
}

/// Whose request it is, and of which kind, by the names that reports carry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Label {
    /// The team's name.
    pub team: String,
    /// The route's name.
    pub route: String,
}

/// A caller's request on its way in.
#[derive(Debug)]
pub struct Job {
    /// The names that reports carry.
    pub label: Label,
    /// What the reducer decides by.
    pub arrival: Arrival,
    /// What goes to the backend server.
    pub request: CallerRequest,
    /// Where the answer goes; the receiver is gone once the caller is.
    pub answer: mpsc::Sender<Part>,
}

/// A caller's request as it came.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The method in capitals.
    pub method: String,
    /// The path and the query.
    pub target: Target,
    /// The headers, names as they came; the credential is left out.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Bytes,
}

/// One part of an answer, in this order: a head, pieces, and the end. A
/// [`Part::Failed`] may stand at any place and is the last.
#[derive(Clone, Debug)]
pub enum Part {
    /// The backend server's status and headers.
    Head(Head),
    /// A piece of the body.
    Piece(Bytes),
    /// The body was whole.
    End,
    /// The request's final answer is ours, or the body breaks off here.
    Failed(Refusal),
}

/// The head of a backend server's answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The headers to pass on.
    pub headers: Vec<(String, String)>,
    /// The body's length in bytes, where the backend server said it.
    pub length: Option<u64>,
}
