//! Origins of streams in the platform's store: the version record and the batches. See
//! docs/design/stream-origins.md.

use sl_base::{ServiceId, StreamId, Timestamp};

use super::State;
use crate::{ServerKey, stream_origin::OriginBatch, version_record::VersionRecord};

impl State {
    pub(super) fn on_store_era(&mut self, _era: u64) {}

    pub(super) fn on_version_record(&mut self, _now: Timestamp, _record: Option<VersionRecord>) {}

    pub(super) fn on_stored_origins(&mut self, _now: Timestamp, _batches: &[OriginBatch]) {}

    pub(super) fn on_stream_not_stored(
        &mut self,
        _now: Timestamp,
        _stream: StreamId,
        _service: ServiceId,
    ) {
    }

    /// The version record that the store should have; `None` if it has that.
    pub fn wanted_version_record(&self, _now: Timestamp) -> Option<VersionRecord> {
        None
    }

    /// Whether the origins of streams are to be saved in the store: servers of several versions
    /// serve some service.
    pub fn should_save_origins(&self) -> bool {
        false
    }

    /// Starts to collect the origins that are not saved in the store, from all known ones on, or
    /// ends it.
    pub fn collect_unsaved_origins(&mut self, _is_collecting: bool) {}

    /// Takes the origins that were recorded since the last call, oldest first.
    pub fn take_unsaved_origins(&mut self) -> Vec<(StreamId, ServerKey)> {
        Vec::new()
    }

    /// The batch of these streams, as far as the software of their runs is known.
    pub fn origin_batch(&self, _streams: &[(StreamId, ServerKey)]) -> OriginBatch {
        OriginBatch::default()
    }
}
