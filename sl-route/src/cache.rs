//! Estimated contents of an engine's KV cache.

use std::collections::{BTreeSet, HashMap, HashSet};

use sl_base::Timestamp;

use crate::{Prompt, PromptPart};

/// The prompt parts in an engine's KV cache, estimated from the requests sent to it, with LRU
/// eviction.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, CachedPart>,
    by_last_use: BTreeSet<(Timestamp, u64)>,
    tokens: u64,
    capacity_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    last_used: Timestamp,
    tokens: u32,
}

/// Fill level, in percent of the capacity, from which evictions are expected.
const EVICTION_THRESHOLD_PERCENT: u64 = 95;

const PERCENT_PER_UNIT: u64 = 100;

impl Cache {
    /// Creates an empty cache that holds `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Cache {
        Cache { capacity_tokens, ..Cache::default() }
    }

    /// Tokens of the longest prefix of `prompt` whose parts are all cached.
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u32 {
        let prefix = prompt.parts.iter().take_while(|it| self.parts.contains_key(&it.key));
        prefix.map(|it| it.tokens).sum()
    }

    /// Records that a request with these parts was sent to the engine, and evicts the least
    /// recently used parts beyond the capacity.
    pub fn record_use(&mut self, now: Timestamp, parts: &[PromptPart]) {
        for part in parts {
            self.insert_part(now, *part);
        }
        while self.tokens > self.capacity_tokens
            && let Some((_, key)) = self.by_last_use.pop_first()
        {
            self.remove_part(key);
        }
    }

    /// Replaces the contents by the parts that the engine listed.
    pub fn replace_with(&mut self, now: Timestamp, parts: &[PromptPart]) {
        let listed: HashSet<u64> = parts.iter().map(|it| it.key).collect();
        let stale: Vec<u64> =
            self.parts.keys().filter(|it| !listed.contains(it)).copied().collect();
        for key in stale {
            self.remove_part(key);
        }
        self.record_use(now, parts);
    }

    /// Milliseconds since the last use of the part to be evicted next; none while the cache
    /// has room.
    pub fn eviction_age_ms(&self, now: Timestamp) -> Option<f64> {
        if self.tokens < self.capacity_tokens * EVICTION_THRESHOLD_PERCENT / PERCENT_PER_UNIT {
            return None;
        }
        let (last_used, _) = self.by_last_use.first()?;
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
        self.by_last_use.iter().filter_map(|&(_, key)| {
            self.parts.get(&key).map(|it| PromptPart { key, tokens: it.tokens })
        })
    }

    fn insert_part(&mut self, now: Timestamp, part: PromptPart) {
        self.remove_part(part.key);
        self.parts.insert(part.key, CachedPart { last_used: now, tokens: part.tokens });
        self.by_last_use.insert((now, part.key));
        self.tokens += u64::from(part.tokens);
    }

    fn remove_part(&mut self, key: u64) {
        if let Some(cached) = self.parts.remove(&key) {
            self.by_last_use.remove(&(cached.last_used, key));
            self.tokens -= u64::from(cached.tokens);
        }
    }
}
