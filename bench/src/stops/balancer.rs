//! The platform's balancer: which instance a new connection of a caller goes to.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use rand::{Rng, seq::IndexedRandom};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::DATA_CENTRES;
use crate::{Instance, fleet::is_ready_at};

/// How often the balancer asks for the readiness of an instance, and how long it waits.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Consecutive misses that take an instance out of rotation.
const MISSES_MAX: u32 = 2;

/// The instances as the balancer knows them, in the order of the fleet, whose data centres they
/// are in by turns.
#[derive(Debug)]
pub(crate) struct Balancer(Vec<Target>);

#[derive(Debug)]
struct Target {
    caller: SocketAddr,
    metrics: SocketAddr,
    state: Mutex<TargetState>,
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetState {
    misses: u32,
    /// When the current process was last asked while it was ready.
    ready_at: Option<Instant>,
}

impl Balancer {
    /// A balancer that has all instances in rotation and goes on checking them.
    pub(crate) fn start(instances: &[Instance]) -> Arc<Balancer> {
        let state = TargetState { misses: 0, ready_at: Some(Instant::now()) };
        let targets = instances.iter().map(|it| Target {
            caller: it.caller,
            metrics: it.metrics,
            state: Mutex::new(state),
        });
        let balancer = Arc::new(Balancer(targets.collect()));
        for index in 0..balancer.0.len() {
            let balancer = Arc::downgrade(&balancer);
            tokio::spawn(async move {
                let mut ticks = interval(CHECK_INTERVAL);
                ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
                while let Some(balancer) = balancer.upgrade() {
                    balancer.0[index].check().await;
                    drop(balancer);
                    ticks.tick().await;
                }
            });
        }
        balancer
    }

    /// Chooses an instance for a new connection of a caller in the data centre.
    pub(crate) fn choose(&self, rng: &mut impl Rng, data_centre: usize) -> (usize, SocketAddr) {
        let nearest = (0..DATA_CENTRES.len()).map(|it| (data_centre + it) % DATA_CENTRES.len());
        let nearest = nearest.map(|it| self.candidates(it)).find(|it| !it.is_empty());
        let candidates = nearest.unwrap_or_else(|| (0..self.0.len()).collect());
        let index = candidates.choose(rng).copied().unwrap_or_default();
        (index, self.0[index].caller)
    }

    /// The instances of the data centre in rotation; all of it if those are fewer than half, and
    /// none if there are none.
    fn candidates(&self, data_centre: usize) -> Vec<usize> {
        let all = (data_centre..self.0.len()).step_by(DATA_CENTRES.len());
        let ready = all.clone().filter(|it| self.0[*it].state().misses < MISSES_MAX);
        let ready: Vec<usize> = ready.collect();
        let is_few = !ready.is_empty() && 2 * ready.len() < all.len();
        if is_few { all.collect() } else { ready }
    }

    /// When the current process of the instance was last asked while it was ready.
    pub(crate) fn ready_at(&self, index: usize) -> Option<Instant> {
        self.0[index].state().ready_at
    }

    /// Forgets the process of the instance, which has exited.
    pub(crate) fn forget_process(&self, index: usize) {
        self.0[index].with_state(|it| it.ready_at = None);
    }
}

impl Target {
    async fn check(&self) {
        let asked_at = Instant::now();
        let is_ready = timeout(CHECK_INTERVAL, is_ready_at(self.metrics)).await.unwrap_or(false);
        self.with_state(|it| match is_ready {
            true => *it = TargetState { misses: 0, ready_at: Some(asked_at) },
            false => it.misses += 1,
        });
    }

    fn state(&self) -> TargetState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_state(&self, change: impl FnOnce(&mut TargetState)) {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
