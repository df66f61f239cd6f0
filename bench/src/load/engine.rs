//! A modelled engine. It processes prompts one after the other, caches their parts until they
//! are evicted, and generates streams at the same time.

use std::collections::{HashMap, VecDeque};

use sl_base::{Millis, Timestamp};
use sl_route::Prompt;

/// An attempt at an engine.
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
    queue: VecDeque<Job>,
    processing: Option<Job>,
    active_streams: usize,
    /// Cached prompt parts by their keys.
    cache: HashMap<u64, CachedPart>,
    cached_tokens: u64,
    /// Number of prompts processed so far, which serves as a clock for the LRU eviction.
    use_counter: u64,
    /// Incremented at each failure of the engine, so that events scheduled before the failure
    /// are ignored.
    pub(super) generation: u64,
    pub(super) is_down: bool,
    /// Shared tokens that were processed here although some engine had processed them before.
    pub(super) reprocessed_tokens: u64,
    /// Total time in which the engine processed prompts.
    pub(super) processing_ms: f64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    last_used: u64,
}

/// Maximum number of requests in flight at an engine.
pub(super) const SLOTS: u32 = 64;

/// Capacity of an engine's KV cache in tokens.
pub(super) const KV_CAPACITY_TOKENS: u32 = 520_000;

/// Number of tokens in one event of a stream.
pub(super) const TOKENS_PER_EVENT: u32 = 7;

/// The share of the KV cache that holds prompt parts for reuse. Running requests need the rest.
const CACHE_SHARE: f64 = 0.8;

/// Processing time of a request in addition to that of its tokens, in milliseconds.
const REQUEST_OVERHEAD_MS: f64 = 2.0;

/// Interval between two events without active streams, and its increase for each active
/// stream, in milliseconds.
const EVENT_INTERVAL_MS: f64 = 18.0;
const EVENT_INTERVAL_MS_PER_STREAM: f64 = 0.6;

impl Engine {
    pub(super) fn new(tokens_per_ms: f64) -> Engine {
        Engine {
            tokens_per_ms,
            queue: VecDeque::new(),
            processing: None,
            active_streams: 0,
            cache: HashMap::new(),
            cached_tokens: 0,
            use_counter: 0,
            generation: 0,
            is_down: false,
            reprocessed_tokens: 0,
            processing_ms: 0.0,
        }
    }

    pub(super) fn has_slot(&self) -> bool {
        let in_flight =
            self.queue.len() + self.active_streams + usize::from(self.processing.is_some());
        in_flight < SLOTS as usize
    }

    /// Adds a request to the queue. If its processing starts now, returns when the prompt will
    /// have been processed.
    pub(super) fn enqueue(
        &mut self,
        now: Timestamp,
        job: Job,
        processed_parts: &ProcessedParts,
    ) -> Option<Timestamp> {
        self.queue.push_back(job);
        self.process_next(now, processed_parts)
    }

    /// Starts to process the next prompt if no other is being processed, and returns when it
    /// will have been processed.
    pub(super) fn process_next(
        &mut self,
        now: Timestamp,
        processed_parts: &ProcessedParts,
    ) -> Option<Timestamp> {
        if self.processing.is_some() {
            return None;
        }
        let job = self.queue.pop_front()?;
        let uncached_tokens = self.cache_prompt(&job.prompt, processed_parts);
        let millis = f64::from(uncached_tokens) / self.tokens_per_ms + REQUEST_OVERHEAD_MS;
        self.processing_ms += millis;
        self.processing = Some(job);
        Some(now.after(Millis(millis.ceil() as u64)))
    }

    /// Completes the processing of the current prompt and starts its stream. Returns the request
    /// and the duration of the stream.
    pub(super) fn finish_prompt(&mut self) -> Option<(Job, Millis)> {
        let job = self.processing.take()?;
        self.active_streams += 1;
        let events = f64::from(job.prompt.max_output_tokens / TOKENS_PER_EVENT);
        let millis = events
            * (EVENT_INTERVAL_MS + EVENT_INTERVAL_MS_PER_STREAM * self.active_streams as f64);
        Some((job, Millis(millis as u64)))
    }

    pub(super) fn finish_stream(&mut self) {
        self.active_streams = self.active_streams.saturating_sub(1);
    }

    /// Removes a request from the queue, if its processing has not started.
    pub(super) fn cancel_queued(&mut self, instance: usize, request: u64) {
        self.queue.retain(|it| (it.instance, it.request) != (instance, request));
    }

    /// Takes the engine down and discards its cache and requests. Returns the requests whose
    /// streams had not started.
    pub(super) fn fail(&mut self) -> Vec<Job> {
        let restarted = Engine {
            generation: self.generation + 1,
            is_down: true,
            ..Engine::new(self.tokens_per_ms)
        };
        let old = std::mem::replace(self, restarted);
        (self.reprocessed_tokens, self.processing_ms) = (old.reprocessed_tokens, old.processing_ms);
        old.processing.into_iter().chain(old.queue).collect()
    }

    /// Caches the parts of a prompt. Returns the number of tokens that were not cached and have
    /// to be processed.
    fn cache_prompt(&mut self, prompt: &Prompt, processed_parts: &ProcessedParts) -> u32 {
        self.use_counter += 1;
        let hit_tokens: u32 = prompt
            .parts
            .iter()
            .map_while(|it| self.cache.get(&it.key).map(|part| part.tokens))
            .sum();
        let uncached_tokens = prompt.input_tokens.saturating_sub(hit_tokens);
        let shared = prompt.shared_parts();
        let reprocessed = shared.iter().filter(|it| !self.cache.contains_key(&it.key));
        let reprocessed = reprocessed.filter(|it| processed_parts.0.contains(&it.key));
        self.reprocessed_tokens += reprocessed.map(|it| u64::from(it.tokens)).sum::<u64>();
        for part in &prompt.parts {
            let cached = CachedPart { tokens: part.tokens, last_used: self.use_counter };
            if self.cache.insert(part.key, cached).is_none() {
                self.cached_tokens += u64::from(part.tokens);
            }
        }
        self.evict();
        uncached_tokens
    }

    fn evict(&mut self) {
        let capacity = (f64::from(KV_CAPACITY_TOKENS) * CACHE_SHARE) as u64;
        while self.cached_tokens > capacity {
            let least_recently_used =
                self.cache.iter().min_by_key(|(key, it)| (it.last_used, **key));
            let Some(least_recently_used) = least_recently_used.map(|(key, _)| *key) else {
                return;
            };
            if let Some(evicted) = self.cache.remove(&least_recently_used) {
                self.cached_tokens -= u64::from(evicted.tokens);
            }
        }
    }
}

/// Keys of the shared prompt parts that any engine has processed.
#[derive(Debug, Default)]
pub(super) struct ProcessedParts(pub(super) std::collections::HashSet<u64>);
