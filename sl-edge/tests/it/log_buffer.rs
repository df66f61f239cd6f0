//! The log buffer is bounded, and a blocked output does not block the logger.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

use rstest::rstest;
use sl_edge::{
    json_drain,
    log_buffer::{LINES_PER_SECOND_MAX, LogBuffer, PENDING_BYTES_MAX},
};
use slog::{Drain, Logger, info, o};

/// An output that blocks while `blocked` is locked.
#[derive(Clone, Default)]
struct Output {
    blocked: Arc<Mutex<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Output {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let _unblocked = self.blocked.lock().unwrap();
        self.written.lock().unwrap().extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
#[case::many_lines(b"line\n", LINES_PER_SECOND_MAX as usize * 2, LINES_PER_SECOND_MAX as usize)]
#[case::long_lines(&[&[b'x'; 9_999][..], b"\n"].concat(), 300, PENDING_BYTES_MAX / 10_000 + 2)]
fn lines_beyond_the_limits_are_dropped_and_counted(
    #[case] line: &[u8],
    #[case] lines: usize,
    #[case] written_max: usize,
) {
    let output = Output::default();
    let blocked = output.blocked.lock().unwrap();
    let mut log = LogBuffer::default();
    let writer = log.spawn_writer(output.clone());
    let started_at = Instant::now();
    for _ in 0..lines {
        // The formatter writes a line in several parts.
        let (head, tail) = line.split_at(line.len() / 2);
        log.write_all(head).unwrap();
        log.write_all(tail).unwrap();
    }
    assert!(started_at.elapsed().as_millis() < 1_000, "logging does not block");
    drop(blocked);
    drop(writer);
    let text = String::from_utf8(output.written.lock().unwrap().clone()).unwrap();
    let (reports, whole): (Vec<&str>, Vec<&str>) =
        text.lines().partition(|it| it.contains("log lines dropped"));
    let dropped: usize = reports
        .iter()
        .map(|it| it.split(&[':', '}'][..]).nth(2).unwrap().parse::<usize>().unwrap())
        .sum();
    assert!(whole.len() <= written_max, "{}", whole.len());
    assert_eq!(whole.len() + dropped, lines);
}

/// An output that records each write.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<String>>>);

impl Write for Writes {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().push(String::from_utf8(part.to_vec()).unwrap());
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a lock of the buffer for each quote, key and value of a line.
#[test]
fn each_line_is_written_as_a_whole() {
    let writes = Writes::default();
    let drain = Mutex::new(json_drain(writes.clone())).fuse();
    let log = Logger::root(drain, o!("instance" => "i"));
    info!(log, "request ended"; "id" => "a-1", "outcome" => "answered", "took_ms" => 12);
    info!(log, "request ended"; "id" => "a-2\n", "outcome" => "refused", "took_ms" => 1);
    let written = writes.0.lock().unwrap().clone();
    assert_eq!(written.len(), 2, "{written:?}");
    assert!(written.iter().all(|it| it.starts_with('{') && it.ends_with("}\n")), "{written:?}");
}
