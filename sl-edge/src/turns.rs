//! Turns of a task that always finds more to do, so that the other tasks of the thread run in between.

use tokio::task::yield_now;

/// Counts what a task has done in its current turn.
#[derive(Debug)]
pub struct Turns {
    size: u32,
    left: u32,
}

impl Turns {
    /// Turns of `size` items each.
    pub fn new(size: u32) -> Turns {
        Turns { size, left: size }
    }

    /// Takes one item of the current turn. If there is none left, lets the other tasks run first.
    pub async fn take(&mut self) {
        if self.left == 0 {
            yield_now().await;
            self.left = self.size;
        }
        self.left = self.left.saturating_sub(1);
    }
}
