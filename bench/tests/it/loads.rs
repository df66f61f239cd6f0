//! Results for callers under named loads, with the real scheduling decisions. The bounds are
//! the targets in docs/design.md.

use bench::load::{Ending, Load, Options, Policy, ProcessorCosts, Tally, TeamEndings, simulate};
use rstest::rstest;
use sl_base::Millis;
use strum::IntoEnumIterator;

/// A fleet of nine instances and twelve engines for 30 s.
fn options(load: Load, seed: u64) -> Options {
    Options {
        seed,
        load,
        policy: Policy::Notes,
        instances: 9,
        engines: 12,
        data_centres: load.data_centres(),
        data_centre_cost_ms_per_mb: 0.0,
        balances_routes: true,
        processor: None,
        lease: Millis(0),
        duration: Millis(30_000),
    }
}

fn simulate_30_s(load: Load, policy: Policy) -> Tally {
    simulate(Options { policy, ..options(load, 1) })
}

#[test]
fn the_same_seed_gives_the_same_results() {
    let tallies = [(); 2].map(|()| simulate_30_s(Load::Burst, Policy::Notes));
    assert_eq!(format!("{:?}", tallies[0]), format!("{:?}", tallies[1]));
}

#[test]
fn few_shared_parts_are_reprocessed_under_the_calm_load() {
    let tally = simulate_30_s(Load::Calm, Policy::Notes);
    assert!(tally.reprocessed_share < 0.12, "{}", tally.reprocessed_share);
}

/// Guards against balancing routes while the engines have room: the first refusals of instances with
/// empty caches are no contention.
#[rstest]
#[case::calm(Load::Calm)]
#[case::hot_part(Load::HotPart)]
fn routes_are_not_balanced_with_demand_below_capacity(
    #[case] load: Load,
    #[values(1, 2, 3)] seed: u64,
) {
    let tally = simulate(options(load, seed));
    assert_eq!(tally.refusals_contended, 0, "of {} refusals", tally.refusals);
}

/// A burst of traffic, callers that retry without waiting, a team that sends a multiple of its
/// usual requests, and many requests with the same subject leave at least 90 % of the credit
/// under the calm load.
#[rstest]
#[case::burst(Load::Burst)]
#[case::impatient(Load::Impatient)]
#[case::greedy_team(Load::GreedyTeam)]
#[case::hot_part(Load::HotPart)]
fn a_disturbance_leaves_nine_tenths_of_the_credit(#[case] load: Load) {
    let calm = simulate_30_s(Load::Calm, Policy::Notes);
    let tally = simulate_30_s(load, Policy::Notes);
    assert!(tally.credit_disturbed >= 0.9 * calm.credit_disturbed, "{tally:?}");
}

/// Under far more requests than the engines can serve, and with half of the engines down or evacuated, the
/// fleet refuses the rest, and serves more than half of the requests of every kind in time.
#[rstest]
#[case::flood(Load::Flood)]
#[case::half_lost(Load::HalfLost)]
#[case::half_evacuated(Load::Evacuated)]
fn excess_requests_are_refused_and_every_kind_is_served(#[case] load: Load) {
    let tally = simulate_30_s(load, Policy::Notes);
    assert_eq!(tally.sent_to_evacuated, 0);
    for kind in &tally.kinds {
        let served = f64::from(kind.in_time) / f64::from(kind.requests);
        assert!(served > 0.5, "{kind:?}");
        // Requests that are not refused are rarely late or failed.
        assert!(f64::from(kind.late + kind.failed) < 0.1 * f64::from(kind.requests), "{kind:?}");
    }
}

/// Guards against long prompts that are refused first: their own prefill takes most of the target
/// latency, so a limit on the expected time alone leaves them less time to wait than short ones.
/// The users want the longest tenth of a kind served at least half as often as the whole kind.
#[test]
fn the_longest_prompts_are_served_half_as_often_as_all_at_least() {
    for seed in 1..=3 {
        for kind in simulate(options(Load::LongTail, seed)).kinds {
            assert!(kind.largest_served >= 0.5 * kind.served(), "seed {seed}: {kind:?}");
        }
    }
}

/// Instances that learn about each other's requests at once do not all choose the same engine.
#[rstest]
#[case::apart(Policy::Apart)]
#[case::lent_slots(Policy::LentSlots)]
#[case::reports(Policy::Reports)]
fn gossip_of_each_request_earns_more_than_later_or_no_information(#[case] policy: Policy) {
    let notes = simulate_30_s(Load::Burst, Policy::Notes);
    let other = simulate_30_s(Load::Burst, policy);
    assert!(notes.credit > other.credit, "{} {}", notes.credit, other.credit);
    assert!(notes.reprocessed_share < other.reprocessed_share);
}

/// Seeds that are averaged.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Guards against a cost of bytes that has no effect on them, or that gets requests refused, where
/// three quarters of the callers have a third of the engines.
#[test]
fn a_cost_of_bytes_between_data_centres_saves_bytes_and_loses_no_request() {
    let total = |data_centre_cost_ms_per_mb| {
        let tallies = SEEDS.map(|seed| {
            simulate(Options { data_centre_cost_ms_per_mb, ..options(Load::Uneven, seed) })
        });
        tallies.fold((0, 0.0), |(bytes, served), it| {
            let kinds = it.kinds.iter();
            (bytes + it.bytes_across, served + kinds.map(|it| it.served()).sum::<f64>())
        })
    };
    let ((bytes_before, served_before), (bytes, served)) = (total(0.0), total(10_000.0));
    assert!(bytes < bytes_before, "{bytes} {bytes_before}");
    assert!(served >= served_before, "{served} {served_before}");
}

fn simulate_waves(seed: u64, policy: Policy) -> Tally {
    simulate(Options { policy, duration: Millis(51_000), ..options(Load::ScarceSlots, seed) })
}

/// Guards against large requests that are refused much more often than others while twice as much is
/// asked as the engines begin. A quarter below the mean is what is tolerated for teams as well. Each
/// instance balances by its own counts, so this holds without notes too.
#[rstest]
#[case::notes(Policy::Notes)]
#[case::all_notes_lost(Policy::Apart)]
fn no_kind_is_served_a_quarter_less_than_the_mean_in_waves_of_demand(#[case] policy: Policy) {
    for seed in 1..=3 {
        let kinds = simulate_waves(seed, policy).kinds;
        let asked: u32 = kinds.iter().map(|it| it.requests).sum();
        let served: f64 = kinds.iter().map(|it| it.served() * f64::from(it.requests)).sum();
        for kind in &kinds {
            assert!(kind.served() >= 0.75 * served / f64::from(asked), "seed {seed}: {kind:?}");
        }
    }
}

/// Guards against streams that are begun and do not end before the deadline of the caller. Requests that are
/// not refused are rarely late, failed or unfinished: less than a tenth, as under the other loads.
#[test]
fn what_is_begun_in_waves_of_demand_ends_in_time() {
    for seed in 1..=3 {
        for kind in simulate_waves(seed, Policy::Notes).kinds {
            let missed = kind.late + kind.failed + kind.unfinished;
            assert!(f64::from(missed) < 0.1 * f64::from(kind.requests), "seed {seed}: {kind:?}");
        }
    }
}

/// Guards against a team that is owed tokens and gets less than half of what it asks for, or of what the
/// best served team gets, for six seconds: one that asked for more than its share shortly before, one
/// whose callers all reach one instance, and small ones when half of the engines are lost.
#[rstest]
#[case::falling_team(Load::FallingTeam)]
#[case::greedy_half_lost(Load::GreedyHalfLost)]
fn every_team_gets_half_of_what_it_is_owed(
    #[case] load: Load,
    #[values(true, false)] balances_routes: bool,
    #[values(12, 36)] engines: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let instances = if engines == 12 { 9 } else { 18 };
    let options = Options { balances_routes, instances, engines, ..options(load, seed) };
    let tally = simulate(options);
    assert!(tally.lowest_due >= 0.5, "{}", tally.lowest_due);
}

/// Guards against usage and attempts that are lost with a datagram which a newer one has overtaken: instances
/// then disagree on what each team got, and on what runs on each engine.
#[rstest]
#[case::falling_team(Load::FallingTeam)]
#[case::greedy_half_lost(Load::GreedyHalfLost)]
fn every_team_gets_half_of_what_it_is_owed_while_datagrams_overtake_one_another(
    #[case] load: Load,
    #[values(12, 36)] engines: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let (policy, balances_routes) = (Policy::RelayedNotes, false);
    let instances = if engines == 12 { 9 } else { 18 };
    let options = Options { policy, balances_routes, instances, engines, ..options(load, seed) };
    let tally = simulate(options);
    assert!(tally.lowest_due >= 0.5, "{}", tally.lowest_due);
}

/// Most of the instances of a fleet have a small processor share, and the notes of the whole fleet take most
/// of it.
fn crowded(seed: u64, costs: ProcessorCosts) -> Options {
    Options {
        policy: Policy::GatheredNotes,
        instances: 48,
        engines: 80,
        balances_routes: false,
        processor: Some(costs),
        duration: Millis(14_000),
        ..options(Load::CrowdedDataCentre, seed)
    }
}

/// What each team asked for, and where it ended, in thousands of tokens.
fn table(endings: &[TeamEndings]) -> String {
    let places: Vec<&str> = Ending::iter().map(Into::into).collect();
    let mut table = format!("team asked {}\n", places.join(" "));
    for (team, of_team) in endings.iter().enumerate() {
        let ended = Ending::iter().map(|it| (of_team.at(it) / 1_000).to_string());
        let ended: Vec<String> = ended.collect();
        table += &format!("{team} {} {}\n", of_team.asked / 1_000, ended.join(" "));
    }
    table
}

/// Guards against teams whose callers reach small instances at their processor limit, which reject them
/// before any look at their shares, while a greedy team is served elsewhere.
#[rstest]
fn every_team_gets_half_of_what_it_is_owed_while_small_instances_are_at_their_limit(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let tally = simulate(crowded(seed, ProcessorCosts::default()));
    let Tally { lowest_due, lowest_due_team, lowest_due_from_s, .. } = tally;
    let table = table(&tally.endings);
    assert!(
        lowest_due >= 0.5,
        "team {lowest_due_team} from {lowest_due_from_s} s: {lowest_due}\n{table}"
    );
}

/// Guards against a model in which nothing is ever late, and against attempts that end at a place that
/// nothing counts: small instances shed requests, and the sum over all places is what each team asked for.
#[test]
fn each_attempt_ends_at_one_place_and_late_instances_shed_some() {
    let tally = simulate(crowded(2, ProcessorCosts::default()));
    for of_team in &tally.endings {
        let ended: u64 = Ending::iter().map(|it| of_team.at(it)).sum();
        assert_eq!(ended, of_team.asked, "{}", table(&tally.endings));
    }
    let shed: u64 = tally.endings.iter().map(|it| it.at(Ending::Shed)).sum();
    assert!(shed > 0, "{}", table(&tally.endings));
}

/// Engines that are lost and back without caches, and teams of very unequal demand.
fn unequal(seed: u64) -> Options {
    Options {
        policy: Policy::GatheredNotes,
        instances: 18,
        engines: 36,
        balances_routes: false,
        ..options(Load::UnequalLoss, seed)
    }
}

/// Guards against instances that all choose the same engine within the delay of their notes, and against
/// transfers that are planned from engines which have not prefilled the parts: in the plays of issue 51
/// attempts with a transfer took 1.7 times as long as expected. The goal is 15% in the mean.
#[rstest]
fn first_tokens_come_when_expected_whether_a_part_is_moved_or_not(#[values(1, 2, 3, 4)] seed: u64) {
    let tally = simulate(unequal(seed));
    for ratio in tally.first_token_ratio {
        assert!((0.85..=1.15).contains(&ratio), "{:?}", tally.first_token_ratio);
    }
}

/// Guards against teams that ask for little and get under half of it while engines are full of others'
/// requests, lost and back without caches.
#[rstest]
fn every_team_gets_half_of_what_it_is_owed_while_engines_are_lost_and_demand_is_unequal(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let Tally { lowest_due, lowest_due_team, .. } = simulate(unequal(seed));
    assert!(lowest_due >= 0.5, "team {lowest_due_team}: {lowest_due}");
}

/// Guards against teams that ask for a hundredth, a tenth or half of the fair share and get under half of that
/// while the others ask for more than the engines bear. Each attempt counts, also those that follow a refusal.
#[rstest]
#[case::a_hundredth(11)]
#[case::a_tenth(7)]
#[case::half(5)]
fn a_team_gets_half_of_what_it_asks_for_with_engines_full(
    #[case] team: usize,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let tally = simulate(unequal(seed));
    let of_team = tally.endings[team];
    let begun = of_team.at(Ending::Served) + of_team.at(Ending::Late);
    assert!(2 * begun >= of_team.asked, "{}", table(&tally.endings));
}

/// How long the entries of lost engines stay listed.
const LEASE: Millis = Millis(3_000);

/// The most attempts of the whole fleet at one lost engine until its entry lapses, in the mean: two each time
/// that the engine is tried, which is at its loss and 0.25, 0.75, 1.75 and 2.75 s later.
const ATTEMPTS_AT_LOST_ENGINE_MAX: f64 = 10.0;

/// Guards against instances that all try a lost engine again whenever a back-off ends, because each of them knows
/// only its own failures there: in the plays of issue 54 a quarter of what was granted was lost again until the
/// entries lapsed. The number must not grow with the fleet.
#[rstest]
#[case::few_instances(9, 1)]
#[case::few_instances(9, 2)]
#[case::some_instances(18, 1)]
#[case::some_instances(18, 2)]
#[case::many_instances(72, 1)]
fn few_attempts_reach_a_lost_engine_before_its_entry_lapses(
    #[case] instances: usize,
    #[case] seed: u64,
) {
    let tally = simulate(Options { instances, lease: LEASE, ..unequal(seed) });
    let attempts = f64::from(tally.attempts_at_lost_engines) / f64::from(tally.engine_losses);
    assert!(attempts <= ATTEMPTS_AT_LOST_ENGINE_MAX, "{attempts}");
}

/// Guards against teams that get under half of what they are owed while lost engines are still listed.
#[rstest]
fn every_team_gets_half_of_what_it_is_owed_while_lost_engines_are_still_listed(
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let Tally { lowest_due, lowest_due_team, .. } =
        simulate(Options { lease: LEASE, ..unequal(seed) });
    assert!(lowest_due >= 0.5, "team {lowest_due_team}: {lowest_due}");
}
