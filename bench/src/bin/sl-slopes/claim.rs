//! Slopes of sl-claim: by claims in a segment, by keys, and by claims a second.

use std::{collections::BTreeMap, time::Instant};

use bytes::Bytes;
use sl_base::{
    Incarnation, InstanceId, RequestId, TeamId, Timestamp,
    call::{Call, CallId, Reply, Version},
    hash::KeyHash,
};
use sl_claim::{
    Claims, Decision, Message, Options, Output, Settled, Token,
    index::Index,
    segment::{Fate, Record, Segment, What},
};

use crate::{Series, fit::resident, sweep};

const AREA: &str = "sl-claim";
const RECORDS: [u64; 4] = [10, 50, 100, 200];
const KEYS: [u64; 4] = [10_000, 20_000, 40_000, 80_000];
const RATES: [u64; 5] = [20, 100, 500, 2_000, 8_000];
const LIFE: Incarnation = Incarnation(1_700_000_000_000_000);
/// How long the platform takes to answer.
const ANSWER_MS: u64 = 3;
/// How long a claimed request runs.
const RUN_MS: u64 = 100;
/// How long a rate is kept up.
const SPAN_MS: u64 = 10_000;

/// All quantities.
pub fn series() -> Vec<Series> {
    vec![
        sweep(AREA, "resident bytes of an index", "keys", &KEYS, memory),
        sweep(AREA, "wire bytes of a segment", "records", &RECORDS, wire),
        sweep(
            AREA,
            "wire bytes of claim, verdict, outcome and receipt between two instances",
            "claims",
            &RECORDS,
            messages,
        ),
        sweep(AREA, "platform calls a second, 16 shards", "claims a second", &RATES, |rate| {
            run(rate).calls
        }),
        sweep(AREA, "platform writes a second, 16 shards", "claims a second", &RATES, |rate| {
            run(rate).writes
        }),
        sweep(AREA, "platform bytes a second, 16 shards", "claims a second", &RATES, |rate| {
            run(rate).bytes
        }),
        sweep(AREA, "ns of a claim and its outcome, in all", "claims a second", &RATES, |rate| {
            run(rate).nanos
        }),
    ]
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(LIFE.0 + millis * 1_000)
}

fn key(n: u64) -> KeyHash {
    KeyHash::of(TeamId(7), &n.to_string())
}

fn token(n: u64) -> Token {
    Token { instance: InstanceId::of("instance-0"), incarnation: LIFE, request: RequestId(n) }
}

fn record(n: u64, what: What) -> Record {
    Record { key: key(n), token: token(n), what }
}

fn wire(records: u64) -> f64 {
    let segment = Segment {
        newest: at(0),
        records: (0..records).map(|n| record(n, What::Claim)).collect(),
        ..Segment::default()
    };
    segment.encode().len() as f64
}

fn messages(claims: u64) -> f64 {
    let bytes = |n| {
        let (key, token) = (key(n), token(n));
        let fate = Fate::Ran { status: 200 };
        let verdict = sl_claim::Verdict::Granted;
        let exchange = [
            Message::Claim { key, token },
            Message::Claimed { token, verdict },
            Message::Settle { key, token, fate },
            Message::Settled { token },
        ];
        postcard::to_stdvec(&exchange).map_or(0, |it| it.len())
    };
    (0..claims).map(bytes).sum::<usize>() as f64
}

fn memory(keys: u64) -> f64 {
    let before = resident();
    let mut index = Index::default();
    for n in 0..keys {
        index.apply(1, &record(n, What::Claim));
    }
    let bytes = resident() - before;
    std::mem::forget(index);
    bytes
}

/// The key-value service, which answers each call after a while.
#[derive(Default)]
struct Platform {
    values: BTreeMap<String, (Version, Bytes)>,
    last: u64,
    under_way: Vec<(u64, CallId, Reply)>,
    calls: u64,
    writes: u64,
    bytes: u64,
}

impl Platform {
    fn take(&mut self, answer_at: u64, id: CallId, call: Call) {
        self.calls += 1;
        self.writes += u64::from(!matches!(call, Call::Get { .. } | Call::Watch { .. }));
        let reply = self.carry_out(call);
        self.under_way.push((answer_at, id, reply));
    }

    fn carry_out(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } | Call::Watch { key, .. } => self.get(&key),
            Call::Put { key, expect, value } => self.put(key, expect, value),
            Call::Delete { key, .. } => {
                self.values.remove(&key);
                Reply::Done { version: Version::ABSENT }
            }
        }
    }

    fn get(&mut self, key: &str) -> Reply {
        let Some((version, value)) = self.values.get(key) else {
            return Reply::Absent;
        };
        self.bytes += value.len() as u64;
        Reply::Value { version: *version, value: value.clone() }
    }

    fn put(&mut self, key: String, expect: Version, value: Bytes) -> Reply {
        let version = self.values.get(&key).map_or(Version::ABSENT, |it| it.0);
        if version != expect {
            return Reply::Conflict { version };
        }
        self.last += 1;
        self.bytes += value.len() as u64;
        let version = Version(self.last);
        self.values.insert(key, (version, value));
        Reply::Done { version }
    }

    fn answered(&mut self, now: u64) -> Vec<(CallId, Reply)> {
        let (due, rest) =
            std::mem::take(&mut self.under_way).into_iter().partition(|it| it.0 <= now);
        self.under_way = rest;
        due.into_iter().map(|(_, id, reply)| (id, reply)).collect()
    }
}

struct Cost {
    calls: f64,
    writes: f64,
    bytes: f64,
    nanos: f64,
}

/// One owner of all shards under `rate` claims a second.
fn run(rate: u64) -> Cost {
    let mut platform = Platform::default();
    let mut claims = Claims::new(Options::default(), InstanceId::of("instance-0"), LIFE);
    let mut running = Vec::new();
    let mut spent = 0;
    let mut next = 0;
    let mut granted = 0;
    for millis in 0..SPAN_MS {
        let replies = platform.answered(millis);
        let due = (millis + 1) * rate / 1_000;
        let start = Instant::now();
        turn(&mut claims, millis, next..due, replies, &mut running);
        let out = claims.take();
        spent += start.elapsed().as_nanos();
        next = due;
        for output in out {
            match output {
                Output::Call { id, call, .. } => platform.take(millis + ANSWER_MS, id, call),
                Output::Decided { request, decision: Decision::Granted } => {
                    granted += 1;
                    running.push((millis + RUN_MS, request));
                }
                _ => {}
            }
        }
    }
    let seconds = SPAN_MS as f64 / 1_000.0;
    if granted * 10 < next * 9 {
        eprintln!("{AREA}: only {granted} of {next} claims were granted at {rate} a second");
    }
    Cost {
        calls: platform.calls as f64 / seconds,
        writes: platform.writes as f64 / seconds,
        bytes: platform.bytes as f64 / seconds,
        nanos: spent as f64 / granted.max(1) as f64,
    }
}

fn turn(
    claims: &mut Claims,
    millis: u64,
    new: std::ops::Range<u64>,
    replies: Vec<(CallId, Reply)>,
    running: &mut Vec<(u64, RequestId)>,
) {
    let now = at(millis);
    for (id, reply) in replies {
        claims.on_reply(now, id, reply);
    }
    let ended = running.iter().take_while(|it| it.0 <= millis).count();
    for (_, request) in running.drain(..ended) {
        claims.settle(now, request, Settled::Ran { status: 200 });
    }
    for n in new {
        claims.claim(now, RequestId(n), key(n), at(millis + 2_000));
    }
    if claims.due(now).is_due(now) {
        claims.tick(now);
    }
}
