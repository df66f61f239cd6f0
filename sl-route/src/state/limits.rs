//! Limits that servers name on the requests of all instances together.

use rand::RngExt;
use sl_base::{Millis, Timestamp};

use super::State;
use crate::{Decision, Effect, ServerKey, note::Note, send_limit::SendLimit};

/// How long after its start an instance knows the other instances, from the store or from peers.
const MEMBERSHIP_DELAY: Millis = Millis(2_000);

/// How long after its start an instance knows the demand at the others.
const DEMAND_DELAY: Millis = Millis(5_000);

/// The part of the instances from which messages must arrive for their demand to be known.
const INFORMED_FRACTION: f64 = 0.75;

/// The smallest share of an instance, relative to an equal one.
const SHARE_MIN: f64 = 0.1;

impl State {
    /// Applies a limit that a server named in a response to this instance or, if `from_peer`, to
    /// another one.
    pub(super) fn on_limit_named(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        per_second: f64,
        from_peer: bool,
    ) {
        let (of_engines, of_others) = (self.engine_limit_share(now), self.equal_share());
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        let share = if server.kind.engine().is_some() { of_engines } else { of_others };
        let is_new = server.send_limit.is_none();
        let rng = &mut self.rng;
        let new = || SendLimit::new(now, per_second, share, rng.random_range(0.0..1.0));
        let limit = server.send_limit.get_or_insert_with(new);
        let has_changed = limit.renew(now, per_second);
        if from_peer {
            limit.defer_announcement(now);
        }
        let is_announced = !from_peer && (has_changed || limit.take_announcement(now));
        if is_new || has_changed {
            let server = server.record.id.clone();
            let decision = Decision::LimitNamed { server, per_second, from_peer };
            self.effects.push(Effect::Log(decision));
        }
        if is_announced {
            self.queue_note(Note::ServerLimit { server: key, per_second: Some(per_second) });
        }
    }

    /// Sets the number of instances that share the retry budget and each limit. For the limits, a
    /// number from shortly after the start may leave out most of the fleet.
    pub(super) fn on_instance_count(&mut self, now: Timestamp, instances: usize) {
        self.budget.set_instances(instances);
        if self.started_at.after(MEMBERSHIP_DELAY).is_due(now) {
            self.instances = instances;
        }
    }

    /// Sets this instance's shares of the limits by what it knows now.
    pub(super) fn update_limit_shares(&mut self, now: Timestamp) {
        let (of_engines, of_others) = (self.engine_limit_share(now), self.equal_share());
        for server in self.servers.values_mut() {
            let is_engine = server.kind.engine().is_some();
            if let Some(limit) = &mut server.send_limit {
                limit.set_share(now, if is_engine { of_engines } else { of_others });
            }
        }
    }

    fn equal_share(&self) -> f64 {
        1.0 / self.instances.max(1) as f64
    }

    /// This instance's share of the limits of engines: its part of what the teams may get, so that
    /// teams whose callers all reach one instance get as much as others. An equal share, while the
    /// demand at other instances is not known.
    fn engine_limit_share(&self, now: Timestamp) -> f64 {
        let equal = self.equal_share();
        let is_informed = self.started_at.after(DEMAND_DELAY).is_due(now)
            && (self.peers.len() + 1) as f64 >= self.instances as f64 * INFORMED_FRACTION;
        let share = self.demand.own_share(now, self.shares.fair_rate()).filter(|_| is_informed);
        share.map_or(equal, |it| it.clamp(equal * SHARE_MIN, 1.0))
    }

    /// Ends the limit of a server whose response to a request sent at `sent_at` names none.
    pub(super) fn on_no_limit(&mut self, key: ServerKey, sent_at: Timestamp) {
        let limit = self.servers.get(&key).and_then(|it| it.send_limit.as_ref());
        if limit.is_some_and(|it| it.may_end(sent_at)) {
            self.end_limit(key, false);
            self.queue_note(Note::ServerLimit { server: key, per_second: None });
        }
    }

    /// Ends the limit of a server, if there is one.
    pub(super) fn end_limit(&mut self, key: ServerKey, from_peer: bool) {
        let Some(server) = self.servers.get_mut(&key) else {
            return;
        };
        if server.send_limit.take().is_some() {
            let server = server.record.id.clone();
            self.effects.push(Effect::Log(Decision::LimitEnded { server, from_peer }));
        }
    }

    /// Ends the limits that have not been named for long.
    pub(super) fn expire_limits(&mut self, now: Timestamp) {
        let is_expired = |it: &SendLimit| it.is_expired(now);
        let expired =
            self.servers.values().filter(|it| it.send_limit.as_ref().is_some_and(is_expired));
        let expired: Vec<ServerKey> = expired.map(|it| it.key).collect();
        expired.into_iter().for_each(|it| self.end_limit(it, false));
    }
}
