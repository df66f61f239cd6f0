//! Settings of [`Claims`](crate::Claims).

use sl_base::Millis;

/// Bounds and spans that the claims keep to.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How many chains of segments the keys are spread over. All instances must agree:
    /// it is part of where a key is looked for.
    pub shards: u16,
    /// How long a key is remembered at least, after its last record. A repeat that comes
    /// later runs as new.
    pub key_life: Millis,
    /// By how much the wall clocks of two instances may differ; it is added to
    /// [`Options::key_life`] before records are forgotten.
    pub clock_skew: Millis,
    /// The size in bytes from which an open segment is sealed.
    pub segment_bytes: usize,
    /// The most records that one write adds.
    pub batch_records: usize,
    /// The least time between two writes to one shard.
    pub write_spacing: Millis,
    /// How long a call to the platform may go unanswered.
    pub call_timeout: Millis,
    /// The wait after the first failed call in a row; it doubles with each.
    pub backoff: Millis,
    /// The longest wait after a failed call.
    pub backoff_max: Millis,
    /// How long a shard's owner may take to answer before the claimant goes to the
    /// platform itself.
    pub forward_wait: Millis,
    /// How often an outcome is told to the shard's owner before the claimant writes it.
    pub settle_tries: u32,
    /// How long an outcome is tried to be recorded.
    pub settle_for: Millis,
    /// What a caller is told to wait after a refusal for want of the platform.
    pub retry_after: Millis,
    /// How long a shard that this instance does not own is kept in memory unused.
    pub idle_for: Millis,
    /// The most undecided claims of this instance's own.
    pub max_pending: usize,
    /// The most claims and outcomes that wait for a write, own and forwarded.
    pub max_waiting: usize,
    /// The most keys that one shard's index holds; past it new claims are refused.
    pub max_keys: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            shards: 16,
            key_life: Millis(24 * 60 * 60 * 1_000),
            clock_skew: Millis(10 * 60 * 1_000),
            segment_bytes: 8 * 1_024,
            batch_records: 256,
            write_spacing: Millis(50),
            call_timeout: Millis(1_000),
            backoff: Millis(100),
            backoff_max: Millis(5_000),
            forward_wait: Millis(400),
            settle_tries: 3,
            settle_for: Millis(10 * 60 * 1_000),
            retry_after: Millis(1_000),
            idle_for: Millis(60_000),
            max_pending: 4_096,
            max_waiting: 8_192,
            max_keys: 65_536,
        }
    }
}
