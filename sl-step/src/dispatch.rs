//! Bringing waiting requests and free slots together.

use sl_base::{PoolId, RequestId, ServerId, Timestamp};

use crate::{Effect, State, effect::Dispatch};

impl State {
    pub(crate) fn dispatch(&mut self, now: Timestamp) {
        let pools: Vec<PoolId> = self.waiting.keys().copied().collect();
        for pool in pools {
            while let Some(request) = self.waiting.get(&pool).and_then(|it| it.first().copied()) {
                let Some(server) = self.least_loaded(pool) else {
                    break;
                };
                if let Some(queue) = self.waiting.get_mut(&pool) {
                    queue.remove(0);
                }
                self.send_to(now, request, server);
            }
        }
    }

    fn least_loaded(&self, pool: PoolId) -> Option<ServerId> {
        self.servers
            .iter()
            .filter(|(_, it)| it.pool == pool && !it.leaving && it.in_use < it.slots)
            .min_by_key(|(id, it)| (it.in_use, **id))
            .map(|(&id, _)| id)
    }

    fn send_to(&mut self, now: Timestamp, id: RequestId, server: ServerId) {
        let Some(target) = self.servers.get_mut(&server) else {
            return;
        };
        let Some((attempt, request)) = self.requests.start(now, id, server) else {
            return;
        };
        target.in_use += 1;
        let policy = &request.arrival.policy;
        self.effects.push(Effect::Dispatch(Dispatch {
            request: id,
            attempt,
            server,
            address: target.address,
            dispatch_by: request.total_by,
            first_byte_by: now.after(policy.first_byte_within).min(request.total_by),
            idle_within: policy.idle_within,
            total_by: request.total_by,
        }));
    }
}
