//! A randomized soak test of real processes. Faults, some of which overlap, are injected from
//! outside the processes, and the guarantees of the product are checked on what callers and
//! backend servers observe.
//!
//! A seed determines the faults and the requests, but not the scheduling of the processes.

pub(crate) mod callers;
pub(crate) mod check;
pub(crate) mod plan;

use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use stand_ins::{Relay, Server, document};
use tokio::time::{Instant, sleep_until};

pub use callers::{Kind, Record, Resumed};
pub use check::Violation;
pub use plan::Fault;

use crate::{
    Fleet,
    fleet::{self, ANY_PORT},
};
use plan::Testbed;

/// Options of a soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `sesamelock` binary.
    pub binary: PathBuf,
    /// Seed of the faults and of the requests.
    pub seed: u64,
    /// How long faults are injected.
    pub fault_duration: Duration,
    /// Number of instances.
    pub instances: usize,
}

/// The result of a soak.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests with a response that is sealed by a server.
    pub answered: usize,
    /// Number of requests that were refused as not run.
    pub refused: usize,
    /// Injected faults, each with its scheduled time in milliseconds from the start.
    pub faults: Vec<(u128, Fault)>,
    /// Violations of guarantees.
    pub violations: Vec<Violation>,
    /// Names and logs of the instances; empty if there are no violations.
    pub logs: Vec<(String, String)>,
}

/// How long the fleet may take to recover once the faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// How long after the demand requests may still arrive in an evacuated data centre: `evacuate_ms` of
/// docs/work-2026-12-04.md.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Number of requests that are sent once the faults have ended, and that all have to succeed.
const FINAL_REQUESTS: usize = 24;

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 16;

/// The records of all callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordLog(Arc<Mutex<Vec<Record>>>);

impl RecordLog {
    pub(crate) fn add(&self, record: Record) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    fn all(&self) -> Vec<Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Runs a fleet under faults and checks its guarantees.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started, an instance cannot be restarted or does
/// not stop in time, or the task of a caller panics.
pub async fn run(options: Options) -> io::Result<Outcome> {
    let fleet_options = fleet::Options {
        binary: options.binary.clone(),
        instances: options.instances,
        apps: 3,
        engines: 3,
    };
    let mut testbed = Testbed::new(Fleet::start(fleet_options).await?).await?;
    let record_log = RecordLog::default();
    let start = Instant::now();
    let deadline = start + options.fault_duration;
    let caller_addresses: Vec<SocketAddr> =
        testbed.fleet.instances.iter().map(|it| it.caller).collect();
    let tasks: Vec<_> = (0..CALLER_COUNT)
        .map(|caller_number| {
            let seed = options.seed.wrapping_mul(CALLER_COUNT + 1).wrapping_add(caller_number);
            tokio::spawn(callers::call(
                caller_number,
                seed,
                caller_addresses.clone(),
                deadline,
                record_log.clone(),
            ))
        })
        .collect();
    let mut outcome = Outcome::default();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    for (at, fault) in plan::faults(&mut rng, options.fault_duration, options.instances) {
        sleep_until(start + at).await;
        outcome.faults.push((at.as_millis(), fault));
        testbed.inject(fault).await?;
        outcome.violations.extend(check::exited_instances(&mut testbed));
    }
    for task in tasks {
        // A panic in the task of a caller is a bug in the soak itself.
        task.await.map_err(io::Error::other)?;
    }
    testbed.end_all_faults().await?;
    let recovered = check_recovery(&testbed, &caller_addresses, &record_log, "last").await;
    outcome.violations.extend(recovered);
    outcome.violations.extend(check_evacuation(&mut testbed, &caller_addresses, &record_log).await);
    outcome.violations.extend(check::exited_instances(&mut testbed));
    let records = record_log.all();
    let servers: Vec<&Server> = testbed.all_servers().collect();
    outcome.violations.extend(check::records(&records, &servers));
    outcome.requests = records.len();
    outcome.answered = records.iter().filter(|it| it.is_sealed).count();
    outcome.refused = records.iter().filter(|it| it.reports_not_run()).count();
    if !outcome.violations.is_empty() {
        let logs = testbed.fleet.instances.iter().map(|it| (it.name.clone(), it.log()));
        outcome.logs = logs.collect();
    }
    Ok(outcome)
}

/// Checks that nothing is sent to an evacuated data centre once the bound has passed, and that the
/// other servers serve every kind of request meanwhile.
async fn check_evacuation(
    testbed: &mut Testbed,
    caller_addresses: &[SocketAddr],
    record_log: &RecordLog,
) -> Vec<Violation> {
    testbed.set_evacuated(true);
    tokio::time::sleep(EVACUATION_BOUND).await;
    let since = std::time::Instant::now();
    let mut violations = check_recovery(testbed, caller_addresses, record_log, "evacuated").await;
    let evacuated =
        testbed.all_servers().filter(|it| it.spec.data_centre == plan::EVACUATED_DATA_CENTRE);
    for server in evacuated {
        let arrivals = server.arrivals().into_iter().chain(server.cache_lists());
        let requests = arrivals.filter(|it| *it >= since).count();
        if requests > 0 {
            let server = server.spec.id.clone();
            violations.push(Violation::SentToEvacuated { server, requests });
        }
    }
    violations
}

/// Checks that every instance serves every kind of request under the latest configuration
/// once all faults have ended. The ids of the attempts begin with `prefix`.
async fn check_recovery(
    testbed: &Testbed,
    caller_addresses: &[SocketAddr],
    record_log: &RecordLog,
    prefix: &str,
) -> Vec<Violation> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    let mut violations = Vec::new();
    for i in 0..FINAL_REQUESTS {
        let caller = caller_addresses[i % caller_addresses.len()];
        let kind = Kind::ALL[i % Kind::ALL.len()];
        let mut tries = 0;
        loop {
            tries += 1;
            let attempt_id = format!("{prefix}-{i}-{tries}");
            let record =
                callers::call_once(caller, kind, attempt_id, testbed.config_version()).await;
            let is_served = record.status == 200 && record.is_complete;
            record_log.add(record);
            if is_served {
                break;
            }
            if Instant::now() > deadline {
                violations.push(Violation::NotRecovered { caller, kind });
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    violations
}

impl Testbed {
    async fn new(mut fleet: Fleet) -> io::Result<Testbed> {
        for server in fleet.servers.iter_mut().skip(1).step_by(2) {
            server.spec.data_centre = plan::EVACUATED_DATA_CENTRE.to_owned();
        }
        Testbed::with_relays(fleet).await
    }

    /// Registers all servers of the fleet under the addresses of relays to them.
    pub(crate) async fn with_relays(fleet: Fleet) -> io::Result<Testbed> {
        let mut server_relays = Vec::new();
        for server in &fleet.servers {
            let relay = Relay::start(ANY_PORT, server.address()).await?;
            server.register_at(&fleet.store, relay.address(), "ready");
            server_relays.push(relay);
        }
        let testbed = Testbed {
            fleet,
            server_relays,
            replaced_servers: Vec::new(),
            config_version: 1,
            paused: Vec::new(),
            is_evacuated: false,
            backup: None,
        };
        // Gives the instances time to replace the server addresses that they already know by
        // those of the relays.
        tokio::time::sleep(Duration::from_millis(500)).await;
        Ok(testbed)
    }

    fn config_version(&self) -> u64 {
        self.config_version
    }

    pub(crate) fn all_servers(&self) -> impl Iterator<Item = &Server> {
        self.fleet.servers.iter().chain(&self.replaced_servers)
    }
}

/// What the configuration states of cold servers.
const WARMUP_S: f64 = 3.0;
const WARMUP_PER_S: f64 = 6.6;

/// A configuration with a route that is named after its version, so that callers can tell
/// whether the version is in force.
pub(crate) fn configuration(config_version: u64) -> serde_json::Value {
    let mut document = document::standard(config_version);
    document = document::with_warmup(document, WARMUP_S, WARMUP_PER_S);
    let version_route =
        document::route(&format!("v{config_version}"), "idempotent", "app", 2, 2_000);
    let talk_route = document::route("talk", "streaming", "long", 1, 12_000);
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.extend([version_route, talk_route]);
    }
    if let Some(services) = document["services"].as_array_mut() {
        let long = services.iter().find(|it| it["name"] == "model").cloned();
        services.extend(long.map(|mut it| {
            it["name"] = "long".into();
            it
        }));
    }
    document
}
