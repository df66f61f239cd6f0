//! The client of the platform's store: follows everything that it holds.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use sl_base::{InstanceId, Millis, Timestamp, hash};
use sl_http::Conn;
use sl_mirror::{Change, Item, Mirror};
use sl_peer::Told;
use sl_route::Event;
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{
    core::Core,
    membership::PeerTable,
    wire::{self, CallError, Reply},
};
use platform::{
    Malformed,
    store::{self, Call},
};

/// Follows the store, and knows how well it is reached.
pub(crate) struct StoreClient {
    core: Rc<Core>,
    address: SocketAddr,
    mirror: RefCell<Mirror>,
    /// Since when calls have failed.
    lost_at: Cell<Option<Timestamp>>,
    /// When calls succeeded again after that.
    regained_at: Cell<Option<Timestamp>>,
    /// Whether this instance is one of those that follow the store for all.
    following: Cell<bool>,
    /// Whether removals were told by a fellow that had just regained the store.
    told_in_doubt: Cell<bool>,
    peer_table: Rc<PeerTable>,
    own_id: InstanceId,
    born: Timestamp,
    /// Told of every change.
    on_change: Box<dyn Fn(Vec<Change>, Origin)>,
}

/// Where changes come from, and what a removal among them means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// They happened one after the other: what was removed is gone.
    Live,
    /// The store was away: what was removed may only have lapsed meanwhile.
    AfterOutage {
        /// When the store's entries are complete again.
        settled_at: Timestamp,
    },
}

/// Why the store could not be followed any further.
#[derive(Debug, thiserror::Error)]
enum Interrupted {
    /// A call was not answered.
    #[error("{0}")]
    Call(#[from] CallError),
    /// The store answered with a failure.
    #[error("status {0}")]
    Status(u16),
    /// The history was dropped: everything has to be read again.
    #[error("the history was dropped")]
    HistoryGone,
    /// The answer could not be understood.
    #[error("{0}")]
    Malformed(#[from] Malformed),
}

/// Instances that follow the store at a time; the others hear from them.
const FOLLOWERS: usize = 3;

/// Stands for the role of following the store.
const FOLLOWERS_KEY: u64 = 0x666f_6c6c_6f77;

/// A process that is younger than this waits for what it may hear from listed fellows.
const YOUNG: Millis = Millis(2_000);

/// How often an instance that does not follow the store looks whether it has to.
const STAND_BY_LOOK: Millis = Millis(100);

/// How long a watch waits at the store.
const WATCH_WAIT: Millis = Millis(2_000);

/// A watch that is not answered this long after its wait hangs.
const WATCH_MARGIN: Millis = Millis(600);

/// How long any other call may take.
pub(crate) const CALL_TIMEOUT: Millis = Millis(1_000);

/// The first pause after a failure.
const PAUSE_MIN: Millis = Millis(50);

/// The longest pause after failures.
const PAUSE_MAX: Millis = Millis(400);

/// For this long after its return, the store may lack entries of servers that live.
const SETTLES_WITHIN: Millis = Millis(2_000);

impl StoreClient {
    pub(crate) fn new(
        core: Rc<Core>,
        address: SocketAddr,
        peer_table: Rc<PeerTable>,
        own_id: InstanceId,
        on_change: impl Fn(Vec<Change>, Origin) + 'static,
    ) -> StoreClient {
        StoreClient {
            following: Cell::new(true),
            peer_table,
            own_id,
            born: core.now(),
            core,
            address,
            mirror: RefCell::default(),
            told_in_doubt: Cell::new(false),
            lost_at: Cell::new(None),
            regained_at: Cell::new(None),
            on_change: Box::new(on_change),
        }
    }

    /// The revision up to which everything is known here.
    pub(crate) fn revision(&self) -> u64 {
        self.mirror.borrow().revision()
    }

    /// What a fellow that knows everything up to `known` is to be told.
    pub(crate) fn snapshot_since(&self, known: u64) -> Told {
        let settled_in = match self.origin() {
            Origin::AfterOutage { settled_at } => Some(settled_at.remaining(self.core.now())),
            Origin::Live => None,
        };
        Told { contents: self.mirror.borrow().since(known), settled_in }
    }

    /// Whether this instance is one of those that follow the store for all.
    pub(crate) fn is_following(&self) -> bool {
        self.following.get()
    }

    /// Whether the store answers.
    pub(crate) fn is_reachable(&self) -> bool {
        self.lost_at.get().is_none()
    }

    /// Whether this instance follows the store and saw no outage of it that still counts.
    pub(crate) fn is_stable(&self) -> bool {
        self.is_following() && self.is_reachable() && self.origin() == Origin::Live
    }

    /// Takes over what a fellow instance knows.
    pub(crate) fn apply_snapshot(&self, told: Told) {
        self.core.store_heard();
        let changes = self.mirror.borrow_mut().take(told.contents);
        let origin = match told.settled_in {
            Some(within) => Origin::AfterOutage { settled_at: self.core.now().after(within) },
            // The fellow reaches the store, whatever this instance saw of it.
            None => Origin::Live,
        };
        self.told_in_doubt.set(told.settled_in.is_some());
        self.tell(changes, origin);
    }

    /// Hears that a steady fellow knows everything up to `revision`. That ends the doubt
    /// that another fellow's outage left here; this instance's own outage stays one.
    pub(crate) fn confirm_removals(&self, revision: u64) {
        let in_doubt = self.told_in_doubt.get() && !self.is_following();
        if in_doubt && revision >= self.revision() {
            self.told_in_doubt.set(false);
            info!(self.core.log, "removals confirmed by a fellow"; "revision" => revision);
            self.core.step(Event::RemovalsConfirmed);
        }
    }

    /// Whether this instance is to follow the store itself: a few do, and the others hear
    /// from them. Whoever hears of none that reaches the store does so too.
    fn should_follow(&self) -> bool {
        let now = self.core.now();
        let is_young = !self.born.after(YOUNG).is_due(now);
        let mine = hash::weight(FOLLOWERS_KEY, self.own_id.into());
        let before_me = self.peer_table.store_followers(now, is_young);
        let before_me = before_me.into_iter().filter(|it| *it != self.own_id);
        let before_me = before_me.filter(|it| hash::weight(FOLLOWERS_KEY, (*it).into()) > mine);
        before_me.count() < FOLLOWERS
    }

    /// Follows the store for as long as the daemon runs.
    pub(crate) async fn run(&self) {
        let mut pause = PAUSE_MIN;
        let mut is_listed = false;
        loop {
            let interrupted = self.follow_once(&mut is_listed, &mut pause).await;
            match interrupted {
                Interrupted::HistoryGone => {
                    info!(self.core.log, "store history dropped, reading all again");
                    is_listed = false;
                    continue;
                }
                other => self.lost(&other),
            }
            sleep(pause.into()).await;
            pause = Millis((pause.0 * 2).min(PAUSE_MAX.0));
        }
    }

    async fn follow_once(&self, is_listed: &mut bool, pause: &mut Millis) -> Interrupted {
        let mut conn = None;
        loop {
            if *is_listed && !self.should_follow() {
                self.stand_by().await;
                conn = None;
            }
            let read =
                if *is_listed { self.watch(&mut conn).await } else { self.list(&mut conn).await };
            if let Err(e) = read {
                return e;
            }
            *is_listed = true;
            *pause = PAUSE_MIN;
        }
    }

    /// Waits until this instance is to follow the store again.
    async fn stand_by(&self) {
        info!(self.core.log, "store followed by others"; "revision" => self.revision());
        self.following.set(false);
        // What this instance saw of the store says nothing any more.
        self.lost_at.set(None);
        self.regained_at.set(None);
        while !self.should_follow() {
            sleep(STAND_BY_LOOK.into()).await;
        }
        self.following.set(true);
        info!(self.core.log, "store followed from here"; "revision" => self.revision());
    }

    async fn list(&self, conn: &mut Option<Conn>) -> Result<(), Interrupted> {
        let mut items = Vec::new();
        let mut revision = None;
        let mut after: Option<String> = None;
        loop {
            let call = store::range(after.as_deref());
            let reply = self.call(conn, "range", &call, CALL_TIMEOUT).await?;
            let page = store::parse_items(&expect_ok(&reply)?.body)?;
            // Pages are no snapshot: what changed since the first is watched for.
            revision.get_or_insert(page.revision);
            after = page.items.last().map(|it| it.key.clone());
            items.extend(page.items.into_iter().filter_map(shared));
            if !page.has_more || after.is_none() {
                break;
            }
        }
        let origin = self.origin();
        let revision = revision.unwrap_or_default();
        let changes = self.mirror.borrow_mut().replace(revision, items);
        self.regained();
        self.tell(changes, origin);
        Ok(())
    }

    async fn watch(&self, conn: &mut Option<Conn>) -> Result<(), Interrupted> {
        // While it is not known whether the store is back, the answer has to come soon.
        let wait = if self.is_reachable() { WATCH_WAIT } else { Millis(1) };
        let call = store::watch(self.revision(), wait);
        let within = Millis(wait.0 + WATCH_MARGIN.0);
        let reply = self.call(conn, "watch", &call, within).await?;
        if reply.status == store::COMPACTED_STATUS {
            return Err(Interrupted::HistoryGone);
        }
        let seen = store::parse_items(&expect_ok(&reply)?.body)?;
        let items = seen.items.into_iter().filter_map(shared).collect();
        self.regained();
        let origin = self.origin();
        let changes = self.mirror.borrow_mut().advance(seen.revision, items);
        self.tell(changes, origin);
        Ok(())
    }

    /// Makes a call, on the connection `conn` where there is one.
    pub(crate) async fn call(
        &self,
        conn: &mut Option<Conn>,
        kind: &str,
        call: &Call,
        within: Millis,
    ) -> Result<Reply, CallError> {
        let call = wire::Call {
            method: call.method,
            target: &call.target,
            host: self.address,
            body: &call.body,
            answer_by: Instant::now() + within.into(),
        };
        let answered = async {
            let mut used = match conn.take() {
                Some(conn) => conn,
                None => wire::connect(call).await?,
            };
            let reply = wire::call(&mut used, call).await?;
            if reply.is_reusable {
                *conn = Some(used);
            }
            Ok(reply)
        };
        let answered: Result<Reply, CallError> = answered.await;
        match &answered {
            Ok(reply) => self.core.metrics.record_store_call(kind, reply.status),
            Err(_) => self.core.metrics.record_store_call(kind, "unanswered"),
        }
        answered
    }

    fn origin(&self) -> Origin {
        let now = self.core.now();
        let since = if self.is_reachable() { self.regained_at.get() } else { Some(now) };
        match since.map(|it| it.after(SETTLES_WITHIN)) {
            Some(settled_at) if !settled_at.is_due(now) => Origin::AfterOutage { settled_at },
            _ => Origin::Live,
        }
    }

    fn tell(&self, changes: Vec<Change>, origin: Origin) {
        self.core.metrics.store_revision.set(self.revision() as i64);
        if !changes.is_empty() {
            (self.on_change)(changes, origin);
        }
    }

    fn lost(&self, why: &Interrupted) {
        if self.lost_at.get().is_none() {
            self.lost_at.set(Some(self.core.now()));
            warn!(self.core.log, "store lost";
                "reason" => %why, "revision" => self.revision());
        }
    }

    fn regained(&self) {
        self.core.store_heard();
        if let Some(lost_at) = self.lost_at.take() {
            let now = self.core.now();
            self.regained_at.set(Some(now));
            info!(self.core.log, "store regained";
                "revision" => self.revision(), "away_ms" => now.micros_since(lost_at) / 1_000);
        }
    }
}

fn expect_ok(reply: &Reply) -> Result<&Reply, Interrupted> {
    if reply.status == 200 { Ok(reply) } else { Err(Interrupted::Status(reply.status)) }
}

fn shared(item: store::Item) -> Option<Item> {
    let store::Item { key, revision, value } = item;
    platform::is_mirrored(&key).then_some(Item { key, revision, value })
}
