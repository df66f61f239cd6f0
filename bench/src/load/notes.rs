//! The notes that one instance of a large fleet receives from its peers, to measure what they cost
//! it. An instance applies each note of all others, so on a small one they may take more processor
//! time than its own callers.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{InstanceId, Millis, ServiceId, StreamId, TeamId, Timestamp};
use sl_route::{Event, Notes, PromptPart, ServerKey, ServerRecord, State, note::Note};

use super::{
    Load, Options, Policy,
    fleet::{self, PLAIN_SERVICE, START},
};

/// The size and the traffic of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetTraffic {
    /// Seed of all choices.
    pub seed: u64,
    /// Number of instances that send notes.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
    /// Model requests that all instances together send to engines in a second.
    pub requests_per_second: u64,
}

/// The messages that the instances send at about the same time.
#[derive(Clone, Debug)]
pub struct MessageRound {
    /// When they arrive.
    pub at: Timestamp,
    /// A message of each instance that has notes.
    pub messages: Vec<PeerMessage>,
}

/// The notes of one instance since its last message.
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// The instance.
    pub from: InstanceId,
    /// The number of the message, from 1 on.
    pub sequence: u64,
    /// The notes, oldest first.
    pub notes: Notes,
}

/// A fleet whose instances get some 8,300 messages a second, of two notes each, which is much for the
/// smallest of them.
pub const LARGE_FLEET: FleetTraffic =
    FleetTraffic { seed: 1, instances: 295, engines: 320, requests_per_second: 4_150 };

/// Number of servers of other requests than model requests.
const PLAIN_SERVERS: usize = 6;

/// There is one plain request for so many model requests.
const MODEL_REQUESTS_PER_PLAIN: u64 = 16;

/// Interval between two rounds of messages; that of a fleet with relays.
const ROUND: Millis = Millis(20);

/// Spans from the sending of a request to its first token and to its end, in milliseconds. Those of plain
/// requests are shorter.
const FIRST_TOKEN_MS: std::ops::Range<u64> = 100..500;
const END_MS: std::ops::Range<u64> = 1_500..3_500;
const PLAIN_RESPONSE_MS: std::ops::Range<u64> = 20..60;

/// The numbers of teams and of prompt parts that requests share.
const TEAMS: u32 = 60;
const SYSTEM_PROMPTS: u32 = 40;
const SESSIONS: u32 = 4_000;

/// Tokens of the parts of a prompt, and of the charge.
const SYSTEM_PROMPT_TOKENS: u32 = 1_200;
const SESSION_TOKENS: u32 = 700;
const OWN_TOKENS: u32 = 300;
const CHARGE_TOKENS: u32 = 3_000;

/// Time between the events of a completed stream, in microseconds.
const EVENT_INTERVAL_MICROS: u32 = 42_000;

impl FleetTraffic {
    /// An instance that knows all servers and has received nothing.
    pub fn receiver(&self) -> State {
        let mut state = fleet::instance(self.options(), 0);
        for index in 0..PLAIN_SERVERS {
            state.step(START, Event::ServerListed(self.plain_record(index)));
        }
        state
    }

    /// The messages of all instances over `duration`, in the order in which they arrive.
    pub fn rounds(&self, duration: Millis) -> Vec<MessageRound> {
        let mut notes = self.notes(duration);
        notes.sort_by_key(|it| it.at);
        let mut rounds: BTreeMap<Timestamp, BTreeMap<InstanceId, Vec<Note>>> = BTreeMap::new();
        for SentNote { at, from, note } in notes {
            let round = rounds.entry(round_end(at)).or_default();
            round.entry(from).or_default().push(note);
        }
        let mut sequences: BTreeMap<InstanceId, u64> = BTreeMap::new();
        let mut message = |from: InstanceId, notes: Vec<Note>| {
            let sequence = sequences.entry(from).or_default();
            *sequence += 1;
            PeerMessage { from, sequence: *sequence, notes: Notes { notes } }
        };
        let end = START.after(duration);
        let rounds = rounds.into_iter().filter(|(at, _)| *at <= end);
        rounds
            .map(|(at, it)| MessageRound {
                at,
                messages: it.into_iter().map(|(from, notes)| message(from, notes)).collect(),
            })
            .collect()
    }

    fn notes(&self, duration: Millis) -> Vec<SentNote> {
        let servers = Servers {
            engines: (0..self.engines).map(|it| fleet::record(self.options(), it).key()).collect(),
            plain: (0..PLAIN_SERVERS).map(|it| self.plain_record(it).key()).collect(),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let count = self.requests_per_second * duration.0 / MILLIS_PER_SECOND;
        let mut notes = Vec::new();
        for attempt in 1..=count {
            let micros = attempt * MICROS_PER_SECOND / self.requests_per_second;
            let at = Timestamp::from_micros(START.as_micros() + micros);
            let from = format!("edge-{}", rng.random_range(0..self.instances));
            let request = Request { at, from: InstanceId::of(&from), attempt };
            request.push_model_notes(&servers, &mut rng, &mut notes);
            if attempt % MODEL_REQUESTS_PER_PLAIN == 0 {
                let request = Request { attempt: count + attempt, ..request };
                request.push_plain_notes(&servers, &mut rng, &mut notes);
            }
        }
        notes
    }

    fn options(&self) -> Options {
        Options {
            seed: self.seed,
            load: Load::Calm,
            policy: Policy::Notes,
            instances: self.instances,
            engines: self.engines,
            data_centres: 1,
            data_centre_cost_ms_per_mb: 0.0,
            balances_routes: false,
            processor: None,
            lease: Millis(0),
            duration: Millis(0),
        }
    }

    fn plain_record(&self, index: usize) -> ServerRecord {
        ServerRecord {
            id: format!("p{index}").into(),
            service: ServiceId::of(PLAIN_SERVICE),
            ..fleet::record(self.options(), index)
        }
    }
}

struct Servers {
    engines: Vec<ServerKey>,
    plain: Vec<ServerKey>,
}

/// A note with the time at which an instance wrote it.
struct SentNote {
    at: Timestamp,
    from: InstanceId,
    note: Note,
}

#[derive(Clone, Copy)]
struct Request {
    at: Timestamp,
    from: InstanceId,
    attempt: u64,
}

impl Request {
    fn push_model_notes(self, servers: &Servers, rng: &mut ChaCha8Rng, notes: &mut Vec<SentNote>) {
        let server = servers.engines[rng.random_range(0..servers.engines.len())];
        let attempt = self.attempt;
        let team = TeamId::of(&format!("team-{}", rng.random_range(0..TEAMS)));
        let stream = StreamId::of(&format!("stream-{attempt}"));
        let part = |id: String, tokens| PromptPart::new("m", &id, tokens);
        let parts = vec![
            part(format!("system-{}", rng.random_range(0..SYSTEM_PROMPTS)), SYSTEM_PROMPT_TOKENS),
            part(format!("session-{}", rng.random_range(0..SESSIONS)), SESSION_TOKENS),
            part(format!("own-{attempt}"), OWN_TOKENS),
        ];
        notes.push(self.note(0, Note::TokensRequested { team, tokens: CHARGE_TOKENS }));
        notes.push(self.note(
            0,
            Note::AttemptSent {
                server,
                attempt,
                prefill_tokens: SESSION_TOKENS + OWN_TOKENS,
                charge: Some((team, CHARGE_TOKENS)),
                parts,
                fetch: None,
                stream: Some(stream),
            },
        ));
        let started_ms = rng.random_range(FIRST_TOKEN_MS);
        notes.push(self.note(started_ms, Note::ResponseStarted { server, attempt }));
        let event_interval_micros = Some(EVENT_INTERVAL_MICROS);
        let end = Note::AttemptEnded { server, attempt, event_interval_micros, refunded: None };
        notes.push(self.note(rng.random_range(END_MS), end));
    }

    fn push_plain_notes(self, servers: &Servers, rng: &mut ChaCha8Rng, notes: &mut Vec<SentNote>) {
        let server = servers.plain[rng.random_range(0..servers.plain.len())];
        let attempt = self.attempt;
        notes.push(self.note(
            0,
            Note::AttemptSent {
                server,
                attempt,
                prefill_tokens: 0,
                charge: None,
                parts: Vec::new(),
                fetch: None,
                stream: None,
            },
        ));
        let end_ms = rng.random_range(PLAIN_RESPONSE_MS);
        notes.push(self.note(end_ms, Note::ResponseStarted { server, attempt }));
        let end =
            Note::AttemptEnded { server, attempt, event_interval_micros: None, refunded: None };
        notes.push(self.note(end_ms, end));
    }

    fn note(self, after_ms: u64, note: Note) -> SentNote {
        SentNote { at: self.at.after(Millis(after_ms)), from: self.from, note }
    }
}

/// The end of the round in which what happens at `at` is sent.
fn round_end(at: Timestamp) -> Timestamp {
    let round_micros = ROUND.0 * MICROS_PER_MILLI;
    Timestamp::from_micros((at.as_micros() / round_micros + 1) * round_micros)
}

const MILLIS_PER_SECOND: u64 = 1_000;
const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
