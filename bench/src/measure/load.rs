//! Callers that keep their teams backlogged throughout, and count what they receive.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::StreamExt;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reqwest::Response;
use tokio::{sync::Mutex, task::JoinSet, time::Instant};

use crate::{Fleet, site::credential};

/// Tokens of the largest answer.
pub const COST_MAX: u64 = 600;
/// Tokens of the smallest answer.
const COST_MIN: u64 = 20;
/// The exponent of the Pareto distribution of costs: less is heavier in its tail.
const TAIL: f64 = 1.1;
/// Requests outstanding for each unit of a team's share, and the least of them.
const DEPTH_A_SHARE: u32 = 3;
const DEPTH_MIN: u32 = 6;
/// How long a caller waits after an answer that was no success.
const BACK_OFF: Duration = Duration::from_millis(200);
/// What begins each token's event.
const TOKEN: &[u8] = b"data: {\"choices\":[{";

/// What one team received.
#[derive(Debug, Default)]
pub struct Received {
    /// Tokens so far.
    pub tokens: AtomicU64,
}

/// What callers saw.
#[derive(Debug)]
pub struct Seen {
    /// Milliseconds to the first byte.
    pub first_byte: Histogram<u64>,
    /// Microseconds between two tokens, the mean of each stream.
    pub between: Histogram<u64>,
    /// Answers by result code, zero for a backend server's own.
    pub codes: std::collections::BTreeMap<u16, u64>,
}

/// The load and what came of it.
#[derive(Debug)]
pub struct Load {
    /// By team, in the order of the site.
    pub received: Vec<Arc<Received>>,
    /// What all callers saw.
    pub seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    callers: JoinSet<()>,
}

/// Where callers call.
#[derive(Debug)]
struct Doors {
    http: reqwest::Client,
    callers: Vec<SocketAddr>,
    path: &'static str,
}

struct Caller {
    doors: Arc<Doors>,
    credential: String,
    at: Vec<usize>,
    rng: ChaCha8Rng,
    received: Arc<Received>,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
}

impl Load {
    /// Starts callers for every team of the site on `path`, spread unevenly over instances.
    ///
    /// # Errors
    ///
    /// Where the HTTP client cannot be set up.
    pub fn start(fleet: &Fleet, path: &'static str, seed: u64) -> reqwest::Result<Load> {
        let doors = Arc::new(Doors {
            http: reqwest::Client::builder().no_proxy().build()?,
            callers: fleet.instances.iter().map(|it| it.caller).collect(),
            path,
        });
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seen = Arc::new(Mutex::new(Seen::new()));
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        let mut received = Vec::new();
        for (team, share) in &fleet.site.teams {
            let at = instances_of(&mut rng, fleet.instances.len(), *share);
            let tokens = Arc::new(Received::default());
            received.push(Arc::clone(&tokens));
            for _ in 0..(share * DEPTH_A_SHARE).max(DEPTH_MIN) {
                let caller = Caller {
                    doors: Arc::clone(&doors),
                    credential: credential(team),
                    at: at.clone(),
                    rng: ChaCha8Rng::seed_from_u64(rng.random()),
                    received: Arc::clone(&tokens),
                    seen: Arc::clone(&seen),
                    stop: Arc::clone(&stop),
                };
                callers.spawn(caller.go_on());
            }
        }
        Ok(Load { received, seen, stop, callers })
    }

    /// Tokens that each team received so far.
    pub fn tokens(&self) -> Vec<u64> {
        self.received.iter().map(|it| it.tokens.load(Ordering::Relaxed)).collect()
    }

    /// Ends the load without waiting for answers.
    pub async fn end(mut self) -> Arc<Mutex<Seen>> {
        self.stop.store(true, Ordering::Relaxed);
        self.callers.shutdown().await;
        self.seen
    }
}

impl Seen {
    fn new() -> Seen {
        Seen { first_byte: histogram(), between: histogram(), codes: Default::default() }
    }
}

impl Caller {
    async fn go_on(mut self) {
        while !self.stop.load(Ordering::Relaxed) {
            if !self.once().await {
                tokio::time::sleep(BACK_OFF).await;
            }
        }
    }

    async fn once(&mut self) -> bool {
        let cost = cost(&mut self.rng);
        let hint = (cost as f64 * self.rng.random_range(0.5..2.0)) as u64;
        let at = self.at[self.rng.random_range(0..self.at.len())];
        let body = serde_json::json!({
            "stream": true, "max_tokens": COST_MAX, "actual_tokens": cost, "prompt_tokens": 1,
        });
        let sent = Instant::now();
        let url = format!("http://{}{}", self.doors.callers[at], self.doors.path);
        let call = self.doors.http.post(url).bearer_auth(&self.credential);
        let call = call.header("X-Cost-Hint", hint.max(1));
        let answer = call.body(body.to_string()).send().await;
        let Ok(answer) = answer else {
            return false;
        };
        let first_byte = sent.elapsed();
        let code = code_of(&answer);
        {
            let mut seen = self.seen.lock().await;
            *seen.codes.entry(code).or_default() += 1;
            if code == 0 {
                seen.first_byte.saturating_record(first_byte.as_millis() as u64);
            }
        }
        code == 0 && self.read(answer).await
    }

    async fn read(&mut self, answer: Response) -> bool {
        let mut pieces = answer.bytes_stream();
        let mut first = None;
        let mut tokens = 0;
        while let Some(piece) = pieces.next().await {
            let Ok(piece) = piece else {
                return false;
            };
            let more = piece.windows(TOKEN.len()).filter(|it| *it == TOKEN).count() as u64;
            self.received.tokens.fetch_add(more, Ordering::Relaxed);
            first.get_or_insert_with(Instant::now);
            tokens += more;
        }
        if let Some(first) = first
            && tokens > 1
        {
            let micros = first.elapsed().as_micros() as u64 / (tokens - 1);
            self.seen.lock().await.between.saturating_record(micros);
        }
        true
    }
}

/// A large team uses most instances, a small one a few.
fn instances_of(rng: &mut ChaCha8Rng, count: usize, share: u32) -> Vec<usize> {
    let wanted = if share > 1 { count.div_ceil(2) } else { rng.random_range(1..=3) };
    let first = rng.random_range(0..count);
    (0..wanted.min(count)).map(|it| (first + it * 2) % count).collect()
}

fn cost(rng: &mut ChaCha8Rng) -> u64 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    let pareto = COST_MIN as f64 / uniform.powf(1.0 / TAIL);
    (pareto as u64).clamp(COST_MIN, COST_MAX)
}

fn code_of(answer: &Response) -> u16 {
    let code = answer.headers().get("x-sesamelock-code");
    code.and_then(|it| it.to_str().ok()?.parse().ok()).unwrap_or(0)
}

/// A histogram that records up to an hour in microseconds.
fn histogram() -> Histogram<u64> {
    const MICROS_MAX: u64 = 3_600_000_000;
    Histogram::new_with_bounds(1, MICROS_MAX, 3).expect("the bounds are in hdrhistogram's range")
}
