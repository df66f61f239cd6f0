//! Writes the version record and the batches of stream origins to the platform's store. See
//! docs/design/stream-origins.md.

use std::rc::Rc;

use platform::{
    store,
    stream_origins::{
        KNOWN_SLOTS, SLOTS, VERSION_RECORD_KEY, batch_key, batch_value, version_record_value,
    },
};
use sl_base::{Incarnation, InstanceId, Millis, StreamId, Timestamp};
use sl_http::Conn;
use sl_route::{ServerKey, stream_origin::UNSAVED_MAX, version_record::VersionRecord};
use slog::{debug, info};
use tokio::time::sleep;

use crate::{
    core::Core,
    record_schedule::{RECORD_WRITE_TIMEOUT, RecordSchedule},
    store::{CALL_TIMEOUT, StoreClient},
    wire::{CallError, Response},
};

/// Writes what the reducer wants to have in the store about the origins of streams.
pub(crate) struct OriginWriter {
    core: Rc<Core>,
    store: Rc<StoreClient>,
    own_id: InstanceId,
    incarnation: Incarnation,
    conn: Option<Conn>,
    lease: Option<Lease>,
    /// The streams of the batch that is written now; `None` while this instance saves none.
    batch: Option<PendingBatch>,
    record_schedule: RecordSchedule,
    /// When all instances have read the record that were started together with this one.
    starts_are_over: Timestamp,
    /// No call is made before this time, because the last one failed.
    retry_at: Timestamp,
}

/// The lease of the batches.
#[derive(Clone, Copy)]
struct Lease {
    id: u64,
    /// The era of the store in which it was granted. In a later one, it is gone.
    era: u64,
    renew_at: Timestamp,
}

/// The batch of one slot, which is written again as it grows.
#[derive(Default)]
struct PendingBatch {
    slot: u64,
    streams: Vec<(StreamId, ServerKey)>,
    is_saved: bool,
}

/// The interval between two writes: with one writer, ten calls a second for the whole fleet.
const WRITE_INTERVAL: Millis = Millis(100);

/// The time to live of the lease. A writer that starts after all instances were killed has read the
/// batches of the former one by then.
const LEASE_TTL: Millis = Millis(60_000);

/// The interval between renewals of the lease.
const RENEWAL_INTERVAL: Millis = Millis(20_000);

/// How long after its start an instance leaves a record that it has found as it is. Instances that start
/// together after all were killed find the same one, and know where older streams began. Later ones ask
/// these. Short, since new versions begin no streams meanwhile, and the store may fail before the record
/// is written.
const START_SPREAD: Millis = Millis(400);

/// The delay after a failed call, before the random part.
const RETRY_DELAY: Millis = Millis(100);

/// The longest random part of that delay.
const RETRY_SPREAD: Millis = Millis(300);

const MILLIS_PER_SECOND: u64 = 1_000;

impl PendingBatch {
    /// The first of the two batches with all streams that a writer knows. Their slots are not in the
    /// ring, so that they are not written again each time that the batch of the second grows.
    fn of_known() -> PendingBatch {
        PendingBatch { slot: KNOWN_SLOTS[0], ..PendingBatch::default() }
    }

    /// Whether `count` more streams may be added: of a batch of known ones, none may be dropped.
    fn takes(&self, count: usize) -> bool {
        let has_room = self.streams.len() + count <= UNSAVED_MAX;
        self.is_saved || has_room || !KNOWN_SLOTS.contains(&self.slot)
    }

    /// Adds new streams. A batch that is not saved is kept together with those of the next slot.
    fn add(&mut self, slot: u64, new: Vec<(StreamId, ServerKey)>) {
        let slot = if self.slot == KNOWN_SLOTS[0] { KNOWN_SLOTS[1] } else { slot };
        if self.is_saved && self.slot != slot {
            *self = PendingBatch { slot, streams: Vec::new(), is_saved: true };
        } else if !KNOWN_SLOTS.contains(&self.slot) {
            self.slot = slot;
        }
        self.is_saved &= new.is_empty();
        self.streams.extend(new);
        let surplus = self.streams.len().saturating_sub(UNSAVED_MAX);
        self.streams.drain(..surplus);
    }
}

impl OriginWriter {
    pub(crate) fn new(
        core: Rc<Core>,
        store: Rc<StoreClient>,
        own_id: InstanceId,
        incarnation: Incarnation,
    ) -> OriginWriter {
        OriginWriter {
            starts_are_over: core.now().after(START_SPREAD),
            retry_at: core.now(),
            core,
            store,
            own_id,
            incarnation,
            conn: None,
            lease: None,
            batch: None,
            record_schedule: RecordSchedule::default(),
        }
    }

    /// Writes until the daemon stops. One call is in flight at a time.
    pub(crate) async fn run(mut self) {
        loop {
            sleep(WRITE_INTERVAL.into()).await;
            if !self.store.can_write() {
                self.stop_saving();
                continue;
            }
            if !self.retry_at.is_due(self.core.now()) {
                continue;
            }
            let is_first = self.store.is_first_follower();
            self.update_record().await;
            if is_first && self.core.with_state(|it| it.should_save_origins()) {
                self.save_origins().await;
            } else {
                self.stop_saving();
            }
        }
    }

    /// Writes the version record if it has to change and this follower has its turn.
    async fn update_record(&mut self) {
        let now = self.core.now();
        let Some(record) = self.core.with_state(|it| it.wanted_version_record(now)) else {
            self.record_schedule.reset();
            return;
        };
        if self.store.revision_of(VERSION_RECORD_KEY).is_some() && !self.starts_are_over.is_due(now)
        {
            return;
        }
        if self.record_schedule.is_due(now, self.store.follower_rank()) {
            self.record_schedule.write_started(now);
            self.write_record(&record).await;
        }
    }

    async fn write_record(&mut self, record: &VersionRecord) {
        let revision = self.store.revision_of(VERSION_RECORD_KEY);
        let value = version_record_value(record);
        let call = store::put_if_unchanged(VERSION_RECORD_KEY, &value, revision);
        let response =
            self.store.call(&mut self.conn, "versions", &call, RECORD_WRITE_TIMEOUT).await;
        if self.successful("versions", response).is_some() {
            let versions = record.iter().filter_map(|it| it.1.as_deref()).collect::<Vec<_>>();
            info!(self.core.log, "version record written"; "era" => record.era,
                "versions" => versions.join(","), "before" => revision,
                "complete_until_ms" => record.complete_until.0);
        }
    }

    /// Saves the streams that were recorded since the last call.
    async fn save_origins(&mut self) {
        if self.batch.is_none() {
            info!(self.core.log, "saving stream origins started");
            self.collect_all();
        }
        let Some(lease) = self.current_lease().await else {
            return;
        };
        let slot = self.core.now().as_micros() / MICROS_PER_MILLI / MILLIS_PER_SECOND % SLOTS;
        let batch = self.batch.get_or_insert_default();
        if batch.takes(self.core.with_state(|it| it.unsaved_origin_count())) {
            batch.add(slot, self.core.with_state(|it| it.take_unsaved_origins()));
        }
        if !batch.is_saved {
            self.write_batch(lease).await;
        }
    }

    async fn write_batch(&mut self, lease: u64) {
        let Some(batch) = &self.batch else {
            return;
        };
        let value = self.core.with_state(|it| batch_value(&it.origin_batch(&batch.streams)));
        let key = batch_key(self.own_id, self.incarnation, batch.slot);
        let call = store::put(&key, &value, lease);
        let response = self.store.call(&mut self.conn, "origins", &call, CALL_TIMEOUT).await;
        let is_lost = is_lease_lost(&response);
        if self.successful("origins", response).is_some() {
            self.core.metrics.stream_origin_batches.inc();
            self.batch.iter_mut().for_each(|it| it.is_saved = true);
        } else if is_lost {
            self.restart_without_lease();
        }
    }

    /// Starts anew with all streams that are known.
    fn collect_all(&mut self) {
        self.core.with_state(|it| it.collect_unsaved_origins(true));
        self.batch = Some(PendingBatch::of_known());
    }

    /// Ends the collection of streams. The lease is no longer renewed, so that the batches vanish.
    fn stop_saving(&mut self) {
        if self.batch.take().is_some() {
            info!(self.core.log, "saving stream origins stopped");
            self.core.with_state(|it| it.collect_unsaved_origins(false));
        }
    }

    /// The lease of the batches, which is granted or renewed if it is time to.
    async fn current_lease(&mut self) -> Option<u64> {
        let era = self.store.eras().latest();
        match self.lease {
            Some(lease) if lease.era != era => {
                self.restart_without_lease();
                self.grant_lease(era).await
            }
            Some(lease) if lease.renew_at.is_due(self.core.now()) => self.renew_lease(lease).await,
            Some(lease) => Some(lease.id),
            None => self.grant_lease(era).await,
        }
    }

    async fn grant_lease(&mut self, era: u64) -> Option<u64> {
        let call = store::grant_lease(LEASE_TTL);
        let response = self.store.call(&mut self.conn, "origins-lease", &call, CALL_TIMEOUT).await;
        let response = self.successful("origins-lease", response)?;
        let Ok((id, _)) = store::parse_lease(&response.body) else {
            self.delay_next_call();
            return None;
        };
        let renew_at = self.core.now().after(RENEWAL_INTERVAL);
        self.lease = Some(Lease { id, era, renew_at });
        // A restore that the call itself has shown ends the lease.
        (self.store.eras().latest() == era).then_some(id)
    }

    async fn renew_lease(&mut self, lease: Lease) -> Option<u64> {
        let call = store::renew_lease(lease.id);
        let response = self.store.call(&mut self.conn, "origins-keep", &call, CALL_TIMEOUT).await;
        if is_lease_lost(&response) {
            self.restart_without_lease();
            return None;
        }
        self.successful("origins-keep", response)?;
        let renew_at = self.core.now().after(RENEWAL_INTERVAL);
        self.lease = Some(Lease { renew_at, ..lease });
        Some(lease.id)
    }

    /// Forgets a lease that has ended, and collects all streams anew, as their batches are gone.
    fn restart_without_lease(&mut self) {
        self.lease = None;
        self.collect_all();
    }

    /// The response if the call succeeded; else the next call is delayed.
    fn successful(&mut self, kind: &str, result: Result<Response, CallError>) -> Option<Response> {
        match result {
            Ok(response) if response.status == SUCCESS_STATUS => return Some(response),
            // Another follower has changed the record. The next decision is made on that.
            Ok(response) if response.status == store::CONFLICT_STATUS => {
                debug!(self.core.log, "version record was changed by another instance");
            }
            Ok(response) => {
                debug!(self.core.log, "store rejected a call";
                    "call" => kind, "status" => response.status);
            }
            Err(e) => {
                debug!(self.core.log, "call to the store failed"; "call" => kind, "reason" => %e);
            }
        }
        self.delay_next_call();
        None
    }

    fn delay_next_call(&mut self) {
        let jitter = self.core.with_state(|it| it.draw_delay(RETRY_SPREAD));
        self.retry_at = self.core.now().after(Millis(RETRY_DELAY.0 + jitter.0));
    }
}

fn is_lease_lost(response: &Result<Response, CallError>) -> bool {
    matches!(response, Ok(it) if it.status == store::LEASE_NOT_FOUND_STATUS)
}

const SUCCESS_STATUS: u16 = 200;

const MICROS_PER_MILLI: u64 = 1_000;
