//! The log is bounded, and nobody waits for its reader.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

use rstest::rstest;
use sl_edge::lines::{LINES_PER_SECOND_MAX, LogBuffer, PENDING_BYTES_MAX};

/// A reader that takes nothing while `stuck` is locked, and then all.
#[derive(Clone, Default)]
struct Reader {
    stuck: Arc<Mutex<()>>,
    read: Arc<Mutex<Vec<u8>>>,
}

impl Write for Reader {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let _waits = self.stuck.lock().unwrap();
        self.read.lock().unwrap().extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
#[case::many_lines(b"line\n", LINES_PER_SECOND_MAX as usize * 2, LINES_PER_SECOND_MAX as usize)]
#[case::long_lines(&[&[b'x'; 9_999][..], b"\n"].concat(), 300, PENDING_BYTES_MAX / 10_000 + 2)]
fn what_is_too_much_is_dropped_and_counted(
    #[case] line: &[u8],
    #[case] lines: usize,
    #[case] written_max: usize,
) {
    let reader = Reader::default();
    let stuck = reader.stuck.lock().unwrap();
    let mut log = LogBuffer::default();
    let writer = log.spawn_writer(reader.clone());
    let began = Instant::now();
    for _ in 0..lines {
        // A line comes in parts, as the formatter writes it.
        let (head, tail) = line.split_at(line.len() / 2);
        log.write_all(head).unwrap();
        log.write_all(tail).unwrap();
    }
    assert!(began.elapsed().as_millis() < 1_000, "nobody waits");
    drop(stuck);
    drop(writer);
    let text = String::from_utf8(reader.read.lock().unwrap().clone()).unwrap();
    let (told, whole): (Vec<&str>, Vec<&str>) =
        text.lines().partition(|it| it.contains("log lines dropped"));
    let dropped: usize = told
        .iter()
        .map(|it| it.split(&[':', '}'][..]).nth(2).unwrap().parse::<usize>().unwrap())
        .sum();
    assert!(whole.len() <= written_max, "{}", whole.len());
    assert_eq!(whole.len() + dropped, lines);
}
