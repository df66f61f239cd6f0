//! Writes the crash record to the platform's store. See docs/design/forgotten-state.md.

use std::rc::Rc;

use platform::{
    crash_record::{CRASH_RECORD_KEY, crash_record_value},
    store,
};
use sl_base::{Millis, Timestamp};
use sl_http::Conn;
use sl_route::crash_record::CrashRecord;
use slog::{debug, info};
use tokio::time::sleep;

use crate::{
    core::Core,
    record_schedule::{RECORD_WRITE_TIMEOUT, RecordSchedule},
    store::StoreClient,
};

/// Writes what the reducer wants to have in the store about crashes.
pub(crate) struct CrashRecordWriter {
    core: Rc<Core>,
    store: Rc<StoreClient>,
    conn: Option<Conn>,
    schedule: RecordSchedule,
    /// No call is made before this time, because the last one failed.
    retry_at: Timestamp,
}

/// How often it is checked whether the record has to change.
const CHECK_INTERVAL: Millis = Millis(100);

/// The delay after a failed call, before the random part.
const RETRY_DELAY: Millis = Millis(100);

/// The longest random part of that delay.
const RETRY_SPREAD: Millis = Millis(300);

const SUCCESS_STATUS: u16 = 200;

impl CrashRecordWriter {
    pub(crate) fn new(core: Rc<Core>, store: Rc<StoreClient>) -> CrashRecordWriter {
        let retry_at = core.now();
        CrashRecordWriter { core, store, conn: None, schedule: RecordSchedule::default(), retry_at }
    }

    /// Writes until the daemon stops.
    pub(crate) async fn run(mut self) {
        loop {
            sleep(CHECK_INTERVAL.into()).await;
            if self.store.can_write() && self.retry_at.is_due(self.core.now()) {
                self.update().await;
            }
        }
    }

    /// Writes the record if it has to change and this follower has its turn.
    async fn update(&mut self) {
        let now = self.core.now();
        let Some(record) = self.core.with_state(|it| it.wanted_crash_record(now)) else {
            return self.schedule.reset();
        };
        if self.schedule.is_due(now, self.store.follower_rank()) {
            self.schedule.write_started(now);
            self.write(&record).await;
        }
    }

    async fn write(&mut self, record: &CrashRecord) {
        let revision = self.store.revision_of(CRASH_RECORD_KEY);
        let call = store::put_if_unchanged(CRASH_RECORD_KEY, &crash_record_value(record), revision);
        let response =
            self.store.call(&mut self.conn, "crashes", &call, RECORD_WRITE_TIMEOUT).await;
        match response {
            Ok(response) if response.status == SUCCESS_STATUS => {
                let barred = record.causes.values().filter(|it| it.bar.is_some()).count();
                info!(self.core.log, "crash record written"; "era" => record.era,
                    "causes" => record.causes.len(), "barred" => barred, "before" => revision);
                self.core.metrics.crash_records_written.inc();
                return;
            }
            // After a conflict, the next decision is made on what another follower has written.
            Ok(response) => {
                debug!(self.core.log, "store rejected a call";
                    "call" => "crashes", "status" => response.status);
            }
            Err(e) => {
                debug!(self.core.log, "call to the store failed";
                    "call" => "crashes", "reason" => %e);
            }
        }
        let jitter = self.core.with_state(|it| it.draw_delay(RETRY_SPREAD));
        self.retry_at = self.core.now().after(Millis(RETRY_DELAY.0 + jitter.0));
    }
}
