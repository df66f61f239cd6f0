//! A modelled engine. It processes prompts one after the other, caches their parts until they
//! are evicted, and generates streams at the same time.

use std::collections::VecDeque;

use sl_base::{Millis, Timestamp};
use sl_route::Prompt;

use super::{
    cache::{ProcessedParts, PromptCache},
    fleet::START,
};

/// An attempt at an engine.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) instance: usize,
    pub(super) request: u64,
    pub(super) prompt: Prompt,
    /// The engine from which cached parts are moved first.
    pub(super) fetch_from: Option<usize>,
    /// Whether the stream began at an engine that was lost and goes on here.
    pub(super) is_resumed: bool,
}

/// A modelled engine.
#[derive(Debug)]
pub(super) struct Engine {
    tokens_per_ms: f64,
    queue: VecDeque<Job>,
    processing: Option<Job>,
    active_streams: usize,
    pub(super) cache: PromptCache,
    /// Incremented at each failure of the engine, so that events scheduled before the failure
    /// are ignored.
    pub(super) generation: u64,
    pub(super) is_down: bool,
    /// Requests whose streams run, where these break off with the engine.
    pub(super) running: Vec<Job>,
    /// When the transfers to and from the engine are complete. They run one at a time.
    pub(super) transfers_done_at: Timestamp,
    /// Total time in which the engine processed prompts.
    pub(super) processing_ms: f64,
}

/// Maximum number of requests in flight at an engine.
pub(super) const SLOTS: u32 = 64;

/// Number of tokens in one event of a stream.
pub(super) const TOKENS_PER_EVENT: u32 = 7;

/// Time of a transfer in addition to that of its tokens, in milliseconds.
pub(super) const TRANSFER_OVERHEAD_MS: f64 = 4.0;

/// Time of each token of a transfer, in milliseconds.
pub(super) const TRANSFER_MS_PER_TOKEN: f64 = 0.0004;

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
            cache: PromptCache::default(),
            generation: 0,
            is_down: false,
            running: Vec::new(),
            transfers_done_at: START,
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
        let uncached_tokens = self.cache.record_prompt(&job.prompt, processed_parts);
        let millis = f64::from(uncached_tokens) / self.tokens_per_ms + REQUEST_OVERHEAD_MS;
        self.processing_ms += millis;
        self.processing = Some(job);
        Some(now.after(Millis(millis.ceil() as u64)))
    }

    /// Completes the processing of the current prompt and starts its stream. Returns the request,
    /// the duration of the stream and the interval between its events in microseconds.
    pub(super) fn finish_prompt(&mut self) -> Option<(Job, Millis, u32)> {
        let job = self.processing.take()?;
        self.active_streams += 1;
        self.running.push(job.clone());
        let events = f64::from(job.prompt.max_output_tokens / TOKENS_PER_EVENT);
        let interval_ms =
            EVENT_INTERVAL_MS + EVENT_INTERVAL_MS_PER_STREAM * self.active_streams as f64;
        Some((job, Millis((events * interval_ms) as u64), (interval_ms * 1_000.0) as u32))
    }

    pub(super) fn finish_stream(&mut self, instance: usize, request: u64) {
        self.active_streams = self.active_streams.saturating_sub(1);
        self.running.retain(|it| (it.instance, it.request) != (instance, request));
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
        self.cache.reprocessed_tokens = old.cache.reprocessed_tokens;
        self.processing_ms = old.processing_ms;
        old.processing.into_iter().chain(old.queue).collect()
    }
}
