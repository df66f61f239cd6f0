//! This instance's entry in the store, kept under a lease, and the table of its peers.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use serde::{Deserialize, Serialize};
use sl_base::{IdMap, Incarnation, InstanceId, Millis, Timestamp};
use sl_http::Conn;
use slog::{debug, info};
use tokio::time::sleep;

use crate::{
    backoff::Backoff,
    connection_share,
    core::Core,
    store::{CALL_TIMEOUT, StoreClient},
};
use platform::{Addresses, store};

/// The time to live of the lease; the entry of an instance that crashed is removed after it.
const LEASE_TTL: Millis = Millis(12_000);

/// How often the lease is renewed within its time to live.
const RENEWALS_PER_TTL: u64 = 3;

/// The delay before the next attempt after a failed call, which grows with further failures: the
/// store may reject the calls of a large part of the fleet for a while, and peers know of an
/// instance without an entry from its messages.
const RETRY_DELAY: Millis = Millis(500);

/// The longest delay between attempts.
const RETRY_DELAY_MAX: Millis = Millis(4_000);

/// The peers of this instance: those with an entry in the store, and those without one that
/// sent a message recently. An entry can expire while its instance runs, if the store rejects
/// the instance's calls.
///
/// The table has an entry for this instance too, once the store lists it.
#[derive(Default)]
pub(crate) struct PeerTable(RefCell<IdMap<InstanceId, PeerEntry>>);

#[derive(Clone, Copy)]
struct PeerEntry {
    addresses: Addresses,
    /// Whether the store has an entry for the peer.
    is_listed: bool,
    /// When the last message of the peer was received; zero before the first.
    last_seen: Timestamp,
    /// When the peer last reported its state; zero before the first time.
    reported_at: Timestamp,
    /// The peer's state as of its last message; `None` before the first.
    info: Option<PeerInfo>,
}

/// An instance's state, sent to its peers with every message.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PeerInfo {
    /// The instance's incarnation. The lowest one has been running for longest, and so knows
    /// the most about the engines' caches.
    pub(crate) incarnation: Incarnation,
    /// Whether the instance follows the store itself and the store has just answered it.
    pub(crate) follows_store: bool,
    /// Whether, in addition, the store's entries are complete again after the last outage.
    pub(crate) has_complete_store: bool,
    /// The instance's CPU cores; may be fractional.
    pub(crate) cores: f32,
    /// A hash of the name of the instance's data centre.
    pub(crate) data_centre: u32,
    /// The instance's addresses, which peers need if its entry in the store has expired.
    pub(crate) addresses: Addresses,
}

/// A peer that has not reported its state for this long no longer counts as following the store.
const FOLLOWER_TIMEOUT: Millis = Millis(700);

/// A peer that sent no message for this long is neither a relay nor served by one.
const RELAY_TIMEOUT: Millis = Millis(1_500);

/// A peer without an entry in the store is removed if it sent no message for this long.
const UNLISTED_TIMEOUT: Millis = Millis(10_000);

impl PeerEntry {
    /// A peer that neither the store lists nor has sent a message.
    fn unseen(addresses: Addresses) -> PeerEntry {
        PeerEntry {
            addresses,
            is_listed: false,
            last_seen: Timestamp::default(),
            reported_at: Timestamp::default(),
            info: None,
        }
    }
}

impl PeerTable {
    /// Records that the store has an entry for the instance `name`, or no longer has one.
    pub(crate) fn set_listing(&self, name: &str, addresses: Option<Addresses>) {
        let id = InstanceId::of(name);
        let mut peers = self.0.borrow_mut();
        match (peers.get_mut(&id), addresses) {
            (Some(peer), Some(addresses)) => {
                peer.addresses = addresses;
                peer.is_listed = true;
            }
            (Some(peer), None) => peer.is_listed = false,
            (None, Some(addresses)) => {
                peers.insert(id, PeerEntry { is_listed: true, ..PeerEntry::unseen(addresses) });
            }
            (None, None) => {}
        }
    }

    /// Records a message of a peer that is known and did not report its state.
    pub(crate) fn record_contact(&self, now: Timestamp, id: InstanceId) {
        if let Some(peer) = self.0.borrow_mut().get_mut(&id) {
            peer.last_seen = now;
        }
    }

    /// Records a message of a peer, with the state that the peer reported in it.
    pub(crate) fn record_state(&self, now: Timestamp, id: InstanceId, info: PeerInfo) {
        let mut peers = self.0.borrow_mut();
        let addresses = info.addresses;
        let peer = peers.entry(id).or_insert(PeerEntry::unseen(addresses));
        peer.addresses = addresses;
        peer.last_seen = now;
        peer.reported_at = now;
        peer.info = Some(info);
    }

    /// The peers that sent a message within [`RELAY_TIMEOUT`], with the state in it.
    pub(crate) fn recently_active(&self, now: Timestamp) -> Vec<(InstanceId, PeerInfo)> {
        let is_active = |it: &PeerEntry| !it.last_seen.after(RELAY_TIMEOUT).is_due(now);
        let peers = self.0.borrow();
        let active = peers.iter().filter(|(_, it)| is_active(it));
        active.filter_map(|(&id, it)| Some((id, it.info?))).collect()
    }

    /// Removes peers that are not listed and sent no message within [`UNLISTED_TIMEOUT`].
    pub(crate) fn prune(&self, now: Timestamp) {
        let is_alive =
            |it: &PeerEntry| it.is_listed || !it.last_seen.after(UNLISTED_TIMEOUT).is_due(now);
        self.0.borrow_mut().retain(|_, it| is_alive(it));
    }

    /// All entries with their addresses.
    pub(crate) fn all(&self) -> Vec<(InstanceId, Addresses)> {
        self.0.borrow().iter().map(|(&id, it)| (id, it.addresses)).collect()
    }

    /// The ids of all instances that the store lists, sorted.
    pub(crate) fn listed(&self) -> Vec<u32> {
        let peers = self.0.borrow();
        let listed = peers.iter().filter(|(_, it)| it.is_listed);
        let mut ids: Vec<u32> = listed.map(|(id, _)| id.0).collect();
        ids.sort_unstable();
        ids
    }

    pub(crate) fn addresses(&self, id: InstanceId) -> Option<Addresses> {
        self.0.borrow().get(&id).map(|it| it.addresses)
    }

    /// The incarnation that a peer last reported.
    pub(crate) fn incarnation(&self, id: InstanceId) -> Option<Incarnation> {
        self.0.borrow().get(&id)?.info.map(|it| it.incarnation)
    }

    /// The id and the control address of the peer with the lowest incarnation, which has been
    /// running for longest, among those that sent a message.
    pub(crate) fn oldest(&self, own_id: InstanceId) -> Option<(InstanceId, SocketAddr)> {
        let peers = self.0.borrow();
        let active = peers.iter().filter(|(id, it)| **id != own_id && it.info.is_some());
        let (&id, peer) = active.min_by_key(|(_, it)| it.info.map(|it| it.incarnation))?;
        Some((id, peer.addresses.control))
    }

    /// The peers that reported within [`FOLLOWER_TIMEOUT`] that they follow the store. With
    /// `include_unseen`, listed peers that have not sent a message yet count as well.
    pub(crate) fn store_followers(&self, now: Timestamp, include_unseen: bool) -> Vec<InstanceId> {
        let follows = |it: &PeerEntry| match it.info {
            Some(info) => info.follows_store && !it.reported_at.after(FOLLOWER_TIMEOUT).is_due(now),
            None => include_unseen && it.is_listed,
        };
        self.0.borrow().iter().filter(|(_, it)| follows(it)).map(|(&id, _)| id).collect()
    }

    /// The share of each backend server's connections that this instance, with `cores` of
    /// its own, may open.
    pub(crate) fn connection_share(&self, own_id: InstanceId, cores: f32) -> f64 {
        let peers = self.0.borrow();
        let others = peers.iter().filter(|(id, _)| **id != own_id);
        connection_share::connection_share(cores, others.map(|(_, it)| it.info.map(|it| it.cores)))
    }

    /// How many times more cores the largest known instance has than this one, with `cores`.
    pub(crate) fn largest_ratio(&self, cores: f32) -> f64 {
        let peers = self.0.borrow();
        let all = peers.values().filter_map(|it| it.info.map(|it| it.cores));
        f64::from(all.fold(cores, f32::max) / cores.max(f32::MIN_POSITIVE))
    }

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
    /// The lease of the entry; `None` while there is no entry.
    lease: std::cell::Cell<Option<Lease>>,
}

/// A lease that the store has granted.
#[derive(Clone, Copy)]
struct Lease {
    id: u64,
    /// The store's era at the time. In a later one the lease is gone, and its id may be granted
    /// to another instance.
    era: u64,
}

/// Longest time by which an instance delays its registration after a restore of the store, so that
/// the instances of a large fleet do not register all at once.
const REGISTRATION_SPREAD: Millis = Millis(400);

impl Membership {
    pub(crate) fn new(
        core: Rc<Core>,
        store: Rc<StoreClient>,
        name: String,
        addresses: Addresses,
    ) -> Membership {
        Membership { core, store, name, addresses, lease: std::cell::Cell::new(None) }
    }

    /// Registers this instance and renews its lease until a graceful shutdown starts.
    pub(crate) async fn run(&self) {
        let mut conn = None;
        let mut backoff = Backoff::new(RETRY_DELAY, RETRY_DELAY_MAX);
        while !self.core.shutdown.is_in_progress() {
            let ttl = match self.current_lease() {
                Some(lease) => self.renew(&mut conn, lease.id).await,
                None => self.register(&mut conn).await,
            };
            // A restore that the call itself has shown ends the lease, too.
            let ttl = ttl.filter(|_| self.current_lease().is_some());
            if ttl.is_some() {
                backoff.reset();
            }
            let pause = match ttl {
                Some(ttl) => Millis(ttl.0 / RENEWALS_PER_TTL),
                None => self.with_jitter(backoff.next_delay()),
            };
            let era = self.store.eras().latest();
            tokio::select! {
                () = sleep(pause.into()) => {}
                () = self.store.eras().later_than(era) => self.spread_registration().await,
            }
        }
    }

    /// The lease, if the store still has it as far as known.
    fn current_lease(&self) -> Option<Lease> {
        self.lease.get().filter(|it| it.era == self.store.eras().latest())
    }

    /// A delay between half of `delay` and all of it, so that instances do not call in step.
    fn with_jitter(&self, delay: Millis) -> Millis {
        let half = Millis(delay.0 / 2);
        let jitter = self.core.with_state(|it| it.draw_delay(half));
        Millis(half.0 + jitter.0)
    }

    async fn spread_registration(&self) {
        let delay = self.core.with_state(|it| it.draw_delay(REGISTRATION_SPREAD));
        sleep(delay.into()).await;
    }

    /// Ends the lease, and with it the entry, so that peers see the removal at once instead
    /// of after [`LEASE_TTL`].
    pub(crate) async fn deregister(&self) {
        let lease = self.current_lease();
        self.lease.set(None);
        if let Some(lease) = lease {
            let call = store::revoke_lease(lease.id);
            // If this fails, the lease expires.
            let _ = self.store.call(&mut None, "end-lease", &call, CALL_TIMEOUT).await;
        }
    }

    /// Acquires a lease and writes the entry under it; returns the lease's time to live.
    async fn register(&self, conn: &mut Option<Conn>) -> Option<Millis> {
        let response =
            self.store.call(conn, "lease", &store::grant_lease(LEASE_TTL), CALL_TIMEOUT).await;
        let response = self.successful("lease", response)?;
        let (lease, ttl) = match store::parse_lease(&response.body) {
            Ok(granted) => granted,
            Err(e) => {
                debug!(self.core.log, "malformed lease grant from the store"; "reason" => %e);
                return None;
            }
        };
        let era = self.store.eras().latest();
        let value = platform::instance_value(self.addresses);
        let call = store::put(&platform::instance_key(&self.name), &value, lease);
        let written = self.store.call(conn, "put", &call, CALL_TIMEOUT).await;
        self.successful("put", written)?;
        if self.store.eras().latest() != era {
            debug!(self.core.log, "store restored during the registration"; "lease" => lease);
            return None;
        }
        self.lease.set(Some(Lease { id: lease, era }));
        if self.core.shutdown.is_in_progress() {
            self.deregister().await;
            return None;
        }
        info!(self.core.log, "instance registered in the store";
            "lease" => lease, "lease_ms" => ttl.0);
        Some(ttl)
    }

    async fn renew(&self, conn: &mut Option<Conn>, lease: u64) -> Option<Millis> {
        let renewed = self.store.call(conn, "keep", &store::renew_lease(lease), CALL_TIMEOUT).await;
        if matches!(&renewed, Ok(response) if response.status == store::LEASE_NOT_FOUND_STATUS) {
            info!(self.core.log, "lease expired, registering again"; "lease" => lease);
            self.lease.set(None);
            return None;
        }
        self.successful("keep", renewed).map(|_| LEASE_TTL)
    }

    /// The response if the call succeeded; failures are logged.
    fn successful(
        &self,
        kind: &str,
        result: Result<crate::wire::Response, crate::wire::CallError>,
    ) -> Option<crate::wire::Response> {
        match result {
            Ok(response) if response.status == 200 => Some(response),
            Ok(response) => {
                debug!(self.core.log, "store rejected a call";
                    "call" => kind, "status" => response.status);
                None
            }
            Err(e) => {
                debug!(self.core.log, "call to the store failed"; "call" => kind, "reason" => %e);
                None
            }
        }
    }
}
