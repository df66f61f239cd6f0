//! A model engine: as many requests as it has slots go on side by side, each at the
//! engine's speed, and send their tokens in batches.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rocket::http::Status;
use serde::Deserialize;
use tokio::time::Instant;

use crate::{
    backends::{Job, Kind, Slot},
    serve::{self, Answer},
};

/// What the engine reads of a request.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
struct Ask {
    max_tokens: u64,
    /// What the answer's length turns out to be; a router must not look at it.
    actual_tokens: Option<u64>,
    prompt_tokens: Option<u64>,
    stream: bool,
}

impl Default for Ask {
    fn default() -> Ask {
        Ask { max_tokens: 64, actual_tokens: None, prompt_tokens: None, stream: true }
    }
}

/// Tokens are sent once in this time, not one by one.
const TICK: Duration = Duration::from_millis(40);

/// Bytes of a request that count as one input token.
const BYTES_PER_TOKEN: u64 = 4;

pub(crate) async fn answer(mut job: Job) -> Answer {
    let Ok(ask) = serde_json::from_slice::<Ask>(&job.call.body) else {
        return job.mark(serve::text(Status::BadRequest, "the body is no request"));
    };
    let prompt = ask.prompt_tokens.unwrap_or(job.call.body.len() as u64 / BYTES_PER_TOKEN);
    let tokens = ask.actual_tokens.unwrap_or(u64::MAX).min(ask.max_tokens);
    let slot = job.begin().await;
    let speed = Speed::of(&job);
    tokio::time::sleep(speed.before_first(prompt)).await;
    job.before_answer().await;
    if !ask.stream {
        return whole(job, slot, speed, tokens, prompt).await;
    }
    let crossed_or_own = job.mark(serve::empty(Status::Ok));
    let headers: Vec<(String, String)> = crossed_or_own
        .headers()
        .iter()
        .map(|it| (it.name().to_string(), it.value().to_owned()))
        .filter(|(name, _)| name.starts_with("X-"))
        .collect();
    let mut answer = serve::event_stream(stream(job, slot, speed, tokens, prompt));
    for (name, value) in headers {
        answer.set_raw_header(name, value);
    }
    answer
}

#[derive(Clone, Copy, Debug)]
struct Speed {
    tokens: f64,
    prompt: f64,
}

impl Speed {
    fn of(job: &Job) -> Speed {
        match job.unit().spec.kind {
            Kind::Engine { tokens_per_second, prompt_tokens_per_second, .. } => Speed {
                tokens: f64::from(tokens_per_second.max(1)),
                prompt: f64::from(prompt_tokens_per_second.max(1)),
            },
            Kind::Plain { .. } => Speed { tokens: 1.0, prompt: 1.0 },
        }
    }

    fn before_first(self, prompt: u64) -> Duration {
        Duration::from_secs_f64(prompt as f64 / self.prompt)
    }

    fn after(self, span: Duration) -> u64 {
        (span.as_secs_f64() * self.tokens) as u64
    }

    fn whole(self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens)
    }
}

async fn whole(job: Job, slot: Slot, speed: Speed, tokens: u64, prompt: u64) -> Answer {
    tokio::time::sleep(speed.whole(tokens)).await;
    job.finish();
    drop(slot);
    let usage = usage(tokens, prompt);
    job.mark(serve::json(&serde_json::json!({
        "choices": [{ "message": { "content": "w".repeat(tokens as usize) } }],
        "usage": usage,
    })))
}

struct Streaming {
    job: Job,
    slot: Option<Slot>,
    speed: Speed,
    start: Instant,
    tokens: u64,
    prompt: u64,
    sent: u64,
}

fn stream(
    job: Job,
    slot: Slot,
    speed: Speed,
    tokens: u64,
    prompt: u64,
) -> impl futures::Stream<Item = Bytes> + Send + 'static {
    let streaming =
        Streaming { job, slot: Some(slot), speed, start: Instant::now(), tokens, prompt, sent: 0 };
    futures::stream::unfold(streaming, |mut it| async move {
        let batch = it.next().await?;
        Some((batch, it))
    })
}

impl Streaming {
    async fn next(&mut self) -> Option<Bytes> {
        self.slot.as_ref()?;
        if self.sent > 0 {
            tokio::time::sleep(TICK).await;
        }
        self.fail_midway().await;
        let ready = self.speed.after(self.start.elapsed()).max(1);
        let upto = ready.min(self.tokens);
        let mut batch = BytesMut::new();
        for _ in self.sent..upto {
            batch.extend_from_slice(EVENT);
        }
        self.sent = upto;
        if upto == self.tokens {
            batch.extend_from_slice(&last(self.tokens, self.prompt));
            self.job.finish();
            self.slot = None;
        }
        Some(batch.freeze())
    }

    async fn fail_midway(&self) {
        if self.sent < self.tokens.div_ceil(2) {
            return;
        }
        if self.job.strikes.cut {
            self.job.link.cut();
        }
        if self.job.strikes.cut || self.job.strikes.stall {
            std::future::pending::<()>().await;
        }
    }
}

const EVENT: &[u8] = b"data: {\"choices\":[{\"delta\":{\"content\":\"w\"}}]}\n\n";

fn last(tokens: u64, prompt: u64) -> Vec<u8> {
    let usage = usage(tokens, prompt);
    format!("data: {{\"choices\":[],\"usage\":{usage}}}\n\ndata: [DONE]\n\n").into_bytes()
}

fn usage(tokens: u64, prompt: u64) -> serde_json::Value {
    serde_json::json!({ "prompt_tokens": prompt, "completion_tokens": tokens })
}
