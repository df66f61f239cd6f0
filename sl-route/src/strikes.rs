//! Requests that crash the servers that run them.

use std::collections::HashMap;

use sl_base::{Millis, Timestamp};

/// Strikes by the request's fingerprint. Of the requests that died together with a server
/// any may be to blame, so a request is refused only once it was there several times.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker(HashMap<u64, CrashRecord>);

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    crashes: u32,
    expires_at: Timestamp,
}

/// Servers that die under a request before it is refused.
const CRASHES_MAX: u32 = 3;

/// A request that killed no server for this long is no longer suspected.
const RETENTION: Millis = Millis(60_000);

/// Fingerprints that are remembered.
const FINGERPRINTS_MAX: usize = 4_096;

impl CrashTracker {
    /// Notes that a server died while it ran the request; true once that is too often.
    pub fn record_crash(&mut self, now: Timestamp, fingerprint: u64) -> bool {
        if self.0.len() >= FINGERPRINTS_MAX {
            self.0.retain(|_, it| !it.expires_at.is_due(now));
        }
        if self.0.len() >= FINGERPRINTS_MAX && !self.0.contains_key(&fingerprint) {
            return false;
        }
        let expires_at = now.after(RETENTION);
        let record = self.0.entry(fingerprint).or_insert(CrashRecord { crashes: 0, expires_at });
        record.crashes += 1;
        record.expires_at = expires_at;
        record.crashes >= CRASHES_MAX
    }

    /// Notes that the request ran to its end, which clears it.
    pub fn clear(&mut self, fingerprint: u64) {
        self.0.remove(&fingerprint);
    }

    /// Whether the request is not to be run any more.
    pub fn is_barred(&self, now: Timestamp, fingerprint: u64) -> bool {
        let record = self.0.get(&fingerprint);
        record.is_some_and(|it| it.crashes >= CRASHES_MAX && !it.expires_at.is_due(now))
    }
}
