//! Which server a request goes to, and whether it would be answered in time.

use sl_base::Timestamp;

use crate::{
    Prompt, ServerKey, ServerState,
    engine::Engine,
    server::{PlainServer, Server, ServerKind},
};

/// What a request asks of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The prompt of a model request.
    pub prompt: Option<&'a Prompt>,
    /// Servers that are not to be tried again.
    pub tried: &'a [ServerKey],
    /// Milliseconds that the first byte may take.
    pub allowed_ms: f64,
    /// Milliseconds that are left for the whole answer.
    pub remaining_ms: f64,
    /// The data centre that the request is in.
    pub data_centre: &'a str,
}

/// A server and what is expected of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: ServerKey,
    /// Expected milliseconds to the first byte.
    pub expected_ms: f64,
    /// Milliseconds of work before it.
    pub backlog_ms: f64,
    /// Prompt tokens that it would have to read.
    pub prefill_tokens: u32,
    /// What it would fetch from another engine.
    pub fetch: Option<Fetch>,
    /// Servers that were looked at.
    pub candidates: usize,
    /// Milliseconds since anything was learnt of the server's work.
    pub info_age_ms: f64,
}

/// Parts of a prompt that an engine fetches from another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fetch {
    /// The engine that keeps them.
    pub from: ServerKey,
    /// Their length in tokens.
    pub tokens: u32,
    /// Milliseconds until they are there, behind the transfers that are under way.
    pub duration_ms: f64,
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementError {
    /// No server may be tried.
    NoServer,
    /// The earliest first byte would come too late.
    TooLate {
        /// Milliseconds to it, with what others would lose by it.
        cost_ms: f64,
    },
    /// All places of all servers are taken.
    NoSlot,
}

/// Reading a shared part again costs those who wait behind it too, so it counts once more.
const SHARED_PREFILL_WEIGHT: f64 = 1.0;

/// Under overload a request is better refused than read at the cost of many others: what
/// would be read again counts this often against the time that is allowed.
const DUPLICATE_PREFILL_WEIGHT: f64 = 4.0;

/// The part of an engine's cache that others would use again.
const EVICTION_WEIGHT: f64 = 10.0;

/// A part that was not used for this long, in milliseconds, is hardly used again.
const REUSE_DECAY_MS: f64 = 15_000.0;

/// Fewer tokens than this are read rather than fetched.
const FETCH_TOKENS_MIN: u32 = 500;

/// The time to the end of an answer counts this much against the time to its first token.
const DECODE_WEIGHT: f64 = 0.1;

/// Answers are often longer than their callers expect: from this part of the time that is
/// left on, an answer may not end in time.
const LATE_END_THRESHOLD: f64 = 0.4;

/// What an answer that would take all of the time that is left adds beyond that, in
/// milliseconds.
const LATE_END_PENALTY_MS: f64 = 1_500.0;

/// What a request to another data centre takes longer, in milliseconds.
const CROSS_DATA_CENTRE_MS: f64 = 2.0;

/// What a server that always failed would add to its expected time, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 600.0;

/// How the time to an answer grows with the share of a plain server's slots in use.
const SLOT_LOAD_FACTOR: f64 = 2.0;

/// Of servers that are as good as each other, the one that has rested longest goes first:
/// it may seem this much faster, in milliseconds.
const IDLE_BONUS_MS: f64 = 2.0;

/// Rest beyond this, in milliseconds, counts no further.
const IDLE_BONUS_FULL_MS: f64 = 5_000.0;

/// A plain answer is not expected faster than this, in milliseconds.
const ANSWER_MIN_MS: f64 = 5.0;

/// An engine that nobody has tried may be this many times faster than it is guessed to be:
/// the configuration may speak of a much smaller fleet.
const UNMEASURED_SPEEDUP_MAX: f64 = 50.0;

/// A server seen as a place for one request.
struct Candidate {
    placement: Placement,
    score: f64,
    /// Milliseconds in which it would read what another engine keeps.
    duplicate_prefill_ms: f64,
    /// Whether an answer that seems late is no reason against it.
    is_exempt: bool,
}

impl Candidate {
    /// Milliseconds to the first byte, with what others lose by it.
    fn cost_ms(&self) -> f64 {
        self.placement.expected_ms + DUPLICATE_PREFILL_WEIGHT * self.duplicate_prefill_ms
    }

    fn is_in_time(&self, required: Requirements<'_>) -> bool {
        self.is_exempt || self.cost_ms() <= required.allowed_ms
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
    required: Requirements<'_>,
) -> Result<Placement, PlacementError> {
    let eligible =
        |it: &&Server| it.record.state == ServerState::Ready && !required.tried.contains(&it.key);
    let servers: Vec<&Server> = servers.filter(eligible).collect();
    if servers.is_empty() {
        return Err(PlacementError::NoServer);
    }
    let healthy: Vec<&Server> =
        servers.iter().copied().filter(|it| !it.health.is_avoided(now)).collect();
    let servers = if healthy.is_empty() { servers } else { healthy };
    let considered = servers.len();
    let donor = find_donor(now, &servers, required.prompt);
    let mut candidates: Vec<Candidate> =
        servers.into_iter().filter_map(|it| evaluate(now, it, required, donor)).collect();
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
    let in_time = candidates.iter().find(|it| it.is_in_time(required));
    match in_time {
        Some(found) => Ok(Placement { candidates: considered, ..found.placement.clone() }),
        None if candidates.is_empty() => Err(PlacementError::NoSlot),
        None => {
            let earliest = candidates.iter().map(Candidate::cost_ms);
            Err(PlacementError::TooLate { cost_ms: earliest.fold(f64::INFINITY, f64::min) })
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
    transfer_backlog_ms: f64,
}

impl Donor {
    /// The same, with what it keeps beyond an engine that lacks `lacks` tokens of `prompt`.
    fn surplus_over(self, prompt: Option<&Prompt>, uncached_tokens: u32) -> Donor {
        let local_tokens = prompt.map_or(0, |it| it.input_tokens.saturating_sub(uncached_tokens));
        Donor { tokens: self.tokens.saturating_sub(local_tokens), ..self }
    }
}

fn find_donor(now: Timestamp, servers: &[&Server], prompt: Option<&Prompt>) -> Option<Donor> {
    let prompt = prompt?;
    let donors = servers.iter().filter_map(|it| {
        let engine = it.kind.engine()?;
        let tokens = engine.cache.cached_prefix_tokens(prompt).min(prompt.input_tokens);
        let transfer_backlog_ms = engine.transfer_backlog_ms(now);
        Some(Donor { server: it.key, tokens, transfer_backlog_ms })
    });
    let by_use = |a: &Donor, b: &Donor| {
        a.tokens.cmp(&b.tokens).then(b.transfer_backlog_ms.total_cmp(&a.transfer_backlog_ms))
    };
    donors.max_by(by_use)
}

fn evaluate(
    now: Timestamp,
    server: &Server,
    required: Requirements<'_>,
    donor: Option<Donor>,
) -> Option<Candidate> {
    let mut candidate = match &server.kind {
        ServerKind::Engine(engine) => evaluate_engine(now, server, engine, required, donor)?,
        ServerKind::Plain(plain) => evaluate_plain(now, server, plain),
    };
    if *server.record.data_centre != *required.data_centre {
        candidate.placement.expected_ms += CROSS_DATA_CENTRE_MS;
        candidate.score += CROSS_DATA_CENTRE_MS;
    }
    candidate.score += server.health.failure_rate(now) * FAILURE_PENALTY_MS;
    candidate.placement.info_age_ms = now.millis_since(server.updated_at);
    Some(candidate)
}

fn evaluate_engine(
    now: Timestamp,
    server: &Server,
    engine: &Engine,
    required: Requirements<'_>,
    donor: Option<Donor>,
) -> Option<Candidate> {
    if !engine.has_free_slot() {
        return None;
    }
    let prompt = required.prompt;
    let uncached_tokens = prompt.map_or(0, |it| engine.uncached_tokens(it));
    let donor = donor.map(|it| it.surplus_over(prompt, uncached_tokens));
    let fetch = plan_fetch(now, engine, donor);
    let prefill_tokens = uncached_tokens - fetch.map_or(0, |it| it.tokens);
    let fetch_ms = fetch.map_or(0.0, |it| it.duration_ms);
    let private_tokens = prompt.and_then(|it| it.parts.last()).map_or(0, |it| it.tokens);
    let shared_prefill_ms =
        f64::from(uncached_tokens.saturating_sub(private_tokens)) / engine.tokens_per_ms();
    let expected_ms = engine.first_token_ms(now, prefill_tokens) + fetch_ms;
    let backlog_ms = engine.backlog_ms(now);
    let eviction_cost_ms = eviction_cost_factor(now, engine) * engine.prefill_ms(uncached_tokens);
    let output_tokens = prompt.map_or(0, Prompt::likely_output_tokens);
    let decode_ms = engine.decode_ms(now, prefill_tokens, output_tokens);
    let time_used = (expected_ms + decode_ms) / required.remaining_ms.max(1.0);
    let score = engine.first_token_ms(now, uncached_tokens)
        + SHARED_PREFILL_WEIGHT * shared_prefill_ms
        + eviction_cost_ms
        + DECODE_WEIGHT * decode_ms
        + LATE_END_PENALTY_MS * (time_used - LATE_END_THRESHOLD).max(0.0);
    let server = server.key;
    let placement = Placement {
        server,
        expected_ms,
        backlog_ms,
        prefill_tokens,
        fetch,
        candidates: 0,
        info_age_ms: 0.0,
    };
    let is_exempt = is_exempt(engine, expected_ms, required);
    let duplicate_tokens = donor.map_or(0, |it| it.tokens);
    let duplicate_prefill_ms = f64::from(duplicate_tokens) / engine.tokens_per_ms();
    Some(Candidate { placement, score, duplicate_prefill_ms, is_exempt })
}

/// Whether nobody gains by a refusal: nothing shows how fast the engine is, or it has
/// nothing to do and the answer still comes before its caller has left.
fn is_exempt(engine: &Engine, expected_ms: f64, required: Requirements<'_>) -> bool {
    let may_be_in_time = expected_ms <= required.allowed_ms * UNMEASURED_SPEEDUP_MAX;
    engine.needs_speed_sample() && may_be_in_time
        || engine.is_idle() && expected_ms <= required.remaining_ms
}

/// How much of what is read anew in the engine will have to be read again later, because
/// it pushes out parts that were used not long ago: from 0 to 1.
fn eviction_cost_factor(now: Timestamp, engine: &Engine) -> f64 {
    let age_ms = engine.cache.eviction_age_ms(now);
    age_ms.map_or(0.0, |it| EVICTION_WEIGHT * (-it / REUSE_DECAY_MS).exp())
}

/// What `donor` keeps beyond the engine, where the engine would better fetch than read it.
fn plan_fetch(now: Timestamp, engine: &Engine, donor: Option<Donor>) -> Option<Fetch> {
    let Donor { server: from, tokens, transfer_backlog_ms } = donor?;
    let queue_ms = transfer_backlog_ms.max(engine.transfer_backlog_ms(now));
    let duration_ms = queue_ms + engine.fetch_ms(tokens)?;
    let is_cheaper = duration_ms < engine.prefill_ms(tokens);
    (tokens >= FETCH_TOKENS_MIN && is_cheaper).then_some(Fetch { from, tokens, duration_ms })
}

fn evaluate_plain(now: Timestamp, server: &Server, plain: &PlainServer) -> Candidate {
    let slots = f64::from(server.record.slots.max(1));
    let load_factor = 1.0 + SLOT_LOAD_FACTOR * plain.running() as f64 / slots;
    let answer_ms = plain.response_ms().max(ANSWER_MIN_MS);
    let overcommit = (plain.running() as f64 + 1.0 - slots).max(0.0) / slots;
    let expected_ms = answer_ms * (1.0 + overcommit);
    let placement = Placement {
        server: server.key,
        expected_ms,
        backlog_ms: answer_ms * overcommit,
        prefill_tokens: 0,
        fetch: None,
        candidates: 0,
        info_age_ms: 0.0,
    };
    let idle_ms = now.millis_since(plain.last_sent_at());
    let idle_bonus = IDLE_BONUS_MS * (idle_ms / IDLE_BONUS_FULL_MS).min(1.0);
    Candidate {
        placement,
        score: answer_ms * load_factor - idle_bonus,
        duplicate_prefill_ms: 0.0,
        is_exempt: false,
    }
}
