//! A model engine as it is believed to be: what was sent to it and has not begun, how fast
//! it reads, and which parts of prompts it keeps.
//!
//! Engines admit requests as they arrive and read prompts one after the other, so the time
//! to a first token follows from the work before it. What an engine reports of itself is
//! some hundred milliseconds old; the sends of all instances are known within a few.

use std::collections::VecDeque;

use sl_base::{Millis, Timestamp};

use crate::{Prompt, cache::Cache, document::EngineLimits, note::AttemptKey};

/// The model of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The parts that it keeps.
    pub cache: Cache,
    speed: SpeedEstimate,
    /// When everything that was sent will have been read.
    prefill_done_at: Timestamp,
    queue: VecDeque<QueuedRequest>,
    /// Microseconds by which expectations have moved since the start.
    shift_micros: i64,
    last_first_token_at: Timestamp,
    running: Vec<AttemptKey>,
    slots: usize,
    fetch_ms_per_token: Option<f64>,
    /// When the transfers from and to it will have ended; they go one after the other.
    transfers_done_at: Timestamp,
    event_tokens: f64,
    load: PrefillLoad,
    /// Milliseconds between two events of a stream while nothing is read.
    event_interval_ms: f64,
}

/// The part of its time in which an engine reads, over the last seconds.
#[derive(Clone, Copy, Debug)]
struct PrefillLoad {
    millis: f64,
    at: Timestamp,
}

/// A request that was sent and of which no token came yet.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    origin: AttemptKey,
    tokens: u32,
    sent_at: Timestamp,
    expected_at: Timestamp,
    shift_micros: i64,
}

/// A guess at the reading speed of an engine that has read nothing yet.
#[derive(Clone, Copy, Debug)]
pub struct SpeedPrior {
    /// Tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Tokens of experience that the guess counts for.
    pub weight_tokens: f64,
    /// How many times faster the engine may turn out at once.
    pub speedup_max: f64,
}

/// Reading speed, learnt from the time between first tokens.
#[derive(Clone, Copy, Debug)]
struct SpeedEstimate {
    tokens: f64,
    millis: f64,
    speedup_max: f64,
    is_prior: bool,
}

/// A first token takes this long beyond the reading: the way there and back, and a step.
const FIRST_TOKEN_OVERHEAD: Millis = Millis(25);

/// What each request costs an engine besides its tokens, in milliseconds.
const REQUEST_OVERHEAD_MS: f64 = 2.0;

/// What each fetch from another engine takes besides its tokens, in milliseconds.
const FETCH_OVERHEAD_MS: f64 = 8.0;

/// Milliseconds between two events that are assumed of an engine of which nothing is known.
const EVENT_INTERVAL_DEFAULT_MS: f64 = 40.0;

/// Bounds on what is learnt of the time between two events, in milliseconds.
const EVENT_INTERVAL_MIN_MS: f64 = 1.0;
const EVENT_INTERVAL_MAX_MS: f64 = 1_000.0;

/// How much one stream weighs in the time between events.
const EVENT_INTERVAL_WEIGHT: f64 = 0.05;

/// The time over which an engine's load is counted, in milliseconds.
const LOAD_WINDOW_MS: f64 = 2_500.0;

/// No engine is believed to read more than this part of its time.
const LOAD_FRACTION_MAX: f64 = 0.95;

/// The load at which streams would stand still: a little above 1, since a token is
/// generated with each chunk that is read.
const DECODE_STALL_LOAD: f64 = 1.05;

/// How much of an observed error of an expectation is taken over.
const CORRECTION_GAIN: f64 = 0.8;

/// A request that is overdue by this long never began, or its notice was lost.
const OVERDUE_TIMEOUT: Millis = Millis(2_500);

/// Requests whose prompts are shorter than this, in tokens, say little about the speed.
const SPEED_SAMPLE_TOKENS_MIN: u32 = 800;

/// What is left of older experience after each observation.
const SPEED_DECAY: f64 = 0.97;

/// The part of an engine's memory that keeps parts beside what running requests generate.
const CACHE_FRACTION: f64 = 0.85;

/// Micros in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

impl SpeedEstimate {
    fn from_prior(prior: SpeedPrior) -> SpeedEstimate {
        let millis = prior.weight_tokens / prior.tokens_per_ms.max(1.0);
        let SpeedPrior { weight_tokens, speedup_max, .. } = prior;
        SpeedEstimate { tokens: weight_tokens, millis, speedup_max, is_prior: true }
    }

    fn tokens_per_ms(self) -> f64 {
        self.tokens / self.millis
    }

    fn observe(&mut self, tokens: u32, millis: f64) {
        let min_ms = f64::from(tokens) / (self.tokens_per_ms() * self.speedup_max);
        let millis = millis.max(min_ms);
        self.speedup_max = SPEEDUP_MAX;
        self.is_prior = false;
        self.tokens = self.tokens * SPEED_DECAY + f64::from(tokens);
        self.millis = self.millis * SPEED_DECAY + millis;
    }
}

impl PrefillLoad {
    fn fraction(self, now: Timestamp) -> f64 {
        let passed = now.millis_since(self.at);
        self.millis * (-passed / LOAD_WINDOW_MS).exp() / LOAD_WINDOW_MS
    }

    fn add(&mut self, now: Timestamp, millis: f64) {
        self.millis = self.fraction(now) * LOAD_WINDOW_MS + millis;
        self.at = self.at.max(now);
    }
}

impl Engine {
    /// An idle engine of which nothing is known but its memory and slots, and a guess at
    /// its speed.
    pub fn new(now: Timestamp, limits: EngineLimits, prior: SpeedPrior) -> Engine {
        let cache_tokens = f64::from(limits.kv_capacity_tokens) * CACHE_FRACTION;
        Engine {
            cache: Cache::new(cache_tokens as u64),
            speed: SpeedEstimate::from_prior(prior),
            prefill_done_at: now,
            queue: VecDeque::new(),
            shift_micros: 0,
            last_first_token_at: now,
            running: Vec::new(),
            slots: limits.slots as usize,
            fetch_ms_per_token: limits.fetch_ms_per_token,
            transfers_done_at: now,
            event_tokens: limits.tokens_per_event,
            load: PrefillLoad { millis: 0.0, at: now },
            event_interval_ms: EVENT_INTERVAL_DEFAULT_MS,
        }
    }

    /// Takes another guess at its speed, where nothing is known of it yet.
    pub fn set_speed_prior(&mut self, prior: SpeedPrior) {
        if self.speed.is_prior {
            self.speed = SpeedEstimate::from_prior(prior);
        }
    }

    /// Tokens of `prompt` that the engine would have to read.
    pub fn uncached_tokens(&self, prompt: &Prompt) -> u32 {
        prompt.input_tokens.saturating_sub(self.cache.cached_prefix_tokens(prompt))
    }

    /// Tokens that it reads in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.speed.tokens_per_ms()
    }

    /// Requests that were sent and have not begun.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Requests that have begun and not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether nothing was sent to it that has not ended.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Whether nothing has shown how fast it reads, and nothing that waits there will soon.
    pub fn needs_speed_sample(&self) -> bool {
        self.speed.is_prior && self.queue.is_empty()
    }

    /// Whether its speed follows from what it read.
    pub fn has_measured_speed(&self) -> bool {
        !self.speed.is_prior
    }

    /// Whether one more request would find a slot.
    pub fn has_free_slot(&self) -> bool {
        self.queue.len() + self.running.len() < self.slots
    }

    /// Milliseconds until everything that was sent will have been read. A request that is
    /// overdue delays all behind it.
    pub fn backlog_ms(&self, now: Timestamp) -> f64 {
        let ahead = self.prefill_done_at.micros_since(now) as f64;
        let overdue =
            self.queue.front().map_or(0, |it| now.micros_since(self.current_expected_at(it)));
        (ahead + overdue as f64) / MICROS_PER_MILLI
    }

    /// Milliseconds from now to the first token of a request that has `tokens` to be read.
    pub fn first_token_ms(&self, now: Timestamp, tokens: u32) -> f64 {
        self.backlog_ms(now) + self.prefill_ms(tokens) + FIRST_TOKEN_OVERHEAD.0 as f64
    }

    /// Milliseconds in which `tokens` are fetched from another engine; none where that
    /// cannot be done.
    pub fn fetch_ms(&self, tokens: u32) -> Option<f64> {
        Some(FETCH_OVERHEAD_MS + f64::from(tokens) * self.fetch_ms_per_token?)
    }

    /// Milliseconds until the transfers from and to it have ended.
    pub fn transfer_backlog_ms(&self, now: Timestamp) -> f64 {
        self.transfers_done_at.micros_since(now) as f64 / MICROS_PER_MILLI
    }

    /// Notes that one more transfer goes from or to it, and ends in `millis`.
    pub fn record_transfer(&mut self, now: Timestamp, millis: f64) {
        self.transfers_done_at =
            self.transfers_done_at.max(offset_by_micros(now, millis * MICROS_PER_MILLI));
    }

    /// Milliseconds that reading `tokens` takes.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ms() + REQUEST_OVERHEAD_MS
    }

    /// Milliseconds from the first token to the end of an answer of `tokens_out`, once
    /// `tokens_in` more are read. Streams stand still while a prompt is read.
    pub fn decode_ms(&self, now: Timestamp, tokens_in: u32, tokens_out: u32) -> f64 {
        let load = self.load.fraction(now) + self.prefill_ms(tokens_in) / LOAD_WINDOW_MS;
        let events = f64::from(tokens_out) / self.event_tokens;
        events * self.event_interval_ms / (DECODE_STALL_LOAD - load.min(LOAD_FRACTION_MAX))
    }

    /// Notes how far apart the events of a whole stream were, in milliseconds.
    pub fn record_event_interval(&mut self, now: Timestamp, millis: f64) {
        let idle = DECODE_STALL_LOAD - self.load.fraction(now).min(LOAD_FRACTION_MAX);
        let event_interval_ms = (millis * idle).clamp(EVENT_INTERVAL_MIN_MS, EVENT_INTERVAL_MAX_MS);
        self.event_interval_ms +=
            (event_interval_ms - self.event_interval_ms) * EVENT_INTERVAL_WEIGHT;
    }

    /// Notes that a request was sent here.
    pub fn record_sent(&mut self, now: Timestamp, origin: AttemptKey, tokens: u32) {
        self.load.add(now, self.prefill_ms(tokens));
        self.prefill_done_at = offset_by_micros(
            self.prefill_done_at.max(now),
            self.prefill_ms(tokens) * MICROS_PER_MILLI,
        );
        let expected_at = self.prefill_done_at.after(FIRST_TOKEN_OVERHEAD);
        let shift_micros = self.shift_micros;
        self.queue.push_back(QueuedRequest {
            origin,
            tokens,
            sent_at: now,
            expected_at,
            shift_micros,
        });
    }

    /// Notes that the first token of a request came.
    pub fn record_first_token(&mut self, now: Timestamp, origin: AttemptKey) {
        let Some(at) = self.queue.iter().position(|it| it.origin == origin) else {
            return;
        };
        let Some(request) = self.queue.remove(at) else {
            return;
        };
        // What was sent before it has been read, so that only the rest is left.
        let left: f64 =
            self.queue.iter().map(|it| self.prefill_ms(it.tokens) * MICROS_PER_MILLI).sum();
        let prefill_done_at = offset_by_micros(now, left);
        let late =
            prefill_done_at.as_micros() as f64 - self.prefill_done_at.max(now).as_micros() as f64;
        self.prefill_done_at = self.prefill_done_at.max(now);
        self.shift_estimates(late * CORRECTION_GAIN);
        if request.tokens >= SPEED_SAMPLE_TOKENS_MIN {
            let from = self.last_first_token_at.max(request.sent_at);
            self.speed.observe(request.tokens, now.millis_since(from));
        }
        self.last_first_token_at = now;
        self.running.push(origin);
    }

    /// Notes that a request ended, whether it had begun or not.
    pub fn record_end(&mut self, now: Timestamp, origin: AttemptKey) {
        if let Some(at) = self.running.iter().position(|it| *it == origin) {
            self.running.swap_remove(at);
            return;
        }
        if let Some(at) = self.queue.iter().position(|it| it.origin == origin)
            && let Some(request) = self.queue.remove(at)
        {
            self.remove_work(now, request.tokens);
        }
    }

    /// Drops requests of which nothing was heard for long, and those of instances for which
    /// `is_gone` holds.
    pub fn prune(&mut self, now: Timestamp, is_gone: impl Fn(u32) -> bool) {
        self.running.retain(|it| !is_gone(it.instance));
        let mut dropped = 0;
        let shift_micros = self.shift_micros;
        self.queue.retain(|it| {
            let expected =
                offset_by_micros(it.expected_at, (shift_micros - it.shift_micros) as f64);
            let keep = !is_gone(it.origin.instance) && !expected.after(OVERDUE_TIMEOUT).is_due(now);
            dropped += if keep { 0 } else { it.tokens };
            keep
        });
        if dropped > 0 {
            self.remove_work(now, dropped);
        }
    }

    fn remove_work(&mut self, now: Timestamp, tokens: u32) {
        self.shift_estimates(-self.prefill_ms(tokens) * MICROS_PER_MILLI);
        self.prefill_done_at = self.prefill_done_at.max(now);
    }

    fn current_expected_at(&self, request: &QueuedRequest) -> Timestamp {
        offset_by_micros(request.expected_at, (self.shift_micros - request.shift_micros) as f64)
    }

    fn shift_estimates(&mut self, micros: f64) {
        self.shift_micros += micros as i64;
        self.prefill_done_at = offset_by_micros(self.prefill_done_at, micros);
    }
}

/// An engine is not believed to read this many times faster than before at once: several
/// prompts may have been read together.
pub const SPEEDUP_MAX: f64 = 3.0;

fn offset_by_micros(at: Timestamp, micros: f64) -> Timestamp {
    Timestamp::from_micros(at.as_micros().saturating_add_signed(micros as i64))
}
