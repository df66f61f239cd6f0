//! This instance's entry in the store, under a lease; and its fellows' entries.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, InstanceId, Millis, Timestamp};
use sl_http::Conn;
use slog::{debug, info};
use tokio::time::sleep;

use crate::{
    core::Core,
    portion,
    store::{CALL_TIMEOUT, StoreClient},
};
use platform::{Addresses, store};

/// How long an entry outlives its instance.
const LEASE: Millis = Millis(12_000);

/// Renewals within a lease.
const RENEWALS: u64 = 3;

/// A pause after a failed call.
const PAUSE: Millis = Millis(500);

/// The fellows of this instance: those that are listed, and those that were heard lately
/// though their entry lapsed, because the store turns them away.
#[derive(Default)]
pub(crate) struct PeerTable(RefCell<HashMap<InstanceId, PeerEntry>>);

#[derive(Clone, Copy)]
struct PeerEntry {
    addresses: Addresses,
    is_listed: bool,
    heard_at: Timestamp,
    /// What it last said of itself.
    seen: Option<PeerInfo>,
}

/// What an instance says of itself to its fellows.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PeerInfo {
    /// Its life; an earlier one knows more.
    pub(crate) life: Incarnation,
    /// Whether it follows the store and reaches it.
    pub(crate) follows: bool,
    /// Whether it did so all the time, as far as an outage still counts.
    pub(crate) is_steady: bool,
    /// The part of a core that it has.
    pub(crate) cores: f32,
    /// Stands for the data centre that it is in.
    pub(crate) data_centre: u32,
    /// Where it is reached, since its entry in the store may have lapsed.
    pub(crate) addresses: Addresses,
}

/// A fellow that has not been heard for this long may not follow the store any more.
const FOLLOWS_WITHIN: Millis = Millis(700);

/// A fellow that has not been heard for this long relays nothing.
const LATELY: Millis = Millis(1_500);

/// A fellow that is not listed and was not heard for this long is gone.
const HEARD_WITHIN: Millis = Millis(10_000);

impl PeerTable {
    /// Notes a fellow's entry, or its removal.
    pub(crate) fn set_listing(&self, name: &str, addresses: Option<Addresses>) {
        let id = InstanceId::of(name);
        let mut fellows = self.0.borrow_mut();
        match (fellows.get_mut(&id), addresses) {
            (Some(fellow), Some(addresses)) => {
                fellow.addresses = addresses;
                fellow.is_listed = true;
            }
            (Some(fellow), None) => fellow.is_listed = false,
            (None, Some(addresses)) => {
                let heard_at = Timestamp::default();
                let fellow = PeerEntry { addresses, is_listed: true, heard_at, seen: None };
                fellows.insert(id, fellow);
            }
            (None, None) => {}
        }
    }

    /// Notes that a fellow was heard, and what it says of itself.
    pub(crate) fn record_heard(&self, now: Timestamp, id: InstanceId, seen: PeerInfo) {
        let mut fellows = self.0.borrow_mut();
        let addresses = seen.addresses;
        let fellow = PeerEntry { addresses, is_listed: false, heard_at: now, seen: None };
        let fellow = fellows.entry(id).or_insert(fellow);
        fellow.addresses = addresses;
        fellow.heard_at = now;
        fellow.seen = Some(seen);
    }

    /// The fellows that were heard lately, and what they said.
    pub(crate) fn recently_heard(&self, now: Timestamp) -> Vec<(InstanceId, PeerInfo)> {
        let is_heard = |it: &PeerEntry| !it.heard_at.after(LATELY).is_due(now);
        let fellows = self.0.borrow();
        let heard = fellows.iter().filter(|(_, it)| is_heard(it));
        heard.filter_map(|(&id, it)| Some((id, it.seen?))).collect()
    }

    /// Forgets the fellows that are gone.
    pub(crate) fn prune(&self, now: Timestamp) {
        let is_there =
            |it: &PeerEntry| it.is_listed || !it.heard_at.after(HEARD_WITHIN).is_due(now);
        self.0.borrow_mut().retain(|_, it| is_there(it));
    }

    /// All fellows.
    pub(crate) fn all(&self) -> Vec<(InstanceId, Addresses)> {
        self.0.borrow().iter().map(|(&id, it)| (id, it.addresses)).collect()
    }

    /// Where one fellow is reached.
    pub(crate) fn get(&self, id: InstanceId) -> Option<Addresses> {
        self.0.borrow().get(&id).map(|it| it.addresses)
    }

    /// Which life a fellow is in, as it last said.
    pub(crate) fn incarnation(&self, id: InstanceId) -> Option<Incarnation> {
        self.0.borrow().get(&id)?.seen.map(|it| it.life)
    }

    /// Where a fellow other than `me` is reached, the one that was first heard.
    pub(crate) fn oldest(&self, me: InstanceId) -> Option<(InstanceId, SocketAddr)> {
        let fellows = self.0.borrow();
        let heard = fellows.iter().filter(|(id, it)| **id != me && it.seen.is_some());
        let (&id, fellow) = heard.min_by_key(|(_, it)| it.seen.map(|it| it.life))?;
        Some((id, fellow.addresses.control))
    }

    /// The fellows that follow the store, by what they said lately; with `are_listed` also
    /// those that have not been heard yet.
    pub(crate) fn store_followers(&self, now: Timestamp, are_listed: bool) -> Vec<InstanceId> {
        let follows = |it: &PeerEntry| match it.seen {
            Some(seen) => seen.follows && !it.heard_at.after(FOLLOWS_WITHIN).is_due(now),
            None => are_listed && it.is_listed,
        };
        self.0.borrow().iter().filter(|(_, it)| follows(it)).map(|(&id, _)| id).collect()
    }

    /// The part of each backend server's connections that `me` may have, with `cores` of
    /// its own.
    pub(crate) fn connection_share(&self, me: InstanceId, cores: f32) -> f64 {
        let fellows = self.0.borrow();
        let others = fellows.iter().filter(|(id, _)| **id != me);
        portion::connection_share(cores, others.map(|(_, it)| it.seen.map(|it| it.cores)))
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.0.borrow().len()
    }
}

/// Keeps this instance's entry in the store.
pub(crate) struct Membership {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) name: String,
    pub(crate) addresses: Addresses,
    lease: std::cell::Cell<Option<u64>>,
}

impl Membership {
    pub(crate) fn new(
        core: Rc<Core>,
        store: Rc<StoreClient>,
        name: String,
        addresses: Addresses,
    ) -> Membership {
        Membership { core, store, name, addresses, lease: std::cell::Cell::new(None) }
    }

    /// Keeps the entry for as long as the daemon runs.
    pub(crate) async fn run(&self) {
        let mut conn = None;
        while !self.core.is_stopping() {
            let kept = match self.lease.get() {
                Some(lease) => self.renew(&mut conn, lease).await,
                None => self.enter(&mut conn).await,
            };
            match kept {
                Some(ttl) => sleep(Millis(ttl.0 / RENEWALS).into()).await,
                None => sleep(PAUSE.into()).await,
            }
        }
    }

    /// Ends the entry, so that fellows need not wait for the lease's end.
    pub(crate) async fn deregister(&self) {
        if let Some(lease) = self.lease.take() {
            let call = store::revoke_lease(lease);
            // The lease ends by itself where this fails.
            let _ = self.store.call(&mut None, "end-lease", &call, CALL_TIMEOUT).await;
        }
    }

    async fn enter(&self, conn: &mut Option<Conn>) -> Option<Millis> {
        let asked = self.store.call(conn, "lease", &store::grant_lease(LEASE), CALL_TIMEOUT).await;
        let reply = self.good("lease", asked)?;
        let (lease, ttl) = match store::parse_lease(&reply.body) {
            Ok(granted) => granted,
            Err(e) => {
                debug!(self.core.log, "lease not understood"; "reason" => %e);
                return None;
            }
        };
        let value = platform::instance_value(self.addresses);
        let call = store::put(&platform::instance_key(&self.name), &value, lease);
        let written = self.store.call(conn, "put", &call, CALL_TIMEOUT).await;
        self.good("put", written)?;
        self.lease.set(Some(lease));
        info!(self.core.log, "listed in the store"; "lease" => lease, "lease_ms" => ttl.0);
        Some(ttl)
    }

    async fn renew(&self, conn: &mut Option<Conn>, lease: u64) -> Option<Millis> {
        let renewed = self.store.call(conn, "keep", &store::renew_lease(lease), CALL_TIMEOUT).await;
        if matches!(&renewed, Ok(reply) if reply.status == store::LEASE_NOT_FOUND_STATUS) {
            info!(self.core.log, "lease ended, listing again"; "lease" => lease);
            self.lease.set(None);
            return None;
        }
        self.good("keep", renewed).map(|_| LEASE)
    }

    fn good(
        &self,
        kind: &str,
        answered: Result<crate::wire::Reply, crate::wire::CallError>,
    ) -> Option<crate::wire::Reply> {
        match answered {
            Ok(reply) if reply.status == 200 => Some(reply),
            Ok(reply) => {
                debug!(self.core.log, "store refused"; "call" => kind, "status" => reply.status);
                None
            }
            Err(e) => {
                debug!(self.core.log, "store did not answer"; "call" => kind, "reason" => %e);
                None
            }
        }
    }
}
