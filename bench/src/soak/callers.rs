//! Callers that keep their connections until these end.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stand_ins::{Call, Caller, Response, document};
use tokio::time::{Instant, timeout};

use super::Ledger;

/// The kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run any number of times.
    Status,
    /// It may run once.
    Book,
    /// A stream that may run once.
    Chat,
    /// A stream that may be resumed.
    Sheet,
    /// A request to the route that came with the last configuration.
    Newest,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 5] = [Kind::Status, Kind::Book, Kind::Chat, Kind::Sheet, Kind::Newest];

    /// Whether it may run once only.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Book | Kind::Chat)
    }

    /// Whether its answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Chat | Kind::Sheet)
    }
}

/// What a caller saw of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// The kind.
    pub kind: Kind,
    /// The id of the attempt.
    pub attempt: String,
    /// Method, path and query.
    pub line: String,
    /// The status; 0 where no head came.
    pub status: u16,
    /// Whether a server sealed the answer.
    pub is_sealed: bool,
    /// Whether the body came to its framed end.
    pub is_whole: bool,
    /// The id that the answer carries.
    pub answers: Option<String>,
    /// What came of the body.
    pub body: String,
    /// The ids of the events that came.
    pub events: Vec<u64>,
}

impl Record {
    /// Whether the caller was told that the request did not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// A caller gives up on a connection that says nothing for longer.
const PATIENCE: Duration = Duration::from_secs(2);

/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..40;

pub(crate) async fn call(
    number: u64,
    seed: u64,
    instances: Vec<SocketAddr>,
    until: Instant,
    ledger: Ledger,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut kept: Option<Caller> = None;
    for at in 0_u64.. {
        if Instant::now() > until {
            return;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        // The newest route is asked for at the end only: until then it changes.
        let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len() - 1)];
        let instance = instances[rng.random_range(0..instances.len())];
        let call = request(kind, &format!("soak-{number}-{at}"), 0);
        let mut caller = match kept.take() {
            Some(caller) => caller,
            None => match Caller::connect(instance).await {
                Ok(caller) => caller,
                Err(_) => continue,
            },
        };
        let answer = timeout(PATIENCE, caller.call(&call)).await;
        let answer = answer.ok().and_then(Result::ok);
        let goes_on = answer.as_ref().is_some_and(|it| {
            it.is_complete && it.header("connection") != Some("close") && caller.is_idle()
        });
        ledger.add(record(kind, &call, answer));
        kept = goes_on.then_some(caller);
    }
}

/// Sends one request on a connection of its own.
pub(crate) async fn once(
    instance: SocketAddr,
    kind: Kind,
    attempt: String,
    version: u64,
) -> Record {
    let call = request(kind, &attempt, version);
    let answered = async {
        let mut caller = Caller::connect(instance).await.ok()?;
        timeout(PATIENCE, caller.call(&call)).await.ok()?.ok()
    };
    record(kind, &call, answered.await)
}

fn request(kind: Kind, attempt: &str, version: u64) -> Call {
    let newest = format!("/v{version}/{attempt}");
    let (method, target) = match kind {
        Kind::Status => ("GET", format!("/status/{attempt}")),
        Kind::Book => ("POST", format!("/book/{attempt}")),
        Kind::Chat => ("POST", format!("/chat/{attempt}")),
        Kind::Sheet => ("POST", format!("/sheet/{attempt}")),
        Kind::Newest => ("GET", newest),
    };
    let mut call = Call::new(method, document::HOST, &target, attempt);
    call.api_key = Some(document::BREWERS_KEY.to_owned());
    call.timeout = Duration::from_millis(1_500);
    call.body = if method == "POST" { attempt.to_owned().into() } else { Default::default() };
    if kind.is_stream() {
        call.prompt = Some((1_400, 60, format!("a1:1000,{attempt}:400")));
    }
    call
}

fn record(kind: Kind, call: &Call, answer: Option<Response>) -> Record {
    let line = format!("{} {}", call.method, call.target);
    let attempt = call.attempt_id.clone();
    match answer {
        Some(answer) => Record {
            kind,
            attempt,
            line,
            status: answer.status(),
            is_sealed: answer.is_sealed(),
            is_whole: answer.is_complete,
            answers: answer.attempt_id().map(str::to_owned),
            body: answer.text().to_owned(),
            events: answer.event_ids(),
        },
        None => Record {
            kind,
            attempt,
            line,
            status: 0,
            is_sealed: false,
            is_whole: false,
            answers: None,
            body: String::new(),
            events: Vec::new(),
        },
    }
}
