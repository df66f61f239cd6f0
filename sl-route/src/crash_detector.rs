//! Detection of crashed servers from the attempts that they lost.
//!
//! A connection that ends before the response is complete may mean that the server broke off
//! this one response, or that its process crashed with everything that it ran. The losses of a
//! run are therefore kept until the run shows a sign of life, or until it has shown none for
//! [`CONFIRMATION_DELAY`].

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use sl_base::{IdMap, Millis, Timestamp};

use crate::{Fault, ServerKey, crash_causes::Cause, note::AttemptKey};

/// How far a lost attempt had come. The earlier variant is the more suspect one: an engine
/// crashes while it begins a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LossPhase {
    /// The response head was received, and no event.
    HeadOnly,
    /// Nothing was received. The engine may not have begun the request.
    NoResponse,
    /// The first event was received less than [`SUSPECT_PERIOD`] ago.
    JustStarted,
    /// Events were received for longer, so the request did not cause a crash.
    Running,
}

impl LossPhase {
    /// The phase of an attempt that failed at `now`; `None` if the fault is no loss of the
    /// connection.
    pub fn of(now: Timestamp, fault: Fault, started_at: Option<Timestamp>) -> Option<LossPhase> {
        let is_loss = matches!(
            fault,
            Fault::ConnectionLost | Fault::StaleConnection | Fault::TruncatedResponse
        );
        if !is_loss {
            return None;
        }
        Some(match started_at {
            Some(it) if it.after(SUSPECT_PERIOD).is_due(now) => LossPhase::Running,
            Some(_) => LossPhase::JustStarted,
            None if fault == Fault::TruncatedResponse => LossPhase::HeadOnly,
            None => LossPhase::NoResponse,
        })
    }
}

/// An attempt whose connection ended before the response was complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The attempt, which peers report twice.
    pub attempt: AttemptKey,
    /// How far the attempt had come.
    pub phase: LossPhase,
    /// The request.
    pub request: LostRequest,
    /// The keys of the shared parts of its prompt, in order.
    pub parts: Vec<u64>,
    /// Whether this instance made the attempt, rather than a peer.
    pub is_own: bool,
}

/// A request whose attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LostRequest {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The number of crashes under the request before the attempt was sent, as far as the instance
    /// knows that sent it. The loss of the attempt is no part of these.
    pub crashes_before: u32,
}

/// A request that is one of the most likely to have caused a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The keys of the shared parts of its prompt, in order.
    pub parts: Vec<u64>,
}

/// A crash of a server that is regarded as certain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The run of the server that ended.
    pub run: ServerKey,
    /// When its first attempt was lost.
    pub at: Timestamp,
    /// The number of attempts that are known to be lost.
    pub lost: usize,
    /// Whether an attempt of this instance is among them.
    pub is_own: bool,
    /// Whether the run also refused a connection, so that its process was not there for a while.
    pub was_unreachable: bool,
    /// The requests of the lost attempts in the most suspect phase. Empty if all attempts had been
    /// running for long.
    pub suspects: Vec<Suspect>,
    /// The requests of all lost attempts that had not been running for long.
    pub requests: Vec<LostRequest>,
}

/// The losses of each run that are not explained yet.
#[derive(Clone, Debug, Default)]
pub struct CrashDetector {
    pending: IdMap<ServerKey, PendingCrash>,
    /// Until when further losses of a crashed run are ignored.
    crashed: IdMap<ServerKey, Timestamp>,
}

#[derive(Clone, Debug)]
struct PendingCrash {
    first_lost_at: Timestamp,
    confirm_at: Timestamp,
    was_unreachable: bool,
    losses: Vec<Loss>,
}

/// An attempt is no suspect from this time after its first event on.
pub const SUSPECT_PERIOD: Millis = Millis(500);

/// A run has crashed if it shows no sign of life for this long after a loss.
pub const CONFIRMATION_DELAY: Millis = Millis(300);

/// The shortest delay, in which the losses of all instances arrive, where a run refuses
/// connections.
pub const GATHERING_DELAY: Millis = Millis(100);

/// A sign of life within this time after a loss may be older than the loss: a note takes so long
/// over two relays.
const NOTE_DELAY: Millis = Millis(60);

/// How long further losses of a crashed run are ignored.
const CRASHED_RETENTION: Millis = Millis(10_000);

/// Bound on the number of runs tracked; losses of further ones are not recorded.
pub const RUNS_MAX: usize = 1_024;

/// Bound on the losses that are recorded of one run.
const LOSSES_PER_RUN_MAX: usize = 256;

impl CrashDetector {
    /// Records that an attempt at a run was lost.
    pub fn record_loss(&mut self, now: Timestamp, run: ServerKey, loss: Loss) {
        self.crashed.retain(|_, until| !until.is_due(now));
        let is_known = self.pending.contains_key(&run);
        if self.crashed.contains_key(&run) || !is_known && self.pending.len() >= RUNS_MAX {
            return;
        }
        let pending = self.pending.entry(run).or_insert_with(|| PendingCrash {
            first_lost_at: now,
            confirm_at: now.after(CONFIRMATION_DELAY),
            was_unreachable: false,
            losses: Vec::new(),
        });
        let is_new = pending.losses.iter().all(|it| it.attempt != loss.attempt);
        if is_new && pending.losses.len() < LOSSES_PER_RUN_MAX {
            pending.losses.push(loss);
        }
    }

    /// Records a sign of life of a run: its losses until shortly before were no crash.
    pub fn record_alive(&mut self, now: Timestamp, run: ServerKey) {
        self.crashed.remove(&run);
        let lost_at = self.pending.get(&run).map(|it| it.first_lost_at);
        if lost_at.is_some_and(|it| it.after(NOTE_DELAY).is_due(now)) {
            self.pending.remove(&run);
        }
    }

    /// Records that a run refused a connection, so it need not be waited for any longer.
    pub fn record_unreachable(&mut self, run: ServerKey) {
        if let Some(pending) = self.pending.get_mut(&run) {
            pending.was_unreachable = true;
            pending.confirm_at =
                pending.confirm_at.min(pending.first_lost_at.after(GATHERING_DELAY));
        }
    }

    /// Takes the crashes that have become certain, the earliest first.
    pub fn take_confirmed(&mut self, now: Timestamp) -> Vec<Crash> {
        if self.pending.is_empty() {
            return Vec::new();
        }
        let confirmed = self.pending.extract_if(|_, it| it.confirm_at.is_due(now));
        let mut crashes: Vec<Crash> = confirmed.map(|(run, it)| it.into_crash(run)).collect();
        crashes.sort_by_key(|it| (it.at, it.run));
        for crash in &crashes {
            if self.crashed.len() < RUNS_MAX {
                self.crashed.insert(crash.run, now.after(CRASHED_RETENTION));
            }
        }
        crashes
    }

    /// The number of runs tracked, for tests of the bounds.
    pub fn len(&self) -> usize {
        self.pending.len() + self.crashed.len()
    }

    /// Whether no run is tracked.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Loss {
    fn into_suspect(self) -> Suspect {
        Suspect { fingerprint: self.request.fingerprint, parts: self.parts }
    }
}

impl Crash {
    /// Everything that may have caused the crash.
    pub fn causes(&self) -> impl Iterator<Item = Cause> {
        self.parts().chain(self.requests.iter().map(|it| Cause::Request(it.fingerprint)))
    }

    /// What is most likely to have caused the crash.
    pub fn likely(&self) -> impl Iterator<Item = Cause> {
        self.parts().chain(self.suspects.iter().map(|it| Cause::Request(it.fingerprint)))
    }

    fn parts(&self) -> impl Iterator<Item = Cause> {
        self.suspects.iter().flat_map(|it| &it.parts).map(|it| Cause::Part(*it))
    }

    /// Whether the request is among the suspects.
    pub fn suspects_request(&self, fingerprint: u64) -> bool {
        self.suspects.iter().any(|it| it.fingerprint == fingerprint)
    }

    /// The shared prompt parts of a request among the suspects. They may crash servers under other
    /// requests as well.
    pub fn parts_of(&self, cause: Cause) -> BTreeSet<Cause> {
        let suspects = self.suspects.iter().filter(|it| Cause::Request(it.fingerprint) == cause);
        suspects.flat_map(|it| &it.parts).map(|it| Cause::Part(*it)).collect()
    }
}

impl PendingCrash {
    fn into_crash(self, run: ServerKey) -> Crash {
        let lost = self.losses.len();
        let is_own = self.losses.iter().any(|it| it.is_own);
        let was_unreachable = self.was_unreachable;
        let phase = self.losses.iter().map(|it| it.phase).min();
        let phase = phase.filter(|it| *it != LossPhase::Running);
        let requests = self.losses.iter().filter(|it| it.phase != LossPhase::Running);
        let requests = requests.map(|it| it.request).collect();
        let suspects = self.losses.into_iter().filter(|it| Some(it.phase) == phase);
        let suspects = suspects.map(Loss::into_suspect).collect();
        let at = self.first_lost_at;
        Crash { run, at, lost, is_own, was_unreachable, suspects, requests }
    }
}
