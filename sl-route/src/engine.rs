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
    speed: Speed,
    /// When everything that was sent will have been read.
    read_by: Timestamp,
    queue: VecDeque<Reading>,
    /// Microseconds by which expectations have moved since the start.
    shift: i64,
    last_begun: Timestamp,
    running: Vec<AttemptKey>,
    slots: usize,
    fetch_ms_per_token: Option<f64>,
    /// When the transfers from and to it will have ended; they go one after the other.
    transfers_end: Timestamp,
    event_tokens: f64,
    load: Load,
    /// Milliseconds between two events of a stream while nothing is read.
    event_ms: f64,
}

/// The part of its time in which an engine reads, over the last seconds.
#[derive(Clone, Copy, Debug)]
struct Load {
    millis: f64,
    at: Timestamp,
}

/// A request that was sent and of which no token came yet.
#[derive(Clone, Copy, Debug)]
struct Reading {
    origin: AttemptKey,
    tokens: u32,
    sent_at: Timestamp,
    expected_at: Timestamp,
    shift: i64,
}

/// A guess at the reading speed of an engine that has read nothing yet.
#[derive(Clone, Copy, Debug)]
pub struct Guess {
    /// Tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Tokens of experience that the guess counts for.
    pub weight: f64,
    /// How many times faster the engine may turn out at once.
    pub faster_max: f64,
}

/// Reading speed, learnt from the time between first tokens.
#[derive(Clone, Copy, Debug)]
struct Speed {
    tokens: f64,
    millis: f64,
    faster_max: f64,
    is_assumed: bool,
}

/// A first token takes this long beyond the reading: the way there and back, and a step.
const FIRST_TOKEN: Millis = Millis(25);

/// What each request costs an engine besides its tokens, in milliseconds.
const REQUEST_MILLIS: f64 = 2.0;

/// What each fetch from another engine takes besides its tokens, in milliseconds.
const FETCH_MILLIS: f64 = 8.0;

/// Milliseconds between two events that are assumed of an engine of which nothing is known.
const EVENT_MILLIS: f64 = 40.0;

/// Bounds on what is learnt of the time between two events, in milliseconds.
const EVENT_MILLIS_MIN: f64 = 1.0;
const EVENT_MILLIS_MAX: f64 = 1_000.0;

/// How much one stream weighs in the time between events.
const PACE_WEIGHT: f64 = 0.05;

/// The time over which an engine's load is counted, in milliseconds.
const LOAD_MILLIS: f64 = 2_500.0;

/// No engine is believed to read more than this part of its time.
const LOAD_MAX: f64 = 0.95;

/// The load at which streams would stand still: a little above 1, since a token is
/// generated with each chunk that is read.
const STANDSTILL: f64 = 1.05;

/// How much of an observed error of an expectation is taken over.
const CORRECTION: f64 = 0.8;

/// A request that is overdue by this long never began, or its notice was lost.
const FORGOTTEN: Millis = Millis(2_500);

/// Requests whose prompts are shorter than this, in tokens, say little about the speed.
const TELLING_TOKENS: u32 = 800;

/// What is left of older experience after each observation.
const SPEED_DECAY: f64 = 0.97;

/// The part of an engine's memory that keeps parts beside what running requests generate.
const CACHE_SHARE: f64 = 0.85;

/// Micros in a millisecond.
const MICROS: f64 = 1_000.0;

impl Speed {
    fn assumed(guess: Guess) -> Speed {
        let millis = guess.weight / guess.tokens_per_ms.max(1.0);
        let Guess { weight, faster_max, .. } = guess;
        Speed { tokens: weight, millis, faster_max, is_assumed: true }
    }

    fn tokens_per_ms(self) -> f64 {
        self.tokens / self.millis
    }

    fn observe(&mut self, tokens: u32, millis: f64) {
        let fastest = f64::from(tokens) / (self.tokens_per_ms() * self.faster_max);
        let millis = millis.max(fastest);
        self.faster_max = FASTER_MAX;
        self.is_assumed = false;
        self.tokens = self.tokens * SPEED_DECAY + f64::from(tokens);
        self.millis = self.millis * SPEED_DECAY + millis;
    }
}

impl Load {
    fn share(self, now: Timestamp) -> f64 {
        let passed = now.millis_since(self.at);
        self.millis * (-passed / LOAD_MILLIS).exp() / LOAD_MILLIS
    }

    fn add(&mut self, now: Timestamp, millis: f64) {
        self.millis = self.share(now) * LOAD_MILLIS + millis;
        self.at = self.at.max(now);
    }
}

impl Engine {
    /// An idle engine of which nothing is known but its memory and slots, and a guess at
    /// its speed.
    pub fn new(now: Timestamp, limits: EngineLimits, guess: Guess) -> Engine {
        let cached = f64::from(limits.kv_capacity_tokens) * CACHE_SHARE;
        Engine {
            cache: Cache::new(cached as u64),
            speed: Speed::assumed(guess),
            read_by: now,
            queue: VecDeque::new(),
            shift: 0,
            last_begun: now,
            running: Vec::new(),
            slots: limits.slots as usize,
            fetch_ms_per_token: limits.fetch_ms_per_token,
            transfers_end: now,
            event_tokens: limits.tokens_per_event,
            load: Load { millis: 0.0, at: now },
            event_ms: EVENT_MILLIS,
        }
    }

    /// Takes another guess at its speed, where nothing is known of it yet.
    pub fn assume(&mut self, guess: Guess) {
        if self.speed.is_assumed {
            self.speed = Speed::assumed(guess);
        }
    }

    /// Tokens of `prompt` that the engine would have to read.
    pub fn to_read(&self, prompt: &Prompt) -> u32 {
        prompt.input_tokens.saturating_sub(self.cache.kept(prompt))
    }

    /// Tokens that it reads in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.speed.tokens_per_ms()
    }

    /// Requests that were sent and have not begun.
    pub fn waiting(&self) -> usize {
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
    pub fn is_untried(&self) -> bool {
        self.speed.is_assumed && self.queue.is_empty()
    }

    /// Whether its speed follows from what it read.
    pub fn is_measured(&self) -> bool {
        !self.speed.is_assumed
    }

    /// Whether one more request would find a slot.
    pub fn has_slot(&self) -> bool {
        self.queue.len() + self.running.len() < self.slots
    }

    /// Milliseconds until everything that was sent will have been read. A request that is
    /// overdue delays all behind it.
    pub fn backlog_ms(&self, now: Timestamp) -> f64 {
        let ahead = self.read_by.micros_since(now) as f64;
        let overdue = self.queue.front().map_or(0, |it| now.micros_since(self.expected(it)));
        (ahead + overdue as f64) / MICROS
    }

    /// Milliseconds from now to the first token of a request that has `tokens` to be read.
    pub fn first_token_ms(&self, now: Timestamp, tokens: u32) -> f64 {
        self.backlog_ms(now) + self.reading_ms(tokens) + FIRST_TOKEN.0 as f64
    }

    /// Milliseconds in which `tokens` are fetched from another engine; none where that
    /// cannot be done.
    pub fn fetching_ms(&self, tokens: u32) -> Option<f64> {
        Some(FETCH_MILLIS + f64::from(tokens) * self.fetch_ms_per_token?)
    }

    /// Milliseconds until the transfers from and to it have ended.
    pub fn transfers_ms(&self, now: Timestamp) -> f64 {
        self.transfers_end.micros_since(now) as f64 / MICROS
    }

    /// Notes that one more transfer goes from or to it, and ends in `millis`.
    pub fn transfers(&mut self, now: Timestamp, millis: f64) {
        self.transfers_end = self.transfers_end.max(moved(now, millis * MICROS));
    }

    /// Milliseconds that reading `tokens` takes.
    pub fn reading_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ms() + REQUEST_MILLIS
    }

    /// Milliseconds from the first token to the end of an answer of `tokens_out`, once
    /// `tokens_in` more are read. Streams stand still while a prompt is read.
    pub fn generating_ms(&self, now: Timestamp, tokens_in: u32, tokens_out: u32) -> f64 {
        let load = self.load.share(now) + self.reading_ms(tokens_in) / LOAD_MILLIS;
        let events = f64::from(tokens_out) / self.event_tokens;
        events * self.event_ms / (STANDSTILL - load.min(LOAD_MAX))
    }

    /// Notes how far apart the events of a whole stream were, in milliseconds.
    pub fn paced(&mut self, now: Timestamp, millis: f64) {
        let idle = STANDSTILL - self.load.share(now).min(LOAD_MAX);
        let event_ms = (millis * idle).clamp(EVENT_MILLIS_MIN, EVENT_MILLIS_MAX);
        self.event_ms += (event_ms - self.event_ms) * PACE_WEIGHT;
    }

    /// Notes that a request was sent here.
    pub fn sent(&mut self, now: Timestamp, origin: AttemptKey, tokens: u32) {
        self.load.add(now, self.reading_ms(tokens));
        self.read_by = moved(self.read_by.max(now), self.reading_ms(tokens) * MICROS);
        let expected_at = self.read_by.after(FIRST_TOKEN);
        let shift = self.shift;
        self.queue.push_back(Reading { origin, tokens, sent_at: now, expected_at, shift });
    }

    /// Notes that the first token of a request came.
    pub fn begun(&mut self, now: Timestamp, origin: AttemptKey) {
        let Some(at) = self.queue.iter().position(|it| it.origin == origin) else {
            return;
        };
        let Some(reading) = self.queue.remove(at) else {
            return;
        };
        // What was sent before it has been read, so that only the rest is left.
        let left: f64 = self.queue.iter().map(|it| self.reading_ms(it.tokens) * MICROS).sum();
        let read_by = moved(now, left);
        let late = read_by.as_micros() as f64 - self.read_by.max(now).as_micros() as f64;
        self.read_by = self.read_by.max(now);
        self.move_by(late * CORRECTION);
        if reading.tokens >= TELLING_TOKENS {
            let from = self.last_begun.max(reading.sent_at);
            self.speed.observe(reading.tokens, now.millis_since(from));
        }
        self.last_begun = now;
        self.running.push(origin);
    }

    /// Notes that a request ended, whether it had begun or not.
    pub fn ended(&mut self, now: Timestamp, origin: AttemptKey) {
        if let Some(at) = self.running.iter().position(|it| *it == origin) {
            self.running.swap_remove(at);
            return;
        }
        if let Some(at) = self.queue.iter().position(|it| it.origin == origin)
            && let Some(reading) = self.queue.remove(at)
        {
            self.take_back(now, reading.tokens);
        }
    }

    /// Drops requests of which nothing was heard for long, and those of instances for which
    /// `is_gone` holds.
    pub fn prune(&mut self, now: Timestamp, is_gone: impl Fn(u32) -> bool) {
        self.running.retain(|it| !is_gone(it.instance));
        let mut dropped = 0;
        let shift = self.shift;
        self.queue.retain(|it| {
            let expected = moved(it.expected_at, (shift - it.shift) as f64);
            let keep = !is_gone(it.origin.instance) && !expected.after(FORGOTTEN).is_due(now);
            dropped += if keep { 0 } else { it.tokens };
            keep
        });
        if dropped > 0 {
            self.take_back(now, dropped);
        }
    }

    fn take_back(&mut self, now: Timestamp, tokens: u32) {
        self.move_by(-self.reading_ms(tokens) * MICROS);
        self.read_by = self.read_by.max(now);
    }

    fn expected(&self, reading: &Reading) -> Timestamp {
        moved(reading.expected_at, (self.shift - reading.shift) as f64)
    }

    fn move_by(&mut self, micros: f64) {
        self.shift += micros as i64;
        self.read_by = moved(self.read_by, micros);
    }
}

/// An engine is not believed to read this many times faster than before at once: several
/// prompts may have been read together.
pub const FASTER_MAX: f64 = 3.0;

fn moved(at: Timestamp, micros: f64) -> Timestamp {
    Timestamp::from_micros(at.as_micros().saturating_add_signed(micros as i64))
}
