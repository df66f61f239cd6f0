//! Callers that connect through the balancer and keep using their connections.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stand_ins::{Call, Caller, Response};
use tokio::time::{sleep, timeout};

use super::{DATA_CENTRES, balancer::Balancer};
use crate::soak::{
    Kind, Record,
    callers::{record, request},
};

/// A request with its response and times, as its caller observed it.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The request and its response.
    pub record: Record,
    /// Index of the instance that the connection leads to.
    pub instance: usize,
    /// When the connection was opened.
    pub connected_at: Instant,
    /// When the first byte was sent.
    pub started_at: Instant,
    /// When the last byte had been sent, if it was.
    pub sent_at: Option<Instant>,
    /// When the response ended, the connection was closed, or the caller gave up.
    pub ended_at: Instant,
    /// Whether the caller closed the connection itself, after its timeout.
    pub gave_up: bool,
    /// The caller's timeout, from the first byte.
    pub timeout: Duration,
}

/// How callers use connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Habit {
    /// Sends requests on one connection as long as it is open.
    Reuses,
    /// Opens a connection for each request.
    ConnectsAnew,
    /// Opens connections some time before they carry their first request.
    ConnectsAhead,
    /// Keeps a stream of several seconds running.
    Streams,
}

/// The habits of callers, by turns.
pub(crate) const HABITS: [Habit; 8] = [
    Habit::Reuses,
    Habit::Streams,
    Habit::ConnectsAhead,
    Habit::Streams,
    Habit::ConnectsAnew,
    Habit::Streams,
    Habit::ConnectsAhead,
    Habit::ConnectsAnew,
];

/// How long connections wait for their first request, in milliseconds.
const AHEAD_MS: std::ops::Range<u64> = 200..4_000;

/// Pauses between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 0..40;

/// Pauses between two pieces of a request, in milliseconds.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 0..200;

/// Timeouts of requests that are not streams, in milliseconds.
const TIMEOUT_MS: std::ops::Range<u64> = 400..1_500;

/// Timeout of streams.
const STREAM_TIMEOUT: Duration = Duration::from_secs(11);

/// How long a caller waits for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a caller waits beyond its timeout.
const PATIENCE: Duration = Duration::from_millis(500);

/// An open connection of a caller.
struct Connection {
    caller: Caller,
    /// Index of the instance that it leads to.
    instance: usize,
    opened_at: Instant,
}

/// Sends requests until `deadline` and returns their traces.
pub(crate) async fn call(
    number: u64,
    seed: u64,
    balancer: Arc<Balancer>,
    deadline: Instant,
) -> Vec<Trace> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let habit = HABITS[number as usize / DATA_CENTRES.len() % HABITS.len()];
    let data_centre = number as usize % DATA_CENTRES.len();
    let mut open: Option<Connection> = None;
    let mut traces = Vec::new();
    while Instant::now() < deadline {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        if open.is_none() {
            open = connect(&mut rng, &balancer, data_centre, habit).await;
        }
        let Some(mut connection) = open.take() else { continue };
        if !connection.caller.is_idle() {
            continue;
        }
        let kind = draw_kind(&mut rng, habit);
        let call = draw_call(&mut rng, kind, &format!("stops-{number}-{}", traces.len()));
        let (trace, response) = exchange(&mut rng, &mut connection, kind, &call).await;
        traces.push(trace);
        let response = response.as_ref();
        open = Some(connection).filter(|_| response.is_some_and(|it| keeps(habit, it)));
        let retry_delay = response.and_then(|it| retry_delay(it, call.timeout / 3));
        sleep(retry_delay.unwrap_or_default()).await;
    }
    traces
}

/// Opens a connection through the balancer, some time before its first request if that is the habit.
async fn connect(
    rng: &mut impl Rng,
    balancer: &Balancer,
    data_centre: usize,
    habit: Habit,
) -> Option<Connection> {
    let (instance, address) = balancer.choose(rng, data_centre);
    let caller = timeout(CONNECT_TIMEOUT, Caller::connect(address)).await.ok()?.ok()?;
    let opened_at = Instant::now();
    if habit == Habit::ConnectsAhead {
        sleep(Duration::from_millis(rng.random_range(AHEAD_MS))).await;
    }
    Some(Connection { caller, instance, opened_at })
}

/// Sends a request and waits for its response; `None` if there was none in time.
async fn exchange(
    rng: &mut impl Rng,
    connection: &mut Connection,
    kind: Kind,
    call: &Call,
) -> (Trace, Option<Response>) {
    let caller = &mut connection.caller;
    let started_at = Instant::now();
    let sent_at = send_in_pieces(rng, caller, call).await;
    let left = (call.timeout + PATIENCE).saturating_sub(started_at.elapsed());
    let response = timeout(left, caller.read_response(call.method)).await;
    let (gave_up, response) = (response.is_err(), response.ok().and_then(Result::ok));
    let trace = Trace {
        record: record(kind, call, None, response.clone()),
        instance: connection.instance,
        connected_at: connection.opened_at,
        started_at,
        sent_at,
        ended_at: Instant::now(),
        gave_up,
        timeout: call.timeout,
    };
    (trace, response)
}

/// Whether a caller keeps its connection after the response.
fn keeps(habit: Habit, response: &Response) -> bool {
    habit != Habit::ConnectsAnew
        && response.is_complete
        && response.header("connection") != Some("close")
        && response.status() < 500
}

fn draw_kind(rng: &mut impl Rng, habit: Habit) -> Kind {
    match rng.random_range(0..8) {
        _ if habit == Habit::Streams => Kind::Talk,
        0..3 => Kind::Status,
        3..6 => Kind::Book,
        6 => Kind::Chat,
        _ => Kind::Sheet,
    }
}

/// A request with a body that has a length or is in two chunks.
fn draw_call(rng: &mut impl Rng, kind: Kind, attempt_id: &str) -> Call {
    let mut call = request(kind, attempt_id, 0, None);
    call.timeout = match kind.is_stream() {
        true => STREAM_TIMEOUT,
        false => Duration::from_millis(rng.random_range(TIMEOUT_MS)),
    };
    if call.method == "POST" && rng.random_bool(0.5) {
        let (first, second) = attempt_id.split_at(attempt_id.len() / 2);
        let chunk = |it: &str| format!("{:x}\r\n{it}\r\n", it.len());
        call.body = format!("{}{}0\r\n\r\n", chunk(first), chunk(second)).into();
        call.headers.push(("Transfer-Encoding", "chunked".to_owned()));
    }
    call
}

/// Sends the request, every fourth one in two pieces. Returns when the last byte had been sent.
async fn send_in_pieces(rng: &mut impl Rng, caller: &mut Caller, call: &Call) -> Option<Instant> {
    let bytes = call.to_bytes();
    let (first, second) = match rng.random_bool(0.25) {
        true => bytes.split_at(rng.random_range(1..bytes.len())),
        false => (&bytes[..], &[][..]),
    };
    caller.send(first).await.ok()?;
    if !second.is_empty() {
        sleep(Duration::from_millis(rng.random_range(PIECE_PAUSE_MS))).await;
        caller.send(second).await.ok()?;
    }
    Some(Instant::now())
}

/// How long a refused caller waits before its next request.
fn retry_delay(response: &Response, longest: Duration) -> Option<Duration> {
    let seconds: f64 = response.header("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok().map(|it| it.min(longest))
}
