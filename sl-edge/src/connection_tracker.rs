//! Tracks callers' connections: evicts idle ones when too many are open, and counts what a graceful
//! shutdown waits for.
//!
//! Callers keep connections open without using them, and some vanish without closing them. As
//! file descriptors are limited, a new connection above the limit evicts the one that has been
//! idle for longest, which is closed gracefully.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::Notify;

/// Counts open connections and the requests in progress on them, and orders the
/// idle connections by how long they have been idle.
pub struct ConnectionTracker {
    max_open: usize,
    open: Cell<usize>,
    in_progress: Cell<usize>,
    closing: Cell<usize>,
    /// The number given to the latest idle period; numbers increase with time.
    last_number: Cell<u64>,
    /// Wakes each idle connection for its eviction, longest idle first.
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

/// Counts a connection as open until dropped.
pub struct OpenGuard<'a>(&'a ConnectionTracker);

/// Counts a request as in progress until dropped.
pub struct ProgressGuard<'a>(&'a ConnectionTracker);

/// Counts a connection as closing until dropped.
pub struct ClosingGuard<'a>(&'a ConnectionTracker);

/// Marks a connection as idle until dropped.
pub struct IdleGuard<'a> {
    tracker: &'a ConnectionTracker,
    number: u64,
    evict: Rc<Notify>,
}

impl ConnectionTracker {
    /// A tracker that evicts idle connections when more than `max_open` are open.
    pub fn new(max_open: usize) -> ConnectionTracker {
        let idle = RefCell::default();
        ConnectionTracker {
            max_open,
            open: Cell::new(0),
            in_progress: Cell::new(0),
            closing: Cell::new(0),
            last_number: Cell::new(0),
            idle,
        }
    }

    /// Counts a new connection and evicts the longest idle one if too many are open.
    pub fn register(&self) -> OpenGuard<'_> {
        self.open.set(self.open.get() + 1);
        if self.open.get() > self.max_open
            && let Some((_, evict)) = self.idle.borrow_mut().pop_first()
        {
            evict.notify_one();
        }
        OpenGuard(self)
    }

    /// Marks a connection as idle from now on, while it waits for a request.
    pub fn mark_idle(&self) -> IdleGuard<'_> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let evict = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(number, evict.clone());
        IdleGuard { tracker: self, number, evict }
    }

    /// Counts a request as in progress from now on, until its response is written.
    pub fn mark_in_progress(&self) -> ProgressGuard<'_> {
        self.in_progress.set(self.in_progress.get() + 1);
        ProgressGuard(self)
    }

    /// The number of requests of which a part was received and whose response is not written.
    pub fn in_progress_count(&self) -> usize {
        self.in_progress.get()
    }

    /// Counts a connection as closing from now on: its last response may not have reached the
    /// caller.
    pub fn mark_closing(&self) -> ClosingGuard<'_> {
        self.closing.set(self.closing.get() + 1);
        ClosingGuard(self)
    }

    /// The number of connections that are closing.
    pub fn closing_count(&self) -> usize {
        self.closing.get()
    }

    /// The number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }
}

impl IdleGuard<'_> {
    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Drop for ProgressGuard<'_> {
    fn drop(&mut self) {
        self.0.in_progress.set(self.0.in_progress.get() - 1);
    }
}

impl Drop for ClosingGuard<'_> {
    fn drop(&mut self) {
        self.0.closing.set(self.0.closing.get() - 1);
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.tracker.idle.borrow_mut().remove(&self.number);
    }
}
