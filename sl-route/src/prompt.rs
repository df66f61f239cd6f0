//! Prompts of model requests, as sequences of parts that several requests may share.

use serde::{Deserialize, Serialize};
use sl_base::{ServerId, hash};

/// One part of a prompt. An engine can reuse a cached part only if all preceding parts are
/// cached as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the part and the model that processes it.
    pub key: u64,
    /// The length of the part in tokens.
    pub tokens: u32,
}

/// The prompt of a model request and the expected length of the response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one is specific to the request or its session.
    pub parts: Vec<PromptPart>,
    /// The length of the whole prompt in tokens.
    pub input_tokens: u32,
    /// The maximum length of the response in tokens.
    pub max_output_tokens: u32,
    /// The length of the response that the caller expects, in tokens. Callers are often far off.
    pub expected_output_tokens: Option<u32>,
}

impl PromptPart {
    /// The part `id` of a prompt for `model`.
    pub fn new(model: &str, id: &str, tokens: u32) -> PromptPart {
        let key = hash::weight(ServerId::of(model).0, ServerId::of(id).0);
        PromptPart { key, tokens }
    }
}

impl Prompt {
    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The likely length of the response in tokens: the caller's expectation, or half of the
    /// maximum if the caller gives none.
    pub fn likely_output_tokens(&self) -> u32 {
        self.expected_output_tokens
            .unwrap_or(self.max_output_tokens / 2)
            .min(self.max_output_tokens)
    }

    /// The tokens that the request counts against its team's share: the prompt, plus twice the
    /// maximum length of the response.
    pub fn charge(&self) -> u32 {
        self.input_tokens.saturating_add(self.max_output_tokens.saturating_mul(OUTPUT_TOKEN_WEIGHT))
    }
}

/// The number of prompt tokens that one generated token counts for.
const OUTPUT_TOKEN_WEIGHT: u32 = 2;
