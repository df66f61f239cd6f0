//! Reads the batches of stream origins from the platform's store, for requests that resume streams
//! of unknown origin. Requests that wait share one read. See docs/design/stream-origins.md.

use std::{cell::Cell, rc::Rc};

use sl_base::{Millis, Timestamp};
use slog::debug;
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

use crate::{core::Core, store::StoreClient};

/// Reads the batches when requests ask for that.
pub(crate) struct OriginReader {
    core: Rc<Core>,
    store: Rc<StoreClient>,
    /// Signalled when a request waits for a read.
    wanted: Notify,
    /// The number of the read that was started last.
    started: Cell<u64>,
    finished: watch::Sender<Read>,
    /// The store is not asked before this time, because the last read has failed.
    failed_until: Cell<Timestamp>,
}

/// A read that has ended.
#[derive(Clone, Copy, Debug, Default)]
struct Read {
    number: u64,
    is_complete: bool,
}

/// How long a request waits for a read.
const READ_TIMEOUT: Millis = Millis(1_000);

/// The shortest pause between two reads, so that a fleet which starts at once does not exceed the store's
/// rate of read calls (docs/design/stream-origins.md).
const READ_INTERVAL: Millis = Millis(250);

/// How long the store is not asked after a read has failed.
const FAILURE_PAUSE: Millis = Millis(1_000);

impl OriginReader {
    pub(crate) fn new(core: Rc<Core>, store: Rc<StoreClient>) -> OriginReader {
        OriginReader {
            failed_until: Cell::new(core.now()),
            core,
            store,
            wanted: Notify::new(),
            started: Cell::new(0),
            finished: watch::Sender::default(),
        }
    }

    /// Waits for a read that begins after this call. Returns whether the reducer has got all batches
    /// of the store; at once, if the store is known to be down.
    pub(crate) async fn read(&self) -> bool {
        if !self.store.is_reachable() || !self.failed_until.get().is_due(self.core.now()) {
            return false;
        }
        let needed = self.started.get() + 1;
        self.wanted.notify_one();
        let mut finished = self.finished.subscribe();
        let waiting = finished.wait_for(|it| it.number >= needed);
        match timeout(READ_TIMEOUT.into(), waiting).await {
            Ok(Ok(read)) => read.is_complete,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Reads whenever a request waits, until the daemon stops.
    pub(crate) async fn run(&self) {
        let mut conn = None;
        loop {
            self.wanted.notified().await;
            let number = self.started.get() + 1;
            self.started.set(number);
            let result = self.store.read_batches(&mut conn).await;
            if let Err(e) = &result {
                debug!(self.core.log, "failed to read stream origins from the store";
                    "reason" => %e);
                self.failed_until.set(self.core.now().after(FAILURE_PAUSE));
            }
            self.finished.send_replace(Read { number, is_complete: result.is_ok() });
            sleep(READ_INTERVAL.into()).await;
        }
    }
}
