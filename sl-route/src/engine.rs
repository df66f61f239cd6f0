//! Model of one inference engine: its queue of requests, its prefill speed and the prompt
//! parts in its KV cache.
//!
//! Engines admit requests on arrival and prefill prompts one after the other, so the time to
//! the first token follows from the queued prefill work. An engine's own load reports are some
//! 100 ms old, whereas the sends of all instances are known within a few milliseconds.

use std::collections::VecDeque;

use sl_base::{Millis, Timestamp};

use crate::{
    Prompt, PromptPart,
    cache::{Cache, QueuePosition},
    document::EngineLimits,
    note::AttemptKey,
    pace::{Pace, WorkTotals},
};

/// Estimated state of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The prompt parts estimated to be in the engine's KV cache.
    pub cache: Cache,
    speed: SpeedEstimate,
    /// When the prefill of all requests sent so far is expected to be complete.
    prefill_done_at: Timestamp,
    /// Requests without a first token, in the order of sending.
    queue: VecDeque<QueuedRequest>,
    /// The position of the latest request that was sent.
    last_position: QueuePosition,
    /// Prompts up to this position are prefilled: the last one of which the first token arrived.
    prefilled_position: QueuePosition,
    /// Sum of the tokens of the queued requests.
    queued_tokens: u64,
    /// Sum of all shifts of expected times since the start, in microseconds.
    shift_micros: i64,
    last_first_token_at: Timestamp,
    /// Attempts whose first token has arrived.
    running: Vec<RunningRequest>,
    slots: usize,
    fetch_ms_per_token: Option<f64>,
    /// When the transfers to and from the engine are expected to be complete. They run one at
    /// a time.
    transfers_done_at: Timestamp,
    tokens_per_event: f64,
    load: PrefillLoad,
    pace: Pace,
}

/// A request that has produced its first token and has not ended.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    key: AttemptKey,
    /// The request has ended by then; the note of its end was lost if it did not come.
    expires_at: Timestamp,
    /// The engine's work when the first token arrived.
    since: WorkTotals,
}

/// Fraction of its time that an engine spends on prefill, as a decaying average.
#[derive(Clone, Copy, Debug)]
struct PrefillLoad {
    /// Milliseconds of prefill, decayed to `updated_at`.
    busy_ms: f64,
    updated_at: Timestamp,
}

/// A request that was sent and has not produced its first token.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    key: AttemptKey,
    position: QueuePosition,
    tokens: u32,
    sent_at: Timestamp,
    /// The request has ended by then.
    expires_at: Timestamp,
    /// Expected time of the first token, as estimated at the time of sending and pushed back by
    /// requests that have overtaken this one.
    expected_at: Timestamp,
    /// The engine's `shift_micros` at the time of sending.
    shift_micros: i64,
}

/// Prior for the prefill speed of an engine without samples.
#[derive(Clone, Copy, Debug)]
pub struct SpeedPrior {
    /// Prefill tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Weight of the prior: the number of observed tokens that it counts as.
    pub weight_tokens: f64,
    /// How many times faster than the prior the first sample may make the engine.
    pub max_speedup: f64,
}

/// Prefill speed, estimated from the intervals between first tokens.
#[derive(Clone, Copy, Debug)]
struct SpeedEstimate {
    /// Decayed sum of the prefill tokens of all samples.
    tokens: f64,
    /// Decayed sum of their prefill time.
    millis: f64,
    max_speedup: f64,
    /// Whether no sample was observed yet.
    is_prior: bool,
    /// When the estimate counts as outdated: a request is then sent in spite of it.
    outdated_at: Timestamp,
}

/// How long after its last sample a speed estimate counts as outdated.
const SPEED_HOLDS_FOR: Millis = Millis(8_000);

/// Time to the first token beyond queueing and prefill: the network round trip and one decode
/// step.
const FIRST_TOKEN_OVERHEAD: Millis = Millis(25);

/// Prefill time per request that is independent of its tokens, in milliseconds.
const REQUEST_OVERHEAD_MS: f64 = 2.0;

/// Time per fetch from another engine that is independent of its tokens, in milliseconds.
const FETCH_OVERHEAD_MS: f64 = 8.0;

/// Time constant of the prefill load, in milliseconds. Short, since demand may triple or fall to a third
/// within seconds, and the expected time between tokens has to follow it.
const LOAD_WINDOW_MS: f64 = 700.0;

/// Fraction of an observed deviation from the expected time by which later expected times
/// shift.
const CORRECTION_GAIN: f64 = 0.8;

/// A request overdue by this long is dropped: the engine never began it, or the note of its
/// first token was lost.
const OVERDUE_TIMEOUT: Millis = Millis(2_500);

/// Requests with fewer prefill tokens give no speed sample: their time says little about the
/// prefill speed.
const SPEED_SAMPLE_TOKENS_MIN: u32 = 800;

/// Factor by which the weight of older samples decays with each new one.
const SPEED_DECAY: f64 = 0.97;

/// Fraction of an engine's KV memory available for cached parts; the rest holds the output of
/// running requests.
const CACHE_FRACTION: f64 = 0.85;

const MICROS_PER_MILLI: f64 = 1_000.0;

impl SpeedEstimate {
    fn from_prior(prior: SpeedPrior) -> SpeedEstimate {
        let millis = prior.weight_tokens / prior.tokens_per_ms.max(1.0);
        let SpeedPrior { weight_tokens, max_speedup, .. } = prior;
        let outdated_at = Timestamp::NEVER;
        SpeedEstimate { tokens: weight_tokens, millis, max_speedup, is_prior: true, outdated_at }
    }

    fn tokens_per_ms(self) -> f64 {
        self.tokens / self.millis
    }

    fn observe(&mut self, now: Timestamp, tokens: u32, millis: f64) {
        self.outdated_at = now.after(SPEED_HOLDS_FOR);
        let min_ms = f64::from(tokens) / (self.tokens_per_ms() * self.max_speedup);
        let millis = millis.max(min_ms);
        self.max_speedup = SPEEDUP_MAX;
        self.is_prior = false;
        self.tokens = self.tokens * SPEED_DECAY + f64::from(tokens);
        self.millis = self.millis * SPEED_DECAY + millis;
    }
}

impl PrefillLoad {
    fn fraction(self, now: Timestamp) -> f64 {
        let elapsed_ms = now.millis_since(self.updated_at);
        self.busy_ms * (-elapsed_ms / LOAD_WINDOW_MS).exp() / LOAD_WINDOW_MS
    }

    fn add(&mut self, now: Timestamp, millis: f64) {
        self.busy_ms = self.fraction(now) * LOAD_WINDOW_MS + millis;
        self.updated_at = self.updated_at.max(now);
    }
}

impl Engine {
    /// Creates an idle engine with an empty cache.
    pub fn new(now: Timestamp, limits: EngineLimits, prior: SpeedPrior) -> Engine {
        let cache_tokens = f64::from(limits.kv_capacity_tokens) * CACHE_FRACTION;
        Engine {
            cache: Cache::new(cache_tokens as u64),
            speed: SpeedEstimate::from_prior(prior),
            prefill_done_at: now,
            queue: VecDeque::new(),
            last_position: QueuePosition::default(),
            prefilled_position: QueuePosition::default(),
            queued_tokens: 0,
            shift_micros: 0,
            last_first_token_at: now,
            running: Vec::new(),
            slots: limits.slots as usize,
            fetch_ms_per_token: limits.fetch_ms_per_token,
            transfers_done_at: now,
            tokens_per_event: limits.tokens_per_event,
            load: PrefillLoad { busy_ms: 0.0, updated_at: now },
            pace: Pace::new(now),
        }
    }

    /// Replaces the speed prior, if no sample was observed yet.
    pub fn set_speed_prior(&mut self, prior: SpeedPrior) {
        if self.speed.is_prior {
            self.speed = SpeedEstimate::from_prior(prior);
        }
    }

    /// Tokens of `prompt` that are not cached and have to be prefilled.
    pub fn uncached_tokens(&self, prompt: &Prompt) -> u32 {
        prompt.input_tokens.saturating_sub(self.cache.cached_prefix_tokens(prompt))
    }

    /// Tokens of the longest prefix of `prompt` that the engine has prefilled and caches. Those that are only
    /// queued are left out.
    pub fn prefilled_prefix_tokens(&self, prompt: &Prompt) -> u32 {
        self.cache.prefix_tokens_up_to(prompt, self.prefilled_position)
    }

    /// Records that the latest request has a prompt with `parts`, which the engine will cache.
    pub fn record_cached_parts(&mut self, now: Timestamp, parts: &[PromptPart]) {
        self.cache.record_queued_use(now, parts, self.last_position);
    }

    /// Estimated prefill speed, in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.speed.tokens_per_ms()
    }

    /// Number of requests sent that have not produced a first token.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Number of requests that have produced a first token and not ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.running.is_empty()
    }

    /// Whether the speed has not been measured and no queued request is about to give a
    /// sample.
    pub fn needs_speed_sample(&self) -> bool {
        self.speed.is_prior && self.queue.is_empty()
    }

    /// Whether the engine is idle and its speed was last measured so long ago that a request which the
    /// estimate speaks against may show it anew.
    pub fn has_outdated_speed(&self, now: Timestamp) -> bool {
        self.is_idle() && self.speed.outdated_at.is_due(now)
    }

    /// Whether the speed estimate is based on samples rather than on the prior.
    pub fn has_measured_speed(&self) -> bool {
        !self.speed.is_prior
    }

    /// The number of requests that the engine runs concurrently.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// The number of further requests for which a slot is free.
    pub fn free_slots(&self) -> usize {
        self.slots.saturating_sub(self.queue.len() + self.running.len())
    }

    /// Milliseconds until the prefill of all requests sent so far is complete. An overdue
    /// first token delays all requests behind it.
    pub fn backlog_ms(&self, now: Timestamp) -> f64 {
        let ahead_micros = self.prefill_done_at.micros_since(now) as f64;
        let overdue_micros =
            self.queue.front().map_or(0, |it| now.micros_since(self.current_expected_at(it)));
        (ahead_micros + overdue_micros as f64) / MICROS_PER_MILLI
    }

    /// Milliseconds from now to the first token of a new request with `tokens` to prefill.
    pub fn first_token_ms(&self, now: Timestamp, tokens: u32) -> f64 {
        self.backlog_ms(now) + self.prefill_ms(tokens) + FIRST_TOKEN_OVERHEAD.0 as f64
    }

    /// Milliseconds to fetch `tokens` from another engine; `None` if the engine cannot fetch.
    pub fn fetch_ms(&self, tokens: u32) -> Option<f64> {
        Some(FETCH_OVERHEAD_MS + f64::from(tokens) * self.fetch_ms_per_token?)
    }

    /// Milliseconds until the pending transfers to and from the engine are complete.
    pub fn transfer_backlog_ms(&self, now: Timestamp) -> f64 {
        self.transfers_done_at.micros_since(now) as f64 / MICROS_PER_MILLI
    }

    /// Records a transfer to or from the engine that completes in `millis`.
    pub fn record_transfer(&mut self, now: Timestamp, millis: f64) {
        self.transfers_done_at =
            self.transfers_done_at.max(offset_by_micros(now, millis * MICROS_PER_MILLI));
    }

    /// Milliseconds to prefill `tokens`.
    pub fn prefill_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) / self.tokens_per_ms() + REQUEST_OVERHEAD_MS
    }

    /// Milliseconds from the first token to the end of an output of `output_tokens`, at the pace that
    /// follows from the requests sent so far and the prefill within [`LOAD_WINDOW_MS`].
    pub fn decode_ms(&self, now: Timestamp, output_tokens: u32) -> f64 {
        let batch = self.queue.len() + self.running.len() + 1;
        self.events(output_tokens) * self.pace.interval_ms(batch, self.load.fraction(now))
    }

    /// The number of events in which the engine sends `output_tokens`.
    pub fn events(&self, output_tokens: u32) -> f64 {
        f64::from(output_tokens) / self.tokens_per_event
    }

    /// Milliseconds from the first token to the end of an output of `output_tokens` if the engine had
    /// nothing else to do; `None` if the pace has not been measured.
    pub fn undisturbed_decode_ms(&self, output_tokens: u32) -> Option<f64> {
        self.pace.is_measured().then(|| self.events(output_tokens) * self.pace.interval_ms(1, 0.0))
    }

    /// Records the mean interval between the events of a stream that has just completed, in
    /// milliseconds. To be called before the end of the request is recorded.
    pub fn record_event_interval(&mut self, now: Timestamp, key: AttemptKey, millis: f64) {
        self.pace.advance(now, self.running.len());
        if let Some(request) = self.running.iter().find(|it| it.key == key) {
            self.pace.record_interval(request.since, millis);
        }
    }

    /// Records that a request with `tokens` to prefill was sent to the engine. By `expires_at` it has
    /// ended, whether its end was recorded or not.
    pub fn record_sent(
        &mut self,
        now: Timestamp,
        key: AttemptKey,
        tokens: u32,
        expires_at: Timestamp,
    ) {
        if self.speed.outdated_at.is_due(now) {
            // One request at a time, also if it brings no sample.
            self.speed.outdated_at = now.after(SPEED_HOLDS_FOR);
        }
        self.load.add(now, self.prefill_ms(tokens));
        self.prefill_done_at = offset_by_micros(
            self.prefill_done_at.max(now),
            self.prefill_ms(tokens) * MICROS_PER_MILLI,
        );
        let expected_at = self.prefill_done_at.after(FIRST_TOKEN_OVERHEAD);
        let shift_micros = self.shift_micros;
        self.queued_tokens += u64::from(tokens);
        self.last_position = self.last_position.next();
        self.queue.push_back(QueuedRequest {
            key,
            position: self.last_position,
            tokens,
            sent_at: now,
            expires_at,
            expected_at,
            shift_micros,
        });
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, now: Timestamp, key: AttemptKey) {
        let Some((index, request)) = self.take_queued(key) else {
            return;
        };
        self.push_back_overtaken(index, request.tokens);
        self.prefilled_position = self.prefilled_position.max(request.position);
        // Prompts are prefilled in order, so only the requests still queued remain.
        let remaining_micros = self.queued_prefill_ms() * MICROS_PER_MILLI;
        let prefill_done_at = offset_by_micros(now, remaining_micros);
        let late_micros =
            prefill_done_at.as_micros() as f64 - self.prefill_done_at.max(now).as_micros() as f64;
        self.prefill_done_at = self.prefill_done_at.max(now);
        self.shift_estimates(late_micros * CORRECTION_GAIN);
        if request.tokens >= SPEED_SAMPLE_TOKENS_MIN {
            let since = self.last_first_token_at.max(request.sent_at);
            self.speed.observe(now, request.tokens, now.millis_since(since));
        }
        self.last_first_token_at = now;
        self.pace.record_prefill(self.prefill_ms(request.tokens));
        let since = self.pace.advance(now, self.running.len());
        let expires_at = request.expires_at;
        self.running.push(RunningRequest { key, expires_at, since });
    }

    /// Records the end of a request, with or without a first token.
    pub fn record_end(&mut self, now: Timestamp, key: AttemptKey) {
        if let Some(index) = self.running.iter().position(|it| it.key == key) {
            self.pace.advance(now, self.running.len());
            self.running.swap_remove(index);
            return;
        }
        if let Some((_, request)) = self.take_queued(key) {
            self.remove_work(now, request.tokens);
        }
    }

    /// Drops requests that are long overdue or must have ended, and those sent by instances for
    /// which `is_removed` returns true.
    pub fn prune(&mut self, now: Timestamp, is_removed: impl Fn(u32) -> bool) {
        self.pace.advance(now, self.running.len());
        self.running.retain(|it| !is_removed(it.key.instance) && !it.expires_at.is_due(now));
        let mut dropped_tokens = 0;
        let shift_micros = self.shift_micros;
        self.queue.retain(|it| {
            let expected =
                offset_by_micros(it.expected_at, (shift_micros - it.shift_micros) as f64);
            let has_ended =
                it.expires_at.is_due(now) || expected.after(OVERDUE_TIMEOUT).is_due(now);
            let keep = !is_removed(it.key.instance) && !has_ended;
            dropped_tokens += if keep { 0 } else { it.tokens };
            keep
        });
        self.queued_tokens = self.queue.iter().map(|it| u64::from(it.tokens)).sum();
        if dropped_tokens > 0 {
            self.remove_work(now, dropped_tokens);
        }
    }

    /// Takes a request out of the queue, with the number of those that were sent before it.
    fn take_queued(&mut self, key: AttemptKey) -> Option<(usize, QueuedRequest)> {
        let index = self.queue.iter().position(|it| it.key == key)?;
        let request = self.queue.remove(index)?;
        self.queued_tokens -= u64::from(request.tokens);
        Some((index, request))
    }

    /// Milliseconds to prefill all queued requests.
    fn queued_prefill_ms(&self) -> f64 {
        let overhead_ms = self.queue.len() as f64 * REQUEST_OVERHEAD_MS;
        self.queued_tokens as f64 / self.tokens_per_ms() + overhead_ms
    }

    /// Pushes the expected times of the first `overtaken` requests back by the prefill of a
    /// request that started before them. It reached the engine first, and this instance
    /// learned of it later; its prefill must not count as overdue time of theirs.
    fn push_back_overtaken(&mut self, overtaken: usize, tokens: u32) {
        let micros = self.prefill_ms(tokens) * MICROS_PER_MILLI;
        for request in self.queue.iter_mut().take(overtaken) {
            request.expected_at = offset_by_micros(request.expected_at, micros);
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

/// Largest speed-up over the current estimate that one sample may indicate. Prompts prefilled
/// in one batch yield first tokens at the same time, which looks like a higher speed.
pub const SPEEDUP_MAX: f64 = 3.0;

fn offset_by_micros(at: Timestamp, micros: f64) -> Timestamp {
    Timestamp::from_micros(at.as_micros().saturating_add_signed(micros as i64))
}
