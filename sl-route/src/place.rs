//! Which server a request goes to, and whether it would be answered in time.

use sl_base::Timestamp;

use crate::{
    Prompt, ServerKey, ServerState,
    engine::Engine,
    server::{PlainServer, Server, ServerKind},
};

/// What a request asks of a server.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// The prompt of a model request.
    pub prompt: Option<&'a Prompt>,
    /// Servers that are not to be tried again.
    pub tried: &'a [ServerKey],
    /// Milliseconds that the first byte may take.
    pub allowed_ms: f64,
    /// Milliseconds that are left for the whole answer.
    pub left_ms: f64,
    /// The data centre that the request is in.
    pub data_centre: &'a str,
}

/// A server and what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerKey,
    /// Expected milliseconds to the first byte.
    pub expected_ms: f64,
    /// Milliseconds of work before it.
    pub backlog_ms: f64,
    /// Prompt tokens that it would have to read.
    pub to_read: u32,
    /// What it would fetch from another engine.
    pub fetch: Option<Fetch>,
    /// Servers that were looked at.
    pub candidates: usize,
    /// Milliseconds since anything was learnt of the server's work.
    pub heard_ms: f64,
}

/// Parts of a prompt that an engine fetches from another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fetch {
    /// The engine that keeps them.
    pub from: ServerKey,
    /// Their length in tokens.
    pub tokens: u32,
    /// Milliseconds until they are there, behind the transfers that are under way.
    pub takes_ms: f64,
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoChoice {
    /// No server may be tried.
    NoServer,
    /// The earliest first byte would come too late.
    TooLate {
        /// Milliseconds to it, with what others would lose by it.
        counted_ms: f64,
    },
    /// All places of all servers are taken.
    Full,
}

/// Reading a shared part again costs those who wait behind it too, so it counts once more.
const REREAD_WEIGHT: f64 = 1.0;

/// Under overload a request is better refused than read at the cost of many others: what
/// would be read again counts this often against the time that is allowed.
const AGAIN_WEIGHT: f64 = 4.0;

/// The part of an engine's cache that others would use again.
const PRESSURE_WEIGHT: f64 = 10.0;

/// A part that was not used for this long, in milliseconds, is hardly used again.
const REUSED_WITHIN_MS: f64 = 15_000.0;

/// Fewer tokens than this are read rather than fetched.
const FETCH_TOKENS_MIN: u32 = 500;

/// The time to the end of an answer counts this much against the time to its first token.
const GENERATING_WEIGHT: f64 = 0.1;

/// Answers are often longer than their callers expect: from this part of the time that is
/// left on, an answer may not end in time.
const LATE_END_FROM: f64 = 0.4;

/// What an answer that would take all of the time that is left adds beyond that, in
/// milliseconds.
const LATE_END_MS: f64 = 1_500.0;

/// What a request to another data centre takes longer, in milliseconds.
const AWAY_MS: f64 = 2.0;

/// What a server that always failed would add to its expected time, in milliseconds.
const FAILING_MS: f64 = 600.0;

/// How the time to an answer grows with the share of a plain server's slots in use.
const CROWDING: f64 = 2.0;

/// Of servers that are as good as each other, the one that has rested longest goes first:
/// it may seem this much faster, in milliseconds.
const TURN_MS: f64 = 2.0;

/// Rest beyond this, in milliseconds, counts no further.
const RESTED_MS: f64 = 5_000.0;

/// A plain answer is not expected faster than this, in milliseconds.
const ANSWER_MIN_MS: f64 = 5.0;

/// An engine that nobody has tried may be this many times faster than it is guessed to be:
/// the configuration may speak of a much smaller fleet.
const GUESS_DOUBT: f64 = 50.0;

/// A server seen as a place for one request.
struct Candidate {
    choice: Choice,
    score: f64,
    /// Milliseconds in which it would read what another engine keeps.
    again_ms: f64,
    /// Whether an answer that seems late is no reason against it.
    is_free: bool,
}

impl Candidate {
    /// Milliseconds to the first byte, with what others lose by it.
    fn counted_ms(&self) -> f64 {
        self.choice.expected_ms + AGAIN_WEIGHT * self.again_ms
    }

    fn is_in_time(&self, wanted: Wanted<'_>) -> bool {
        self.is_free || self.counted_ms() <= wanted.allowed_ms
    }
}

/// Chooses among `servers`, which are all of one service.
///
/// # Errors
///
/// [`NoChoice`] where the request should be refused.
pub fn choose<'a>(
    now: Timestamp,
    servers: impl Iterator<Item = &'a Server>,
    wanted: Wanted<'_>,
) -> Result<Choice, NoChoice> {
    let open =
        |it: &&Server| it.record.state == ServerState::Ready && !wanted.tried.contains(&it.key);
    let servers: Vec<&Server> = servers.filter(open).collect();
    if servers.is_empty() {
        return Err(NoChoice::NoServer);
    }
    let trusted: Vec<&Server> =
        servers.iter().copied().filter(|it| !it.health.is_avoided(now)).collect();
    let servers = if trusted.is_empty() { servers } else { trusted };
    let looked_at = servers.len();
    let donor = donor(now, &servers, wanted.prompt);
    let mut candidates: Vec<Candidate> =
        servers.into_iter().filter_map(|it| candidate(now, it, wanted, donor)).collect();
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let in_time = candidates.iter().find(|it| it.is_in_time(wanted));
    match in_time {
        Some(found) => Ok(Choice { candidates: looked_at, ..found.choice.clone() }),
        None if candidates.is_empty() => Err(NoChoice::Full),
        None => {
            let earliest = candidates.iter().map(Candidate::counted_ms);
            Err(NoChoice::TooLate { counted_ms: earliest.fold(f64::INFINITY, f64::min) })
        }
    }
}

/// The engine that keeps the most of a prompt.
#[derive(Clone, Copy, Debug)]
struct Donor {
    server: ServerKey,
    /// How much it keeps.
    tokens: u32,
    /// Milliseconds until it has sent what others fetch.
    transfers_ms: f64,
}

impl Donor {
    /// The same, with what it keeps beyond an engine that lacks `lacks` tokens of `prompt`.
    fn beyond(self, prompt: Option<&Prompt>, lacks: u32) -> Donor {
        let keeps = prompt.map_or(0, |it| it.input_tokens.saturating_sub(lacks));
        Donor { tokens: self.tokens.saturating_sub(keeps), ..self }
    }
}

fn donor(now: Timestamp, servers: &[&Server], prompt: Option<&Prompt>) -> Option<Donor> {
    let prompt = prompt?;
    let donors = servers.iter().filter_map(|it| {
        let engine = it.kind.engine()?;
        let tokens = engine.cache.kept(prompt).min(prompt.input_tokens);
        let transfers_ms = engine.transfers_ms(now);
        Some(Donor { server: it.key, tokens, transfers_ms })
    });
    let by_use = |a: &Donor, b: &Donor| {
        a.tokens.cmp(&b.tokens).then(b.transfers_ms.total_cmp(&a.transfers_ms))
    };
    donors.max_by(by_use)
}

fn candidate(
    now: Timestamp,
    server: &Server,
    wanted: Wanted<'_>,
    donor: Option<Donor>,
) -> Option<Candidate> {
    let mut candidate = match &server.kind {
        ServerKind::Engine(engine) => engine_candidate(now, server, engine, wanted, donor)?,
        ServerKind::Plain(plain) => plain_candidate(now, server, plain),
    };
    if *server.record.data_centre != *wanted.data_centre {
        candidate.choice.expected_ms += AWAY_MS;
        candidate.score += AWAY_MS;
    }
    candidate.score += server.health.failing(now) * FAILING_MS;
    candidate.choice.heard_ms = now.millis_since(server.updated_at);
    Some(candidate)
}

fn engine_candidate(
    now: Timestamp,
    server: &Server,
    engine: &Engine,
    wanted: Wanted<'_>,
    donor: Option<Donor>,
) -> Option<Candidate> {
    if !engine.has_slot() {
        return None;
    }
    let prompt = wanted.prompt;
    let lacks = prompt.map_or(0, |it| engine.to_read(it));
    let donor = donor.map(|it| it.beyond(prompt, lacks));
    let fetch = fetch(now, engine, donor);
    let to_read = lacks - fetch.map_or(0, |it| it.tokens);
    let fetching_ms = fetch.map_or(0.0, |it| it.takes_ms);
    let own = prompt.and_then(|it| it.parts.last()).map_or(0, |it| it.tokens);
    let lacks_shared = f64::from(lacks.saturating_sub(own)) / engine.tokens_per_ms();
    let expected_ms = engine.first_token_ms(now, to_read) + fetching_ms;
    let backlog_ms = engine.backlog_ms(now);
    let pressure = pressure(now, engine) * engine.reading_ms(lacks);
    let tokens_out = prompt.map_or(0, Prompt::likely_output_tokens);
    let generating_ms = engine.generating_ms(now, to_read, tokens_out);
    let late = (expected_ms + generating_ms) / wanted.left_ms.max(1.0);
    let score = engine.first_token_ms(now, lacks)
        + REREAD_WEIGHT * lacks_shared
        + pressure
        + GENERATING_WEIGHT * generating_ms
        + LATE_END_MS * (late - LATE_END_FROM).max(0.0);
    let server = server.key;
    let choice =
        Choice { server, expected_ms, backlog_ms, to_read, fetch, candidates: 0, heard_ms: 0.0 };
    let is_free = is_free(engine, expected_ms, wanted);
    let again = donor.map_or(0, |it| it.tokens);
    let again_ms = f64::from(again) / engine.tokens_per_ms();
    Some(Candidate { choice, score, again_ms, is_free })
}

/// Whether nobody gains by a refusal: nothing shows how fast the engine is, or it has
/// nothing to do and the answer still comes before its caller has left.
fn is_free(engine: &Engine, expected_ms: f64, wanted: Wanted<'_>) -> bool {
    let may_be_in_time = expected_ms <= wanted.allowed_ms * GUESS_DOUBT;
    engine.is_untried() && may_be_in_time || engine.is_idle() && expected_ms <= wanted.left_ms
}

/// How much of what is read anew in the engine will have to be read again later, because
/// it pushes out parts that were used not long ago: from 0 to 1.
fn pressure(now: Timestamp, engine: &Engine) -> f64 {
    let age_ms = engine.cache.yielding_age_ms(now);
    age_ms.map_or(0.0, |it| PRESSURE_WEIGHT * (-it / REUSED_WITHIN_MS).exp())
}

/// What `donor` keeps beyond the engine, where the engine would better fetch than read it.
fn fetch(now: Timestamp, engine: &Engine, donor: Option<Donor>) -> Option<Fetch> {
    let Donor { server: from, tokens, transfers_ms } = donor?;
    let waits_ms = transfers_ms.max(engine.transfers_ms(now));
    let takes_ms = waits_ms + engine.fetching_ms(tokens)?;
    let is_cheaper = takes_ms < engine.reading_ms(tokens);
    (tokens >= FETCH_TOKENS_MIN && is_cheaper).then_some(Fetch { from, tokens, takes_ms })
}

fn plain_candidate(now: Timestamp, server: &Server, plain: &PlainServer) -> Candidate {
    let slots = f64::from(server.record.slots.max(1));
    let crowding = 1.0 + CROWDING * plain.running() as f64 / slots;
    let answer_ms = plain.response_ms().max(ANSWER_MIN_MS);
    let over = (plain.running() as f64 + 1.0 - slots).max(0.0) / slots;
    let expected_ms = answer_ms * (1.0 + over);
    let choice = Choice {
        server: server.key,
        expected_ms,
        backlog_ms: answer_ms * over,
        to_read: 0,
        fetch: None,
        candidates: 0,
        heard_ms: 0.0,
    };
    let rested_ms = now.millis_since(plain.last_sent_at());
    let turn = TURN_MS * (rested_ms / RESTED_MS).min(1.0);
    Candidate { choice, score: answer_ms * crowding - turn, again_ms: 0.0, is_free: false }
}
