//! Bringing waiting requests and free slots together.

use sl_base::{PoolId, RequestId, ServerId, Timestamp};
use sl_slots::{Loan, Outcome};

use crate::{Effect, Message, State, effect::Dispatch};

impl State {
    /// Dispatches what can be in every pool where something moved.
    pub(crate) fn dispatch(&mut self, now: Timestamp) {
        while let Some(pool) = self.moved.pop_first() {
            self.slots.set_need(now, pool, self.fair.need(pool));
            while self.dispatch_one(now, pool) {}
            self.slots.set_need(now, pool, self.fair.need(pool));
        }
    }

    fn dispatch_one(&mut self, now: Timestamp, pool: PoolId) -> bool {
        let Some(next) = self.fair.peek(now, pool) else {
            return false;
        };
        self.compare_needs(now, pool);
        let avoid = self.requests.get(next).and_then(|it| it.avoid);
        let Some(loan) = self.acquire(now, pool, avoid) else {
            return false;
        };
        let Some(picked) = self.fair.pick(now, pool) else {
            self.slots.release(now, loan.server, Outcome::Other);
            return false;
        };
        let id = picked.item.request;
        self.waits.learn(picked.item.team, now.micros_since(picked.item.since));
        if !self.passes_strikes(now, id) {
            self.fair.settle(id, 0);
            self.slots.release(now, loan.server, Outcome::Other);
            return true;
        }
        self.send_to(now, id, loan);
        true
    }

    /// Tells the slots who needs them most by the counters as they are now: a charge made
    /// here changes the virtual time of teams that wait elsewhere too, and a comparison
    /// with an older one would send slots around in circles.
    fn compare_needs(&mut self, now: Timestamp, pool: PoolId) {
        self.slots.set_need(now, pool, self.fair.need(pool));
        let needs = self.fair.needs_elsewhere(now, pool);
        self.slots.set_needs_elsewhere(now, pool, &needs);
    }

    /// A slot on another server than the one that just failed, or on that one if there
    /// is no other.
    fn acquire(&mut self, now: Timestamp, pool: PoolId, avoid: Option<ServerId>) -> Option<Loan> {
        let loan = self.slots.acquire(now, pool, avoid.as_slice());
        if loan.is_some() || avoid.is_none() {
            return loan;
        }
        self.slots.acquire(now, pool, &[])
    }

    fn send_to(&mut self, now: Timestamp, id: RequestId, loan: Loan) {
        let server = loan.server;
        let address = self.addresses.get(&server).copied();
        let Some((attempt, request)) = self.requests.start(now, id, server) else {
            self.slots.release(now, server, Outcome::Other);
            return;
        };
        let Some(address) = address else {
            self.ended(now, attempt, crate::event::AttemptEnd::NotSent);
            return;
        };
        let policy = &request.arrival.policy;
        self.effects.push(Effect::Dispatch(Dispatch {
            request: id,
            attempt,
            server,
            address,
            dispatch_by: loan.dispatch_by.min(request.total_by),
            first_byte_by: now.after(policy.first_byte_within).min(request.total_by),
            idle_within: policy.idle_within,
            total_by: request.total_by,
        }));
    }

    /// Passes the slots' messages on.
    pub(crate) fn settle_slots(&mut self, now: Timestamp) {
        self.say_slots(now);
        // Messages of this instance to itself may have brought slots.
        let woken: Vec<PoolId> =
            self.fair.pools().filter(|&pool| self.fair.need(pool).is_some()).collect();
        for pool in woken {
            while self.dispatch_one(now, pool) {}
        }
        self.say_slots(now);
    }

    fn say_slots(&mut self, now: Timestamp) {
        for (to, message) in self.slots.take_messages(now) {
            self.say(to, Message::Slots(message));
        }
    }
}
