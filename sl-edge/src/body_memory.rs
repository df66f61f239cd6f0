//! Limits the memory of the response bodies that are buffered as a whole, over all requests:
//! servers in trouble may send bodies without end to many callers at the same time, and an
//! instance has little memory.

use std::{cell::Cell, rc::Rc};

/// The memory that all large bodies share. Clones share it too.
#[derive(Clone, Debug, Default)]
pub struct BodyMemory {
    /// Bytes that large bodies use at present.
    used: Rc<Cell<usize>>,
}

/// The memory of one body, which is given back when this is dropped.
#[derive(Debug)]
pub struct BodyShare {
    memory: BodyMemory,
    /// Bytes of the body so far.
    len: usize,
}

/// Bytes of a body that are always available, so that large bodies never make others fail.
pub const SMALL_BODY_BYTES_MAX: usize = 64 * 1_024;

/// Bytes that all bodies together may use beyond [`SMALL_BODY_BYTES_MAX`] each.
pub const LARGE_BODIES_BYTES_MAX: usize = 16 << 20;

impl BodyMemory {
    /// The share of a body of which nothing has been received.
    pub fn share(&self) -> BodyShare {
        BodyShare { memory: self.clone(), len: 0 }
    }
}

impl BodyShare {
    /// Reserves memory for the next `bytes` of the body. Returns false and reserves nothing if
    /// other large bodies use it.
    pub fn reserve(&mut self, bytes: usize) -> bool {
        let len = self.len + bytes;
        let used = self.memory.used.get() - beyond_small(self.len) + beyond_small(len);
        let is_available = used <= LARGE_BODIES_BYTES_MAX || beyond_small(len) == 0;
        if is_available {
            self.memory.used.set(used);
            self.len = len;
        }
        is_available
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - beyond_small(self.len));
    }
}

/// The part of a body of `len` bytes that is taken from the shared memory.
fn beyond_small(len: usize) -> usize {
    len.saturating_sub(SMALL_BODY_BYTES_MAX)
}
