//! What an instance tells operators of itself.

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, PoolId, Revision, ServerId, TeamId, Timestamp};

use crate::{State, message::Running, state::Stop};

/// The status of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance's name.
    pub instance: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// The configuration in force there.
    pub revision: Revision,
    /// The version of the platform's list there.
    pub listing: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Whether it reaches neither peers nor the platform.
    pub isolated: bool,
    /// Whether a planned stop is under way.
    pub draining: bool,
    /// Requests that wait or run.
    pub requests: usize,
    /// Claims and outcomes that wait for a write.
    pub claims_waiting: usize,
    /// Keys that the shards in memory hold.
    pub claim_keys: usize,
    /// Fingerprints with strikes.
    pub struck: usize,
    /// What it holds other instances for.
    pub members: Vec<MemberStatus>,
    /// The backend servers as it sees them.
    pub servers: Vec<ServerStatus>,
    /// Teams with service or waiting work there.
    pub teams: Vec<TeamStatus>,
}

/// Another instance, as seen from one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The other's name, or its id where the list does not have it.
    pub instance: String,
    /// What it is held for.
    pub status: String,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// A backend server, as seen from one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server's name.
    pub server: String,
    /// Its pool.
    pub pool: String,
    /// Its slots in all.
    pub slots: u32,
    /// Slots that the instance may use.
    pub window: u32,
    /// Slots that run its requests.
    pub busy: u32,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// The name of the instance that lends its slots.
    pub home: String,
}

/// A team, as seen from one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team's name.
    pub team: String,
    /// The pool's name.
    pub pool: String,
    /// Requests that wait on the instance.
    pub waiting: u32,
    /// Service that this life of the instance gave the team, in the route's cost unit.
    pub served: u64,
    /// The team's virtual time across the fleet.
    pub time: u64,
}

impl State {
    /// The status at `now`.
    pub fn status(&self, now: Timestamp) -> Status {
        let Running { revision, listing } = self.running();
        Status {
            instance: self.options.name.clone(),
            incarnation: self.options.incarnation,
            revision,
            listing,
            ready: self.ready,
            isolated: self.members.isolated(now),
            draining: self.stop != Stop::No,
            requests: self.requests.len(),
            claims_waiting: self.claims.waiting(),
            claim_keys: self.claims.keys(),
            struck: self.strikes.len(),
            members: self.member_statuses(),
            servers: self.server_statuses(),
            teams: self.team_statuses(),
        }
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let listed = self
            .listing
            .instances
            .iter()
            .map(|it| sl_base::InstanceId::of(&it.name));
        let mut ids: Vec<_> = self
            .members
            .peers()
            .map(|(id, _)| id)
            .chain(listed)
            .collect();
        ids.sort_unstable();
        ids.dedup();
        let others = ids.into_iter().filter(|&id| id != self.me);
        others
            .map(|id| MemberStatus {
                instance: self.instance_name(id),
                status: self
                    .members
                    .status(id)
                    .map_or("unknown".to_owned(), |it| it.to_string()),
                leaving: self.members.is_leaving(id),
            })
            .collect()
    }

    fn server_statuses(&self) -> Vec<ServerStatus> {
        let servers = self.listing.servers.iter();
        servers
            .map(|it| {
                let id = ServerId::of(&it.name);
                let home = self.slots.home_of(id).map(|it| self.instance_name(it));
                ServerStatus {
                    server: it.name.clone(),
                    pool: it.pool.clone(),
                    slots: it.slots,
                    window: self.slots.window(id),
                    busy: self.slots.busy(id),
                    leaving: it.leaving,
                    home: home.unwrap_or_default(),
                }
            })
            .collect()
    }

    fn team_statuses(&self) -> Vec<TeamStatus> {
        let mut statuses = Vec::new();
        for pool in self.fair.pools() {
            for template in self.config.templates() {
                for team in &template.teams {
                    statuses.extend(self.team_status(pool, team.id, &team.name));
                }
            }
        }
        statuses
    }

    fn team_status(&self, pool: PoolId, id: TeamId, name: &str) -> Option<TeamStatus> {
        let waiting = self.fair.waiting(pool, id);
        let served = self.fair.own_units(pool, id);
        let named = self
            .listing
            .servers
            .iter()
            .find(|it| PoolId::of(&it.pool) == pool);
        let status = TeamStatus {
            team: name.to_owned(),
            pool: named.map_or_else(|| pool.to_string(), |it| it.pool.clone()),
            waiting,
            served,
            time: self.fair.time(pool, id).0,
        };
        (waiting > 0 || served > 0).then_some(status)
    }
}
