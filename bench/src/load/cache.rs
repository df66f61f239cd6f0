//! The prompt parts in the KV cache of a modelled engine.

use std::collections::{HashMap, HashSet};

use sl_route::{Prompt, PromptPart};

/// Prompt parts that are cached until they are evicted, the least recently used first.
#[derive(Debug, Default)]
pub(super) struct PromptCache {
    /// Cached prompt parts by their keys.
    parts: HashMap<u64, CachedPart>,
    cached_tokens: u64,
    /// Number of prompts processed so far, which serves as a clock for the LRU eviction.
    use_counter: u64,
    /// Shared tokens that were processed here although some engine had processed them before.
    pub(super) reprocessed_tokens: u64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u32,
    last_used: u64,
}

/// Capacity of an engine's KV cache in tokens.
pub(super) const KV_CAPACITY_TOKENS: u32 = 520_000;

/// The share of the KV cache that holds prompt parts for reuse. Running requests need the rest.
const CACHE_SHARE: f64 = 0.8;

impl PromptCache {
    /// Caches the parts of a prompt. Returns the number of tokens that were not cached and have
    /// to be processed.
    pub(super) fn record_prompt(
        &mut self,
        prompt: &Prompt,
        processed_parts: &ProcessedParts,
    ) -> u32 {
        self.use_counter += 1;
        let hit_tokens: u32 = prompt
            .parts
            .iter()
            .map_while(|it| self.parts.get(&it.key).map(|part| part.tokens))
            .sum();
        let uncached_tokens = prompt.input_tokens.saturating_sub(hit_tokens);
        let shared = prompt.shared_parts();
        let reprocessed = shared.iter().filter(|it| !self.parts.contains_key(&it.key));
        let reprocessed = reprocessed.filter(|it| processed_parts.0.contains(&it.key));
        self.reprocessed_tokens += reprocessed.map(|it| u64::from(it.tokens)).sum::<u64>();
        for part in &prompt.parts {
            let cached = CachedPart { tokens: part.tokens, last_used: self.use_counter };
            if self.parts.insert(part.key, cached).is_none() {
                self.cached_tokens += u64::from(part.tokens);
            }
        }
        self.evict();
        uncached_tokens
    }

    /// The first parts of a prompt that are cached here.
    pub(super) fn cached_prefix<'a>(&self, prompt: &'a Prompt) -> &'a [PromptPart] {
        let cached = prompt.parts.iter().take_while(|it| self.parts.contains_key(&it.key));
        &prompt.parts[..cached.count()]
    }

    /// Caches parts that another engine has sent.
    pub(super) fn insert(&mut self, parts: &[PromptPart]) {
        for part in parts {
            let cached = CachedPart { tokens: part.tokens, last_used: self.use_counter };
            if self.parts.insert(part.key, cached).is_none() {
                self.cached_tokens += u64::from(part.tokens);
            }
        }
        self.evict();
    }

    fn evict(&mut self) {
        let capacity = (f64::from(KV_CAPACITY_TOKENS) * CACHE_SHARE) as u64;
        while self.cached_tokens > capacity {
            let least_recently_used =
                self.parts.iter().min_by_key(|(key, it)| (it.last_used, **key));
            let Some(least_recently_used) = least_recently_used.map(|(key, _)| *key) else {
                return;
            };
            if let Some(evicted) = self.parts.remove(&least_recently_used) {
                self.cached_tokens -= u64::from(evicted.tokens);
            }
        }
    }
}

/// Keys of the shared prompt parts that any engine has processed.
#[derive(Debug, Default)]
pub(super) struct ProcessedParts(pub(super) HashSet<u64>);
