//! Limits the memory of what servers send, over all attempts: heads, bodies that are buffered as a
//! whole, and the bytes of streams that no complete event has delivered yet. Servers in trouble may
//! send bytes without end to many callers at the same time, and an instance has little memory. What
//! will be dropped is not kept at all.

use std::{cell::Cell, rc::Rc};

/// The memory that all attempts share. Clones share it too.
#[derive(Clone, Debug, Default)]
pub struct ResponseMemory {
    /// Bytes in use beyond [`SMALL_RESPONSE_BYTES_MAX`] of each attempt.
    used: Rc<Cell<usize>>,
}

/// The memory of one attempt, which is given back when this is dropped.
#[derive(Debug)]
pub struct ResponseShare {
    memory: ResponseMemory,
    /// Bytes that the attempt keeps.
    len: usize,
}

/// Bytes of an attempt that are always available, so that large bodies never make others fail: those
/// of one read. A thousand attempts with so much fit into the smallest instance, besides the rest.
pub const SMALL_RESPONSE_BYTES_MAX: usize = 16 * 1_024;

/// Bytes that all attempts together may use beyond [`SMALL_RESPONSE_BYTES_MAX`] each.
pub const LARGE_RESPONSES_BYTES_MAX: usize = 16 << 20;

impl ResponseMemory {
    /// The share of an attempt of which nothing has been received.
    pub fn share(&self) -> ResponseShare {
        ResponseShare { memory: self.clone(), len: 0 }
    }
}

impl ResponseShare {
    /// Reserves memory for the next `bytes`. Returns false and reserves nothing if others use it.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        self.resize(self.len + bytes)
    }

    /// Reserves memory for `len` bytes in all, more or fewer than before. Returns false and changes
    /// nothing if others use it.
    pub fn resize(&mut self, len: usize) -> bool {
        let used = self.memory.used.get() - beyond_small(self.len) + beyond_small(len);
        let is_available =
            used <= LARGE_RESPONSES_BYTES_MAX || len <= self.len.max(SMALL_RESPONSE_BYTES_MAX);
        if is_available {
            self.memory.used.set(used);
            self.len = len;
        }
        is_available
    }

    /// Moves what is reserved to a share of its own.
    pub fn take(&mut self) -> ResponseShare {
        ResponseShare { memory: self.memory.clone(), len: std::mem::take(&mut self.len) }
    }

    /// Gives back `bytes` of what is reserved.
    pub fn release(&mut self, bytes: usize) {
        self.resize(self.len.saturating_sub(bytes));
    }
}

impl Drop for ResponseShare {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - beyond_small(self.len));
    }
}

/// The part of `len` bytes that is taken from the shared memory.
fn beyond_small(len: usize) -> usize {
    len.saturating_sub(SMALL_RESPONSE_BYTES_MAX)
}
