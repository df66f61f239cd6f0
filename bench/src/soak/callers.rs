//! Callers that reuse their connections for as long as possible.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stand_ins::{Call, Caller, Response, document};
use tokio::time::{Instant, timeout};

use super::RecordLog;

/// Kinds of requests, one for each route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An idempotent request, which may run any number of times.
    Status,
    /// A request that may run only once.
    Book,
    /// A request for a stream, which may run only once.
    Chat,
    /// A request for a stream that may be resumed.
    Sheet,
    /// A request for a stream of several seconds, which may run only once.
    Talk,
    /// An idempotent request for the route that the latest configuration added.
    Newest,
}

impl Kind {
    /// The kinds that are served by a fleet without engines for long streams.
    pub const ALL: [Kind; 5] = [Kind::Status, Kind::Book, Kind::Chat, Kind::Sheet, Kind::Newest];

    /// Whether a request may run only once.
    pub fn may_run_only_once(self) -> bool {
        matches!(self, Kind::Book | Kind::Chat | Kind::Talk)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Chat | Kind::Sheet | Kind::Talk)
    }

    /// Number of events in a complete stream.
    pub(crate) const fn event_count(self) -> u64 {
        match self {
            Kind::Talk => 50,
            _ => 10,
        }
    }
}

/// A request and its response, as observed by the caller.
#[derive(Clone, Debug)]
pub struct Record {
    /// Kind of the request.
    pub kind: Kind,
    /// Id of the attempt.
    pub attempt_id: String,
    /// Method, path and query.
    pub request_line: String,
    /// Status code of the response; 0 if no response head was received.
    pub status: u16,
    /// Whether the response carries the seal of a server.
    pub is_sealed: bool,
    /// Whether the body was received up to the end given by its framing.
    pub is_complete: bool,
    /// Id of the attempt to which the response claims to belong.
    pub response_attempt_id: Option<String>,
    /// The part of the body that was received.
    pub body: String,
    /// Ids of the received events.
    pub events: Vec<u64>,
    /// The software versions of the servers that sent events, in order.
    pub versions: Vec<String>,
    /// The stream that the request resumes; `None` if it asks for one from its start.
    pub resumes: Option<Resumed>,
}

/// A stream that its caller resumes after some of its events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resumed {
    /// Id of the caller's attempt that brought the first event.
    pub began_by: String,
    /// Id of the last event that the caller has.
    pub last_event: u64,
    /// The software version that sent it.
    pub version: Option<String>,
}

impl Record {
    /// What the caller has of the stream, if it broke off after some events and may be resumed.
    fn broken_stream(&self) -> Option<Resumed> {
        let is_broken = self.kind == Kind::Sheet && self.status == 200 && !self.is_complete;
        let last_event = *self.events.last().filter(|_| is_broken)?;
        let began_by = self.resumes.as_ref().map_or(&self.attempt_id, |it| &it.began_by);
        let version = self.versions.last().cloned();
        Some(Resumed { began_by: began_by.clone(), last_event, version })
    }

    /// Whether the status tells the caller that the request did not run.
    pub fn reports_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// How long a caller waits for a complete response before it closes the connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Range of the pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..40;

/// Sends requests until `deadline`, and records each of them with its response.
pub(crate) async fn call(
    caller_number: u64,
    seed: u64,
    instances: Vec<SocketAddr>,
    deadline: Instant,
    record_log: RecordLog,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut idle_connection: Option<Caller> = None;
    let mut broken: Option<Resumed> = None;
    for i in 0_u64.. {
        if Instant::now() > deadline {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        // Excludes the newest route, which changes until the faults have ended.
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len() - 1)];
        let instance = instances[rng.random_range(0..instances.len())];
        let resumes = broken.take();
        let kind = if resumes.is_some() { Kind::Sheet } else { kind };
        let call = request(kind, &format!("soak-{caller_number}-{i}"), 0, resumes.as_ref());
        let mut caller = match idle_connection.take() {
            Some(caller) => caller,
            None => match Caller::connect(instance).await {
                Ok(caller) => caller,
                Err(_) => continue,
            },
        };
        let response = timeout(RESPONSE_TIMEOUT, caller.call(&call)).await;
        let response = response.ok().and_then(Result::ok);
        let is_reusable = response.as_ref().is_some_and(|it| {
            it.is_complete && it.header("connection") != Some("close") && caller.is_idle()
        });
        let record = record(kind, &call, resumes, response);
        broken = record.broken_stream();
        record_log.add(record);
        idle_connection = is_reusable.then_some(caller);
    }
}

/// Sends one request on a new connection.
pub(crate) async fn call_once(
    instance: SocketAddr,
    kind: Kind,
    attempt_id: String,
    config_version: u64,
) -> Record {
    let call = request(kind, &attempt_id, config_version, None);
    let response = async {
        let mut caller = Caller::connect(instance).await.ok()?;
        timeout(RESPONSE_TIMEOUT, caller.call(&call)).await.ok()?.ok()
    };
    record(kind, &call, None, response.await)
}

/// The request of a kind. `config_version` is that of the newest route.
pub(crate) fn request(
    kind: Kind,
    attempt_id: &str,
    config_version: u64,
    resumes: Option<&Resumed>,
) -> Call {
    let newest_target = format!("/v{config_version}/{attempt_id}");
    let (method, target) = match kind {
        Kind::Status => ("GET", format!("/status/{attempt_id}")),
        Kind::Book => ("POST", format!("/book/{attempt_id}")),
        Kind::Chat => ("POST", format!("/chat/{attempt_id}")),
        Kind::Sheet => ("POST", format!("/sheet/{attempt_id}")),
        Kind::Talk => ("POST", format!("/talk/{attempt_id}")),
        Kind::Newest => ("GET", newest_target),
    };
    let mut call = Call::new(method, document::HOST, &target, attempt_id);
    call.api_key = Some(document::BREWERS_KEY.to_owned());
    call.timeout = Duration::from_millis(1_500);
    call.body = if method == "POST" { attempt_id.to_owned().into() } else { Default::default() };
    if let Some(Resumed { began_by, last_event, .. }) = resumes {
        call.headers.push(("Resumes", began_by.clone()));
        call.headers.push(("Last-Event-Id", last_event.to_string()));
    }
    if kind.is_stream() {
        call.prompt = Some((1_400, 60, format!("a1:1000,{attempt_id}:400")));
    }
    call
}

/// The record of a request and its response, if there was one.
pub(crate) fn record(
    kind: Kind,
    call: &Call,
    resumes: Option<Resumed>,
    response: Option<Response>,
) -> Record {
    let request_line = format!("{} {}", call.method, call.target);
    let attempt_id = call.attempt_id.clone();
    match response {
        Some(response) => Record {
            kind,
            attempt_id,
            request_line,
            status: response.status(),
            is_sealed: response.is_sealed(),
            is_complete: response.is_complete,
            response_attempt_id: response.attempt_id().map(str::to_owned),
            body: response.text().to_owned(),
            events: response.event_ids(),
            versions: response.versions(),
            resumes,
        },
        None => Record {
            kind,
            attempt_id,
            request_line,
            status: 0,
            is_sealed: false,
            is_complete: false,
            response_attempt_id: None,
            body: String::new(),
            events: Vec::new(),
            versions: Vec::new(),
            resumes,
        },
    }
}
