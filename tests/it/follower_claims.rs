//! Changes of the store while it turns away the instances that follow it for the fleet.

use std::time::{Duration, Instant};

use bench::Fleet;
use futures::future::join_all;
use rstest::rstest;
use stand_ins::{document, relay::Link};

use crate::{
    membership::{added_route_status, with_added_route},
    testbed::fleet,
};

/// The time in which a configuration has to be in force.
const APPLY: Duration = Duration::from_millis(2_000);

const INSTANCES: usize = 7;

/// How the store treats an instance that it turns away.
#[derive(Clone, Copy)]
enum Treatment {
    Silent,
    Slow,
    Reset,
}

impl Treatment {
    fn apply(self, fleet: &Fleet, index: usize) {
        let relay = &fleet.store_relays[index];
        match self {
            Treatment::Silent => relay.set_link(Link { block_downstream: true, ..Link::default() }),
            Treatment::Slow => {
                relay.set_link(Link { delay: Duration::from_millis(900), ..Link::default() })
            }
            Treatment::Reset => {
                relay.set_link(Link { block_upstream: true, ..Link::default() });
                relay.reset();
            }
        }
    }
}

/// The instances that follow the store, and after them the others.
async fn followers_first(fleet: &Fleet) -> Vec<usize> {
    let is_on_standby = |it: usize| {
        let log = fleet.instances[it].log();
        let count = |message| log.matches(message).count();
        count("store watch left to peers") > count("store watch resumed")
    };
    bench::eventually("all but three instances are on standby", async || {
        (0..INSTANCES).filter(|it| is_on_standby(*it)).count() == INSTANCES - 3
    })
    .await;
    let mut all: Vec<usize> = (0..INSTANCES).collect();
    all.sort_by_key(|it| is_on_standby(*it));
    all
}

/// How long an instance takes to have the added route in force.
async fn time_to_apply(fleet: &Fleet, index: usize, written_at: Instant) -> Duration {
    while added_route_status(fleet, index).await != 200 {
        assert!(written_at.elapsed() < APPLY * 5, "instance {index} does not apply the change");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    written_at.elapsed()
}

// Guards against instances that rely on followers which the store no longer answers: nobody learned of a change
// until the watches of these had timed out, 2.6 s after they began.
#[rstest]
#[case::the_followers_get_no_answer(Treatment::Silent, 3)]
#[case::more_than_the_followers_get_no_answer(Treatment::Silent, 5)]
#[case::the_followers_get_slow_answers(Treatment::Slow, 3)]
#[case::the_followers_connections_are_reset(Treatment::Reset, 3)]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_although_the_store_turns_the_followers_away(
    #[case] treatment: Treatment,
    #[case] turned_away: usize,
    #[values(50, 1_300)] watched_for_ms: u64,
) {
    let fleet = fleet(INSTANCES).await;
    let order = followers_first(&fleet).await;
    // The watches of all followers begin anew here.
    fleet.store.put(document::CONFIG_KEY, &document::standard(4));
    tokio::time::sleep(Duration::from_millis(watched_for_ms)).await;
    for index in &order[..turned_away] {
        treatment.apply(&fleet, *index);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    fleet.store.put(document::CONFIG_KEY, &with_added_route(5));
    let written_at = Instant::now();
    // Those that are turned away learn of the change from the others.
    let times = (0..INSTANCES).map(|it| time_to_apply(&fleet, it, written_at));
    let times = join_all(times).await;
    assert!(times.iter().all(|it| *it <= APPLY), "followers first: {order:?}, took {times:?}");
}

// Guards against instances that take over from each other while the store answers all of them: at the start, when
// they have not heard of each other yet, and after changes which end a long watch late.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_takes_over_while_the_store_answers_all() {
    let fleet = fleet(INSTANCES).await;
    followers_first(&fleet).await;
    let taken_over = || {
        let logs = fleet.instances.iter().map(|it| it.log());
        logs.map(|it| it.matches("store watch resumed").count()).sum::<usize>()
    };
    let at_start = taken_over();
    assert!(at_start <= INSTANCES, "{at_start}");
    for version in 4..7 {
        tokio::time::sleep(Duration::from_millis(1_800)).await;
        fleet.store.put(document::CONFIG_KEY, &document::standard(version));
    }
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(taken_over(), at_start);
}
