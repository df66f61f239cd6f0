//! What happens to a request at its arrival and while it waits.

use sl_base::{Code, Millis, RequestId, Timestamp};
use sl_claim::{Decision, Settled, strikes::Admission};
use sl_config::KeyRule;
use sl_fair::Item;

use crate::{
    Effect, State,
    attempt::honest,
    event::Arrival,
    request::{Caller, Phase, Request},
};

/// When a caller is told to come back where the cause is no queue.
const COME_BACK: Millis = Millis(1_000);

impl State {
    pub(crate) fn arrived(&mut self, now: Timestamp, arrival: Arrival) {
        if let Some(code) = self.refusal(now, &arrival) {
            self.refuse(&arrival, code);
            return;
        }
        let Some(key) = arrival.key.filter(|_| !arrival.policy.idempotent) else {
            self.requests.insert(now, arrival, Phase::Waiting);
            self.enqueue(now, arrival.request);
            return;
        };
        let request = self.requests.insert(now, arrival, Phase::Claiming);
        let give_up_by = request.queue_by;
        self.claims.claim(now, arrival.request, key, give_up_by);
    }

    /// Why a request is not even queued, if so. Checked before a claim is written, so that
    /// a flood costs the platform nothing.
    fn refusal(&self, now: Timestamp, arrival: &Arrival) -> Option<Code> {
        let policy = &arrival.policy;
        let lacks_key =
            !policy.idempotent && policy.key == KeyRule::Required && arrival.key.is_none();
        if lacks_key {
            return Some(Code::KeyRequired);
        }
        if !self.takes_new_work(now) {
            return Some(Code::Draining);
        }
        if !self.spread.has_config() {
            return Some(Code::NoConfiguration);
        }
        if self.members.isolated(now) {
            return Some(Code::Isolated);
        }
        if self.strikes.is_barred(now, arrival.team, arrival.fingerprint) {
            return Some(Code::CrashesServers);
        }
        if self.requests.len() >= self.options.requests_max
            || self.requests.bytes() + arrival.bytes > self.options.bytes_max
        {
            return Some(Code::Overloaded);
        }
        if !self.slots.has_server(policy.pool) {
            return Some(Code::NoServer);
        }
        let item = item_of(now, now.after(policy.queue_within), arrival);
        self.fair.check(&item).err().map(sl_fair::Error::code)
    }

    pub(crate) fn claim_decided(&mut self, now: Timestamp, id: RequestId, decision: Decision) {
        let Some(request) = self.requests.get_mut(id) else {
            if decision == Decision::Granted {
                self.claims.settle(now, id, Settled::NotRun);
            }
            return;
        };
        match decision {
            Decision::Granted if request.caller == Caller::Waiting => {
                request.phase = Phase::Waiting;
                request.claimed = true;
                self.enqueue(now, id);
            }
            Decision::Granted => {
                let arrival = request.arrival;
                self.requests.remove(id);
                self.claims.settle(now, id, Settled::NotRun);
                self.refuse(&arrival, Code::CallerGone);
            }
            Decision::Refused { code, status, retry_after } => {
                self.requests.remove(id);
                self.effects.push(Effect::Answer {
                    request: id,
                    code,
                    retry_after,
                    ran_status: status,
                });
            }
        }
    }

    fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let item = item_of(now, request.queue_by, &request.arrival);
        let pool = item.pool;
        match self.fair.enqueue(now, item) {
            Ok(()) => self.note_need(now, pool),
            Err(e) => self.give_up_waiting(now, id, e.code()),
        }
    }

    pub(crate) fn requeue(&mut self, now: Timestamp, request: &Request) {
        let item = item_of(now, request.queue_by, &request.arrival);
        self.fair.requeue(now, item);
        self.note_need(now, item.pool);
    }

    /// Says that what waits for a pool has changed.
    pub(crate) fn note_need(&mut self, now: Timestamp, pool: sl_base::PoolId) {
        self.slots.set_need(now, pool, self.fair.need(pool));
        self.moved.insert(pool);
    }

    pub(crate) fn caller_gone(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.caller = Caller::Gone;
        let arrival = request.arrival;
        match request.phase {
            Phase::Claiming => {}
            Phase::Waiting => {
                self.drop_waiting(now, id);
                self.refuse(&arrival, Code::CallerGone);
            }
            // A non-idempotent request runs on, so that its outcome becomes known.
            Phase::Running(running) if arrival.policy.idempotent => {
                self.effects.push(Effect::Abort { attempt: running.attempt });
            }
            Phase::Running(_) => {}
        }
    }

    /// Gives their final answer to requests whose deadline came while they waited.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        for item in self.fair.expired(now) {
            self.give_up_waiting(now, item.request, Code::QueueTimeout);
            self.note_need(now, item.pool);
        }
    }

    /// An instance that reaches nobody can't know which servers are leaving, and hands
    /// what waits back to callers, who reach another instance through the balancer.
    pub(crate) fn give_up_isolated(&mut self, now: Timestamp) {
        let waiting = self.requests.iter().filter(|it| it.phase == Phase::Waiting);
        let waiting: Vec<RequestId> = waiting.map(|it| it.arrival.request).collect();
        for id in waiting {
            self.give_up_waiting(now, id, Code::Isolated);
        }
    }

    /// Refuses waiting requests that a peer's strikes have barred meanwhile.
    pub(crate) fn refuse_barred(&mut self, now: Timestamp) {
        let strikes = &self.strikes;
        let barred: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|it| it.phase == Phase::Waiting)
            .filter(|it| strikes.is_barred(now, it.arrival.team, it.arrival.fingerprint))
            .map(|it| it.arrival.request)
            .collect();
        for id in barred {
            self.give_up_waiting(now, id, Code::CrashesServers);
        }
    }

    /// Whether a request may be dispatched as far as strikes go; it is refused otherwise.
    pub(crate) fn passes_strikes(&mut self, now: Timestamp, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let (team, fingerprint) = (request.arrival.team, request.arrival.fingerprint);
        let admission = self.strikes.admit(now, team, fingerprint);
        if matches!(admission, Admission::Barred { .. }) {
            self.give_up_waiting(now, id, Code::CrashesServers);
            return false;
        }
        true
    }

    /// Gives a request that was not dispatched its final answer and its key back.
    pub(crate) fn give_up_waiting(&mut self, now: Timestamp, id: RequestId, code: Code) {
        let Some(&request) = self.requests.get(id) else {
            return;
        };
        self.drop_waiting(now, id);
        if request.caller == Caller::Waiting {
            self.refuse(&request.arrival, honest(code, &request));
        }
    }

    fn drop_waiting(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if let Some(item) = self.fair.remove(now, id) {
            self.note_need(now, item.pool);
        }
        if request.claimed {
            let settled = if request.may_have_run { Settled::Unknown } else { Settled::NotRun };
            self.claims.settle(now, id, settled);
        }
    }

    /// Gives a request its final answer, and says when to come back where that helps.
    pub(crate) fn refuse(&mut self, arrival: &Arrival, code: Code) {
        let retry_after = match code {
            Code::QueueFull | Code::QueueBytesFull | Code::QueueTimeout | Code::Overloaded => {
                Some(self.waits.come_back(arrival.team))
            }
            Code::NoServer
            | Code::ConnectFailed
            | Code::Draining
            | Code::Isolated
            | Code::NoConfiguration
            | Code::ClaimUnavailable => Some(COME_BACK),
            _ => None,
        };
        self.effects.push(Effect::Answer {
            request: arrival.request,
            code,
            retry_after,
            ran_status: None,
        });
    }
}

fn item_of(now: Timestamp, expires: Timestamp, arrival: &Arrival) -> Item {
    Item {
        request: arrival.request,
        pool: arrival.policy.pool,
        team: arrival.team,
        order: arrival.policy.order,
        bytes: arrival.bytes,
        hint: arrival.hint,
        since: now,
        expires,
    }
}
