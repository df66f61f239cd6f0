//! One measured run.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use serde::Serialize;
use sl_base::listing::ListedInstance;
use sl_config::settings::SharePolicy;
use stand_ins::{Kind, Relay};
use strum::{Display, EnumString};
use tokio::time::Instant;

use crate::{
    Fleet, Site, fleet,
    measure::{
        gap,
        load::{COST_MAX, Load, Seen},
        process::{Usage, usage},
        scrape::Traffic,
    },
};

/// How long the fleet runs under load before it is measured.
const WARM_UP: Duration = Duration::from_secs(6);
/// How often utilisation is sampled.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Samples between two samples of the gap.
const SAMPLES_A_GAP: usize = 10;
/// The place of the instance that a fault strikes.
const STRUCK: usize = 1;
/// How long the fleet may take to get ready.
const READY_WITHIN: Duration = Duration::from_secs(20);
/// When, of the measured time, the fault begins and ends.
const FAULT_FROM: f64 = 0.3;
const FAULT_TO: f64 = 0.6;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The `sesamelock` binary.
    pub binary: PathBuf,
    /// Which site: its pool of model engines is kept backlogged.
    pub site: SiteName,
    /// How slots are shared.
    pub policy: SharePolicy,
    /// The tolerance between teams, in units.
    pub tolerance_units: u64,
    /// Milliseconds between two exchanges.
    pub exchange_ms: u64,
    /// What goes wrong.
    pub fault: Fault,
    /// Seed of the load.
    pub seed: u64,
    /// Seconds that are measured.
    pub seconds: u64,
}

/// The users' sites.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum SiteName {
    /// Bragdy Cymunedol Te Byw.
    #[default]
    TeByw,
    /// Tasman Highlands Water and Parks Authority.
    Tasman,
}

/// What goes wrong for a while in the middle of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// One instance is killed and started again.
    Kill,
    /// One instance stands still and goes on.
    Pause,
    /// The platform is down.
    PlatformDown,
    /// One backend server refuses connections.
    ServerDown,
    /// No peer reaches one instance, though it reaches them.
    Cut,
}

/// What a run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    site: SiteName,
    policy: String,
    fault: Fault,
    seed: u64,
    seconds: u64,
    tolerance_units: u64,
    exchange_ms: u64,
    gap_bound_units: f64,
    gap_max_units: f64,
    gap_end_units: f64,
    gap_over_time_units: Vec<f64>,
    utilisation_percent: f64,
    utilisation_least_second_percent: f64,
    utilisation_after_fault_percent: f64,
    recovered_within_seconds: Option<f64>,
    tokens_per_second: f64,
    peer_sent_bytes_per_second: PerInstance,
    peer_frames_per_second: PerInstance,
    platform_bytes_per_second: PerInstance,
    platform_calls_per_second: PerInstance,
    cpu_percent_of_a_core: PerInstance,
    resident_mib: PerInstance,
    first_byte_ms: Quantiles,
    between_tokens_us: Quantiles,
    answers_by_code: std::collections::BTreeMap<u16, u64>,
}

/// A figure of all instances.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct PerInstance {
    mean: f64,
    max: f64,
}

/// Quantiles of a histogram.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Quantiles {
    p50: u64,
    p95: u64,
    p99: u64,
}

struct Reading {
    at: Instant,
    traffic: Vec<Traffic>,
    usage: Vec<Usage>,
    ids: Vec<Option<u32>>,
}

/// Starts the site, loads it, measures, and takes it down.
///
/// # Errors
///
/// [`fleet::Error`] where the site does not come up.
pub async fn run(options: &Options) -> Result<Figures, fleet::Error> {
    let site = match options.site {
        SiteName::TeByw => Site::te_byw(),
        SiteName::Tasman => Site::tasman(),
    };
    let path = match options.site {
        SiteName::TeByw => "/v1/chat/completions",
        SiteName::Tasman => "/overdue/parties",
    };
    let mut start = fleet::Options::new(&options.binary, site);
    start.seed = options.seed;
    start.more = format!(
        "[periods]\nexchange-period-ms = {}\n\n[sharing]\npolicy = {}\ntolerance-units = {}\n",
        options.exchange_ms, options.policy, options.tolerance_units
    );
    let (mut fleet, relay) = bring_up(start).await?;
    let pool = fleet.site.servers[0].pool.clone();
    let load = Load::start(&fleet, path, options.seed)?;
    tokio::time::sleep(WARM_UP).await;

    let measured = watch(options, &mut fleet, &relay, &load, &pool).await;
    let seen = load.end().await;
    let seen = seen.lock().await;
    Ok(figures(options, &fleet.site, &pool, &measured, &seen))
}

/// Starts the site; peers reach the instance that a fault strikes through a relay.
async fn bring_up(options: fleet::Options) -> Result<(Fleet, Relay), fleet::Error> {
    let mut fleet = Fleet::prepare(options).await?;
    let text = fleet.site.text();
    fleet.accept(&text).await?;
    let struck = &fleet.instances[STRUCK];
    let relay = Relay::start(SocketAddr::from(([127, 0, 0, 1], 0)), struck.control).await?;
    fleet.platform.list_instance(ListedInstance { control: relay.address(), ..struck.listed() });
    for instance in &mut fleet.instances {
        instance.start()?;
    }
    fleet.ready(READY_WITHIN).await?;
    Ok((fleet, relay))
}

/// What was sampled while the load ran.
struct Measured {
    before: Reading,
    after: Reading,
    gaps: Vec<f64>,
    busy: Vec<f64>,
    tokens: u64,
}

async fn watch(
    options: &Options,
    fleet: &mut Fleet,
    relay: &Relay,
    load: &Load,
    pool: &str,
) -> Measured {
    let shares: Vec<u32> = fleet.site.teams.iter().map(|it| it.1).collect();
    let (slots, _) = capacity(&fleet.site, pool);
    let before = read(fleet).await;
    let from = load.tokens();
    let mut gaps = Vec::new();
    let mut busy = Vec::new();
    let mut fault = FaultState::Before;
    let end = before.at + Duration::from_secs(options.seconds);
    while Instant::now() < end {
        tokio::time::sleep(SAMPLE_PERIOD).await;
        busy.push(running(fleet, pool) as f64 / slots as f64);
        if busy.len() % SAMPLES_A_GAP == 0 {
            gaps.push(gap::at(&from, &load.tokens(), &shares));
        }
        let passed = before.at.elapsed().as_secs_f64() / options.seconds as f64;
        fault = fault.go_on(passed, options.fault, fleet, relay).await;
    }
    let after = read(fleet).await;
    let tokens = load.tokens().iter().sum::<u64>() - from.iter().sum::<u64>();
    Measured { before, after, gaps, busy, tokens }
}

fn figures(options: &Options, site: &Site, pool: &str, it: &Measured, seen: &Seen) -> Figures {
    let span = (it.after.at - it.before.at).as_secs_f64();
    let shares: Vec<u32> = site.teams.iter().map(|it| it.1).collect();
    let (slots, rate) = capacity(site, pool);
    let period = options.exchange_ms as f64 / MILLIS_PER_SECOND;
    let traffic = |pick: fn(&Traffic) -> f64| between(&it.before, &it.after, span, pick);
    Figures {
        site: options.site,
        policy: options.policy.to_string(),
        fault: options.fault,
        seed: options.seed,
        seconds: options.seconds,
        tolerance_units: options.tolerance_units,
        exchange_ms: options.exchange_ms,
        gap_bound_units: gap::bound(COST_MAX, rate, slots, &shares, period),
        gap_max_units: it.gaps.iter().copied().fold(0.0, f64::max),
        gap_end_units: it.gaps.last().copied().unwrap_or(0.0),
        gap_over_time_units: it.gaps.iter().step_by(SAMPLES_A_GAP).map(|it| it.round()).collect(),
        utilisation_percent: mean(&it.busy) * PERCENT,
        utilisation_least_second_percent: least_second(&it.busy) * PERCENT,
        utilisation_after_fault_percent: mean(after_fault(&it.busy)) * PERCENT,
        recovered_within_seconds: recovered(after_fault(&it.busy)),
        tokens_per_second: it.tokens as f64 / span,
        peer_sent_bytes_per_second: traffic(|it| it.peer_sent),
        peer_frames_per_second: traffic(|it| it.peer_frames),
        platform_bytes_per_second: traffic(|it| it.platform),
        platform_calls_per_second: traffic(|it| it.platform_calls),
        cpu_percent_of_a_core: cpu(&it.before, &it.after, span),
        resident_mib: PerInstance::of(it.after.usage.iter().map(|it| it.resident as f64 / MIB)),
        first_byte_ms: Quantiles::of(&seen.first_byte),
        between_tokens_us: Quantiles::of(&seen.between),
        answers_by_code: seen.codes.clone(),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultState {
    Before,
    During,
    After,
}

impl FaultState {
    async fn go_on(
        self,
        passed: f64,
        fault: Fault,
        fleet: &mut Fleet,
        relay: &Relay,
    ) -> FaultState {
        match self {
            FaultState::Before if passed >= FAULT_FROM => {
                begin(fault, fleet, relay).await;
                FaultState::During
            }
            FaultState::During if passed >= FAULT_TO => {
                heal(fault, fleet, relay).await;
                FaultState::After
            }
            other => other,
        }
    }
}

async fn begin(fault: Fault, fleet: &mut Fleet, relay: &Relay) {
    match fault {
        Fault::None => {}
        Fault::Cut => relay.silence(),
        Fault::Kill => fleet.instances[STRUCK].kill(),
        Fault::Pause => fleet.instances[STRUCK].signal(nix::sys::signal::Signal::SIGSTOP),
        Fault::PlatformDown => {
            let down = stand_ins::platform::Fault { down: true, ..Default::default() };
            fleet.platform.fault(down).await;
        }
        Fault::ServerDown => {
            let name = fleet.site.servers[0].name.clone();
            let refuse = stand_ins::backends::Fault { refuse: true, ..Default::default() };
            fleet.backends.fault_at(&name, refuse).await;
        }
    }
}

async fn heal(fault: Fault, fleet: &mut Fleet, relay: &Relay) {
    match fault {
        Fault::None => {}
        Fault::Cut => relay.heal(),
        Fault::Kill => {
            // A binary that ran once runs again; were it gone, the figures would show it.
            let _ = fleet.instances[STRUCK].start();
        }
        Fault::Pause => fleet.instances[STRUCK].signal(nix::sys::signal::Signal::SIGCONT),
        Fault::PlatformDown => fleet.platform.fault(Default::default()).await,
        Fault::ServerDown => {
            let name = fleet.site.servers[0].name.clone();
            fleet.backends.fault_at(&name, Default::default()).await;
        }
    }
}

async fn read(fleet: &Fleet) -> Reading {
    let mut traffic = Vec::new();
    for at in 0..fleet.instances.len() {
        let page = fleet.metrics(at).await.unwrap_or_default();
        traffic.push(Traffic::of(&page));
    }
    let ids: Vec<Option<u32>> = fleet.instances.iter().map(|it| it.id()).collect();
    let usage = ids.iter().map(|id| id.map(usage).unwrap_or_default()).collect();
    Reading { at: Instant::now(), traffic, usage, ids }
}

/// The rate of a counter, of the instances that lived throughout.
fn between(before: &Reading, after: &Reading, span: f64, pick: fn(&Traffic) -> f64) -> PerInstance {
    let pairs = before.traffic.iter().zip(&after.traffic).zip(before.ids.iter().zip(&after.ids));
    let lived = pairs.filter(|(_, (a, b))| a == b);
    PerInstance::of(lived.map(|((a, b), _)| (pick(b) - pick(a)) / span))
}

fn cpu(before: &Reading, after: &Reading, span: f64) -> PerInstance {
    let pairs = before.usage.iter().zip(&after.usage).zip(before.ids.iter().zip(&after.ids));
    let lived = pairs.filter(|(_, (a, b))| a == b);
    let percent = |(a, b): (&Usage, &Usage)| (b.cpu_seconds - a.cpu_seconds) / span * PERCENT;
    PerInstance::of(lived.map(|(it, _)| percent(it)))
}

fn running(fleet: &Fleet, pool: &str) -> u32 {
    let servers = fleet.backends.servers();
    servers.iter().filter(|it| it.listed.pool == pool).map(|it| it.running).sum()
}

/// Slots of a pool, and the tokens a second that they give.
fn capacity(site: &Site, pool: &str) -> (u64, u64) {
    let servers = site.servers.iter().filter(|it| it.pool == pool);
    servers.fold((0, 0), |(slots, rate), it| {
        let own = u64::from(it.slots);
        let speed = match it.kind {
            Kind::Engine { tokens_per_second, .. } => u64::from(tokens_per_second),
            Kind::Plain { .. } => 0,
        };
        (slots + own, rate + own * speed)
    })
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The samples since the fault's end.
fn after_fault(busy: &[f64]) -> &[f64] {
    let end = (busy.len() as f64 * FAULT_TO) as usize;
    &busy[end.min(busy.len())..]
}

/// Seconds until the first second in which the servers were as busy as they should be.
fn recovered(busy: &[f64]) -> Option<f64> {
    let mut seconds = busy.windows(SAMPLES_A_SECOND);
    let first = seconds.position(|it| mean(it) >= UTILISATION_AIM)?;
    Some((first + SAMPLES_A_SECOND) as f64 / SAMPLES_A_SECOND as f64)
}

fn least_second(busy: &[f64]) -> f64 {
    busy.chunks_exact(SAMPLES_A_SECOND).map(mean).fold(1.0, f64::min)
}

impl PerInstance {
    fn of(values: impl Iterator<Item = f64>) -> PerInstance {
        let values: Vec<f64> = values.collect();
        PerInstance { mean: mean(&values), max: values.iter().copied().fold(0.0, f64::max) }
    }
}

impl Quantiles {
    fn of(histogram: &hdrhistogram::Histogram<u64>) -> Quantiles {
        Quantiles {
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
        }
    }
}

const PERCENT: f64 = 100.0;
const SAMPLES_A_SECOND: usize = 20;
/// The share of slots that should be busy while work waits.
const UTILISATION_AIM: f64 = 0.97;
const MIB: f64 = 1_048_576.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;
