//! Runs attempts.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use reqwest::{
    Method, Response,
    header::{CONTENT_LENGTH, HeaderMap, HeaderValue},
};
use sl_base::{Millis, Timestamp};
use sl_config::Cost;
use sl_step::{effect::Dispatch, event::AttemptEnd};
use tokio::time::Instant;

use crate::{
    cost::Meter,
    filter,
    gate::Gate,
    sink::{AnswerSink, CallerGone, Head},
    target::Target,
};

/// How connections are kept.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long a connection may take to come about.
    pub connect_within: Millis,
    /// How long an unused connection is kept for idempotent requests.
    pub pool_idle: Millis,
    /// Unused connections kept for each backend server.
    pub pool_max: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options { connect_within: Millis(1_000), pool_idle: Millis(2_000), pool_max: 32 }
    }
}

/// What is sent, apart from where and when.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The caller's method.
    pub method: Method,
    /// The caller's path and query.
    pub target: Target,
    /// The caller's headers; what must not pass is removed here.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
    /// Whether running it twice does no harm. Only then may it take a kept connection,
    /// which the server may be closing at that very moment.
    pub idempotent: bool,
    /// How its cost is counted.
    pub cost: Cost,
}

/// Runs attempts on backend servers. `C` reads the clock that the reducer's deadlines
/// are measured on.
#[derive(Clone, Debug)]
pub struct Client<C> {
    kept: reqwest::Client,
    fresh: reqwest::Client,
    clock: C,
}

/// Progress is told no more often than this.
pub const PROGRESS_EVERY: Duration = Duration::from_millis(200);

impl<C> Client<C>
where
    C: Fn() -> Timestamp + Clone + Send + Sync + Unpin + 'static,
{
    /// A client without any connection yet.
    ///
    /// # Errors
    ///
    /// Where the HTTP library cannot be set up.
    pub fn new(options: Options, clock: C) -> Result<Client<C>, reqwest::Error> {
        Ok(Client {
            kept: builder(options)
                .pool_idle_timeout(Duration::from(options.pool_idle))
                .pool_max_idle_per_host(options.pool_max)
                .build()?,
            fresh: builder(options).pool_max_idle_per_host(0).build()?,
            clock,
        })
    }

    /// Runs one attempt to its end and passes its answer to `sink`. When `abort` comes
    /// first the connection is closed and the attempt ends as aborted, or as not sent
    /// where provably nothing left.
    pub async fn run<S: AnswerSink>(
        &self,
        dispatch: &Dispatch,
        forward: Forward,
        sink: &mut S,
        abort: impl Future<Output = ()> + Send,
    ) -> AttemptEnd {
        let now = (self.clock)();
        if dispatch.dispatch_by.is_due(now) || dispatch.total_by.is_due(now) {
            return AttemptEnd::NotSent;
        }
        let times = Times::new(dispatch, now);
        let mut meter = Meter::new(forward.cost);
        let (request, gate) = self.request(dispatch, forward);
        let end = tokio::select! {
            biased;
            () = abort => None,
            end = attempt(Attempt { request, gate: &gate, dispatch, times }, sink, &mut meter) => Some(end),
        };
        match end {
            Some(end) => end,
            None if gate.close() => AttemptEnd::NotSent,
            None => AttemptEnd::Aborted { units: meter.units() },
        }
    }

    fn request(&self, dispatch: &Dispatch, forward: Forward) -> (reqwest::RequestBuilder, Gate) {
        let client = if forward.idempotent { &self.kept } else { &self.fresh };
        let clock = self.clock.clone();
        let dispatch_by = dispatch.dispatch_by;
        let (gate, body) = Gate::new(forward.body, move || !dispatch_by.is_due(clock()));
        let mut headers = forward.headers;
        filter::clean_request(&mut headers);
        headers.insert(filter::ATTEMPT, HeaderValue::from(dispatch.attempt.0));
        let url = format!("http://{}{}", dispatch.address, forward.target);
        let request =
            client.request(forward.method, url).headers(headers).body(reqwest::Body::wrap(body));
        (request, gate)
    }
}

fn builder(options: Options) -> reqwest::ClientBuilder {
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
}

#[derive(Clone, Copy, Debug)]
struct Times {
    dispatch: Instant,
    first_byte: Instant,
    total: Instant,
    idle: Duration,
}

impl Times {
    fn new(dispatch: &Dispatch, now: Timestamp) -> Times {
        let start = Instant::now();
        let at = |deadline: Timestamp| start + FAR.min(deadline.remaining(now).into());
        Times {
            dispatch: at(dispatch.dispatch_by),
            first_byte: at(dispatch.first_byte_by),
            total: at(dispatch.total_by),
            idle: FAR.min(dispatch.idle_within.into()),
        }
    }
}

/// Stands for a deadline that never comes; the timer takes no longer spans.
const FAR: Duration = Duration::from_secs(30 * 24 * 60 * 60);

struct Attempt<'a> {
    request: reqwest::RequestBuilder,
    gate: &'a Gate,
    dispatch: &'a Dispatch,
    times: Times,
}

async fn attempt<S: AnswerSink>(
    attempt: Attempt<'_>,
    sink: &mut S,
    meter: &mut Meter,
) -> AttemptEnd {
    let Attempt { request, gate, dispatch, times } = attempt;
    let mut response = match begin(request, gate, times, meter).await {
        Ok(response) => response,
        Err(end) => return end,
    };
    if is_crossed(response.headers(), dispatch) {
        return AttemptEnd::Crossed;
    }
    let passed = pass(&mut response, times, sink, meter).await;
    let units = meter.units();
    match passed {
        Ok(()) => AttemptEnd::Complete { status: response.status().as_u16(), units },
        Err(Stop::CallerGone) => AttemptEnd::Aborted { units },
        Err(Stop::Lost) => AttemptEnd::LostMidway { units },
        Err(Stop::Idle) => AttemptEnd::IdleTimeout { units },
        Err(Stop::Total) => AttemptEnd::TotalTimeout { units },
    }
}

async fn begin(
    request: reqwest::RequestBuilder,
    gate: &Gate,
    times: Times,
    meter: &Meter,
) -> Result<Response, AttemptEnd> {
    let answer = request.send();
    tokio::pin!(answer);
    let slot = tokio::time::sleep_until(times.dispatch);
    tokio::pin!(slot);
    let mut slot_open = true;
    loop {
        tokio::select! {
            answer = &mut answer => return answer.map_err(|err| failed(&err, gate)),
            () = &mut slot, if slot_open => {
                slot_open = false;
                if gate.close() {
                    return Err(AttemptEnd::NotSent);
                }
            }
            () = tokio::time::sleep_until(times.total.min(times.first_byte)) => {
                if gate.close() {
                    return Err(AttemptEnd::NotSent);
                }
                return Err(if times.first_byte <= times.total {
                    AttemptEnd::FirstByteTimeout
                } else {
                    AttemptEnd::TotalTimeout { units: meter.units() }
                });
            }
        }
    }
}

// A request that found no connection was not written; neither was one whose gate was
// never asked. All else may have been run.
fn failed(err: &reqwest::Error, gate: &Gate) -> AttemptEnd {
    if err.is_connect() || err.is_builder() || !gate.has_begun() {
        AttemptEnd::NotSent
    } else {
        AttemptEnd::LostBeforeAnswer
    }
}

fn is_crossed(headers: &HeaderMap, dispatch: &Dispatch) -> bool {
    let ours = dispatch.attempt.to_string();
    headers.get_all(filter::ATTEMPT).iter().any(|it| it.as_bytes() != ours.as_bytes())
}

/// Why an answer that began was not passed on to its end.
#[derive(Clone, Copy, Debug)]
enum Stop {
    CallerGone,
    Lost,
    Idle,
    Total,
}

impl From<CallerGone> for Stop {
    fn from(CallerGone: CallerGone) -> Stop {
        Stop::CallerGone
    }
}

async fn pass<S: AnswerSink>(
    response: &mut Response,
    times: Times,
    sink: &mut S,
    meter: &mut Meter,
) -> Result<(), Stop> {
    take(times, sink.head(head(response))).await?;
    let mut told = Instant::now();
    while let Some(chunk) = next(response, times).await? {
        meter.feed(&chunk);
        take(times, sink.chunk(chunk)).await?;
        if told.elapsed() >= PROGRESS_EVERY {
            told = Instant::now();
            sink.progress(meter.units());
        }
    }
    Ok(())
}

async fn next(response: &mut Response, times: Times) -> Result<Option<Bytes>, Stop> {
    let idle = Instant::now() + times.idle;
    match tokio::time::timeout_at(idle.min(times.total), response.chunk()).await {
        Ok(chunk) => chunk.map_err(|_| Stop::Lost),
        Err(_) if idle < times.total => Err(Stop::Idle),
        Err(_) => Err(Stop::Total),
    }
}

// The time for which a caller reads nothing is not the backend server's to answer for,
// so that only the request's last deadline bounds it.
async fn take(
    times: Times,
    taken: impl Future<Output = Result<(), CallerGone>>,
) -> Result<(), Stop> {
    match tokio::time::timeout_at(times.total, taken).await {
        Ok(taken) => Ok(taken?),
        Err(_) => Err(Stop::Total),
    }
}

fn head(response: &Response) -> Head {
    let mut headers = response.headers().clone();
    let length = headers.get(CONTENT_LENGTH).and_then(|it| it.to_str().ok()?.parse().ok());
    filter::clean_answer(&mut headers);
    Head { status: response.status().as_u16(), headers, length }
}
