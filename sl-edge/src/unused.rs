//! Callers' connections that wait for a request, and which of them yield.
//!
//! Callers keep connections that they do not use, and some drop them without notice.
//! Descriptors are bounded: where callers' connections have taken their part, the one that
//! was unused for longest ends in order, so that whoever comes anew is heard.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use tokio::sync::Notify;

/// Counts connections and knows which of them wait, the longest first.
pub struct ConnectionTracker {
    open_max: usize,
    open: Cell<usize>,
    last_number: Cell<u64>,
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

/// One open connection.
pub struct OpenGuard<'a>(&'a ConnectionTracker);

/// One connection that waits for a request.
pub struct IdleGuard<'a> {
    tracker: &'a ConnectionTracker,
    number: u64,
    evict: Rc<Notify>,
}

impl ConnectionTracker {
    /// No connections yet; from `open_max` on those that are unused yield.
    pub fn new(open_max: usize) -> ConnectionTracker {
        let idle = RefCell::default();
        ConnectionTracker { open_max, open: Cell::new(0), last_number: Cell::new(0), idle }
    }

    /// Counts a new connection; an unused one yields to it where there are too many.
    pub fn register(&self) -> OpenGuard<'_> {
        self.open.set(self.open.get() + 1);
        if self.open.get() > self.open_max
            && let Some((_, evict)) = self.idle.borrow_mut().pop_first()
        {
            evict.notify_one();
        }
        OpenGuard(self)
    }

    /// Notes that a connection waits for a request from now on.
    pub fn mark_idle(&self) -> IdleGuard<'_> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let evict = Rc::new(Notify::new());
        self.idle.borrow_mut().insert(number, evict.clone());
        IdleGuard { tracker: self, number, evict }
    }

    /// Connections that are open.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }
}

impl IdleGuard<'_> {
    /// Waits until the connection has to yield.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.tracker.idle.borrow_mut().remove(&self.number);
    }
}
