//! The bound on what one instance holds at once, over all teams.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Counts requests and bytes of bodies between the first byte in and the last byte out.
#[derive(Clone, Debug)]
pub struct Gate(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    requests: AtomicU64,
    bytes: AtomicU64,
    requests_max: u64,
    bytes_max: u64,
}

/// One request's place; dropping it makes room.
#[derive(Debug)]
pub(crate) struct Pass {
    gate: Gate,
    bytes: u64,
}

impl Gate {
    /// A gate for `requests_max` requests with `bytes_max` bytes of bodies in all.
    pub fn new(requests_max: u64, bytes_max: u64) -> Gate {
        Gate(Arc::new(Inner {
            requests: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            requests_max,
            bytes_max,
        }))
    }

    /// Requests inside.
    pub fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }

    /// Bytes of bodies inside.
    pub fn bytes(&self) -> u64 {
        self.0.bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn enter(&self) -> Option<Pass> {
        take(&self.0.requests, 1, self.0.requests_max)
            .then(|| Pass { gate: self.clone(), bytes: 0 })
    }
}

impl Pass {
    /// Takes room for `bytes` more bytes; false where there is none.
    pub(crate) fn grow(&mut self, bytes: u64) -> bool {
        let inner = &self.gate.0;
        let taken = take(&inner.bytes, bytes, inner.bytes_max);
        if taken {
            self.bytes += bytes;
        }
        taken
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        let inner = &self.gate.0;
        inner.requests.fetch_sub(1, Ordering::Relaxed);
        inner.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn take(counter: &AtomicU64, more: u64, max: u64) -> bool {
    counter
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |now| {
            now.checked_add(more).filter(|&then| then <= max)
        })
        .is_ok()
}
