//! The instances and engines of a simulation, and what the configuration says of them.

use std::{net::SocketAddr, sync::Arc};

use sl_base::{Millis, ServiceId, Timestamp, WallClock};
use sl_route::{
    AllowedRegions, Document, Event, Limits, Regions, RetryPolicy, Route, ServerRecord,
    ServerState, Service, State, budget, document::EngineLimits, event, warmup::WarmupBound,
};

use super::{
    cache::KV_CAPACITY_TOKENS,
    engine::{SLOTS, TOKENS_PER_EVENT, TRANSFER_MS_PER_TOKEN},
    options::Options,
    processor::Processor,
    step_engine,
    traffic::Load,
};

/// Name of the service to which the engines belong.
pub(super) const SERVICE: &str = "model";

/// Name of the service of other requests than model requests. Loads list no servers of it.
pub(super) const PLAIN_SERVICE: &str = "plain";

/// Prompt tokens that engines process per millisecond. The fastest engines are more than twice
/// as fast as the slowest.
const ENGINE_TOKENS_PER_MS: [f64; 3] = [34.0, 34.0, 82.0];

/// Time at which a simulation starts.
pub(super) const START: Timestamp = Timestamp::from_micros(1_000_000);

/// Prompt tokens that the engine processes per millisecond.
pub(super) fn engine_tokens_per_ms(load: Load, engine: usize) -> f64 {
    if load.has_step_engines() {
        return step_engine::TOKENS_PER_MS;
    }
    ENGINE_TOKENS_PER_MS[engine % ENGINE_TOKENS_PER_MS.len()]
}

/// The number of tokens in each event of a stream.
pub(super) fn tokens_per_event(load: Load) -> u32 {
    if load.has_step_engines() { step_engine::TOKENS_PER_EVENT } else { TOKENS_PER_EVENT }
}

fn document(options: Options) -> Document {
    let slots = options.policy.slot_limit(SLOTS, options.instances as u32);
    let engine = EngineLimits {
        slots,
        kv_capacity_tokens: KV_CAPACITY_TOKENS,
        tokens_per_event: f64::from(tokens_per_event(options.load)),
        fetch_ms_per_token: options.load.has_transfers().then_some(TRANSFER_MS_PER_TOKEN),
    };
    let services = [(SERVICE, Some(engine)), (PLAIN_SERVICE, None)].map(|(name, engine)| Service {
        name: name.to_owned(),
        max_connections: 1_000,
        engine,
        warmup: None,
        health_path: None,
    });
    let total_tokens_per_ms: f64 =
        (0..options.engines).map(|it| engine_tokens_per_ms(options.load, it)).sum();
    let limits =
        Limits { tokens_per_s: Some(total_tokens_per_ms * 1_000.0 * 0.8), ..Limits::default() };
    Document::new(1, [], services, limits, [])
}

/// Index of the data centre that is evacuated in the load [`Load::Evacuated`].
pub(super) const EVACUATED_DATA_CENTRE: usize = 0;

/// The name of the data centre with this index.
pub(super) fn data_centre_name(data_centre: usize) -> Arc<str> {
    format!("dc-{data_centre}").into()
}

/// The engine at an address.
pub(super) fn engine_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// The entry of an engine.
pub(super) fn record(options: Options, engine: usize) -> ServerRecord {
    ServerRecord {
        id: format!("e{engine}").into(),
        started_at_ms: 1,
        service: ServiceId::of(SERVICE),
        address: ([10, 0, 0, 1], engine as u16 + 1).into(),
        data_centre: data_centre_name(options.data_centre(engine)),
        version: None,
        slots: SLOTS,
        state: ServerState::Ready,
        sequence: 1,
        warmup_left: Millis(0),
    }
}

/// Cores of the instances of a data centre, in turn: some are large, and most are small.
const CORES: [f64; 8] = [0.5, 0.3, 0.09, 0.09, 0.09, 0.09, 0.09, 0.09];

/// Cores of the largest instances.
const CORES_MAX: f64 = 0.5;

/// The processors of all instances, if their work takes time.
pub(super) fn processors(options: Options) -> Vec<Processor> {
    let count = options.processor.map_or(0, |_| options.instances);
    let cores = |instance| CORES[instance / options.data_centres % CORES.len()];
    (0..count).map(|it| Processor::new(START, cores(it), CORES_MAX)).collect()
}

/// An instance that knows all engines.
pub(super) fn instance(options: Options, index: usize) -> State {
    let budget = budget::Options { ratio: 0.2, allowance: 160.0, window: Millis(10_000) };
    let mut state = State::new(
        sl_route::Options {
            instance: index as u32,
            data_centre: data_centre_name(options.data_centre(index)).to_string(),
            regions: Regions::default(),
            seed: options.seed ^ index as u64,
            limits: event::InstanceLimits {
                budget,
                max_in_flight: 10_000,
                data_centre_cost_ms_per_mb: options.data_centre_cost_ms_per_mb,
                warmup: WarmupBound::default(),
                balances_routes: options.balances_routes,
            },
            share_window: Millis(4_000),
            wall_clock: WallClock::default(),
        },
        START,
    );
    state.step(START, Event::Document(Arc::new(document(options))));
    for engine in 0..options.engines {
        state.step(START, Event::ServerListed(record(options, engine)));
    }
    state.step(START, Event::InstanceCount(options.instances));
    state
}

/// The route of a kind of request.
pub(super) fn route(load: Load, kind: usize) -> Arc<Route> {
    let kind = load.kinds()[kind];
    Arc::new(Route {
        name: kind.name.to_owned(),
        host: "h".to_owned(),
        prefix: format!("/{}", kind.name),
        services: vec![(ServiceId::of(SERVICE), 1)],
        retry_policy: if load.has_transfers() {
            RetryPolicy::ResumableStream
        } else {
            RetryPolicy::Stream
        },
        timeout: kind.timeout,
        target_latency: kind.target_latency,
        max_attempts: 2,
        priority: 1,
        allows_anonymous: false,
        target_gap: None,
        allowed_regions: AllowedRegions::default(),
    })
}
