//! Which parts of prompts a model engine is believed to keep.

use std::collections::{BTreeSet, HashMap, HashSet};

use sl_base::Timestamp;

use crate::{Prompt, PromptPart};

/// The parts that an engine keeps, by the requests that were sent to it; the least recently
/// used parts yield.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    kept: HashMap<u64, Kept>,
    by_use: BTreeSet<(Timestamp, u64)>,
    tokens: u64,
    tokens_max: u64,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    used_at: Timestamp,
    tokens: u32,
}

/// From this much of it on, in percent, a cache is about to let parts go.
const FULL_PERCENT: u64 = 95;

const PERCENT: u64 = 100;

impl Cache {
    /// An empty cache of `tokens_max` tokens.
    pub fn new(tokens_max: u64) -> Cache {
        Cache { tokens_max, ..Cache::default() }
    }

    /// Tokens of `prompt` that would not have to be read again.
    pub fn kept(&self, prompt: &Prompt) -> u32 {
        let kept = prompt.parts.iter().take_while(|it| self.kept.contains_key(&it.key));
        kept.map(|it| it.tokens).sum()
    }

    /// Notes that a request with these parts was sent to the engine.
    pub fn used(&mut self, now: Timestamp, parts: &[PromptPart]) {
        for part in parts {
            self.touch(now, *part);
        }
        while self.tokens > self.tokens_max
            && let Some((_, key)) = self.by_use.pop_first()
        {
            self.forget(key);
        }
    }

    /// Notes what the engine says that it keeps; whatever else was believed yields first.
    pub fn confirm(&mut self, now: Timestamp, parts: &[PromptPart]) {
        let confirmed: HashSet<u64> = parts.iter().map(|it| it.key).collect();
        let refuted: Vec<u64> =
            self.kept.keys().filter(|it| !confirmed.contains(it)).copied().collect();
        for key in refuted {
            self.forget(key);
        }
        self.used(now, parts);
    }

    /// How long the parts that yield next have not been used; none while nothing has to
    /// yield.
    pub fn yielding_age_ms(&self, now: Timestamp) -> Option<f64> {
        if self.tokens < self.tokens_max * FULL_PERCENT / PERCENT {
            return None;
        }
        let (used_at, _) = self.by_use.first()?;
        Some(now.millis_since(*used_at))
    }

    /// The number of parts that are believed to be kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether nothing is believed to be kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// The parts, the least recently used first.
    pub fn parts(&self) -> impl DoubleEndedIterator<Item = PromptPart> {
        self.by_use.iter().filter_map(|&(_, key)| {
            self.kept.get(&key).map(|it| PromptPart { key, tokens: it.tokens })
        })
    }

    fn touch(&mut self, now: Timestamp, part: PromptPart) {
        self.forget(part.key);
        self.kept.insert(part.key, Kept { used_at: now, tokens: part.tokens });
        self.by_use.insert((now, part.key));
        self.tokens += u64::from(part.tokens);
    }

    fn forget(&mut self, key: u64) {
        if let Some(kept) = self.kept.remove(&key) {
            self.by_use.remove(&(kept.used_at, key));
            self.tokens -= u64::from(kept.tokens);
        }
    }
}
