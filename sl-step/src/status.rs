//! What an instance tells operators of itself.

use sl_base::{
    InstanceId, PoolId, ServerId, TeamId, Timestamp,
    status::{InstanceStatus, MemberStatus, ServiceStatus, WindowStatus},
};

use crate::State;

impl State {
    /// Fills in what the reducer knows at `now`.
    pub fn describe(&self, now: Timestamp, status: &mut InstanceStatus) {
        status.revision = self.config.revision();
        status.listing = self.listing.version;
        status.ready = self.ready;
        status.isolated = self.members.isolated(now);
        status.claims_waiting = self.claims.waiting() as u64;
        status.claim_keys = self.claims.keys() as u64;
        status.struck = self.strikes.len() as u64;
        status.services = self.services();
        status.windows = self.windows();
        status.members = self.member_statuses();
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let listed = self.listing.instances.iter().map(|it| InstanceId::of(&it.name));
        let mut ids: Vec<_> = self.members.peers().map(|(id, _)| id).chain(listed).collect();
        ids.sort_unstable();
        ids.dedup();
        let others = ids.into_iter().filter(|&id| id != self.me);
        others
            .map(|id| MemberStatus {
                instance: self.instance_name(id),
                status: self.members.status(id).map_or("unknown".to_owned(), |it| it.to_string()),
                leaving: self.members.is_leaving(id),
            })
            .collect()
    }

    fn windows(&self) -> Vec<WindowStatus> {
        let windows = self.listing.servers.iter().map(|it| {
            let id = ServerId::of(&it.name);
            let home = self.slots.home_of(id).map(|it| self.instance_name(it));
            WindowStatus {
                server: it.name.clone(),
                window: self.slots.window(id),
                busy: self.slots.busy(id),
                home: home.unwrap_or_default(),
            }
        });
        windows.filter(|it| it.window > 0 || it.busy > 0).collect()
    }

    fn services(&self) -> Vec<ServiceStatus> {
        let teams: Vec<(TeamId, &str)> = self
            .config
            .templates()
            .iter()
            .flat_map(|it| &it.teams)
            .map(|it| (it.id, it.name.as_str()))
            .collect();
        let pools = self.fair.pools();
        let all = pools.flat_map(|pool| teams.iter().map(move |&(id, name)| (pool, id, name)));
        all.filter_map(|(pool, id, name)| self.service(pool, id, name)).collect()
    }

    fn service(&self, pool: PoolId, id: TeamId, name: &str) -> Option<ServiceStatus> {
        let waiting = self.fair.waiting(pool, id);
        let served = self.fair.own_units(pool, id);
        let named = self.listing.servers.iter().find(|it| PoolId::of(&it.pool) == pool);
        let status = ServiceStatus {
            team: name.to_owned(),
            pool: named.map_or_else(|| pool.to_string(), |it| it.pool.clone()),
            waiting,
            served,
            time: self.fair.time(pool, id).0,
        };
        (waiting > 0 || served > 0).then_some(status)
    }
}
