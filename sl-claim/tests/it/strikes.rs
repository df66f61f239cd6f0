use proptest::prelude::*;
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use sl_base::{Incarnation, InstanceId, Millis, ServerId, TeamId, Timestamp, hash::Fingerprint};
use sl_claim::strikes::{Admission, Options, Report, Strikes};

use crate::{config, world::START};

const TEAM: TeamId = TeamId(1);

fn print(team: TeamId, n: u32) -> Fingerprint {
    Fingerprint::of(team, "POST", "/", &n.to_le_bytes())
}

fn strikes(instance: u32) -> Strikes {
    Strikes::new(Options::default(), InstanceId(instance), Incarnation(1))
}

fn is_admitted(strikes: &mut Strikes, now: Timestamp, team: TeamId, print: Fingerprint) -> bool {
    strikes.admit(now, team, print) == Admission::Admitted
}

fn exchange(now: Timestamp, all: &mut [Strikes]) {
    for from in 0..all.len() {
        for report in all[from].reports(now) {
            for to in all.iter_mut() {
                to.on_report(now, &report);
            }
        }
    }
}

/// One team's request breaks every server that runs it, with innocent requests beside it
/// on each; its caller sends it again and again through any instance.
#[test]
fn crasher_is_barred_at_the_limit_and_innocents_come_through() {
    let mut all: Vec<Strikes> = (0..9).map(strikes).collect();
    let mut now = START;
    let crasher = print(TEAM, 0);
    let innocents: Vec<Fingerprint> = (1..=8).map(|n| print(TEAM, n)).collect();
    let mut crashes = 0;
    for round in 0..60 {
        let at = round % 9;
        if is_admitted(&mut all[at], now, TEAM, crasher) {
            crashes += 1;
            let server = ServerId(round as u64 % 4);
            all[at].strike(now, TEAM, crasher, server);
            for (n, &innocent) in innocents.iter().enumerate() {
                if is_admitted(&mut all[n % 9], now, TEAM, innocent) {
                    all[n % 9].strike(now, TEAM, innocent, server);
                }
            }
        }
        for _ in 0..2 {
            exchange(now, &mut all);
        }
        now = now.after(Millis(1_000));
    }
    let limit = Options::default().limit;
    // Two until it is barred, and one trial at most when the first bars end.
    assert!(crashes <= limit + 2, "{crashes} crashes");
    let longest = Options::default().bar_for.0 * 4 + Options::default().bar_spread.0;
    now = now.after(Millis(longest));
    for &innocent in &innocents {
        assert!(is_admitted(&mut all[3], now, TEAM, innocent));
        all[3].complete(TEAM, innocent);
    }
    for _ in 0..20 {
        exchange(now, &mut all);
    }
    for strikes in &mut all {
        for &innocent in &innocents {
            assert!(is_admitted(strikes, now, TEAM, innocent));
            assert!(is_admitted(strikes, now, TEAM, innocent));
        }
    }
}

#[test]
fn one_crash_counts_once_for_equal_requests() {
    let mut one = strikes(1);
    for _ in 0..10 {
        one.strike(START, TEAM, print(TEAM, 1), ServerId(1));
    }
    assert_eq!(one.strikes(TEAM, print(TEAM, 1)), 1);
    let later = START.after(Options::default().together);
    one.strike(later, TEAM, print(TEAM, 1), ServerId(1));
    assert_eq!(one.strikes(TEAM, print(TEAM, 1)), 2);
}

#[test]
fn bar_ends_with_one_request_on_trial() {
    let mut one = strikes(1);
    let bad = print(TEAM, 1);
    one.strike(START, TEAM, bad, ServerId(1));
    assert!(is_admitted(&mut one, START, TEAM, bad));
    one.strike(START, TEAM, bad, ServerId(2));
    assert!(one.is_barred(START, TEAM, bad));
    let Admission::Barred { until } = one.admit(START, TEAM, bad) else {
        panic!("it is barred");
    };
    assert!(is_admitted(&mut one, until, TEAM, bad));
    assert!(!is_admitted(&mut one, until, TEAM, bad));
    one.strike(until, TEAM, bad, ServerId(1));
    let Admission::Barred { until: longer } = one.admit(until, TEAM, bad) else {
        panic!("it is barred again");
    };
    assert!(longer.micros_since(until) > until.micros_since(START));
}

#[test]
fn flood_of_one_team_drops_and_marks_nothing_of_another() {
    let mut one = strikes(1);
    let (flood, calm) = (TeamId(7), TeamId(8));
    for server in 0..2 {
        one.strike(START, calm, print(calm, 1), ServerId(server));
    }
    for n in 0..10_000 {
        let now = START.after(Millis(u64::from(n)));
        one.strike(now, flood, print(flood, n), ServerId(u64::from(n)));
    }
    let now = START.after(Millis(10_000));
    assert!(!is_admitted(&mut one, now, calm, print(calm, 1)));
    assert!(is_admitted(&mut one, now, calm, print(calm, 2)));
    assert_eq!(one.len(), 1 + Options::default().max_per_team);
}

#[test]
fn many_teams_share_the_table_evenly() {
    let options = Options { max_entries: 40, ..Options::default() };
    let mut one = Strikes::new(options, InstanceId(1), Incarnation(1));
    one.strike(START, TEAM, print(TEAM, 1), ServerId(1));
    for n in 0..200 {
        let team = TeamId(100 + n % 10);
        let now = START.after(Millis(u64::from(n)));
        one.strike(now, team, print(team, n), ServerId(1));
    }
    assert_eq!(one.strikes(TEAM, print(TEAM, 1)), 1);
    assert_eq!(one.len(), 40);
}

#[test]
fn strikes_are_forgotten_everywhere_though_reports_go_round() {
    let mut all: Vec<Strikes> = (0..3).map(strikes).collect();
    let mut now = START;
    all[0].strike(now, TEAM, print(TEAM, 1), ServerId(1));
    let life = Options::default().forget_after.0;
    for _ in 0..40 {
        exchange(now, &mut all);
        now = now.after(Millis(life / 20));
    }
    assert!(all.iter().all(Strikes::is_empty));
}

proptest! {
    #![proptest_config(config(200))]

    /// Reports may be lost, repeated and out of order: in the end all count the same.
    #[test]
    fn counts_converge(seed in any::<u64>(), ops in proptest::collection::vec((0..4_usize, 0..3_u32, 0..4_u8), 1..40)) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all: Vec<Strikes> = (0..4).map(strikes).collect();
        let mut sent: Vec<Report> = Vec::new();
        let mut now = START;
        for (n, (at, fp, what)) in ops.into_iter().enumerate() {
            now = now.after(Millis(1_500));
            match what {
                0 => all[at].complete(TEAM, print(TEAM, fp)),
                1 | 2 => all[at].strike(now, TEAM, print(TEAM, fp), ServerId(n as u64)),
                _ => {
                    sent.extend(all[at].reports(now));
                    sent.shuffle(&mut rng);
                    let keep = sent.len() / 2;
                    for report in &sent[..keep] {
                        all[rng.random_range(0..4)].on_report(now, report);
                    }
                }
            }
        }
        for _ in 0..60 {
            exchange(now, &mut all);
        }
        for fp in 0..3 {
            let counts: Vec<u32> = all.iter().map(|s| s.strikes(TEAM, print(TEAM, fp))).collect();
            prop_assert!(counts.iter().all(|&c| c == counts[0]), "{:?}", counts);
        }
    }
}
