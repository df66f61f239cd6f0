//! Fixtures: a reducer state, servers and requests.

use std::sync::Arc;

use sl_base::{Millis, RequestId, ServiceId, TeamId, Timestamp, WallClock};
use sl_route::{
    AllowedRegions, Arrival, AttemptEnd, Document, Effect, Event, Fault, Limits, Options, Prompt,
    PromptPart, Regions, RetryPolicy, Route, ServerRecord, ServerState, Service, State, Team,
    budget,
    document::{EngineLimits, WarmupLimits},
    effect::Target,
    event,
    warmup::WarmupBound,
};

pub const START: Timestamp = Timestamp::from_micros(1_000_000_000);
pub const DATA_CENTRE: &str = "here";

pub fn at(millis: u64) -> Timestamp {
    START.after(Millis(millis))
}

pub fn options(instance: u32) -> Options {
    let budget = budget::Options { ratio: 0.2, allowance: 160.0, window: Millis(10_000) };
    Options {
        instance,
        data_centre: DATA_CENTRE.to_owned(),
        regions: Regions::default(),
        seed: 7,
        limits: event::InstanceLimits {
            budget,
            max_in_flight: 100,
            data_centre_cost_ms_per_mb: 0.0,
            warmup: WarmupBound::default(),
            balances_routes: true,
        },
        share_window: Millis(4_000),
        wall_clock: WallClock::default(),
    }
}

pub fn route(retry_policy: RetryPolicy, service: &str) -> Arc<Route> {
    Arc::new(Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        services: vec![(ServiceId::of(service), 1)],
        retry_policy,
        timeout: Millis(8_000),
        target_latency: Millis(1_000),
        max_attempts: 2,
        priority: 1,
        allows_anonymous: false,
        target_gap: None,
        allowed_regions: AllowedRegions::default(),
    })
}

pub const ENGINE: EngineLimits = EngineLimits {
    slots: 64,
    kv_capacity_tokens: 500_000,
    tokens_per_event: 6.0,
    fetch_ms_per_token: Some(0.001),
};

pub fn document(version: u64) -> Arc<Document> {
    document_with_warmup(version, None)
}

/// The same configuration, but servers of all services may be cold.
pub fn document_with_warmup(version: u64, warmup: Option<WarmupLimits>) -> Arc<Document> {
    let services = [("app", None), ("model", Some(ENGINE))].map(|(name, engine)| Service {
        name: name.to_owned(),
        max_connections: 100,
        engine,
        warmup,
        health_path: None,
    });
    let limits = Limits { tokens_per_s: Some(120_000.0), ..Limits::default() };
    Arc::new(Document::new(version, [], services, limits, []))
}

pub fn record(id: &str, service: &str) -> ServerRecord {
    ServerRecord {
        id: id.into(),
        started_at_ms: 1,
        service: ServiceId::of(service),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DATA_CENTRE.into(),
        version: None,
        slots: 6,
        state: ServerState::Ready,
        sequence: 1,
        warmup_left: Millis(0),
    }
}

/// A state with `servers`, given as pairs of id and service.
pub fn state(instance: u32, servers: &[(&str, &str)]) -> State {
    let mut state = State::new(options(instance), START);
    state.step(START, Event::Document(document(1)));
    for (id, service) in servers {
        state.step(START, Event::ServerListed(record(id, service)));
    }
    state
}

pub fn team(name: &str) -> Arc<Team> {
    let allowed_regions = AllowedRegions::default();
    Arc::new(Team { name: name.to_owned(), id: TeamId::of(name), priority: 1, allowed_regions })
}

/// A prompt with one part that other prompts may share and one part of its own.
pub fn prompt(shared: &str, shared_tokens: u32, own: &str, own_tokens: u32) -> Prompt {
    Prompt {
        parts: vec![
            PromptPart::new("m", shared, shared_tokens),
            PromptPart::new("m", own, own_tokens),
        ],
        input_tokens: shared_tokens + own_tokens,
        max_output_tokens: 100,
        expected_output_tokens: None,
    }
}

pub fn arrival(
    now: Timestamp,
    number: u64,
    retry_policy: RetryPolicy,
    prompt: Option<Prompt>,
) -> Arrival {
    let service = if prompt.is_some() { "model" } else { "app" };
    Arrival {
        request: RequestId(number),
        route: route(retry_policy, service),
        service: ServiceId::of(service),
        team: Some(team("t")),
        arrived_at: now,
        caller_deadline: now.after(Millis(8_000)),
        prompt,
        body_bytes: 2_000,
        fingerprint: number,
        stream: None,
    }
}

pub fn arrive(state: &mut State, now: Timestamp, arrival: Arrival) -> Vec<Effect> {
    state.step(now, Event::RequestArrived(Box::new(arrival)))
}

pub fn fail_attempt(state: &mut State, now: Timestamp, number: u64, fault: Fault) -> Vec<Effect> {
    let end = AttemptEnd::Failed { fault, is_partially_delivered: false };
    state.step(now, Event::AttemptEnded { request: RequestId(number), end })
}

pub fn complete(state: &mut State, now: Timestamp, number: u64) -> Vec<Effect> {
    let request = RequestId(number);
    state.step(now, Event::ResponseStarted { request });
    state.step(
        now,
        Event::AttemptEnded {
            request,
            end: AttemptEnd::Completed { status: 200, event_interval_micros: None },
        },
    )
}

/// The target of the first send effect.
pub fn sent_target(effects: &[Effect]) -> Option<&Target> {
    effects.iter().find_map(|it| match it {
        Effect::Send { target, .. } => Some(target),
        _ => None,
    })
}

/// The effects that concern requests.
pub fn request_effects(effects: Vec<Effect>) -> Vec<Effect> {
    let is_on_request = |it: &Effect| {
        !matches!(it, Effect::Log(_) | Effect::ListCache { .. } | Effect::CheckHealth { .. })
    };
    effects.into_iter().filter(is_on_request).collect()
}
