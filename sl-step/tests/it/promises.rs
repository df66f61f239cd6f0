//! What must always hold, under random faults.

use proptest::{prelude::*, test_runner::RngSeed};
use rand::RngExt;
use rstest::rstest;
use sl_base::{Code, Millis, Revision};
use sl_step::Event;

use crate::{
    fleet::{Faults, Fleet, Job, LEAVING_WITHIN, TEAMS, template},
    model::Server,
};

const INSTANCES: usize = 4;

/// Seeds that a run tries; the environment may ask for more.
fn config() -> ProptestConfig {
    let cases = std::env::var("SESAMELOCK_SEEDS").ok().and_then(|it| it.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(24),
        rng_seed: RngSeed::Fixed(0x5e5a_3e10),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn servers() -> Vec<Server> {
    vec![Server::new("s-0", 4, 400), Server::new("s-1", 4, 200), Server::new("s-2", 2, 800)]
}

fn job(fleet: &mut Fleet, id: u64) -> Job {
    Job {
        id,
        team: fleet.rng.random_range(0..TEAMS.len()),
        idempotent: fleet.chance(600),
        crashes: false,
        cost: fleet.rng.random_range(20..400),
    }
}

/// One of the brief's faults, at random.
fn strike(fleet: &mut Fleet, share: &mut u32) {
    let place = fleet.rng.random_range(0..fleet.instances.len());
    match fleet.rng.random_range(0..10) {
        0 => fleet.kill(place),
        1 if fleet.instances[place].state.is_none() => fleet.start(place),
        2 => fleet.instances[place].paused_until = fleet.now.after(Millis(6_000)),
        3 => fleet.instances[place].group = 1,
        4 => fleet.instances.iter_mut().for_each(|it| it.group = 0),
        5 => fleet.faults.platform_down ^= true,
        6 => {
            let server = fleet.rng.random_range(0..fleet.servers.len());
            fleet.crash(server);
        }
        7 => {
            *share += 1;
            fleet.accept(&template(*share));
        }
        _ => {}
    }
}

/// Ends all faults and gives the fleet `span` to recover.
fn heal(fleet: &mut Fleet, span: Millis) {
    fleet.faults = Faults::default();
    for place in 0..fleet.instances.len() {
        fleet.instances[place].group = 0;
        fleet.instances[place].paused_until = fleet.now;
        if fleet.instances[place].state.is_none() {
            fleet.start(place);
        }
    }
    fleet.run_for(span);
}

proptest! {
    #![proptest_config(config())]

    /// At most once, not-run means not run, one final answer each, no configuration ever
    /// goes back: the judge in the fleet checks these at every step.
    #[test]
    fn promises_hold_under_faults_together_and_twice(seed: u64) {
        let mut fleet = Fleet::new(seed, INSTANCES, servers());
        let mut share = 1;
        fleet.run_for(Millis(3_000));
        fleet.faults = Faults {
            loss: 50,
            repeat: 50,
            delay: 50,
            lost_answer: 100,
            platform_down: false,
            crossed: 20,
            lost: 20,
            midway: 20,
            stalled: 20,
        };
        for round in 0..120 {
            for id in 0..3 {
                let mut job = job(&mut fleet, round * 10 + id);
                job.crashes = job.team == 3 && fleet.chance(100);
                let sends = if job.idempotent { 1 } else { fleet.rng.random_range(1..4) };
                for _ in 0..sends {
                    let place = fleet.rng.random_range(0..INSTANCES);
                    fleet.submit(place, job);
                }
            }
            if fleet.chance(250) {
                strike(&mut fleet, &mut share);
            }
            fleet.run_for(Millis(250));
        }
        heal(&mut fleet, Millis(5_000));
        let newest = fleet.accept(&template(share + 1));
        fleet.run_for(Millis(4_000));
        for instance in &fleet.instances {
            prop_assert_eq!(instance.revision, newest, "{}", &instance.name);
            prop_assert!(instance.ready, "{} is not ready", &instance.name);
        }
        fleet.run_for(Millis(120_000));
        prop_assert!(fleet.open.is_empty(), "without an answer: {:?}", fleet.open);
    }

    #[test]
    fn a_planned_stop_cuts_nothing(seed: u64) {
        let mut fleet = Fleet::new(seed, INSTANCES, servers());
        fleet.run_for(Millis(3_000));
        for id in 0..80 {
            let job = job(&mut fleet, id);
            fleet.submit(id as usize % INSTANCES, job);
        }
        fleet.run_for(Millis(300));
        let cut_by = fleet.now.after(Millis(120_000));
        let life = fleet.instances[0].life;
        fleet.instances[0].ready = true;
        let open = fleet.open.keys().filter(|it| it.0 == 0 && it.1 == life).count();
        prop_assert!(open > 0);
        fleet.tell(0, Event::Stop { cut_by });
        fleet.run_for(Millis(100));
        prop_assert!(!fleet.instances[0].ready);
        fleet.run_for(Millis(90_000));
        prop_assert!(fleet.instances[0].exited);
        prop_assert_eq!(fleet.completed, 80);
    }
}

#[test]
fn a_leaving_server_gets_nothing_new_even_from_an_instance_that_was_cut_off() {
    let mut fleet = Fleet::new(7, INSTANCES, servers());
    fleet.run_for(Millis(3_000));
    let mut id = 0;
    for round in 0..60 {
        for place in 0..INSTANCES {
            id += 1;
            let mut job = job(&mut fleet, id);
            job.idempotent = true;
            fleet.submit(place, job);
        }
        if round == 10 {
            fleet.instances[1].group = 1;
            fleet.servers[0].leaving_since = Some(fleet.now);
            fleet.relist();
        }
        fleet.run_for(Millis(250));
    }
    assert!(fleet.servers[0].leaving_since.unwrap().after(LEAVING_WITHIN) < fleet.now);
}

#[test]
fn a_request_that_crashes_servers_is_refused_everywhere_and_the_team_goes_on() {
    let mut fleet = Fleet::new(3, INSTANCES, servers());
    fleet.run_for(Millis(3_000));
    for round in 0..20 {
        let crasher = Job { id: 1, team: 3, idempotent: true, crashes: true, cost: 50 };
        fleet.submit(round % INSTANCES, crasher);
        fleet.run_for(Millis(500));
    }
    assert!(fleet.runs_of(1) <= 5, "{} runs", fleet.runs_of(1));
    assert!(fleet.codes[&Code::CrashesServers] >= 15, "{:?}", fleet.codes);
    fleet.run_for(Millis(3_000));
    let before = fleet.completed;
    for id in 10..30 {
        let job = Job { id, team: 3, idempotent: true, crashes: false, cost: 50 };
        fleet.submit(id as usize % INSTANCES, job);
    }
    fleet.run_for(Millis(10_000));
    assert_eq!(fleet.completed - before, 20);
}

#[test]
fn a_newborn_gets_its_configuration_from_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::new(5, INSTANCES, servers());
    fleet.run_for(Millis(3_000));
    fleet.faults.platform_down = true;
    fleet.kill(2);
    fleet.run_for(Millis(1_000));
    fleet.start(2);
    fleet.run_for(Millis(4_000));
    assert_eq!(fleet.instances[2].revision, Revision(1));
    assert!(fleet.instances[2].ready);
}

#[rstest]
#[case::alone(1)]
#[case::in_a_fleet(INSTANCES)]
fn an_isolated_instance_turns_unready_and_comes_back(#[case] instances: usize) {
    let mut fleet = Fleet::new(9, instances, servers());
    fleet.run_for(Millis(3_000));
    assert!(fleet.instances[0].ready);
    fleet.instances[0].group = 1;
    fleet.run_for(Millis(6_000));
    assert!(!fleet.instances[0].ready);
    let lonely = Job { id: 1, team: 0, idempotent: true, crashes: false, cost: 10 };
    fleet.submit(0, lonely);
    assert_eq!(fleet.codes.get(&Code::Isolated), Some(&1));
    fleet.instances[0].group = 0;
    fleet.run_for(Millis(5_000));
    assert!(fleet.instances[0].ready);
}

#[test]
fn a_flood_hurts_only_its_team() {
    let mut fleet = Fleet::new(11, INSTANCES, servers());
    fleet.run_for(Millis(3_000));
    for id in 0..9_000 {
        let job = Job { id, team: 3, idempotent: true, crashes: false, cost: 100 };
        fleet.submit(id as usize % INSTANCES, job);
    }
    assert!(fleet.codes[&Code::QueueFull] >= 900, "{:?}", fleet.codes);
    fleet.run_for(Millis(2_000));
    for id in 10_000..10_040 {
        let job = Job { id, team: 1, idempotent: true, crashes: false, cost: 100 };
        fleet.submit(id as usize % INSTANCES, job);
    }
    // 40 requests of 100 units at half of 4,000 units a second take 2 s.
    fleet.run_for(Millis(4_000));
    assert_eq!(fleet.served.get(&1), Some(&4_000));
}

#[test]
fn a_team_with_a_full_queue_hears_to_come_back_after_about_the_wait() {
    let mut fleet = Fleet::new(13, 1, servers());
    fleet.run_for(Millis(3_000));
    let mut id = 0;
    for _ in 0..60 {
        while fleet.codes.get(&Code::QueueFull).is_none_or(|it| *it < 10) {
            id += 1;
            let job = Job { id, team: 3, idempotent: true, crashes: false, cost: 200 };
            fleet.submit(0, job);
        }
        fleet.codes.clear();
        fleet.run_for(Millis(3_000));
    }
    // 2,000 requests of 200 units at 4,000 units a second would wait for 100 s, but give up
    // at their queue deadline of 60 s: the smoothed wait comes near that, from 1 s at first.
    assert_eq!(fleet.come_back.first(), Some(&Millis(1_000)));
    assert!(fleet.come_back.last() >= Some(&Millis(50_000)), "{:?}", fleet.come_back.last());
}

/// A caller that leaves takes its waiting or idempotent request with it; a booking that
/// runs is seen through, so that its key's outcome becomes known.
#[rstest]
#[case::waiting(true, 60, Some(Code::CallerGone))]
#[case::running(true, 0, Some(Code::CallerGoneRunning))]
#[case::running_booking(false, 0, None)]
fn a_caller_that_leaves(#[case] idempotent: bool, #[case] before: u64, #[case] code: Option<Code>) {
    let mut fleet = Fleet::new(17, 1, servers());
    fleet.run_for(Millis(3_000));
    for id in 0..before {
        let job = Job { id, team: 0, idempotent: true, crashes: false, cost: 4_000 };
        fleet.submit(0, job);
    }
    fleet.run_for(Millis(100));
    let job = Job { id: 100, team: 0, idempotent, crashes: false, cost: 400 };
    fleet.submit(0, job);
    fleet.run_for(Millis(100));
    let request = sl_base::RequestId(before);
    fleet.tell(0, Event::CallerGone { request });
    fleet.run_for(Millis(3_000));
    assert_eq!(fleet.codes.keys().copied().next(), code, "{:?}", fleet.codes);
    assert_eq!(fleet.completed, u64::from(code.is_none()));
}
