//! What one instance is told at its start. `examples/settings.ini` shows every key with
//! its default; docs/OPERATIONS.md tells when to change one.

mod read;

use std::net::SocketAddr;

use sl_base::{InstanceId, Millis};
use strum::{Display, EnumString, VariantNames};

pub use crate::raw::{Ratio, SeedInstance};

use crate::{fault::Faults, key::KeySource};

/// An instance's checked settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name, as the platform lists it.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The part of a processor's core that it has; the largest instances relay for others.
    pub cores: Ratio,
    /// Seed of the reducer's generator; drawn at the start where it is not given.
    pub rng_seed: Option<u64>,
    /// Instances that are asked for what they know when the platform does not answer a
    /// newborn.
    pub seed_instances: Vec<SeedInstance>,
    /// The addresses that it listens on.
    pub listen: Listen,
    /// The platform.
    pub platform: Platform,
    /// Keys.
    pub keys: Keys,
    /// Bounds on what it holds.
    pub bounds: Bounds,
    /// Periods and spans.
    pub periods: Periods,
    /// How teams share the engines.
    pub sharing: Sharing,
    /// What the burn report measures against.
    pub objectives: Objectives,
    /// The fleet's bound on retries.
    pub retry_budget: RetryBudget,
    /// Logging.
    pub log: Log,
}

/// The fleet's bound on retries to one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    /// Retries for each request.
    pub ratio: Ratio,
    /// Retries besides, for each window.
    pub allowance: u32,
    /// The window over which both are counted.
    pub window: Millis,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { ratio: Ratio { ppm: 100_000 }, allowance: 10, window: Millis(10_000) }
    }
}

/// The addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub caller: SocketAddr,
    /// Fellow instances' control messages.
    pub control: SocketAddr,
    /// Fellow instances' notes, as datagrams.
    pub notes: SocketAddr,
    /// Operators' calls.
    pub operator: SocketAddr,
    /// Metrics, liveness and readiness.
    pub metrics: SocketAddr,
}

/// How the platform is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The base address of its store.
    pub address: String,
}

/// Keys: secrets by where they are kept, operators' by their hashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// The key that fellow instances share.
    pub control_key: KeySource,
    /// BLAKE3 hashes, in hex, of the keys that operators bring; several while one is changed.
    pub operator_key_hashes: Vec<String>,
}

/// Bounds on what an instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that it may hold at once.
    pub max_in_flight: u32,
    /// Files and connections that it may have open, by the system's limit.
    pub max_descriptors: u32,
}

/// Periods and spans of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Periods {
    /// How long a planned stop waits for what is under way.
    pub drain_timeout: Millis,
}

/// How teams share the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// The window over which teams' shares are counted.
    pub window: Millis,
}

/// What the burn report measures against. The time that an answer may take is the route's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Objectives {
    /// Answers that are to be on time, in parts per million.
    pub latency_ppm: u32,
    /// Requests that are to be answered by a server, in parts per million.
    pub answered_ppm: u32,
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Log {
    /// The form of the lines.
    pub format: LogFormat,
    /// The least level that is logged.
    pub level: LogLevel,
}

/// The form of the log's lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Lines for people.
    Terminal,
}

/// The least level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// What needs an operator.
    Error,
    /// What may come to need one.
    Warn,
    /// Changes of state.
    Info,
    /// What a developer wants besides.
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
        Sharing { window: Millis(4_000) }
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
    /// Reads settings from INI text; `name` is what faults call the text.
    ///
    /// # Errors
    ///
    /// Every fault of the text at once.
    pub fn parse(name: &str, text: &str) -> Result<Settings, Faults> {
        let mut faults = Vec::new();
        let settings = read::settings(text, &mut faults);
        Faults::settle(name, text, settings, faults)
    }

    /// The id that stands for the instance's name on the wire.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }
}
