//! Tests of queues, charges and the exchange of counters.

mod exchange;
mod fair;

use sl_base::{Incarnation, InstanceId, Millis, PoolId, RequestId, TeamId, Timestamp};
use sl_fair::{Fair, Item, Limits, Options, Rule};

pub(crate) const POOL: PoolId = PoolId(7);

pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000).after(Millis(millis))
}

pub(crate) fn instance(n: usize) -> InstanceId {
    InstanceId::of(&format!("instance-{n}"))
}

pub(crate) fn team(n: usize) -> TeamId {
    TeamId::of(&format!("team-{n}"))
}

pub(crate) fn rules(shares: &[u32]) -> Vec<(TeamId, Rule)> {
    let limits = Limits { requests: 50, bytes: 10_000 };
    let rule = |(n, &share)| (team(n), Rule { share, limits });
    shares.iter().enumerate().map(rule).collect()
}

/// The first life of instance `n` in a fleet of `count`.
pub(crate) fn fair(n: usize, count: usize, shares: &[u32]) -> Fair {
    life(n, count, shares, 1)
}

pub(crate) fn life(n: usize, count: usize, shares: &[u32], life: u64) -> Fair {
    with(Options::of(instance(n), Incarnation(life)), count, shares)
}

pub(crate) fn with(options: Options, count: usize, shares: &[u32]) -> Fair {
    let mut fair = Fair::new(options);
    let members: Vec<InstanceId> = (0..count).map(instance).collect();
    fair.set_members(at(0), &members);
    fair.set_rules(rules(shares));
    fair
}

pub(crate) fn item(request: u64, of: usize, hint: u64) -> Item {
    Item {
        request: RequestId(request),
        pool: POOL,
        team: team(of),
        order: 0,
        bytes: 10,
        hint,
        since: at(0),
        expires: Timestamp::NEVER,
    }
}
