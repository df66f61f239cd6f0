//! Lines on their way to standard output: gathered here, and written a few times a second
//! by a thread of their own. When that falls behind, lines are dropped and counted; nobody
//! waits.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        mpsc::{RecvTimeoutError, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes that may wait to be written.
pub const PENDING_BYTES_MAX: usize = 1 << 20;

/// Lines a second that are taken; those on requests are held to less (see
/// [`crate::detail`]).
pub const LINES_PER_SECOND_MAX: u32 = 2_500;

const SECOND: Duration = Duration::from_secs(1);

/// How often lines are written.
const WRITE_EVERY: Duration = Duration::from_millis(50);

/// How long the last lines may take to be written.
const LAST_WITHIN: Duration = Duration::from_millis(500);

/// Takes lines; clones take them together.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer(Arc<Mutex<Waiting>>);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    /// Lines of the second that ends then.
    lines: u32,
    second_ends: Option<Instant>,
    /// Whether the line that is being written is dropped.
    is_dropping: bool,
}

/// Writes lines until it is dropped, and then the last ones.
#[derive(Debug)]
pub struct LogWriter {
    stop: Sender<()>,
    done: Mutex<std::sync::mpsc::Receiver<()>>,
}

impl LogBuffer {
    /// Begins to write lines to `out`.
    pub fn spawn_writer(&self, mut out: impl Write + Send + 'static) -> LogWriter {
        let (stop, stopped) = channel();
        let (tx, done) = channel();
        let lines = self.clone();
        thread::spawn(move || {
            loop {
                let is_last = stopped.recv_timeout(WRITE_EVERY) != Err(RecvTimeoutError::Timeout);
                // Whoever reads the log may be gone; there is nowhere to say so.
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
        let mut waiting = self.lock();
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        if dropped > 0 {
            let line = format!("{{\"msg\":\"log lines dropped\",\"count\":{dropped}}}\n");
            bytes.extend_from_slice(line.as_bytes());
        }
        bytes
    }

    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Waiting {
    /// Whether one more line is taken; counts it.
    fn has_room(&mut self, now: Instant) -> bool {
        if self.second_ends.is_none_or(|it| it <= now) {
            self.second_ends = Some(now + SECOND);
            self.lines = 0;
        }
        self.lines += 1;
        self.lines <= LINES_PER_SECOND_MAX && self.bytes.len() <= PENDING_BYTES_MAX
    }
}

impl Write for LogBuffer {
    /// Takes a part of a line; a line ends where one of its parts ends in a newline.
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let mut waiting = self.lock();
        let is_end = part.ends_with(b"\n");
        let is_start = waiting.bytes.is_empty() || waiting.bytes.ends_with(b"\n");
        if is_start && !waiting.is_dropping {
            waiting.is_dropping = !waiting.has_room(Instant::now());
        }
        if !waiting.is_dropping {
            waiting.bytes.extend_from_slice(part);
        } else if is_end {
            waiting.is_dropping = false;
            waiting.dropped += 1;
        }
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        // Where the thread is gone there is nothing left to write.
        let _ = self.stop.send(());
        if let Ok(done) = self.done.lock() {
            let _ = done.recv_timeout(LAST_WITHIN);
        }
    }
}
