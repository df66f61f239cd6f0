//! Settings of one instance. `examples/settings.ini` shows every key with its default;
//! docs/OPERATIONS.md explains when to change a value.

mod read;

use std::net::SocketAddr;

use sl_base::{InstanceId, Millis};
use strum::{Display, EnumString, VariantNames};

pub use crate::raw::{Ratio, SeedInstance};

use crate::{fault::Faults, key::KeySource};

/// The checked settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, as listed by the platform.
    pub name: String,
    /// Data centre in which the instance runs.
    pub data_centre: String,
    /// CPU cores available to the instance, possibly a fraction of one. The instances with the
    /// most cores relay messages for the others.
    pub cores: Ratio,
    /// Seed of the random number generator behind routing decisions; drawn at start if absent.
    pub rng_seed: Option<u64>,
    /// Instances from which a starting instance fetches state if the platform does not respond.
    pub seed_instances: Vec<SeedInstance>,
    /// Listen addresses.
    pub listen: Listen,
    /// Access to the platform.
    pub platform: Platform,
    /// Control key and operator keys.
    pub keys: Keys,
    /// Limits on requests and file descriptors.
    pub bounds: Bounds,
    /// Timeouts.
    pub periods: Periods,
    /// Accounting of the teams' shares of engine capacity.
    pub sharing: Sharing,
    /// How servers are selected.
    pub placement: Placement,
    /// Data centres with their regions.
    pub regions: Vec<(String, String)>,
    /// Service-level objectives of the burn report.
    pub objectives: Objectives,
    /// Retry budget of the fleet for each service.
    pub retry_budget: RetryBudget,
    /// Limit on requests to cold servers.
    pub warmup: Warmup,
    /// Format and level of the log.
    pub log: Log,
}

/// Retry budget of the whole fleet for one service. In each window, it allows `ratio` times
/// the number of requests, plus `allowance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: Ratio,
    /// Retries allowed per window regardless of the number of requests; may be fractional.
    pub allowance: f64,
    /// Window over which requests and retries are counted.
    pub window: Millis,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { ratio: Ratio { ppm: 100_000 }, allowance: 10.0, window: Millis(10_000) }
    }
}

/// Limit on requests to a cold server: in each second, all instances together send it no more
/// than `overshoot` times the requests that its service states for cold servers, plus `allowance`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Warmup {
    /// Factor on the stated requests a second.
    pub overshoot: Ratio,
    /// Requests allowed in addition; may be fractional.
    pub allowance: f64,
}

impl Default for Warmup {
    fn default() -> Warmup {
        Warmup { overshoot: Ratio { ppm: 1_500_000 }, allowance: 5.0 }
    }
}

/// The addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers.
    pub caller: SocketAddr,
    /// For control messages of peer instances.
    pub control: SocketAddr,
    /// For notes, the gossip that peer instances send as UDP datagrams.
    pub notes: SocketAddr,
    /// For calls of operators.
    pub operator: SocketAddr,
    /// For metrics, liveness and readiness.
    pub metrics: SocketAddr,
}

/// Access to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the platform's store.
    pub address: String,
    /// The interval at which backend servers write their entries. An entry lapses after three of them.
    pub heartbeat: Millis,
}

/// Control key, by its location, and operator keys, by their hashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// Location of the key that all instances of the fleet share.
    pub control_key: KeySource,
    /// BLAKE3 hashes, in hex, of the accepted operator keys; more than one during key rotation.
    pub operator_key_hashes: Vec<String>,
}

/// Limits on requests and file descriptors of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of requests in flight; further requests are refused.
    pub max_in_flight: u32,
    /// Open files and connections that the operating system allows the process.
    pub max_descriptors: u32,
}

/// Timeouts of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Periods {
    /// How long a graceful shutdown waits for the last response.
    pub drain_timeout: Millis,
}

/// Time between the last response and the end of the process: the response is sent, the ports are
/// closed and the log is written.
const EXIT_TIME: Millis = Millis(600);

impl Periods {
    /// Periods for a platform that ends the process when `grace` has passed since SIGTERM.
    pub fn from_grace(grace: Millis) -> Periods {
        Periods { drain_timeout: Millis(grace.0.saturating_sub(EXIT_TIME.0)) }
    }

    /// The time between SIGTERM and the end of the process.
    pub fn grace(&self) -> Millis {
        Millis(self.drain_timeout.0 + EXIT_TIME.0)
    }
}

/// Accounting of the teams' shares of engine capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// Window over which the teams' use of engines is counted.
    pub window: Millis,
    /// How the routes of a service share engines that are too few for all.
    pub routes: RouteSharing,
}

/// How the routes of a service share engines that are too few for all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum RouteSharing {
    /// Each request is judged by itself, so that routes with large requests or short targets are
    /// refused most.
    Independent,
    /// No route is refused much more than the others of its priority. See
    /// docs/design/admission-balance.md.
    Balanced,
}

/// How servers are selected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Placement {
    /// Milliseconds of a caller's waiting time that one megabyte between data centres is worth. With
    /// 0 bytes cost nothing, and other data centres are charged the network time only.
    pub data_centre_cost_ms_per_mb: f64,
}

/// Service-level objectives of the burn report. The latency target is set for each route in
/// the configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objectives {
    /// Share of responses that must start within the route's latency target, in parts per
    /// million.
    pub latency_ppm: u32,
    /// Share of requests that a backend server must answer, in parts per million.
    pub answered_ppm: u32,
}

/// Format and level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// Format of the lines.
    pub format: LogFormat,
    /// Lowest level that is logged.
    pub level: LogLevel,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable lines.
    Terminal,
}

/// Lowest level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Conditions that need an operator.
    Error,
    /// Conditions that may come to need an operator.
    Warn,
    /// Changes of state.
    Info,
    /// Details for developers.
    Debug,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { max_in_flight: 2_000, max_descriptors: 1_024 }
    }
}

impl Default for Periods {
    fn default() -> Periods {
        Periods { drain_timeout: Millis(30_000) }
    }
}

impl Default for Sharing {
    fn default() -> Sharing {
        Sharing { window: Millis(4_000), routes: RouteSharing::Independent }
    }
}

impl Default for Objectives {
    fn default() -> Objectives {
        Objectives { latency_ppm: 950_000, answered_ppm: 990_000 }
    }
}

impl Default for Log {
    fn default() -> Log {
        Log { format: LogFormat::Json, level: LogLevel::Info }
    }
}

impl Settings {
    /// Parses settings from INI text; faults refer to the text by `name`, usually its path.
    ///
    /// # Errors
    ///
    /// All faults of the text.
    pub fn parse(name: &str, text: &str) -> Result<Settings, Faults> {
        let mut faults = Vec::new();
        let settings = read::settings(text, &mut faults);
        Faults::into_result(name, text, settings, faults)
    }

    /// Returns the id that identifies the instance in messages between instances.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }
}
