//! What an instance knows from its settings.

use std::net::SocketAddr;

use sl_base::{Incarnation, InstanceId, Millis, listing::ListedInstance};

/// Identity, bounds and periods of one instance.
#[derive(Clone, Debug)]
pub struct Options {
    /// The instance's name.
    pub name: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where its control port listens.
    pub control: SocketAddr,
    /// Seed of the generator that the state carries.
    pub seed: u64,
    /// Instances that are asked for configuration and list before the platform has answered.
    pub seeds: Vec<ListedInstance>,
    /// Requests that it holds at most, waiting and running together.
    pub requests_max: usize,
    /// Bytes of bodies that it holds at most.
    pub bytes_max: u64,
    /// How often counters are exchanged with each peer.
    pub exchange_period: Millis,
    /// How often the first in line read the platform's list.
    pub list_period: Millis,
    /// How long the platform may take to answer a call.
    pub platform_answer: Millis,
    /// How long the platform holds a watch open.
    pub watch_wait: Millis,
    /// How long new work is still taken after a planned stop began, until the balancer
    /// has noticed.
    pub unready_grace: Millis,
    /// Settings of the slots.
    pub slots: sl_slots::Options,
    /// Settings of the claims.
    pub claims: sl_claim::Options,
    /// Settings of the strikes.
    pub strikes: sl_claim::strikes::Options,
    /// Settings of the members.
    pub members: sl_member::Options,
    /// How far a backlogged team's virtual time may lie behind another's.
    pub fair_window: sl_fair::Service,
}

impl Options {
    /// The usual settings of the instance `name` in the life `incarnation`.
    pub fn of(name: &str, incarnation: Incarnation, control: SocketAddr) -> Options {
        let fair = sl_fair::Options::of(InstanceId::of(name), incarnation);
        Options {
            name: name.to_owned(),
            incarnation,
            control,
            seed: incarnation.0,
            seeds: Vec::new(),
            requests_max: 4_096,
            bytes_max: 64 * 1_024 * 1_024,
            exchange_period: Millis(1_000),
            list_period: Millis(2_000),
            platform_answer: Millis(1_000),
            watch_wait: Millis(2_000),
            unready_grace: Millis(1_000),
            slots: sl_slots::Options::default(),
            claims: sl_claim::Options::default(),
            strikes: sl_claim::strikes::Options::default(),
            members: sl_member::Options::default(),
            fair_window: fair.window,
        }
    }

    /// The instance's id.
    pub fn me(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }
}
