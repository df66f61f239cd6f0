//! The buffer between the logger and standard output. A thread writes the buffered lines
//! several times per second. If it falls behind, lines are dropped and counted, so that a
//! blocked output never blocks a request.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{RecvTimeoutError, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes buffered before further lines are dropped.
pub const PENDING_BYTES_MAX: usize = 1 << 20;

/// Lines per second before further lines are dropped. Lines about requests have a lower limit
/// (see [`crate::detail`]).
pub const LINES_PER_SECOND_MAX: u32 = 2_500;

const SECOND: Duration = Duration::from_secs(1);

/// The interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// The timeout of the last write, when the writer is dropped.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// A bounded buffer of lines; clones share it.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer(Arc<Mutex<Pending>>);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
    /// Lines in the current window of one second, including the dropped ones.
    lines: u32,
    window_ends: Option<Instant>,
    /// Whether the rest of the current line is dropped.
    is_dropping: bool,
}

/// Stops the thread that writes the lines: dropping it waits until the last ones are written,
/// for at most half a second.
#[derive(Debug)]
pub struct LogWriter {
    stop: Sender<()>,
    done: Mutex<std::sync::mpsc::Receiver<()>>,
}

impl LogBuffer {
    /// Starts a thread that writes the lines to `out`.
    pub fn spawn_writer(&self, mut out: impl Write + Send + 'static) -> LogWriter {
        let (stop, stopped) = channel();
        let (tx, done) = channel();
        let lines = self.clone();
        thread::spawn(move || {
            loop {
                let is_last =
                    stopped.recv_timeout(WRITE_INTERVAL) != Err(RecvTimeoutError::Timeout);
                // If the output is closed, there is nowhere to report it.
                let _ = out.write_all(&lines.take()).and_then(|()| out.flush());
                if is_last {
                    let _ = tx.send(());
                    return;
                }
            }
        });
        LogWriter { stop, done: Mutex::new(done) }
    }

    fn take(&self) -> Vec<u8> {
        let mut pending = self.lock();
        let mut bytes = std::mem::take(&mut pending.bytes);
        let dropped = std::mem::take(&mut pending.dropped);
        if dropped > 0 {
            let line = format!("{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    fn lock(&self) -> MutexGuard<'_, Pending> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pending {
    /// Counts a line, and returns whether it is within the limits.
    fn has_room(&mut self, now: Instant) -> bool {
        if self.window_ends.is_none_or(|it| it <= now) {
            self.window_ends = Some(now + SECOND);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND_MAX && self.bytes.len() <= PENDING_BYTES_MAX
    }
}

impl Write for LogBuffer {
    /// Buffers a part of a line; a part that ends in a newline is the line's last.
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let mut pending = self.lock();
        let is_end = part.ends_with(b"\n");
        let is_start = pending.bytes.is_empty() || pending.bytes.ends_with(b"\n");
        if is_start && !pending.is_dropping {
            pending.is_dropping = !pending.has_room(Instant::now());
        }
        if !pending.is_dropping {
            pending.bytes.extend_from_slice(part);
        } else if is_end {
            pending.is_dropping = false;
            pending.dropped += 1;
        }
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        // If the thread has ended, nothing is left to write.
        let _ = self.stop.send(());
        if let Ok(done) = self.done.lock() {
            let _ = done.recv_timeout(LAST_WRITE_TIMEOUT);
        }
    }
}
