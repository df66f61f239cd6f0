//! Tests of the burn report.

mod burn;
mod record;
mod render;

use std::sync::Arc;

use sl_base::{Millis, PoolId, Revision, TeamId, Timestamp};
use sl_config::{Config, Cost, KeyRule, Policy, Route, Team, Template, template::Objective};
use sl_report::{Options, Recorder};

const START: Timestamp = Timestamp::from_micros(1_000_000_000_000);

fn recorder(instance: &str, from: Timestamp) -> Recorder {
    Recorder::new(Options { instance: instance.to_owned(), from, series_max: 8 })
}

/// One team `office` with a route `chat`: 90 % within 1 s, 99 % answered.
fn config() -> Config {
    let policy = Policy {
        pool: PoolId::of("drafting"),
        idempotent: true,
        key: KeyRule::Optional,
        order: 0,
        cost: Cost::Tokens,
        hint: 1,
        queue_within: Millis(1),
        first_byte_within: Millis(1),
        idle_within: Millis(1),
        total_within: Millis(1),
        retries: 0,
    };
    let objective =
        Objective { first_byte_within: Millis(1_000), latency_ppm: 900_000, answered_ppm: 990_000 };
    let route = Route {
        name: "chat".to_owned(),
        path: "/chat".to_owned(),
        methods: Vec::new(),
        pool: "drafting".to_owned(),
        policy,
        body_max: 1,
        objective: Some(objective),
    };
    let team = Team {
        name: "office".to_owned(),
        id: TeamId::of("office"),
        share: 1,
        credentials: Vec::new(),
        queue_max: 1,
        queue_bytes_max: 1,
    };
    let template = Template { name: "all".to_owned(), routes: vec![route], teams: vec![team] };
    Config::new(Revision(1), vec![Arc::new(template)])
}
