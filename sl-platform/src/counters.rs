//! How many calls and bytes go to the platform, by kind of call.

use std::sync::atomic::{AtomicU64, Ordering};

/// The kinds of call that are counted apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// Reads of a key.
    Get,
    /// Waits for a change of a key.
    Watch,
    /// Writes of a key.
    Put,
    /// Removals of a key.
    Delete,
    /// Reads of the list.
    List,
}

impl Kind {
    /// Every kind, in the order of its discriminant.
    pub const ALL: [Kind; 5] = [Kind::Get, Kind::Watch, Kind::Put, Kind::Delete, Kind::List];

    /// The kind's name as a metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Get => "get",
            Kind::Watch => "watch",
            Kind::Put => "put",
            Kind::Delete => "delete",
            Kind::List => "list",
        }
    }
}

/// The counts of one kind since the client's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// Calls made.
    pub calls: u64,
    /// Calls that ended without an answer.
    pub lost: u64,
    /// Calls that the service refused.
    pub refused: u64,
    /// Bytes of values sent.
    pub bytes_sent: u64,
    /// Bytes of bodies received.
    pub bytes_received: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Counters([Cell; Kind::ALL.len()]);

#[derive(Debug, Default)]
struct Cell {
    calls: AtomicU64,
    lost: AtomicU64,
    refused: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
}

impl Counters {
    pub(crate) fn call(&self, kind: Kind, bytes: usize) {
        let cell = &self.0[kind as usize];
        cell.calls.fetch_add(1, Ordering::Relaxed);
        cell.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, kind: Kind, bytes: usize) {
        self.0[kind as usize].bytes_received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn lost(&self, kind: Kind) {
        self.0[kind as usize].lost.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn refused(&self, kind: Kind) {
        self.0[kind as usize].refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn read(&self, kind: Kind) -> Counted {
        let cell = &self.0[kind as usize];
        Counted {
            calls: cell.calls.load(Ordering::Relaxed),
            lost: cell.lost.load(Ordering::Relaxed),
            refused: cell.refused.load(Ordering::Relaxed),
            bytes_sent: cell.bytes_sent.load(Ordering::Relaxed),
            bytes_received: cell.bytes_received.load(Ordering::Relaxed),
        }
    }
}
