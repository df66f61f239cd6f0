//! Slopes of sl-fair: by teams in a pool, and by peers.

use sl_base::{Incarnation, InstanceId, PoolId, RequestId, TeamId, Timestamp};
use sl_fair::{
    Fair, Item, Limits, Options, Report, Rule, Service,
    report::{Entry, PoolRow},
};

use crate::{
    Point, Series,
    fit::{nanos, resident},
};

const TEAMS: [u64; 4] = [775, 1_550, 3_100, 6_200];
const PEERS: [u64; 3] = [3, 6, 12];
const POOL: PoolId = PoolId(1);
/// One team in so many is backlogged.
const BACKLOGGED_ONE_IN: u64 = 10;
/// Instances of the same state that a memory measurement is spread over.
const COPIES: usize = 8;

/// All quantities.
pub fn series() -> Vec<Series> {
    vec![
        by_teams("resident bytes", memory),
        by_teams("ns of enqueue, pick and settle", cycle),
        by_teams("ns of a report, one team in ten changed", write_report),
        by_teams("ns of taking a report, one team in ten changed", take_report),
        by_teams("ns of the needs elsewhere", needs),
        by_teams("wire bytes of a report, one team in ten changed", wire),
        by_peers("resident bytes, 6200 teams", memory),
        by_peers("ns of taking a report, 6200 teams", take_report),
    ]
}

fn by_teams(quantity: &'static str, measure: fn(u64, u64) -> f64) -> Series {
    let point = |&size| Point { size, value: measure(size, PEERS[2]) };
    Series {
        area: "sl-fair",
        quantity,
        by: "teams in a pool",
        points: TEAMS.iter().map(point).collect(),
    }
}

fn by_peers(quantity: &'static str, measure: fn(u64, u64) -> f64) -> Series {
    let point = |&size| Point { size, value: measure(TEAMS[3], size) };
    Series { area: "sl-fair", quantity, by: "peers", points: PEERS.iter().map(point).collect() }
}

fn team(n: u64) -> TeamId {
    TeamId::of(&format!("team-{n}"))
}

fn peer(n: u64) -> InstanceId {
    InstanceId::of(&format!("instance-{n}"))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + millis * 1_000)
}

fn rule() -> Rule {
    let limits = Limits { requests: 100, bytes: 1_000_000 };
    Rule { share: 3, limits }
}

/// An instance that heard of all teams from all peers, with a tenth of them backlogged here.
fn built(teams: u64, peers: u64) -> Fair {
    let mut fair = Fair::new(Options::of(peer(0), Incarnation(1)));
    let members: Vec<InstanceId> = (0..=peers).map(peer).collect();
    fair.set_members(at(0), &members);
    fair.set_rules((0..teams).map(|n| (team(n), rule())));
    for from in 1..=peers {
        fair.on_report(at(0), peer(from), &report(1, (0..teams).collect(), 0));
    }
    for n in (0..teams).step_by(BACKLOGGED_ONE_IN as usize) {
        let _ = fair.enqueue(at(0), item(n, n));
        let _ = fair.enqueue(at(0), item(teams + n, n));
    }
    fair
}

fn item(request: u64, of: u64) -> Item {
    Item {
        request: RequestId(request),
        pool: POOL,
        team: team(of),
        order: 1,
        bytes: 1_000,
        hint: 300,
        since: at(0),
        expires: at(30_000 + request),
    }
}

fn report(version: u64, teams: Vec<u64>, waiting: u32) -> Report {
    let entry =
        |n| Entry { team: team(n), given: Service(1_000_000_000_000 + version * 1_000), waiting };
    Report {
        life: Incarnation(1_700_000_000_000_000),
        version,
        pools: vec![PoolRow {
            pool: POOL,
            floor: Service(1_000_000_000_000),
            entries: teams.into_iter().map(entry).collect(),
        }],
        ..Report::default()
    }
}

fn changed(teams: u64) -> Vec<u64> {
    (0..teams).step_by(BACKLOGGED_ONE_IN as usize).collect()
}

fn memory(teams: u64, peers: u64) -> f64 {
    let before = resident();
    let states: Vec<Fair> = (0..COPIES).map(|_| built(teams, peers)).collect();
    let bytes = (resident() - before) / COPIES as f64;
    // Kept for good, so that the next size cannot use the same pages again.
    std::mem::forget(states);
    bytes
}

fn cycle(teams: u64, peers: u64) -> f64 {
    let mut fair = built(teams, peers);
    nanos(20_000, |call| {
        let picked = fair.pick(at(call), POOL);
        if let Some(picked) = picked {
            fair.settle(picked.item.request, 290);
            let again = Item { request: RequestId(1_000_000 + call), ..picked.item };
            let _ = fair.enqueue(at(call), again);
        }
    })
}

fn write_report(teams: u64, peers: u64) -> f64 {
    let mut fair = built(teams, peers);
    let to = peer(1);
    let _ = fair.report(at(1), to);
    fair.acked(to, at(1));
    let _ = fair.report(at(2), to);
    fair.acked(to, at(2));
    for call in 0..teams / BACKLOGGED_ONE_IN {
        if let Some(picked) = fair.pick(at(3 + call), POOL) {
            fair.settle(picked.item.request, 290);
        }
    }
    nanos(50, |call| fair.report(at(10_000 + call), to))
}

fn take_report(teams: u64, peers: u64) -> f64 {
    let mut fair = built(teams, peers);
    let reports: Vec<Report> =
        (2..500).map(|version| report(version, changed(teams), (version % 3) as u32)).collect();
    let mut next = reports.iter().cycle();
    nanos(50, |call| {
        if let Some(report) = next.next() {
            fair.on_report(at(call), peer(1), report);
        }
    })
}

fn needs(teams: u64, peers: u64) -> f64 {
    let mut fair = built(teams, peers);
    for from in 1..=peers {
        fair.on_report(at(1), peer(from), &report(2, changed(teams), 4));
    }
    nanos(50, |call| fair.needs_elsewhere(at(call), POOL))
}

fn wire(teams: u64, _: u64) -> f64 {
    let report = report(2, changed(teams), 4);
    postcard::to_stdvec(&report).map_or(0.0, |bytes| bytes.len() as f64)
}
