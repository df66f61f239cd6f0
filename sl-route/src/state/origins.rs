//! Origins of streams in the platform's store: the version record and the batches. See
//! docs/design/stream-origins.md.

use sl_base::{ServiceId, StreamId, Timestamp};

use super::State;
use crate::{
    Arrival, Decision, Effect, ServerKey, ServerRecord,
    stream_origin::{OriginBatch, StreamOrigin, StreamRequest},
    version_record::{RECORD_TIMEOUT, VersionRecord},
};

impl State {
    pub(super) fn on_store_era(&mut self, era: u64) {
        self.origins.known_versions.set_store_era(era);
        self.stored_crashes.store_era = self.stored_crashes.store_era.max(era);
    }

    pub(super) fn on_version_record(&mut self, now: Timestamp, record: Option<VersionRecord>) {
        let is_first = self.origins.apply_record(now, record);
        let known = &self.origins.known_versions;
        for server in self.servers.values_mut() {
            let record = &server.record;
            let until = server.unrecorded_until;
            let is_recorded = known.is_recorded(record.service, &record.version);
            server.unrecorded_until =
                if is_recorded { until.min(now) } else { until.max(known.promised_until()) };
        }
        if let Some(record) = known.record().filter(|_| is_first) {
            let versions = record.iter().filter_map(|it| it.1.clone()).collect();
            let no_proof = known.proof(now, record).err();
            let decision = Decision::VersionRecordFound { versions, no_proof };
            self.effects.push(Effect::Log(decision));
        }
    }

    pub(super) fn on_stored_origins(&mut self, now: Timestamp, batches: &[OriginBatch]) {
        self.origins.record_batches(now, batches);
    }

    /// Records where a stream began that nobody knows of, if the record that this instance found at
    /// its start leaves a single version for it.
    pub(super) fn on_stream_not_stored(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        service: ServiceId,
    ) {
        if self.origins.origin(stream).is_some() {
            return;
        }
        if let Some(origin) = self.deduced_origin(now, stream, service) {
            self.origins.record_origin(now, stream, origin);
        }
    }

    /// Where a stream of the service began that is to be resumed at a peer, as far as this instance knows
    /// it, or can deduce it from the version record that it found at its start. The peer may have
    /// started after the record was changed.
    pub fn deduced_origin(
        &self,
        now: Timestamp,
        stream: StreamId,
        service: ServiceId,
    ) -> Option<StreamOrigin> {
        if let Some(origin) = self.origins.origin(stream) {
            return Some(origin.clone());
        }
        let version = self.origins.known_versions.only_version_found(now, service)?;
        Some(StreamOrigin::deduced(service, version.clone()))
    }

    /// Until when a server that is listed now begins no streams which another one can begin,
    /// because the version record lacks its version.
    pub(super) fn unrecorded_until(&mut self, now: Timestamp, record: &ServerRecord) -> Timestamp {
        let known = &mut self.origins.known_versions;
        if known.is_recorded(record.service, &record.version) {
            return now;
        }
        known.extend_promise(now);
        now.after(RECORD_TIMEOUT).max(known.promised_until())
    }

    /// Whether the request begins a stream at its next server.
    pub(super) fn begins_stream(arrival: &Arrival, origin: Option<&StreamOrigin>) -> bool {
        origin.is_none() && matches!(arrival.stream, Some(StreamRequest::New(_)))
    }

    /// The version record that the store should have; `None` if it has that.
    pub fn wanted_version_record(&self, now: Timestamp) -> Option<VersionRecord> {
        self.origins.wanted_record(now)
    }

    /// Whether the origins of streams are to be saved in the store: some service has servers of
    /// several versions.
    pub fn should_save_origins(&self) -> bool {
        self.origins.has_several_versions()
    }

    /// Starts to collect the origins that are not saved in the store, from all known ones on, or
    /// ends it.
    pub fn collect_unsaved_origins(&mut self, is_collecting: bool) {
        self.origins.collect_unsaved(is_collecting);
    }

    /// The number of origins that the next [`State::take_unsaved_origins`] returns.
    pub fn unsaved_origin_count(&self) -> usize {
        self.origins.unsaved_count()
    }

    /// Takes the origins that were recorded since the last call, in their order, or a backlog in any
    /// order.
    pub fn take_unsaved_origins(&mut self) -> Vec<(StreamId, ServerKey)> {
        self.origins.take_unsaved()
    }

    /// The batch of these streams, as far as the software of their runs is known.
    pub fn origin_batch(&self, streams: &[(StreamId, ServerKey)]) -> OriginBatch {
        self.origins.batch(streams)
    }
}
