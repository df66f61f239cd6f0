//! Prompt parts under which engines crash are barred, and others are not.

use sl_base::Millis;

use crate::fleet::{Fleet, Outcome, Scenario};

/// How long each fleet runs.
const SPAN: Millis = Millis(40_000);

/// Attempts with the bad part that may reach engines after the fleet had time to learn.
const LATE_BAD_ATTEMPTS_MAX: u32 = 3;

const SEEDS: std::ops::Range<u64> = 0..5;

const SCENARIO: Scenario = Scenario {
    instances: 4,
    engines: 9,
    bad_interval: Some(Millis(500)),
    sound_interval: Millis(10),
    lost_percent: 20,
    restart_interval: None,
};

fn check(scenario: Scenario) {
    for seed in SEEDS {
        let sound = Scenario { bad_interval: None, ..scenario };
        let Outcome { sound_sent: usual, .. } = Fleet::new(sound, seed).run(SPAN);
        let outcome = Fleet::new(scenario, seed).run(SPAN);
        assert!(outcome.crashes >= 3, "seed {seed}: {outcome:?}");
        assert!(
            outcome.late_bad_attempts <= LATE_BAD_ATTEMPTS_MAX,
            "seed {seed}: {outcome:?}, sent without crashes: {usual}"
        );
        assert!(outcome.sound_sent * 2 >= usual, "seed {seed}: {outcome:?}, without: {usual}");
    }
}

// Guards against requests that share one bad part, and are otherwise all different, crashing the
// engines one after the other: no request comes back often enough to be recognised by itself.
#[test]
fn a_part_that_crashes_engines_is_barred_in_the_whole_fleet() {
    check(SCENARIO);
}

// Guards against instances that forget the part when they start again.
#[test]
fn a_barred_part_stays_barred_while_instances_restart() {
    check(Scenario { restart_interval: Some(Millis(4_000)), ..SCENARIO });
}
