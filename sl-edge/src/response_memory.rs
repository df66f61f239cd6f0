//! Limits the memory of what servers send, over all attempts: heads, bodies that are buffered as a
//! whole, the bytes of streams that no complete event has delivered yet, and what callers have not
//! read. Servers in trouble may send bytes without end to many callers at the same time, and an
//! instance has little memory. What will be dropped is not kept at all.
//!
//! Callers that read nothing for a while give way to others: see docs/design/slow-readers.md.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::{Rc, Weak},
};

use tokio::sync::Notify;

/// The memory that all attempts share. Clones share it too.
#[derive(Clone, Debug, Default)]
pub struct ResponseMemory(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    /// Bytes in use beyond [`SMALL_RESPONSE_BYTES_MAX`] of each attempt.
    used: Cell<usize>,
    /// What is kept for callers that read nothing, the longest paused first.
    paused: RefCell<VecDeque<Weak<Kept>>>,
}

/// The memory of one attempt, which is given back when this is dropped.
#[derive(Debug)]
pub struct ResponseShare {
    memory: ResponseMemory,
    kept: Rc<Kept>,
}

/// What one attempt keeps.
#[derive(Debug, Default)]
struct Kept {
    /// Bytes that the attempt keeps.
    len: Cell<usize>,
    /// Whether the caller reads nothing.
    is_paused: Cell<bool>,
    /// Signalled when the bytes have to be dropped.
    evicted: Notify,
}

/// Bytes of an attempt that are always available, so that large bodies never make others fail: those
/// of one read. A thousand attempts with so much fit into the smallest instance, besides the rest.
pub const SMALL_RESPONSE_BYTES_MAX: usize = 16 * 1_024;

/// Bytes that all attempts together may use beyond [`SMALL_RESPONSE_BYTES_MAX`] each.
pub const LARGE_RESPONSES_BYTES_MAX: usize = 16 << 20;

impl ResponseMemory {
    /// The share of an attempt of which nothing has been received.
    pub fn share(&self) -> ResponseShare {
        ResponseShare { memory: self.clone(), kept: Rc::default() }
    }

    /// Drops what is kept for the callers that have been paused for longest, until `bytes` more are
    /// available or none is left.
    fn make_room(&self, bytes: usize) {
        while self.0.used.get() + bytes > LARGE_RESPONSES_BYTES_MAX {
            let Some(longest) = self.take_longest_paused() else {
                return;
            };
            self.resize(&longest, 0);
            longest.evicted.notify_one();
        }
    }

    /// What is kept for the caller that has been paused for longest. Small responses are left out, since
    /// others never need their memory.
    fn take_longest_paused(&self) -> Option<Rc<Kept>> {
        let mut paused = self.0.paused.borrow_mut();
        let is_large = |it: &Rc<Kept>| beyond_small(it.len.get()) > 0;
        let index = paused.iter().position(|it| it.upgrade().as_ref().is_some_and(is_large))?;
        paused.remove(index)?.upgrade()
    }

    fn resize(&self, kept: &Kept, len: usize) {
        let used = self.0.used.get() - beyond_small(kept.len.get()) + beyond_small(len);
        self.0.used.set(used);
        kept.len.set(len);
    }
}

impl ResponseShare {
    /// Reserves memory for the next `bytes`. Returns false and reserves nothing if others use it.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        self.resize(self.kept.len.get() + bytes)
    }

    /// Reserves memory for `len` bytes in all, more or fewer than before. Returns false and changes
    /// nothing if others use it and read what they have.
    pub fn resize(&mut self, len: usize) -> bool {
        let before = self.kept.len.get();
        let more = beyond_small(len).saturating_sub(beyond_small(before));
        // What a paused caller gets more is no reason to drop what others have.
        if more > 0 && !self.kept.is_paused.get() {
            self.memory.make_room(more);
        }
        let is_available =
            more == 0 || self.memory.0.used.get() + more <= LARGE_RESPONSES_BYTES_MAX;
        if is_available {
            self.memory.resize(&self.kept, len);
        }
        is_available
    }

    /// Moves what is reserved to a share of its own.
    pub fn take(&mut self) -> ResponseShare {
        ResponseShare { memory: self.memory.clone(), kept: std::mem::take(&mut self.kept) }
    }

    /// Gives back `bytes` of what is reserved.
    pub fn release(&mut self, bytes: usize) {
        self.resize(self.kept.len.get().saturating_sub(bytes));
    }

    /// Sets whether the caller reads nothing, so that its bytes may be dropped for the sake of others.
    pub fn set_paused(&self, is_paused: bool) {
        let was_paused = self.kept.is_paused.replace(is_paused);
        let mut paused = self.memory.0.paused.borrow_mut();
        if is_paused && !was_paused {
            paused.push_back(Rc::downgrade(&self.kept));
        } else if was_paused && !is_paused {
            paused.retain(|it| it.as_ptr() != Rc::as_ptr(&self.kept));
        }
    }

    /// Waits until the bytes have to be dropped, for the sake of callers that read.
    pub async fn evicted(&self) {
        self.kept.evicted.notified().await;
    }
}

impl Drop for ResponseShare {
    fn drop(&mut self) {
        self.set_paused(false);
        self.memory.resize(&self.kept, 0);
    }
}

/// The part of `len` bytes that is taken from the shared memory.
fn beyond_small(len: usize) -> usize {
    len.saturating_sub(SMALL_RESPONSE_BYTES_MAX)
}
