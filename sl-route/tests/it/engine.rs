//! The model of an engine learns from first tokens.

use sl_route::{
    engine::{Engine, SPEEDUP_MAX, SpeedPrior},
    note::AttemptKey,
};

use crate::bed::{ENGINE, START, at};

const PRIOR: SpeedPrior =
    SpeedPrior { tokens_per_ms: 30.0, weight_tokens: 20_000.0, speedup_max: SPEEDUP_MAX };

fn origin(attempt: u64) -> AttemptKey {
    AttemptKey { instance: 1, attempt }
}

fn engine() -> Engine {
    Engine::new(START, ENGINE, PRIOR)
}

#[test]
fn work_that_was_sent_delays_what_follows() {
    let mut engine = engine();
    let alone = engine.first_token_ms(START, 3_000);
    engine.record_sent(START, origin(1), 30_000);
    let behind = engine.first_token_ms(START, 3_000);
    assert!((behind - alone - 1_000.0).abs() < 50.0, "{alone} {behind}");
    engine.record_end(START, origin(1));
    assert!((engine.first_token_ms(START, 3_000) - alone).abs() < 5.0);
}

#[test]
fn speed_is_learnt_whatever_was_guessed() {
    for truth in [15.0, 60.0, 100.0] {
        let mut engine = engine();
        let mut now = 0;
        for attempt in 0..200 {
            engine.record_sent(at(now), origin(attempt), 6_000);
            now += (6_000.0 / truth) as u64;
            engine.record_first_token(at(now), origin(attempt));
            engine.record_end(at(now), origin(attempt));
        }
        let learnt = engine.tokens_per_ms();
        assert!((0.8..1.25).contains(&(learnt / truth)), "{truth}: {learnt}");
    }
}

#[test]
fn transfers_go_one_after_the_other() {
    let mut engine = engine();
    assert_eq!(engine.transfer_backlog_ms(START), 0.0);
    engine.record_transfer(START, 300.0);
    engine.record_transfer(at(100), 50.0);
    assert_eq!(engine.transfer_backlog_ms(at(100)), 200.0);
    assert_eq!(engine.transfer_backlog_ms(at(400)), 0.0);
}

#[test]
fn an_engine_that_stands_still_looks_later_and_later() {
    let mut engine = engine();
    engine.record_sent(START, origin(1), 3_000);
    let waits = [100, 500, 1_000, 2_000].map(|it| engine.backlog_ms(at(it)));
    assert!(waits[3] > waits[2] && waits[2] > waits[1] && waits[1] > 300.0, "{waits:?}");
}

#[test]
fn a_late_first_token_delays_those_behind_it() {
    let mut engine = engine();
    engine.record_sent(START, origin(1), 3_000);
    engine.record_sent(START, origin(2), 3_000);
    let expected = engine.backlog_ms(at(100));
    // The first was expected after some 130 ms.
    engine.record_first_token(at(600), origin(1));
    assert!(engine.backlog_ms(at(600)) > 50.0);
    assert!(expected < 150.0, "{expected}");
}

#[test]
fn what_is_never_heard_of_again_is_forgotten() {
    let mut engine = engine();
    engine.record_sent(START, origin(1), 30_000);
    engine.prune(at(10_000), |_| false);
    assert_eq!(engine.queued(), 0);
    assert!(engine.backlog_ms(at(10_000)) < 1.0);
}

#[test]
fn requests_of_a_peer_that_is_gone_are_forgotten() {
    let mut engine = engine();
    engine.record_sent(START, AttemptKey { instance: 2, attempt: 1 }, 3_000);
    engine.record_sent(START, origin(1), 3_000);
    engine.prune(START, |instance| instance == 2);
    assert_eq!(engine.queued(), 1);
}
