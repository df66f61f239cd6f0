//! A modelled engine: it reads prompts one after the other, keeps what it read for as long
//! as it has room, and runs streams beside that.

use std::collections::{HashMap, VecDeque};

use sl_base::{Millis, Timestamp};
use sl_route::Prompt;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) instance: usize,
    pub(super) request: u64,
    pub(super) prompt: Prompt,
}

/// A modelled engine.
#[derive(Debug)]
pub(super) struct Engine {
    tokens_per_ms: f64,
    waiting: VecDeque<Job>,
    reading: Option<Job>,
    running: usize,
    kept: HashMap<u64, Kept>,
    kept_tokens: u64,
    clock: u64,
    /// Rises with each loss, so that what was planned before it does not happen.
    pub(super) life: u64,
    pub(super) is_lost: bool,
    pub(super) read_again: u64,
    pub(super) busy_ms: f64,
}

#[derive(Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// Requests that an engine holds.
pub(super) const SLOTS: u32 = 64;

/// Tokens that an engine's memory holds.
pub(super) const MEMORY_TOKENS: u32 = 520_000;

/// Tokens in one event of a stream.
pub(super) const EVENT_TOKENS: u32 = 7;

/// The part of the memory that keeps parts beside what running requests need.
const KEPT_PART: f64 = 0.8;

/// What each request costs beside its tokens, in milliseconds.
const REQUEST_MS: f64 = 2.0;

/// Milliseconds between two events, with nothing else to do and for each running stream.
const EVENT_MS: f64 = 18.0;
const EVENT_MS_EACH: f64 = 0.6;

impl Engine {
    pub(super) fn new(tokens_per_ms: f64) -> Engine {
        Engine {
            tokens_per_ms,
            waiting: VecDeque::new(),
            reading: None,
            running: 0,
            kept: HashMap::new(),
            kept_tokens: 0,
            clock: 0,
            life: 0,
            is_lost: false,
            read_again: 0,
            busy_ms: 0.0,
        }
    }

    pub(super) fn has_slot(&self) -> bool {
        let held = self.waiting.len() + self.running + usize::from(self.reading.is_some());
        held < SLOTS as usize
    }

    /// Takes a request; says when its prompt will have been read, if that begins now.
    pub(super) fn take(&mut self, now: Timestamp, job: Job, seen: &Seen) -> Option<Timestamp> {
        self.waiting.push_back(job);
        self.read_next(now, seen)
    }

    /// Begins to read the next prompt, if none is being read; says when it will be done.
    pub(super) fn read_next(&mut self, now: Timestamp, seen: &Seen) -> Option<Timestamp> {
        if self.reading.is_some() {
            return None;
        }
        let job = self.waiting.pop_front()?;
        let lacks = self.keep(&job.prompt, seen);
        let millis = f64::from(lacks) / self.tokens_per_ms + REQUEST_MS;
        self.busy_ms += millis;
        self.reading = Some(job);
        Some(now.after(Millis(millis.ceil() as u64)))
    }

    /// The prompt that is being read has been read; says how long its stream will take.
    pub(super) fn begun(&mut self) -> Option<(Job, Millis)> {
        let job = self.reading.take()?;
        self.running += 1;
        let events = f64::from(job.prompt.max_output_tokens / EVENT_TOKENS);
        let millis = events * (EVENT_MS + EVENT_MS_EACH * self.running as f64);
        Some((job, Millis(millis as u64)))
    }

    pub(super) fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Forgets a request that has not begun to be read.
    pub(super) fn drop_waiting(&mut self, instance: usize, request: u64) {
        self.waiting.retain(|it| (it.instance, it.request) != (instance, request));
    }

    /// Loses everything; gives what was not begun.
    pub(super) fn lose(&mut self) -> Vec<Job> {
        let fresh =
            Engine { life: self.life + 1, is_lost: true, ..Engine::new(self.tokens_per_ms) };
        let old = std::mem::replace(self, fresh);
        (self.read_again, self.busy_ms) = (old.read_again, old.busy_ms);
        old.reading.into_iter().chain(old.waiting).collect()
    }

    /// Keeps the parts of a prompt; says how many tokens had to be read.
    fn keep(&mut self, prompt: &Prompt, seen: &Seen) -> u32 {
        self.clock += 1;
        let hit: u32 = prompt
            .parts
            .iter()
            .map_while(|it| self.kept.get(&it.key).map(|kept| kept.tokens))
            .sum();
        let lacks = prompt.input_tokens.saturating_sub(hit);
        let shared = prompt.shared_parts();
        let again = shared.iter().filter(|it| !self.kept.contains_key(&it.key));
        let again = again.filter(|it| seen.0.contains(&it.key));
        self.read_again += again.map(|it| u64::from(it.tokens)).sum::<u64>();
        for part in &prompt.parts {
            let kept = Kept { tokens: part.tokens, used: self.clock };
            if self.kept.insert(part.key, kept).is_none() {
                self.kept_tokens += u64::from(part.tokens);
            }
        }
        self.make_room();
        lacks
    }

    fn make_room(&mut self) {
        let room = (f64::from(MEMORY_TOKENS) * KEPT_PART) as u64;
        while self.kept_tokens > room {
            let oldest = self.kept.iter().min_by_key(|(key, it)| (it.used, **key));
            let Some(oldest) = oldest.map(|(key, _)| *key) else {
                return;
            };
            if let Some(kept) = self.kept.remove(&oldest) {
                self.kept_tokens -= u64::from(kept.tokens);
            }
        }
    }
}

/// The shared parts that any engine has read.
#[derive(Debug, Default)]
pub(super) struct Seen(pub(super) std::collections::HashSet<u64>);
