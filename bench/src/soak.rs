//! A randomized soak of real processes: faults come from outside them, in series and
//! overlapping, and the promises are checked from what callers and backend servers see.
//!
//! A seed fixes the faults and the requests, not the order in which processes run.

mod callers;
mod check;
mod plan;

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

pub use callers::{Kind, Record};
pub use check::Violation;
pub use plan::Fault;

use crate::{
    Fleet,
    fleet::{self, ANY},
};
use plan::Site;

/// How to soak.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's binary.
    pub binary: PathBuf,
    /// What the faults and requests follow from.
    pub seed: u64,
    /// How long faults come.
    pub within: Duration,
    /// Instances.
    pub instances: usize,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that were answered by a server.
    pub answered: usize,
    /// Requests that were refused as not run.
    pub refused: usize,
    /// Faults that were injected, with their time in milliseconds.
    pub faults: Vec<(u128, Fault)>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// The instances' logs, where a promise was broken.
    pub logs: Vec<(String, String)>,
}

/// The fleet has this long to recover once the faults have ended.
const RECOVERS_WITHIN: Duration = Duration::from_secs(12);

/// Requests that are sent after that, all of which have to be answered.
const LAST_REQUESTS: usize = 24;

/// Callers at a time.
const CALLERS: u64 = 16;

/// Everything that callers saw.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger(Arc<Mutex<Vec<Record>>>);

impl Ledger {
    pub(crate) fn add(&self, record: Record) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    fn records(&self) -> Vec<Record> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Runs the fleet through faults and checks its promises.
///
/// # Errors
///
/// Where a port or a file cannot be had.
pub async fn run(options: Options) -> io::Result<Outcome> {
    let size = fleet::Options {
        binary: options.binary.clone(),
        instances: options.instances,
        apps: 3,
        engines: 3,
    };
    let mut site = Site::new(Fleet::start(size).await?).await?;
    let ledger = Ledger::default();
    let start = Instant::now();
    let until = start + options.within;
    let callers: Vec<SocketAddr> = site.fleet.instances.iter().map(|it| it.caller).collect();
    let calling: Vec<_> = (0..CALLERS)
        .map(|number| {
            let seed = options.seed.wrapping_mul(CALLERS + 1).wrapping_add(number);
            tokio::spawn(callers::call(number, seed, callers.clone(), until, ledger.clone()))
        })
        .collect();
    let mut outcome = Outcome::default();
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    for (at, fault) in plan::faults(&mut rng, options.within, options.instances) {
        sleep_until(start + at).await;
        outcome.faults.push((at.as_millis(), fault));
        site.inject(fault).await?;
        outcome.violations.extend(check::ended_by_themselves(&mut site));
    }
    for calling in calling {
        // A caller that panicked would have been a fault of the soak.
        calling.await.map_err(io::Error::other)?;
    }
    site.heal().await?;
    outcome.violations.extend(recovered(&site, &callers, &ledger).await);
    outcome.violations.extend(check::ended_by_themselves(&mut site));
    let records = ledger.records();
    let servers: Vec<&Server> = site.all_servers().collect();
    outcome.violations.extend(check::records(&records, &servers));
    outcome.requests = records.len();
    outcome.answered = records.iter().filter(|it| it.is_sealed).count();
    outcome.refused = records.iter().filter(|it| it.says_not_run()).count();
    if !outcome.violations.is_empty() {
        let logs = site.fleet.instances.iter().map(|it| (it.name.clone(), it.log()));
        outcome.logs = logs.collect();
    }
    Ok(outcome)
}

/// Once all faults have ended, every instance serves every kind of request again, under the
/// last configuration.
async fn recovered(site: &Site, callers: &[SocketAddr], ledger: &Ledger) -> Vec<Violation> {
    let until = Instant::now() + RECOVERS_WITHIN;
    let mut failed = Vec::new();
    for at in 0..LAST_REQUESTS {
        let caller = callers[at % callers.len()];
        let kind = Kind::ALL[at % Kind::ALL.len()];
        let mut tries = 0;
        loop {
            tries += 1;
            let attempt = format!("last-{at}-{tries}");
            let record = callers::once(caller, kind, attempt, site.document_version()).await;
            let is_good = record.status == 200 && record.is_whole;
            ledger.add(record);
            if is_good {
                break;
            }
            if Instant::now() > until {
                failed.push(Violation::NotRecovered { caller, kind });
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    failed
}

impl Site {
    async fn new(fleet: Fleet) -> io::Result<Site> {
        let mut relays = Vec::new();
        for server in &fleet.servers {
            let relay = Relay::start(ANY, server.address()).await?;
            server.register_at(&fleet.store, relay.address(), "ready");
            relays.push(relay);
        }
        let site = Site { fleet, relays, gone: Vec::new(), version: 1, paused: Vec::new() };
        // What instances knew of the servers before is replaced by then.
        tokio::time::sleep(Duration::from_millis(500)).await;
        Ok(site)
    }

    fn document_version(&self) -> u64 {
        self.version
    }

    fn all_servers(&self) -> impl Iterator<Item = &Server> {
        self.fleet.servers.iter().chain(&self.gone)
    }
}

/// A configuration with a route of its own, so that callers can tell whether it is in force.
pub(crate) fn configuration(version: u64) -> serde_json::Value {
    let mut document = document::standard(version);
    let own = document::route(&format!("v{version}"), "idempotent", "app", 2, 2_000);
    if let Some(routes) = document["routes"].as_array_mut() {
        routes.push(own);
    }
    document
}
