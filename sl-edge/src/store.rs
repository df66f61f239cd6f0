//! The client of the platform's store: mirrors the store's entries through lists and watches.

mod follow;
pub mod freshness;
pub mod outage;
pub mod takeover;

pub(crate) use follow::FOLLOWERS;

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use sl_base::{InstanceId, Millis, Timestamp};
use sl_http::Conn;
use sl_mirror::{Change, Mirror, Version};
use sl_peer::{KnownStore, StorePage, StoreUpdate};
use sl_route::Event;
use slog::{info, warn};
use tokio::time::Instant;

use crate::{
    core::Core,
    era::EraTracker,
    membership::PeerTable,
    wire::{self, CallError, Response},
};
use freshness::Freshness;
use outage::{CallEnd, Outage};
use platform::store::{self, Call};

/// Follows the store, directly or through peers, and tracks its outages.
pub(crate) struct StoreClient {
    core: Rc<Core>,
    address: SocketAddr,
    mirror: RefCell<Mirror>,
    /// Up to where this instance has watched the store itself. It is ahead of the copy's version while
    /// only keys change that are not mirrored; so the peers, which compare versions, do not ask for
    /// these changes.
    watched: Cell<Version>,
    eras: EraTracker,
    /// When the first call to list or watch the store failed since the last success; `None` while they succeed.
    unavailable_since: Cell<Option<Timestamp>>,
    outage: Cell<Outage>,
    /// How recent the changes are that this instance has read from the store itself.
    freshness: Cell<Freshness>,
    /// Whether the last heartbeat said that this instance follows the store.
    has_claimed: Cell<bool>,
    /// Whether this instance is one of the few that follow the store for the whole fleet.
    following: Cell<bool>,
    /// When this instance last took over from a follower, or started.
    resumed_at: Cell<Timestamp>,
    /// Until then, this instance follows the store whatever its peers do, because it did not receive changes
    /// from them.
    follow_until: Cell<Timestamp>,
    /// Whether removals came from a peer for which the store had just become reachable
    /// again, so that they may be expired leases of servers that still run.
    has_unconfirmed_removals: Cell<bool>,
    peer_table: Rc<PeerTable>,
    own_id: InstanceId,
    started_at: Timestamp,
    /// Called with every batch of changes to the mirror.
    on_change: Box<dyn Fn(Vec<Change>, Origin)>,
}

/// Whether changes were received soon after an outage of the store in which leases can have lapsed, which
/// decides what a removal among them means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// Without a recent outage of the store: a missing entry was removed, or its owner did not
    /// renew the lease.
    Live,
    /// After an outage of the store: a missing entry may only have expired meanwhile, because
    /// its owner could not renew the lease.
    AfterOutage {
        /// When the owners of all entries have had time to write them again.
        complete_at: Timestamp,
    },
}

/// The timeout of every call other than a watch.
pub(crate) const CALL_TIMEOUT: Millis = Millis(1_000);

/// The status with which the store says that it has not executed a call, as it does while it is down.
const UNAVAILABLE_STATUS: u16 = 503;

/// Bytes of the largest response body that is accepted.
const RESPONSE_BYTES_MAX: usize = 32 << 20;

impl StoreClient {
    pub(crate) fn new(
        core: Rc<Core>,
        address: SocketAddr,
        heartbeat: Millis,
        peer_table: Rc<PeerTable>,
        own_id: InstanceId,
        on_change: impl Fn(Vec<Change>, Origin) + 'static,
    ) -> StoreClient {
        StoreClient {
            following: Cell::new(true),
            resumed_at: Cell::new(core.now()),
            follow_until: Cell::new(core.now()),
            peer_table,
            own_id,
            started_at: core.now(),
            address,
            mirror: RefCell::default(),
            watched: Cell::default(),
            eras: EraTracker::default(),
            has_unconfirmed_removals: Cell::new(false),
            unavailable_since: Cell::new(None),
            outage: Cell::new(Outage::new(core.now(), heartbeat)),
            freshness: Cell::default(),
            has_claimed: Cell::new(false),
            core,
            on_change: Box::new(on_change),
        }
    }

    /// The store's version up to which this instance has every change.
    pub(crate) fn version(&self) -> Version {
        self.mirror.borrow().version()
    }

    /// The eras of the store.
    pub(crate) fn eras(&self) -> &EraTracker {
        &self.eras
    }

    /// Whether a peer with this version of the store has something that this instance lacks.
    pub(crate) fn is_behind(&self, version: Version) -> bool {
        version > self.version() && !version.is_unknown()
    }

    /// A page of what a peer lacks that has `known`, from the key after `after` on; `None` if this instance
    /// has nothing more.
    pub(crate) fn page_beyond(&self, known: KnownStore, after: Option<&str>) -> Option<StorePage> {
        let version = self.version();
        let has_document = self.core.document().version > known.document_version;
        let has_entries = version > known.version;
        if version.is_unknown() || !has_entries && !has_document {
            return None;
        }
        let complete_in = match self.origin() {
            Origin::AfterOutage { complete_at } => Some(complete_at.remaining(self.core.now())),
            Origin::Live => None,
        };
        let mirror = self.mirror.borrow();
        let document = self.core.document_entry().filter(|it| {
            let is_among_entries =
                mirror.value_since(&it.key, known.version) == it.value.as_deref();
            after.is_none() && has_document && !is_among_entries
        });
        let page = mirror.page_since(known.version, after);
        Some(StorePage { page, complete_in, document })
    }

    /// Records the era of the store that the store or a peer names.
    pub(crate) fn observe_era(&self, era: u64) {
        let now = self.core.now();
        let before = self.version();
        // A store that is restored once more, before it was listed, counts again.
        let is_first = before.is_unknown() && self.eras.latest() == 0;
        if !self.eras.observe(now, era, is_first) {
            return;
        }
        self.mirror.borrow_mut().begin_era(era);
        self.core.metrics.store_era.set(era as i64);
        self.core.step(Event::StoreEra(era));
        if is_first {
            return;
        }
        self.core.metrics.store_restores.inc();
        warn!(self.core.log, "store restored from an older copy";
            "era" => era, "before" => %before);
        self.core.step(Event::StoreRestored);
    }

    /// Whether this instance is one of the few that follow the store for the whole fleet.
    pub(crate) fn is_following(&self) -> bool {
        self.following.get()
    }

    /// Has this instance follow the store itself until `until`.
    pub(crate) fn follow_until(&self, until: Timestamp) {
        self.follow_until.set(until);
    }

    /// Whether the store has answered this instance so recently that its peers may rely on it for
    /// changes; see docs/design/absence.md. False on standby.
    pub(crate) fn is_served(&self) -> bool {
        self.is_following() && self.freshness.get().is_fresh(self.core.now())
    }

    /// What the next heartbeat says of [`StoreClient::is_served`]. Logs when it is no longer true.
    pub(crate) fn claim_to_follow(&self) -> bool {
        let is_served = self.is_served();
        let has_lapsed = self.has_claimed.replace(is_served) && !is_served;
        if has_lapsed && self.is_following() {
            self.core.metrics.store_claims_lapsed.inc();
            warn!(self.core.log, "last answer of the store too old for peers to rely on";
                "version" => %self.version());
        }
        is_served
    }

    /// Whether this instance may write for the fleet: the store serves it, and the store's entries are
    /// known.
    pub(crate) fn can_write(&self) -> bool {
        self.is_served() && !self.version().is_unknown()
    }

    /// The revision at which a mirrored key was last written in this era; `None` if it does not exist.
    pub(crate) fn revision_of(&self, key: &str) -> Option<u64> {
        self.mirror.borrow().revision_of(key)
    }

    /// Whether no call to list or watch the store has failed since the last success. Always
    /// true on standby.
    pub(crate) fn is_reachable(&self) -> bool {
        self.unavailable_since.get().is_none()
    }

    /// Whether the store serves this instance, and the store's entries are complete again after the
    /// last outage.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_served() && self.origin() == Origin::Live
    }

    /// Applies the changes received from a peer.
    pub(crate) fn apply_update(&self, store_update: StoreUpdate) {
        self.core.record_store_contact();
        self.observe_era(store_update.update.version.era);
        let mut changes = self.mirror.borrow_mut().apply(store_update.update);
        changes.extend(store_update.document);
        let now = self.core.now();
        let complete_at = store_update.complete_in.map(|it| now.after(it));
        // A peer that saw no recent outage is believed, even if this instance saw one; but a peer
        // that has started after a restore has not seen that.
        let origin = origin_at(now, complete_at.max(self.eras.complete_at()));
        self.has_unconfirmed_removals.set(origin != Origin::Live);
        self.publish(changes, origin);
    }

    /// Confirms removals that were received from a peer after an outage, because a peer without
    /// a recent outage has every change up to `version`. An instance that follows the store
    /// itself ignores this: after its own outage it waits until the entries are complete.
    pub(crate) fn confirm_removals(&self, version: Version) {
        let is_unconfirmed = self.has_unconfirmed_removals.get() && !self.is_following();
        let is_restoring = self.eras.complete_at().is_some_and(|it| !it.is_due(self.core.now()));
        if is_unconfirmed && !is_restoring && version >= self.version() {
            self.has_unconfirmed_removals.set(false);
            info!(self.core.log, "removals confirmed by a peer"; "version" => %version);
            self.core.step(Event::RemovalsConfirmed);
        }
    }

    /// Makes a call on the connection `conn`, or on a new one if it is `None`. Afterwards `conn` is
    /// the connection if another call can reuse it, or else `None`. `kind` is the metric label.
    pub(crate) async fn call(
        &self,
        conn: &mut Option<Conn>,
        kind: &str,
        call: &Call,
        timeout: Millis,
    ) -> Result<Response, CallError> {
        let started_at = self.core.now();
        let call = wire::Call {
            method: call.method,
            target: &call.target,
            host: self.address,
            body: &call.body,
            body_bytes_max: RESPONSE_BYTES_MAX,
            deadline: Instant::now() + timeout.into(),
        };
        let response = async {
            let mut used = match conn.take() {
                Some(conn) => conn,
                None => wire::connect(call).await?,
            };
            let response = wire::call(&mut used, call).await?;
            if response.is_reusable {
                *conn = Some(used);
            }
            Ok(response)
        };
        let response: Result<Response, CallError> = response.await;
        if let Ok(response) = &response
            && let Some(era) = self.stated_era(response)
        {
            self.observe_era(era);
        }
        match &response {
            Ok(response) => self.core.metrics.record_store_call(kind, response.status),
            Err(_) => self.core.metrics.record_store_call(kind, "unanswered"),
        }
        self.record_call_end(started_at, &response);
        response
    }

    /// Records what the end of a call shows of the store.
    fn record_call_end(&self, started_at: Timestamp, response: &Result<Response, CallError>) {
        let end = match response {
            Ok(response) if response.status == UNAVAILABLE_STATUS => CallEnd::Broken,
            Ok(_) => CallEnd::Answered,
            Err(CallError::Timeout) => CallEnd::Unanswered { since: started_at },
            Err(_) => CallEnd::Broken,
        };
        let mut outage = self.outage.get();
        if let Some(away) = outage.record(self.core.now(), end) {
            self.core.metrics.store_outages.inc();
            info!(self.core.log, "store outage ended, leases may have lapsed"; "away_ms" => away.0);
        }
        self.outage.set(outage);
    }

    /// The era that a response states; `None` if it states none or a malformed one.
    fn stated_era(&self, response: &Response) -> Option<u64> {
        let era = store::era(&response.headers);
        era.unwrap_or_else(|e| {
            self.core.warn_malformed("store response", &e);
            None
        })
    }

    /// The origin of changes that are read now.
    fn origin(&self) -> Origin {
        let complete_at = self.outage.get().complete_at();
        origin_at(self.core.now(), complete_at.max(self.eras.complete_at()))
    }

    fn publish(&self, changes: Vec<Change>, origin: Origin) {
        let version = self.version().max(self.watched.get());
        self.core.metrics.store_revision.set(version.revision as i64);
        if !changes.is_empty() {
            (self.on_change)(changes, origin);
        }
    }
}

/// The origin of changes that are read at `now`, if the entries are complete again at
/// `complete_at`.
fn origin_at(now: Timestamp, complete_at: Option<Timestamp>) -> Origin {
    match complete_at {
        Some(complete_at) if !complete_at.is_due(now) => Origin::AfterOutage { complete_at },
        _ => Origin::Live,
    }
}
