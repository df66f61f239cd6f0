//! When requests leave their data centre, under loads on a fleet in three data centres
//! (docs/design/locality.md).

use std::sync::Arc;

use rstest::rstest;
use sl_base::{Millis, Timestamp};
use sl_route::{
    Arrival, Decision, Effect, Event, Options, RetryPolicy, Route, ServerRecord, State,
    locality::{LeaveReason, Shortage},
};

use crate::{
    data_centres::{Outcome, Scenario, run},
    testbed::{
        DATA_CENTRE, START, arrival, arrive, at, complete, document, options, prompt, record,
        sent_target,
    },
};

/// Three quarters of the callers are in one of three data centres, which has a third of the
/// engines. The first seconds fill the caches.
fn uneven(seed: u64) -> Scenario {
    Scenario {
        seed,
        requests_per_s: 130.0,
        callers: [750, 125, 125],
        loss_ms: 0..0,
        duration_ms: 20_000,
        shares_parts: true,
    }
}

/// Half of the engines of the first data centre are lost and come back.
fn half_lost(seed: u64) -> Scenario {
    Scenario { loss_ms: 8_000..14_000, callers: [334, 333, 333], ..uneven(seed) }
}

fn run_at_cost(scenario: Scenario, cost_ms_per_mb: f64) -> Outcome {
    run(scenario, |it| it.limits.data_centre_cost_ms_per_mb = cost_ms_per_mb)
}

/// Guards against a cost of 0 that changes anything: the digests cover each placement, its estimates
/// and each refusal with its random delay. They were taken from the code without a cost (4b4b33a), and for
/// seeds 2 and 3 again, without a cost, when parts that are not prefilled were no longer moved.
#[rstest]
#[case(1, 0x8956_3d52_f378_4b81, 0x13d3_c52f_bc29_539c)]
#[case(2, 0x2338_ca65_ec28_aa17, 0x0292_4b07_ea9e_9a1a)]
#[case(3, 0x23d4_b5f6_f910_47cf, 0xe794_3248_8d43_788f)]
fn a_cost_of_0_places_as_before(#[case] seed: u64, #[case] even: u64, #[case] lost: u64) {
    assert_eq!(run_at_cost(uneven(seed), 0.0).digest, even);
    assert_eq!(run_at_cost(half_lost(seed), 0.0).digest, lost);
}

const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

/// Load: uneven demand. Guards against a decision that keeps requests where their callers wait
/// longer than the operator pays for: a megabyte saved may cost callers no more waiting than the
/// setting says that it is worth, and no request its place.
#[test]
fn under_uneven_demand_callers_wait_no_longer_than_the_bytes_saved_are_worth() {
    const COST_MS_PER_MB: f64 = 10_000.0;
    let total = |cost: f64| {
        let outcomes: Vec<Outcome> = SEEDS
            .map(|it| run_at_cost(Scenario { duration_ms: 30_000, ..uneven(it) }, cost))
            .collect();
        let refused: usize = outcomes.iter().map(|it| it.refused(0)).sum();
        let bytes: u64 = outcomes.iter().map(|it| it.bytes_across(0)).sum();
        let waited: u64 = outcomes.iter().map(|it| it.waited_ms(0)).sum();
        (refused, bytes as f64, waited as f64)
    };
    let (refused_before, bytes_before, waited_before) = total(0.0);
    let (refused, bytes, waited) = total(COST_MS_PER_MB);
    let saved_mb = (bytes_before - bytes) / 1e6;
    let worth_ms = saved_mb * COST_MS_PER_MB;
    let longer_ms = waited - waited_before;
    assert!(saved_mb > 0.0, "{saved_mb}");
    assert!(longer_ms <= worth_ms, "{longer_ms} {worth_ms}");
    assert!(refused <= refused_before, "{refused} {refused_before}");
}

/// The part of the first data centre's requests that left it, of those that were sent from
/// `since_ms` on for a second.
fn fraction_left(outcomes: &[Outcome], since_ms: u64) -> f64 {
    let second = since_ms..since_ms + 1_000;
    let requests = outcomes.iter().flat_map(|it| &it.requests);
    let sent = requests.filter(|it| it.data_centre == 0 && second.contains(&it.arrived_ms));
    let sent: Vec<bool> = sent.filter_map(|it| it.has_left).collect();
    sent.iter().filter(|it| **it).count() as f64 / sent.len().max(1) as f64
}

/// Load: half of the own servers lost and back. Guards against instances that all leave, or all
/// return, at once: over any second the fraction that leaves changes by less than half of what it
/// will reach.
#[rstest]
#[case::shared_parts(true)]
#[case::prompts_without_shared_parts(false)]
fn instances_do_not_swing_when_servers_are_lost_and_back(#[case] shares_parts: bool) {
    const COST_MS_PER_MB: f64 = 10_000.0;
    let scenario = |seed| Scenario { shares_parts, ..half_lost(seed) };
    let outcomes: Vec<Outcome> =
        SEEDS.map(|it| run_at_cost(scenario(it), COST_MS_PER_MB)).collect();
    let reached = fraction_left(&outcomes, 12_000);
    for since_ms in (6_000..17_000).step_by(100) {
        let change =
            fraction_left(&outcomes, since_ms + 1_000) - fraction_left(&outcomes, since_ms);
        assert!(change.abs() < reached / 2.0, "{change} of {reached} at {since_ms} ms");
    }
}

/// Guards against a share that follows its measure at once: in a second it changes by less than half
/// of what it will reach, when no own server has time any more and when they have again.
#[test]
fn the_share_changes_by_less_than_half_in_a_second() {
    let mut shortage = Shortage::new(START);
    let mut record = |since_ms: u64, own_has_time: bool| {
        (0..100).for_each(|it| shortage.record(at(since_ms + it * 10), own_has_time));
        shortage.share()
    };
    let before: Vec<f64> = (0..10).map(|it| record(it * 1_000, true)).collect();
    let short: Vec<f64> = (10..20).map(|it| record(it * 1_000, false)).collect();
    let after: Vec<f64> = (20..30).map(|it| record(it * 1_000, true)).collect();
    assert!(short[9] > 0.9 && after[9] < 0.1, "{short:?} {after:?}");
    let shares = [before, short, after].concat();
    assert!(shares.windows(2).all(|it| (it[1] - it[0]).abs() < 0.5), "{shares:?}");
}

const ELSEWHERE: &str = "elsewhere";

fn engine(id: &str, data_centre: &str) -> ServerRecord {
    ServerRecord { data_centre: data_centre.into(), ..record(id, "model") }
}

/// A state with one engine in the own data centre, `own`, and one elsewhere. Both have given a
/// speed sample.
fn two_data_centres(cost_ms_per_mb: f64) -> State {
    let mut options = options(1);
    options.limits.data_centre_cost_ms_per_mb = cost_ms_per_mb;
    two_data_centres_with(options)
}

fn two_data_centres_with(options: Options) -> State {
    let mut state = State::new(options, START);
    state.step(START, Event::Document(document(1)));
    state.step(START, Event::ServerListed(engine("own", DATA_CENTRE)));
    state.step(START, Event::ServerListed(engine(ELSEWHERE, ELSEWHERE)));
    for number in [1, 2] {
        arrive(&mut state, START, request(START, number, 2_000, 2_000));
    }
    [1, 2].into_iter().for_each(|it| drop(complete(&mut state, at(60), it)));
    state
}

fn request(now: Timestamp, number: u64, tokens: u32, body_bytes: u64) -> Arrival {
    let prompt = prompt(&format!("shared-{number}"), 0, &format!("own-{number}"), tokens);
    let arrival = arrival(now, number, RetryPolicy::Stream, Some(prompt));
    Arrival { body_bytes, ..arrival }
}

fn left(effects: &[Effect]) -> Option<LeaveReason> {
    effects.iter().find_map(|it| match it {
        Effect::Log(Decision::AttemptSent { left_data_centre, .. }) => *left_data_centre,
        _ => None,
    })
}

/// Guards against one charge for all sizes: with 100 ms of work at the own engine, a small body
/// leaves and a large one stays.
#[test]
fn a_request_leaves_for_a_gain_above_the_cost_of_its_bytes() {
    let mut state = two_data_centres(10_000.0);
    // The own engine gets the first request, which keeps it busy for 100 ms.
    let effects = arrive(&mut state, at(100), request(at(100), 10, 4_000, 20_000));
    assert_eq!(&*sent_target(&effects).unwrap().id, "own");
    // 17,000 bytes and the events are worth over 170 ms, 1,500 bytes and the events 21 ms.
    let large = arrive(&mut state, at(100), request(at(100), 11, 400, 17_000));
    assert_eq!(&*sent_target(&large).unwrap().id, "own");
    assert_eq!(left(&large), None);
    let small = arrive(&mut state, at(100), request(at(100), 12, 400, 1_500));
    assert_eq!(&*sent_target(&small).unwrap().id, ELSEWHERE);
    assert_eq!(left(&small), Some(LeaveReason::Better));
}

/// Guards against a cost that gets a request refused: it leaves at any cost if no own server can
/// take it in time.
#[test]
fn a_request_that_no_own_server_can_take_leaves_at_any_cost() {
    let mut state = two_data_centres(1_000_000.0);
    let mut reasons = Vec::new();
    for number in 10..40 {
        let effects = arrive(&mut state, at(100), request(at(100), number, 4_000, 20_000));
        match sent_target(&effects).map(|it| it.id.to_string()).as_deref() {
            Some("own") => assert!(reasons.is_empty(), "{number}"),
            Some(_) => reasons.push(left(&effects)),
            None => break,
        }
    }
    // Each engine takes as many prompts of 100 ms as fit into its limit.
    assert!(reasons.len() > 5, "{reasons:?}");
    let forced = reasons.iter().filter(|it| **it == Some(LeaveReason::NoOwnServer)).count();
    assert_eq!(forced, reasons.len(), "{reasons:?}");
}

/// The share of requests that leave, as logged with the latest attempt.
fn logged_share(effects: &[Effect]) -> f64 {
    let share = effects.iter().find_map(|it| match it {
        Effect::Log(Decision::AttemptSent { data_centre_share, .. }) => Some(*data_centre_share),
        _ => None,
    });
    share.unwrap()
}

/// Guards against an evacuation of the own data centre that counts as a shortage of its servers: after
/// its end a share of the requests would leave although their own servers are idle.
#[test]
fn an_evacuation_of_the_own_data_centre_is_no_shortage() {
    let mut state = two_data_centres(10_000.0);
    state.step(at(100), Event::EvacuationRequested { data_centre: DATA_CENTRE.into() });
    for number in 10..30 {
        let now = at(100 * number);
        let effects = arrive(&mut state, now, request(now, number, 400, 1_500));
        assert_eq!(&*sent_target(&effects).unwrap().id, ELSEWHERE);
        assert_eq!(left(&effects), Some(LeaveReason::NoOwnServer));
        assert_eq!(logged_share(&effects), 0.0);
        complete(&mut state, now.after(Millis(50)), number);
    }
    state.step(at(3_000), Event::EvacuationLifted { data_centre: DATA_CENTRE.into() });
    let back = arrive(&mut state, at(3_010), request(at(3_010), 30, 400, 1_500));
    assert_eq!(&*sent_target(&back).unwrap().id, "own");
    assert_eq!(logged_share(&back), 0.0);
}

/// Guards against requests that may not be served in the region of the own data centre and count as
/// a shortage of its servers.
#[test]
fn a_list_of_regions_without_the_own_one_is_no_shortage() {
    let mut options = options(1);
    options.limits.data_centre_cost_ms_per_mb = 10_000.0;
    let pairs = [(DATA_CENTRE, "near"), (ELSEWHERE, "far")];
    options.regions = pairs.into_iter().map(|(a, b)| (a.to_owned(), b.to_owned())).collect();
    let mut state = two_data_centres_with(options);
    for number in 10..30 {
        let now = at(100 * number);
        let mut bound = request(now, number, 400, 1_500);
        let allowed_regions = ["far".to_owned()].into_iter().collect();
        bound.route = Arc::new(Route { allowed_regions, ..Route::clone(&bound.route) });
        let effects = arrive(&mut state, now, bound);
        assert_eq!(&*sent_target(&effects).unwrap().id, ELSEWHERE);
        assert_eq!(logged_share(&effects), 0.0);
        complete(&mut state, now.after(Millis(50)), number);
    }
}

/// Load: uneven demand. Guards against a shortage that is measured and not used: while own servers
/// are too few, some requests that they could take leave without being charged.
#[test]
fn while_own_servers_are_too_few_a_share_of_requests_is_not_charged() {
    let outcome = run_at_cost(uneven(1), 1_000_000.0);
    let left = |reason| outcome.requests.iter().filter(|it| it.left == Some(reason)).count();
    assert!(left(LeaveReason::Share) > 0 && left(LeaveReason::NoOwnServer) > 0);
}
