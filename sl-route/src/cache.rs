//! Estimated contents of an engine's KV cache.

use std::collections::VecDeque;

use sl_base::{IdMap, IdSet, Timestamp};

use crate::{Prompt, PromptPart};

/// The prompt parts in an engine's KV cache, estimated from the requests sent to it, with LRU
/// eviction.
///
/// Every instance records every use of a part by the whole fleet, so recording one has to be cheap: it
/// writes the time to the part and leaves the part's place in the order of eviction as it is. Each
/// place is thus that of the last use or of an earlier one. Once evictions are expected, the first
/// place is always that of the last use.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: IdMap<u64, CachedPart>,
    /// For each part the time of a use, the last one or an earlier one, sorted. New places are nearly
    /// always the last ones, so a queue is written to in fewer places of memory than a tree.
    eviction_order: VecDeque<(Timestamp, u64)>,
    tokens: u64,
    capacity_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    last_used: Timestamp,
    tokens: u32,
    /// The request that prefills the part.
    prefilled_by: QueuePosition,
}

/// The place of a request in the order in which an engine gets its requests and prefills their prompts. The
/// default is before the first request: what has it is prefilled already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition(u32);

impl QueuePosition {
    /// The position of the next request.
    pub fn next(self) -> QueuePosition {
        QueuePosition(self.0.saturating_add(1))
    }
}

/// Fill level, in percent of the capacity, from which evictions are expected.
const EVICTION_THRESHOLD_PERCENT: u64 = 95;

const PERCENT_PER_UNIT: u64 = 100;

impl Cache {
    /// Creates an empty cache that holds `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Cache {
        Cache { capacity_tokens, ..Cache::default() }
    }

    /// Tokens of the longest prefix of `prompt` whose parts are all cached, or will be once the engine has
    /// prefilled its queue.
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u32 {
        let prefix = prompt.parts.iter().take_while(|it| self.parts.contains_key(&it.key));
        prefix.map(|it| it.tokens).sum()
    }

    /// Tokens of the longest prefix of `prompt` whose parts are all prefilled, if the engine has prefilled the
    /// prompts of all requests up to `position`.
    pub fn prefix_tokens_up_to(&self, prompt: &Prompt, position: QueuePosition) -> u32 {
        let is_prefilled = |it: &&PromptPart| {
            self.parts.get(&it.key).is_some_and(|part| part.prefilled_by <= position)
        };
        prompt.parts.iter().take_while(is_prefilled).map(|it| it.tokens).sum()
    }

    /// Records the use of parts that the engine has prefilled, and evicts the least recently used parts
    /// beyond the capacity.
    pub fn record_use(&mut self, now: Timestamp, parts: &[PromptPart]) {
        self.record_queued_use(now, parts, QueuePosition::default());
    }

    /// Records the use of parts by a request that was sent to the engine, where it has `position`. The request
    /// prefills those of the parts that are not cached. Evicts like [`Cache::record_use`].
    pub fn record_queued_use(
        &mut self,
        now: Timestamp,
        parts: &[PromptPart],
        position: QueuePosition,
    ) {
        for part in parts {
            self.use_part(now, *part, position);
        }
        if self.expects_eviction() {
            self.update_first_place();
        }
        while self.tokens > self.capacity_tokens
            && let Some((_, key)) = self.eviction_order.pop_front()
        {
            let evicted = self.parts.remove(&key).map_or(0, |it| it.tokens);
            self.tokens -= u64::from(evicted);
            self.update_first_place();
        }
    }

    /// Replaces the contents by the parts that the engine listed.
    pub fn replace_with(&mut self, now: Timestamp, parts: &[PromptPart]) {
        let listed: IdSet<u64> = parts.iter().map(|it| it.key).collect();
        self.parts.retain(|key, _| listed.contains(key));
        self.eviction_order.retain(|(_, key)| listed.contains(key));
        self.tokens = self.parts.values().map(|it| u64::from(it.tokens)).sum();
        self.record_use(now, parts);
    }

    /// Milliseconds since the last use of the part to be evicted next; none while the cache
    /// has room.
    pub fn eviction_age_ms(&self, now: Timestamp) -> Option<f64> {
        if !self.expects_eviction() {
            return None;
        }
        let (last_used, _) = self.eviction_order.front()?;
        Some(now.millis_since(*last_used))
    }

    /// Number of parts estimated to be cached.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is estimated to be cached.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// The cached parts, the least recently used first.
    pub fn parts(&self) -> impl DoubleEndedIterator<Item = PromptPart> {
        let mut parts: Vec<(Timestamp, PromptPart)> = self
            .parts
            .iter()
            .map(|(&key, it)| (it.last_used, PromptPart { key, tokens: it.tokens }))
            .collect();
        parts.sort_unstable_by_key(|(last_used, part)| (*last_used, part.key));
        parts.into_iter().map(|(_, part)| part)
    }

    fn expects_eviction(&self) -> bool {
        self.tokens >= self.capacity_tokens * EVICTION_THRESHOLD_PERCENT / PERCENT_PER_UNIT
    }

    fn use_part(&mut self, now: Timestamp, part: PromptPart, position: QueuePosition) {
        if let Some(cached) = self.parts.get_mut(&part.key) {
            self.tokens = self.tokens - u64::from(cached.tokens) + u64::from(part.tokens);
            cached.tokens = part.tokens;
            cached.last_used = now;
            cached.prefilled_by = cached.prefilled_by.min(position);
            return;
        }
        let cached = CachedPart { last_used: now, tokens: part.tokens, prefilled_by: position };
        self.parts.insert(part.key, cached);
        self.insert_place((now, part.key));
        self.tokens += u64::from(part.tokens);
    }

    /// Moves parts that were used since they got their places, until the first part of the order is
    /// the one that was used least recently.
    fn update_first_place(&mut self) {
        while let Some(&(place, key)) = self.eviction_order.front()
            && let Some(cached) = self.parts.get_mut(&key)
            && cached.last_used != place
        {
            let place = (cached.last_used, key);
            self.eviction_order.pop_front();
            self.insert_place(place);
        }
    }

    fn insert_place(&mut self, place: (Timestamp, u64)) {
        if self.eviction_order.back().is_none_or(|last| *last < place) {
            self.eviction_order.push_back(place);
            return;
        }
        let index = self.eviction_order.partition_point(|it| *it < place);
        self.eviction_order.insert(index, place);
    }
}
