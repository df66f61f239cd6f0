//! Processor time and memory of a daemon, as the system counts them.

use std::fs;

/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Seconds of processor time since its start.
    pub cpu_seconds: f64,
    /// Resident bytes.
    pub resident: u64,
}

/// The usage of a process; zeros once it is gone.
pub fn usage(id: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    // After the name in brackets, user and system time are the twelfth and thirteenth.
    let ticks = |at: usize| fields.get(at).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    let statm = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    Usage {
        cpu_seconds: (ticks(12) + ticks(13)) as f64 / TICKS_PER_SECOND,
        resident: pages * PAGE_BYTES,
    }
}
