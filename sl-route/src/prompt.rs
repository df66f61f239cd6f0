//! Prompts of model requests, as the parts that requests share.

use serde::{Deserialize, Serialize};
use sl_base::{ServerId, hash};

/// One part of a prompt. An engine makes use of it only together with all parts before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PromptPart {
    /// Stands for the model and this part.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A model request's prompt and the answer that it may get.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one belongs to the request or its session alone.
    pub parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub input_tokens: u32,
    /// Tokens of the longest answer.
    pub max_output_tokens: u32,
    /// Tokens of the answer as the caller expects it; often far off.
    pub expected_output_tokens: Option<u32>,
}

impl PromptPart {
    /// The part that `model` reads as `id`.
    pub fn new(model: &str, id: &str, tokens: u32) -> PromptPart {
        let key = hash::weight(ServerId::of(model).0, ServerId::of(id).0);
        PromptPart { key, tokens }
    }
}

impl Prompt {
    /// The parts that other requests may have too.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens that the answer is likely to have.
    pub fn likely_output_tokens(&self) -> u32 {
        self.expected_output_tokens
            .unwrap_or(self.max_output_tokens / 2)
            .min(self.max_output_tokens)
    }

    /// What the request counts against its team's share, in tokens: the prompt once, and
    /// the longest answer twice.
    pub fn charge(&self) -> u32 {
        self.input_tokens.saturating_add(self.max_output_tokens.saturating_mul(ANSWER_WEIGHT))
    }
}

/// A generated token counts as much as this many read ones.
const ANSWER_WEIGHT: u32 = 2;
