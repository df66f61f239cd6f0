//! Queues, charges and picks on one instance.

use rstest::rstest;
use sl_base::{Code, Incarnation, Millis, RequestId, Timestamp};
use sl_fair::{Error, Fair, Item, Options, Service, service::PARTS_PER_UNIT};

use crate::{POOL, at, fair, instance, item, rules, team, with};

fn picks(fair: &mut Fair, count: usize) -> Vec<u64> {
    let pick = |_| fair.pick(at(0), POOL).map(|picked| picked.item.request.0);
    (0..count).filter_map(pick).collect()
}

#[rstest]
fn the_least_served_team_goes_first_by_share() {
    let mut fair = fair(0, 1, &[1, 3]);
    for n in 0..40 {
        fair.enqueue(at(0), item(n, (n % 2) as usize, 30)).unwrap();
    }
    let of_second = picks(&mut fair, 20).into_iter().filter(|n| n % 2 == 1).count();
    assert_eq!(of_second, 15);
}

#[rstest]
fn limits_are_kept_and_say_which() {
    let mut fair = fair(0, 1, &[1]);
    let big = Item { bytes: 10_001, ..item(0, 0, 1) };
    let refused = fair.enqueue(at(0), big).unwrap_err();
    assert_eq!(refused, Error::QueueBytesFull { max: 10_000 });
    for n in 0..50 {
        fair.enqueue(at(0), item(n, 0, 1)).unwrap();
    }
    let refused = fair.enqueue(at(0), item(50, 0, 1)).unwrap_err();
    assert_eq!(refused.code(), Code::QueueFull);
    assert_eq!(fair.enqueue(at(0), item(51, 9, 1)), Err(Error::UnknownTeam));
    assert!(fair.remove(at(0), RequestId(3)).is_some());
    assert!(fair.enqueue(at(0), item(50, 0, 1)).is_ok());
}

#[rstest]
fn lower_orders_go_first_and_old_requests_get_a_turn() {
    let mut fair = fair(0, 1, &[1]);
    let ordered = |n, order, since| Item { order, since: at(since), ..item(n, 0, 1) };
    fair.enqueue(at(0), ordered(1, 2, 0)).unwrap();
    for n in 2..20 {
        fair.enqueue(at(4_000), ordered(n, 1, 4_000)).unwrap();
    }
    assert_eq!(fair.pick(at(4_000), POOL).unwrap().item.request.0, 2);
    let late: Vec<u64> =
        (0..4).map(|_| fair.pick(at(5_000), POOL).unwrap().item.request.0).collect();
    assert!(late.contains(&1), "{late:?}");
    assert_eq!(late.iter().filter(|&&n| n != 1).count(), 3, "the order stands for the rest");
}

#[rstest]
fn expired_and_removed_requests_are_gone() {
    let mut fair = fair(0, 1, &[1]);
    fair.enqueue(at(0), Item { expires: at(10), ..item(1, 0, 1) }).unwrap();
    fair.enqueue(at(0), item(2, 0, 1)).unwrap();
    assert_eq!(fair.due(), at(10));
    assert!(fair.expired(at(9)).is_empty());
    assert_eq!(fair.expired(at(10))[0].request, RequestId(1));
    assert!(fair.remove(at(10), RequestId(2)).is_some());
    assert_eq!(fair.remove(at(10), RequestId(2)), None);
    assert!(!fair.need(POOL).is_some());
    assert_eq!(fair.due(), Timestamp::NEVER);
}

#[rstest]
fn charges_are_corrected_and_settled_once() {
    let mut fair = fair(0, 1, &[2]);
    fair.enqueue(at(0), item(1, 0, 100)).unwrap();
    let picked = fair.pick(at(0), POOL).unwrap();
    let time = |fair: &Fair| fair.time(POOL, team(0)).0 / PARTS_PER_UNIT;
    assert_eq!(time(&fair), 50);
    fair.progress(RequestId(1), 60);
    assert_eq!(time(&fair), 50, "progress below the hint lowers nothing");
    fair.progress(RequestId(1), 300);
    assert_eq!(time(&fair), 150);
    fair.set_rules(rules(&[1]));
    fair.settle(RequestId(1), 40);
    fair.settle(RequestId(1), 900);
    assert_eq!(time(&fair), 20, "a change of share acts on later charges");
    assert_eq!(fair.own_units(POOL, team(0)), 40);
    fair.requeue(at(0), picked.item);
    fair.pick(at(0), POOL).unwrap();
    assert_eq!(time(&fair), 120);
    fair.requeue(at(0), picked.item);
    assert_eq!(time(&fair), 20, "what was not run is not charged");
}

/// Team 0 works alone for long, with or without a queue; team 1 then brings no credit,
/// whichever of them is first to wait again.
#[rstest]
fn an_idle_team_saves_no_credit(#[values(1, 20)] depth: u64, #[values(0, 1)] first: u64) {
    let mut fair = fair(0, 1, &[1, 1]);
    for n in 0..200 {
        fair.enqueue(at(0), item(n, 0, 1_000)).unwrap();
        if n >= depth {
            fair.pick(at(0), POOL).unwrap();
        }
    }
    while fair.pick(at(0), POOL).is_some() {}
    for n in 1_000..1_040 {
        let team = (n + first) % 2;
        fair.enqueue(at(0), item(n, team as usize, 1_000)).unwrap();
    }
    let picked = picks(&mut fair, 20).into_iter();
    let of_first = picked.filter(|n| (n + first).is_multiple_of(2)).count();
    assert!((8..=12).contains(&of_first), "{of_first}");
}

/// After a long cut one team was served far more; it waits for the other, but not for
/// longer than the window.
#[rstest]
fn nobody_lags_by_more_than_the_window() {
    let mut options = sl_fair::Options::of(crate::instance(0), sl_base::Incarnation(1));
    options.window = Service::of(5_000, 1);
    let mut fair = Fair::new(options);
    fair.set_rules(rules(&[1, 1]));
    fair.enqueue(at(0), item(0, 1, 1)).unwrap();
    fair.enqueue(at(0), item(1, 0, 1_000_000)).unwrap();
    fair.enqueue(at(0), item(2, 0, 1)).unwrap();
    for n in 3..40 {
        fair.enqueue(at(0), item(n, 1, 1_000)).unwrap();
    }
    let picked = picks(&mut fair, 12);
    assert!(picked.contains(&2), "{picked:?}");
}

/// Without the guard the small team would wait for a thousand times its request's cost.
#[rstest]
fn a_starving_team_gets_a_turn() {
    let options =
        Options { starve_wait: Millis(30_000), ..Options::of(instance(0), Incarnation(1)) };
    let mut fair = with(options, 1, &[1, 1_000]);
    for n in 0..3 {
        fair.enqueue(at(0), item(n, 0, 10_000)).unwrap();
    }
    let mut starved = 0;
    for n in 100..2_000 {
        let now = at(n * 100);
        fair.enqueue(now, Item { since: now, ..item(n, 1, 100) }).unwrap();
        fair.enqueue(now, Item { since: now, ..item(n + 5_000, 1, 100) }).unwrap();
        let picked = fair.pick(now, POOL).unwrap();
        starved += usize::from(picked.starved);
        let other = fair.pick(now, POOL).unwrap();
        starved += usize::from(other.starved);
    }
    assert_eq!(starved, 2, "all that waited, one in each span");
}

#[rstest]
fn peek_names_what_pick_takes() {
    let mut fair = fair(0, 1, &[1, 2, 5]);
    for n in 0..60 {
        fair.enqueue(at(0), Item { order: (n % 4) as u8, ..item(n, (n % 3) as usize, 7 + n) })
            .unwrap();
    }
    for n in 0..60 {
        let now = at(n * 1_000);
        let peeked = fair.peek(now, POOL);
        assert_eq!(peeked, fair.pick(now, POOL).map(|picked| picked.item.request));
    }
}
