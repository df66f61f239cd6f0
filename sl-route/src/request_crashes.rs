//! Tracking of requests that crash the servers that run them.

use std::collections::HashMap;

use sl_base::{Millis, Timestamp};

use crate::ServerKey;

/// Crashes by request fingerprint. Any of the requests in flight on a crashed server may be
/// the cause, so a request is barred only after several crashes.
#[derive(Clone, Debug, Default)]
pub struct RequestCrashes(HashMap<u64, CrashRecord>);

#[derive(Clone, Debug)]
struct CrashRecord {
    /// The runs that crashed. A run that only broke off responses counts once.
    runs: Vec<ServerKey>,
    expires_at: Timestamp,
}

/// Crashes after which a request is barred.
const CRASHES_MAX: usize = 3;

/// A fingerprint without a crash for this long is forgotten.
const RETENTION: Millis = Millis(60_000);

/// Bound on the number of fingerprints tracked; crashes of further ones are not counted.
const FINGERPRINTS_MAX: usize = 4_096;

impl RequestCrashes {
    /// Records that the run of a server crashed while it ran the request; true if the request is
    /// barred now.
    pub fn record_crash(&mut self, now: Timestamp, fingerprint: u64, run: ServerKey) -> bool {
        if self.0.len() >= FINGERPRINTS_MAX {
            self.0.retain(|_, it| !it.expires_at.is_due(now));
        }
        if self.0.len() >= FINGERPRINTS_MAX && !self.0.contains_key(&fingerprint) {
            return false;
        }
        let expires_at = now.after(RETENTION);
        let record =
            self.0.entry(fingerprint).or_insert(CrashRecord { runs: Vec::new(), expires_at });
        if record.runs.len() < CRASHES_MAX && !record.runs.contains(&run) {
            record.runs.push(run);
        }
        record.expires_at = expires_at;
        record.runs.len() >= CRASHES_MAX
    }

    /// Forgets the crashes of a request that ran to completion; true if there were any.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        self.0.remove(&fingerprint).is_some()
    }

    /// Whether the request is barred from running.
    pub fn is_barred(&self, now: Timestamp, fingerprint: u64) -> bool {
        let record = self.0.get(&fingerprint);
        record.is_some_and(|it| it.runs.len() >= CRASHES_MAX && !it.expires_at.is_due(now))
    }
}
