//! Transfers of cached prompt parts between engines: which engine has them, and whether a transfer is faster
//! than prefill (docs/design.md, "Where a request goes").

use sl_base::Timestamp;

use crate::{Prompt, ServerKey, engine::Engine, locality::Locality, server::Server};

/// A planned transfer of cached prompt parts from one engine to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fetch {
    /// The engine that holds the parts in its cache.
    pub from: ServerKey,
    /// Tokens to transfer.
    pub tokens: u32,
    /// Milliseconds until the transfer is complete, including transfers queued before it.
    pub duration_ms: f64,
}

/// What engines have cached of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CachedPrefix {
    /// Cached tokens at the engine that has the most, or will have once it has prefilled its queue.
    longest_tokens: u32,
    /// The same among the engines of the own data centre.
    own_tokens: u32,
    donor: Option<Donor>,
}

/// The engine that can transfer the longest prefix of a prompt.
#[derive(Clone, Copy, Debug)]
struct Donor {
    server: ServerKey,
    /// Tokens of the prefix that it has prefilled. What is only queued there cannot be transferred yet.
    tokens: u32,
    /// Milliseconds until its pending transfers are complete.
    transfer_backlog_ms: f64,
}

/// Shorter prefixes are prefilled locally rather than fetched from another engine.
const FETCH_TOKENS_MIN: u32 = 500;

impl CachedPrefix {
    /// What the engines among `servers` have cached of `prompt`. Of donors with the same prefix, the one with
    /// the shortest transfer backlog is taken.
    pub(crate) fn find(
        now: Timestamp,
        servers: &[&Server],
        prompt: &Prompt,
        locality: Locality<'_>,
    ) -> CachedPrefix {
        let mut found = CachedPrefix { longest_tokens: 0, own_tokens: 0, donor: None };
        for server in servers {
            let Some(engine) = server.kind.engine() else {
                continue;
            };
            let tokens = engine.cache.cached_prefix_tokens(prompt).min(prompt.input_tokens);
            if tokens == 0 {
                continue;
            }
            found.longest_tokens = found.longest_tokens.max(tokens);
            if locality.is_own(&server.record.data_centre) {
                found.own_tokens = found.own_tokens.max(tokens);
            }
            let donor = Donor {
                server: server.key,
                tokens: engine.prefilled_prefix_tokens(prompt).min(prompt.input_tokens),
                transfer_backlog_ms: engine.transfer_backlog_ms(now),
            };
            if found.donor.is_none_or(|it| donor.is_better_than(it)) {
                found.donor = Some(donor);
            }
        }
        found
    }

    /// Whether an engine of the own data centre has as much as any.
    pub(crate) fn has_own_copy(self) -> bool {
        self.own_tokens >= self.longest_tokens
    }

    /// Tokens that another engine has cached, or will have, beyond the `local_tokens` of an engine.
    pub(crate) fn tokens_beyond(self, local_tokens: u32) -> u32 {
        self.longest_tokens.saturating_sub(local_tokens)
    }

    /// Plans a transfer of what the donor has beyond the `local_tokens` of `engine`, if that takes less time
    /// than prefilling them.
    pub(crate) fn plan_fetch(
        self,
        now: Timestamp,
        engine: &Engine,
        local_tokens: u32,
    ) -> Option<Fetch> {
        let Donor { server: from, tokens, transfer_backlog_ms } = self.donor?;
        let tokens = tokens.saturating_sub(local_tokens);
        let queue_ms = transfer_backlog_ms.max(engine.transfer_backlog_ms(now));
        let duration_ms = queue_ms + engine.fetch_ms(tokens)?;
        let is_cheaper = duration_ms < engine.prefill_ms(tokens);
        (tokens >= FETCH_TOKENS_MIN && is_cheaper).then_some(Fetch { from, tokens, duration_ms })
    }
}

impl Donor {
    fn is_better_than(self, other: Donor) -> bool {
        let by_tokens = self.tokens.cmp(&other.tokens);
        let by_backlog = other.transfer_backlog_ms.total_cmp(&self.transfer_backlog_ms);
        by_tokens.then(by_backlog).is_gt()
    }
}
