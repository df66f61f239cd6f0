//! The engine model: estimates of time, speed and load.

use sl_route::{
    engine::{Engine, SPEEDUP_MAX, SpeedPrior},
    note::AttemptKey,
};

use crate::testbed::{ENGINE, START, at};

const PRIOR: SpeedPrior =
    SpeedPrior { tokens_per_ms: 30.0, weight_tokens: 20_000.0, max_speedup: SPEEDUP_MAX };

fn attempt_key(attempt: u64) -> AttemptKey {
    AttemptKey { instance: 1, attempt }
}

fn engine() -> Engine {
    Engine::new(START, ENGINE, PRIOR)
}

#[test]
fn sent_requests_delay_later_ones() {
    let mut engine = engine();
    let alone = engine.first_token_ms(START, 3_000);
    engine.record_sent(START, attempt_key(1), 30_000);
    let behind = engine.first_token_ms(START, 3_000);
    assert!((behind - alone - 1_000.0).abs() < 50.0, "{alone} {behind}");
    engine.record_end(START, attempt_key(1));
    assert!((engine.first_token_ms(START, 3_000) - alone).abs() < 5.0);
}

#[test]
fn the_measured_speed_replaces_any_prior() {
    for actual in [15.0, 60.0, 100.0] {
        let mut engine = engine();
        let mut now = 0;
        for attempt in 0..200 {
            engine.record_sent(at(now), attempt_key(attempt), 6_000);
            now += (6_000.0 / actual) as u64;
            engine.record_first_token(at(now), attempt_key(attempt));
            engine.record_end(at(now), attempt_key(attempt));
        }
        let measured = engine.tokens_per_ms();
        assert!((0.8..1.25).contains(&(measured / actual)), "{actual}: {measured}");
    }
}

#[test]
fn transfers_run_one_at_a_time() {
    let mut engine = engine();
    assert_eq!(engine.transfer_backlog_ms(START), 0.0);
    engine.record_transfer(START, 300.0);
    engine.record_transfer(at(100), 50.0);
    assert_eq!(engine.transfer_backlog_ms(at(100)), 200.0);
    assert_eq!(engine.transfer_backlog_ms(at(400)), 0.0);
}

#[test]
fn the_backlog_of_a_stalled_engine_grows() {
    let mut engine = engine();
    engine.record_sent(START, attempt_key(1), 3_000);
    let backlogs = [100, 500, 1_000, 2_000].map(|it| engine.backlog_ms(at(it)));
    assert!(
        backlogs[3] > backlogs[2] && backlogs[2] > backlogs[1] && backlogs[1] > 300.0,
        "{backlogs:?}"
    );
}

#[test]
fn a_late_first_token_delays_the_requests_behind_it() {
    let mut engine = engine();
    engine.record_sent(START, attempt_key(1), 3_000);
    engine.record_sent(START, attempt_key(2), 3_000);
    let expected = engine.backlog_ms(at(100));
    // The first token of the first request was expected after some 130 ms.
    engine.record_first_token(at(600), attempt_key(1));
    assert!(engine.backlog_ms(at(600)) > 50.0);
    assert!(expected < 150.0, "{expected}");
}

#[test]
fn overdue_requests_are_dropped() {
    let mut engine = engine();
    engine.record_sent(START, attempt_key(1), 30_000);
    engine.prune(at(10_000), |_| false);
    assert_eq!(engine.queued(), 0);
    assert!(engine.backlog_ms(at(10_000)) < 1.0);
}

#[test]
fn requests_of_a_removed_peer_are_dropped() {
    let mut engine = engine();
    engine.record_sent(START, AttemptKey { instance: 2, attempt: 1 }, 3_000);
    engine.record_sent(START, attempt_key(1), 3_000);
    engine.prune(START, |instance| instance == 2);
    assert_eq!(engine.queued(), 1);
}

/// Guards against an instance that counts the same wait twice and refuses its teams' requests:
/// a peer's request that reached the engine first, and that the instance learns of later,
/// delays the instance's own request and is queued work as well.
#[test]
fn work_that_is_learned_of_late_does_not_also_count_as_overdue() {
    let mut engine = engine();
    engine.record_sent(START, attempt_key(1), 1_500);
    for attempt in 2..12 {
        engine.record_sent(at(60), attempt_key(attempt), 1_500);
    }
    // Eleven prompts of 52 ms; the engine prefills all the time, the own request last.
    for (finished, attempt) in (2..8).enumerate() {
        let now = at(52 * (finished as u64 + 1));
        engine.record_first_token(now, attempt_key(attempt));
    }
    let remaining_ms = 11.0 * 52.0 - 340.0;
    let backlog_ms = engine.backlog_ms(at(340));
    assert!((backlog_ms - remaining_ms).abs() < 80.0, "{backlog_ms} {remaining_ms}");
}
