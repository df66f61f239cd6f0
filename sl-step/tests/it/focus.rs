//! One promise each, under the one fault that threatens it most.

use rstest::rstest;
use sl_base::{Code, Millis};
use sl_step::Event;

use crate::{
    fleet::{Faults, Fleet, Job, template},
    model::Server,
};

const INSTANCES: usize = 4;
const LARGE: usize = 0;
const SMALL: usize = 1;
const TINY: usize = 2;
const COST: u64 = 100;
/// Units a second of all servers together.
const RATE: u64 = 4_000;
const SLOTS: u64 = 10;

fn fleet(seed: u64) -> Fleet {
    let servers =
        vec![Server::new("s-0", 4, 400), Server::new("s-1", 4, 200), Server::new("s-2", 2, 800)];
    let mut fleet = Fleet::new(seed, INSTANCES, servers);
    fleet.run_for(Millis(3_000));
    fleet
}

fn job(id: u64, team: usize, idempotent: bool) -> Job {
    Job { id, team, idempotent, crashes: false, cost: COST }
}

/// Keeps `depth` requests of `team` open at each of `places`.
fn top_up(fleet: &mut Fleet, id: &mut u64, team: usize, places: &[usize], depth: usize) {
    for &place in places {
        let open = fleet.open.iter();
        let open = open.filter(|(caller, job)| caller.0 == place && job.team == team);
        for _ in open.count()..depth {
            *id += 1;
            fleet.submit(place, job(*id, team, true));
        }
    }
}

fn served(fleet: &Fleet, team: usize) -> u64 {
    fleet.served.get(&team).copied().unwrap_or(0)
}

/// A share of one against a thousand: a request now and then gets through, wherever the
/// large team waits.
#[rstest]
#[case::elsewhere(&[0])]
#[case::everywhere(&[0, 1, 2, 3])]
#[case::on_the_same_instance(&[2])]
fn a_share_of_one_against_a_thousand_does_not_starve(#[case] large: &[usize]) {
    let mut fleet = fleet(21);
    fleet.accept(&template(1_000));
    fleet.run_for(Millis(3_000));
    let mut id = 0;
    let mut seen = Vec::new();
    for round in 1..=720 {
        top_up(&mut fleet, &mut id, LARGE, large, 20);
        top_up(&mut fleet, &mut id, TINY, &[2], 1);
        fleet.run_for(Millis(250));
        if round % 240 == 0 {
            seen.push(served(&fleet, TINY));
        }
    }
    assert!(seen.is_sorted_by(|a, b| a < b), "{seen:?}");
    let refused = fleet.team_codes.get(&(TINY, Code::QueueTimeout));
    assert_eq!(refused, None, "{seen:?}");
}

/// Equal work of one team everywhere: no instance's requests wait in vain while younger
/// ones run through the others.
#[test]
fn every_instance_gets_slots_for_equal_work() {
    let mut fleet = fleet(21);
    fleet.run_for(Millis(1_000));
    let mut id = 0;
    for _ in 0..320 {
        top_up(&mut fleet, &mut id, LARGE, &[0, 1, 2, 3], 20);
        fleet.run_for(Millis(250));
    }
    assert_eq!(fleet.codes.get(&Code::QueueTimeout), None);
}

/// While instances are apart, each side shares among the teams that it sees. Afterwards
/// who fell behind is served first until the gap is as small as if nothing had been.
#[rstest]
fn the_gap_closes_after_a_partition(#[values(1, 2, 3)] seed: u64) {
    let bound = SLOTS * COST + RATE;
    let mut fleet = fleet(seed);
    let (mut id, mut largest) = (0, 0);
    let mut at_the_end = u64::MAX;
    for round in 0..160 {
        match round {
            20 => (0..2).for_each(|it| fleet.instances[it].group = 1),
            60 => (0..2).for_each(|it| fleet.instances[it].group = 0),
            _ => {}
        }
        top_up(&mut fleet, &mut id, LARGE, &[0, 1, 2, 3], 20);
        top_up(&mut fleet, &mut id, SMALL, &[3], 60);
        fleet.run_for(Millis(250));
        at_the_end = served(&fleet, LARGE).abs_diff(served(&fleet, SMALL));
        largest = largest.max(at_the_end);
    }
    println!("largest {largest}, at the end {at_the_end}, bound {bound}");
    assert!(at_the_end <= bound, "{at_the_end} of {bound}, {largest}");
    assert!(served(&fleet, SMALL) > 0);
}

#[rstest]
fn an_instance_paused_past_its_lease_goes_on_without_harm(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(seed);
    for id in 0..60 {
        fleet.submit(0, job(id, LARGE, false));
    }
    fleet.run_for(Millis(200));
    fleet.instances[0].paused_until = fleet.now.after(Millis(9_000));
    fleet.servers[0].leaving_since = Some(fleet.now);
    fleet.relist();
    fleet.run_for(Millis(6_000));
    for id in 0..60 {
        fleet.submit(1 + id as usize % 3, job(id, LARGE, false));
    }
    fleet.run_for(Millis(8_000));
    assert!(fleet.instances[0].ready);
    fleet.run_for(Millis(60_000));
    assert!(fleet.open.is_empty(), "{:?}", fleet.open);
    assert!((0..60).all(|id| fleet.runs_of(id) <= 1));
}

/// What was decided before a pause and leaves after it is judged by its deadline.
#[rstest]
fn late_dispatches_reach_no_leaving_server(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet(seed);
    fleet.faults.stalled = 300;
    let mut id = 0;
    for round in 0..100 {
        top_up(&mut fleet, &mut id, LARGE, &[0, 1, 2, 3], 10);
        if round == 10 {
            fleet.servers[0].leaving_since = Some(fleet.now);
            fleet.relist();
        }
        fleet.run_for(Millis(250));
    }
    let busy_until = fleet.servers[0].leaving_since.unwrap();
    assert!(busy_until.after(Millis(20_000)) < fleet.now);
}

#[rstest]
#[case::crossed(Faults { crossed: 300, ..Faults::default() })]
#[case::lost(Faults { lost: 300, ..Faults::default() })]
#[case::midway(Faults { midway: 300, ..Faults::default() })]
fn a_faulty_answer_never_counts_as_whole_and_no_key_runs_twice(#[case] faults: Faults) {
    let mut fleet = fleet(31);
    fleet.faults = faults;
    for id in 0..200 {
        fleet.submit(id as usize % INSTANCES, job(id, SMALL, id % 2 == 0));
    }
    fleet.run_for(Millis(60_000));
    let told: u64 = fleet.codes.values().sum();
    assert!(told > 0, "the fault struck");
    assert_eq!(fleet.completed + told, 200);
    assert!(fleet.open.is_empty(), "{:?}", fleet.open);
}

/// A caller that was refused may come again, and its key is free for it.
#[test]
fn a_key_that_was_refused_as_not_run_is_free() {
    let mut fleet = fleet(41);
    fleet.faults.platform_down = true;
    fleet.submit(0, job(1, SMALL, false));
    fleet.run_for(Millis(70_000));
    assert_eq!(fleet.codes.get(&Code::ClaimUnavailable), Some(&1));
    fleet.faults.platform_down = false;
    fleet.run_for(Millis(10_000));
    fleet.submit(1, job(1, SMALL, false));
    fleet.run_for(Millis(5_000));
    assert_eq!((fleet.completed, fleet.runs_of(1)), (1, 1));
}

/// Also a server's own home stops sending to it once it hears of nobody, and hands back
/// what waits.
#[rstest]
fn who_is_cut_off_hands_back_what_waits(#[values(0, 1, 2, 3)] place: usize) {
    let mut fleet = fleet(51);
    for id in 0..800 {
        fleet.submit(place, job(id, LARGE, true));
    }
    fleet.run_for(Millis(200));
    fleet.instances[place].group = 1;
    for server in &mut fleet.servers {
        server.leaving_since = Some(fleet.now);
    }
    fleet.relist();
    fleet.run_for(Millis(12_000));
    let handed_back = fleet.codes.get(&Code::Isolated).copied().unwrap_or(0);
    assert!(handed_back > 0, "{:?}", fleet.codes);
    assert!(fleet.open.is_empty(), "{} wait on", fleet.open.len());
}

/// The caller leaves while its key is claimed, while it waits, and while it runs; then it
/// comes again through another instance.
#[rstest]
#[case::while_claimed(0, false, 0, Some(Code::CallerGone), 1)]
#[case::while_waiting(300, true, 0, Some(Code::CallerGone), 1)]
#[case::while_running(100, false, 0, None, 0)]
#[case::before_the_answer_is_lost(100, false, 1_000, Some(Code::CallerGoneRunning), 0)]
fn a_caller_that_left_hears_the_truth_when_it_comes_again(
    #[case] after: u64,
    #[case] busy: bool,
    #[case] lost: u32,
    #[case] counted: Option<Code>,
    #[case] completed: u64,
) {
    let mut fleet = fleet(61);
    fleet.faults.lost = lost;
    if busy {
        for id in 0..200 {
            fleet.submit(0, job(id, SMALL, true));
        }
        fleet.run_for(Millis(50));
    }
    fleet.submit(0, job(1_000, SMALL, false));
    let (&caller, _) = fleet.open.last_key_value().unwrap();
    fleet.run_for(Millis(after));
    fleet.tell(0, Event::CallerGone { request: caller.2 });
    fleet.run_for(Millis(20_000));
    let codes: Vec<Code> = fleet.codes.keys().copied().collect();
    assert_eq!(codes, Vec::from_iter(counted));
    let before = fleet.completed;
    fleet.submit(1, job(1_000, SMALL, false));
    fleet.run_for(Millis(5_000));
    assert_eq!(fleet.completed - before, completed, "{:?}", fleet.codes);
    assert_eq!(fleet.runs_of(1_000), 1);
}

/// Long after it gave up its roles, an instance without peers still hears the platform.
#[test]
fn a_planned_stop_of_the_only_instance_hands_nothing_back() {
    let servers = vec![Server::new("s-0", 4, 400)];
    let mut fleet = Fleet::new(71, 1, servers);
    fleet.run_for(Millis(3_000));
    for id in 0..400 {
        fleet.submit(0, job(id, SMALL, true));
    }
    fleet.run_for(Millis(300));
    let cut_by = fleet.now.after(Millis(120_000));
    fleet.tell(0, Event::Stop { cut_by });
    fleet.run_for(Millis(60_000));
    assert_eq!(fleet.codes.len(), 0, "{:?}", fleet.codes);
    assert_eq!(fleet.completed, 400);
    assert!(fleet.instances[0].exited);
}

#[test]
fn a_planned_stop_of_the_whole_fleet_sees_all_through() {
    let mut fleet = fleet(81);
    for id in 0..400 {
        fleet.submit(id as usize % INSTANCES, job(id, SMALL, true));
    }
    fleet.run_for(Millis(300));
    let cut_by = fleet.now.after(Millis(120_000));
    for place in 0..INSTANCES {
        fleet.tell(place, Event::Stop { cut_by });
    }
    fleet.run_for(Millis(60_000));
    assert_eq!(fleet.codes.len(), 0, "{:?}", fleet.codes);
    assert_eq!(fleet.completed, 400);
    assert!(fleet.instances.iter().all(|it| it.exited));
}
