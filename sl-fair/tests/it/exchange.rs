//! The exchange of counters: merges in any order, lost lives, newborns, bytes.

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;
use sl_base::{InstanceId, Timestamp};
use sl_fair::{Fair, Report, Service};

use crate::{POOL, at, fair, instance, item, life, team};

const NODES: usize = 4;
const TEAMS: usize = 5;
const SHARES: [u32; TEAMS] = [1, 2, 3, 10, 1_000];

/// Some cases with a fixed seed; more by `SESAMELOCK_SEEDS`.
fn config() -> Config {
    let cases = std::env::var("SESAMELOCK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    Config {
        cases: cases.unwrap_or(64),
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

#[derive(Clone, Debug)]
enum Op {
    Enqueue { node: usize, team: usize, hint: u64 },
    Pick { node: usize },
    Settle { node: usize, nth: usize, units: u64 },
    Report { from: usize, to: usize },
    Deliver { nth: usize, keep: bool },
    Lose { nth: usize },
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..NODES, 0..TEAMS, 1..5_000_u64)
            .prop_map(|(node, team, hint)| Op::Enqueue { node, team, hint }),
        4 => (0..NODES).prop_map(|node| Op::Pick { node }),
        2 => (0..NODES, 0..9_usize, 0..9_000_u64)
            .prop_map(|(node, nth, units)| Op::Settle { node, nth, units }),
        4 => (0..NODES, 0..NODES).prop_map(|(from, to)| Op::Report { from, to }),
        4 => (0..99_usize, any::<bool>()).prop_map(|(nth, keep)| Op::Deliver { nth, keep }),
        1 => (0..99_usize).prop_map(|nth| Op::Lose { nth }),
    ]
}

struct Sent {
    from: usize,
    to: usize,
    at: Timestamp,
    report: Report,
}

struct Fleet {
    nodes: Vec<Fair>,
    running: Vec<Vec<sl_base::RequestId>>,
    wire: Vec<Sent>,
    step: u64,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            nodes: (0..NODES).map(|n| fair(n, NODES, &SHARES)).collect(),
            running: vec![Vec::new(); NODES],
            wire: Vec::new(),
            step: 0,
        }
    }

    fn apply(&mut self, op: &Op) {
        self.step += 1;
        let now = at(self.step);
        match *op {
            Op::Enqueue { node, team, hint } => {
                let _ = self.nodes[node].enqueue(now, item(self.step, team, hint));
            }
            Op::Pick { node } => {
                if let Some(picked) = self.nodes[node].pick(now, POOL) {
                    self.running[node].push(picked.item.request);
                }
            }
            Op::Settle { node, nth, units } => {
                if nth < self.running[node].len() {
                    let request = self.running[node].swap_remove(nth);
                    self.nodes[node].settle(request, units);
                }
            }
            Op::Report { from, to } => self.report(from, to),
            Op::Deliver { nth, keep } => {
                if nth < self.wire.len() {
                    self.deliver(nth, keep);
                }
            }
            Op::Lose { nth } => {
                if nth < self.wire.len() {
                    self.wire.swap_remove(nth);
                }
            }
        }
    }

    fn report(&mut self, from: usize, to: usize) {
        let at = at(self.step);
        if let Some(report) = self.nodes[from].report(at, instance(to)) {
            self.wire.push(Sent { from, to, at, report });
        }
    }

    fn deliver(&mut self, nth: usize, keep: bool) {
        let now = at(self.step);
        let Sent { from, to, at, .. } = self.wire[nth];
        let report = self.wire[nth].report.clone();
        self.nodes[to].on_report(now, instance(from), &report);
        self.nodes[from].acked(instance(to), at);
        if !keep {
            self.wire.swap_remove(nth);
        }
    }

    /// Everything reaches everyone, the old messages last.
    fn quiesce(&mut self) {
        for _ in 0..3 {
            for from in 0..NODES {
                for to in 0..NODES {
                    self.step += 1;
                    self.report(from, to);
                }
            }
            while !self.wire.is_empty() {
                self.deliver(self.wire.len() - 1, false);
            }
        }
    }

    fn times(&self, node: usize) -> Vec<Service> {
        (0..TEAMS).map(|n| self.nodes[node].time(POOL, team(n))).collect()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn all_see_the_same_once_messages_flow(ops in prop::collection::vec(op(), 1..300)) {
        let mut fleet = Fleet::new();
        for op in &ops {
            fleet.apply(op);
        }
        fleet.quiesce();
        for node in 1..NODES {
            prop_assert_eq!(fleet.times(0), fleet.times(node));
        }
        for to in 0..NODES {
            for from in (0..NODES).filter(|&from| from != to) {
                let told = fleet.nodes[to].needs_elsewhere(at(fleet.step), POOL);
                let told = told.get(&instance(from)).map_or(0, |need| need.waiting);
                prop_assert_eq!(told, fleet.nodes[from].need(POOL).waiting);
            }
        }
    }

    #[test]
    fn a_report_changes_nothing_the_second_time(ops in prop::collection::vec(op(), 1..200)) {
        let mut fleet = Fleet::new();
        for op in &ops {
            fleet.apply(op);
            if let Some(sent) = fleet.wire.last() {
                let (to, from, report) = (sent.to, sent.from, sent.report.clone());
                let now = at(fleet.step);
                fleet.nodes[to].on_report(now, instance(from), &report);
                let once = fleet.times(to);
                fleet.nodes[to].on_report(now, instance(from), &report);
                prop_assert_eq!(once, fleet.times(to));
            }
        }
    }

    /// Both lift the same idle team at once: the higher lift stands on both.
    #[test]
    fn lifts_at_once_do_not_add_up(first in 1..50_u64, second in 1..50_u64) {
        let mut fleet = Fleet::new();
        for (node, count) in [(0, first), (1, second)] {
            for _ in 0..count {
                fleet.apply(&Op::Enqueue { node, team: 0, hint: 100 });
                fleet.apply(&Op::Pick { node });
            }
            fleet.apply(&Op::Enqueue { node, team: 0, hint: 100 });
            fleet.apply(&Op::Enqueue { node, team: 1, hint: 100 });
        }
        fleet.quiesce();
        let lifted = fleet.nodes[0].time(POOL, team(1));
        prop_assert_eq!(lifted, Service::of(100 * first.max(second), 1));
        prop_assert_eq!(lifted, fleet.nodes[1].time(POOL, team(1)));
    }
}

fn exchange(nodes: &mut [Fair], now: Timestamp, pairs: &[(usize, usize)]) {
    for &(from, to) in pairs {
        if let Some(report) = nodes[from].report(now, instance(to)) {
            nodes[to].on_report(now, instance(from), &report);
            nodes[from].acked(instance(to), now);
        }
    }
}

fn serve(fair: &mut Fair, request: u64, units: u64) {
    fair.enqueue(at(0), item(request, 0, units)).unwrap();
    fair.pick(at(0), POOL).unwrap();
}

/// The last words of a life reached one peer only; the others hear them from it.
#[rstest]
fn peers_pass_on_what_a_lost_life_said() {
    let mut nodes: Vec<Fair> = (0..3).map(|n| fair(n, 3, &[1])).collect();
    for node in &mut nodes {
        serve(node, 1, 100);
    }
    for millis in 0..3 {
        let all = [(0, 1), (0, 2), (1, 2), (2, 1), (1, 0), (2, 0)];
        exchange(&mut nodes, at(millis), &all);
    }
    serve(&mut nodes[0], 3, 200);
    exchange(&mut nodes, at(4), &[(0, 1)]);
    let left = [instance(1), instance(2)];
    nodes[1].set_members(at(5), &left);
    nodes[2].set_members(at(5), &left);
    exchange(&mut nodes, at(6), &[(1, 2), (2, 1)]);
    assert_eq!(nodes[1].time(POOL, team(0)), Service::of(500, 1));
    assert_eq!(nodes[2].time(POOL, team(0)), Service::of(500, 1));
}

#[rstest]
fn a_newborn_life_learns_everything_and_forgets_nothing_twice() {
    let mut nodes: Vec<Fair> = (0..3).map(|n| fair(n, 3, &[1])).collect();
    serve(&mut nodes[0], 1, 500);
    serve(&mut nodes[1], 1, 70);
    let all = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];
    exchange(&mut nodes, at(1), &all);
    let mut folded = at(700_000);
    for next in 2..5 {
        nodes[0] = life(0, 3, &[1], next);
        serve(&mut nodes[0], 1, 500);
        for _ in 0..4 {
            folded = folded.after(sl_base::Millis(1));
            exchange(&mut nodes, folded, &all);
        }
        for node in &nodes {
            assert_eq!(node.time(POOL, team(0)), Service::of(500 * next + 70, 1));
        }
        folded = folded.after(sl_base::Millis(700_000));
        for node in &mut nodes {
            node.tick(folded);
        }
    }
}

/// Two lives that begin at once hear of folded rows from the third instance, not from
/// each other that there are none.
#[rstest]
fn two_newborns_do_not_answer_each_other() {
    let mut nodes: Vec<Fair> = (0..3).map(|n| fair(n, 3, &[1])).collect();
    serve(&mut nodes[0], 1, 500);
    let all = [(0, 1), (1, 0), (0, 2), (1, 2), (2, 0), (2, 1)];
    exchange(&mut nodes, at(1), &all);
    nodes[0] = life(0, 3, &[1], 2);
    exchange(&mut nodes, at(2), &all);
    nodes[2].tick(at(700_000));
    for n in [0, 1] {
        nodes[n] = life(n, 3, &[1], 3);
    }
    for second in 700..710 {
        exchange(&mut nodes, at(second * 1_000), &all);
    }
    for node in &nodes {
        assert_eq!(node.time(POOL, team(0)), Service::of(500, 1));
    }
}

/// One side of a cut forgets the other, and hears all of it again afterwards.
#[rstest]
fn a_peer_that_was_gone_is_heard_in_full() {
    let mut nodes: Vec<Fair> = (0..2).map(|n| fair(n, 2, &[1])).collect();
    serve(&mut nodes[0], 1, 500);
    nodes[0].enqueue(at(0), item(2, 0, 1)).unwrap();
    exchange(&mut nodes, at(1), &[(0, 1), (1, 0)]);
    assert!(nodes[1].needs_elsewhere(at(4), POOL).contains_key(&instance(0)));
    nodes[1].set_members(at(2), &[instance(1)]);
    assert!(nodes[1].needs_elsewhere(at(4), POOL).is_empty());
    let both: [InstanceId; 2] = [instance(0), instance(1)];
    nodes[1].set_members(at(3), &both);
    exchange(&mut nodes, at(4), &[(1, 0), (0, 1)]);
    assert!(nodes[1].needs_elsewhere(at(4), POOL).contains_key(&instance(0)));
}

/// Sixteen teams on each of nine instances, all of them busy: bytes of a second's reports.
#[rstest]
fn a_second_of_reports_is_small() {
    const BUDGET_BYTES: usize = 2_048;
    let mut node = fair(0, 9, &[1; 16]);
    let mut sent = 0;
    for second in 0..20_u64 {
        let now = at(second * 1_000);
        for n in 0..16 {
            let request = second * 100 + n;
            node.enqueue(now, item(request, n as usize, 50_000)).unwrap();
            node.enqueue(now, item(request + 50, n as usize, 50_000)).unwrap();
            node.pick(now, POOL).unwrap();
        }
        sent = 0;
        for peer in (1..9).map(instance) {
            let report = node.report(now, peer).unwrap();
            sent += postcard::to_stdvec(&report).unwrap().len();
            node.acked(peer, now);
        }
    }
    println!("{sent} bytes");
    assert!(sent < BUDGET_BYTES, "{sent} bytes");
}
