//! A modelled engine that works in steps. Each step generates a token for every running stream,
//! and processes a chunk of the queued prompts beside them, so that the time between tokens grows
//! with the batch and with the prompts that are processed.

use std::collections::VecDeque;

use sl_base::Timestamp;

use super::{
    cache::{ProcessedParts, PromptCache},
    engine::{Job, SLOTS},
};

/// A modelled engine that works in steps.
#[derive(Debug, Default)]
pub(super) struct StepEngine {
    queue: VecDeque<QueuedPrompt>,
    running: Vec<Stream>,
    is_stepping: bool,
    pub(super) cache: PromptCache,
    /// Total time that processing prompts added to the steps.
    pub(super) processing_ms: f64,
}

/// A prompt that is not completely processed.
#[derive(Debug)]
struct QueuedPrompt {
    job: Job,
    output_tokens: u32,
    /// Tokens that are left to process; `None` until processing starts.
    tokens_left: Option<u32>,
}

/// A stream whose first token was generated.
#[derive(Clone, Debug)]
pub(super) struct Stream {
    pub(super) job: Job,
    pub(super) first_token_at: Timestamp,
    /// Tokens generated so far.
    pub(super) tokens: u32,
    output_tokens: u32,
}

/// What a step brought forth.
#[derive(Debug, Default)]
pub(super) struct StepResult {
    /// The streams whose first token was generated.
    pub(super) started: Vec<Job>,
    /// The streams whose last token was generated.
    pub(super) ended: Vec<Stream>,
}

/// Prompt tokens that an engine processes in a millisecond.
pub(super) const TOKENS_PER_MS: f64 = 36.7;

/// Number of tokens in one event of a stream.
pub(super) const TOKENS_PER_EVENT: u32 = 4;

/// Most prompt tokens that are processed in one step.
const CHUNK_TOKENS: u32 = 2_048;

/// Time of a step without prompts and streams, and its increase for each running stream, in
/// milliseconds.
const STEP_MS: f64 = 4.34;
const STEP_MS_PER_STREAM: f64 = 0.02;

const MICROS_PER_MILLI: f64 = 1_000.0;

impl Stream {
    /// Milliseconds between two tokens so far; `None` before the second one.
    pub(super) fn token_interval_ms(&self, now: Timestamp) -> Option<f64> {
        let intervals = self.tokens.checked_sub(1).filter(|it| *it > 0)?;
        Some(now.millis_since(self.first_token_at) / f64::from(intervals))
    }
}

impl StepEngine {
    pub(super) fn has_slot(&self) -> bool {
        self.queue.len() + self.running.len() < SLOTS as usize
    }

    pub(super) fn enqueue(&mut self, job: Job, output_tokens: u32) {
        self.queue.push_back(QueuedPrompt { job, output_tokens, tokens_left: None });
    }

    /// Starts a step if none is in progress and there is work. Returns when it ends.
    pub(super) fn start_step(
        &mut self,
        now: Timestamp,
        processed_parts: &ProcessedParts,
    ) -> Option<Timestamp> {
        if self.is_stepping || self.queue.is_empty() && self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        let prompt_ms = f64::from(self.process_chunk(processed_parts)) / TOKENS_PER_MS;
        self.processing_ms += prompt_ms;
        let step_ms = STEP_MS + STEP_MS_PER_STREAM * self.running.len() as f64 + prompt_ms;
        Some(Timestamp::from_micros(now.as_micros() + (step_ms * MICROS_PER_MILLI) as u64))
    }

    /// Completes the step in progress.
    pub(super) fn finish_step(&mut self, now: Timestamp) -> StepResult {
        self.is_stepping = false;
        for stream in &mut self.running {
            stream.tokens += 1;
        }
        let processed = self.queue.iter().take_while(|it| it.tokens_left == Some(0)).count();
        let mut started = Vec::new();
        for QueuedPrompt { job, output_tokens, .. } in self.queue.drain(..processed) {
            started.push(job.clone());
            self.running.push(Stream { job, first_token_at: now, tokens: 1, output_tokens });
        }
        let ended = self.running.extract_if(.., |it| it.tokens >= it.output_tokens).collect();
        StepResult { started, ended }
    }

    /// Removes a request, and returns its stream if it was running.
    pub(super) fn cancel(&mut self, instance: usize, request: u64) -> Option<Stream> {
        let is_cancelled = |it: &Job| (it.instance, it.request) == (instance, request);
        self.queue.retain(|it| !is_cancelled(&it.job));
        let index = self.running.iter().position(|it| is_cancelled(&it.job))?;
        Some(self.running.remove(index))
    }

    /// Processes the next chunk of the queued prompts and returns its length in tokens.
    fn process_chunk(&mut self, processed_parts: &ProcessedParts) -> u32 {
        let mut room = CHUNK_TOKENS;
        for prompt in &mut self.queue {
            if room == 0 {
                break;
            }
            let cache = &mut self.cache;
            let tokens_left = prompt
                .tokens_left
                .get_or_insert_with(|| cache.record_prompt(&prompt.job.prompt, processed_parts));
            let processed = room.min(*tokens_left);
            *tokens_left -= processed;
            room -= processed;
        }
        CHUNK_TOKENS - room
    }
}
