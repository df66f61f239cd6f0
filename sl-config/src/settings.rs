//! What one instance is told at its start. `examples/settings.ini` shows every key with
//! its default; docs/operating.md tells when to change one.

mod read;

use std::net::SocketAddr;

use sl_base::{InstanceId, Millis};
use strum::{Display, EnumString, VariantNames};

pub use crate::raw::Seed;

use crate::{fault::Faults, key::KeySource};

/// An instance's checked settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The instance's name, as the platform lists it.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Seed of the reducer's generator; drawn at the start where it is not given.
    pub seed: Option<u64>,
    /// Instances that are asked for configuration and list when the platform does not
    /// answer a newborn.
    pub seeds: Vec<Seed>,
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
    /// How slots and shares are shared out.
    pub sharing: Sharing,
    /// Logging.
    pub log: Log,
}

/// The addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests.
    pub caller: SocketAddr,
    /// Fellow instances' control messages.
    pub control: SocketAddr,
    /// Operators' calls.
    pub operator: SocketAddr,
    /// Metrics, liveness and readiness.
    pub metrics: SocketAddr,
}

/// How the platform is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The base address of its key-value service and list.
    pub address: String,
    /// How long a call may take before its answer counts as lost.
    pub call_within: Millis,
    /// How long a watch may wait at the service.
    pub watch_within: Millis,
}

/// Keys: secrets by where they are kept, operators' by their hashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Keys {
    /// The key that fellow instances share.
    pub control: KeySource,
    /// BLAKE3 hashes, in hex, of the keys that operators bring; several while one is changed.
    pub operators: Vec<String>,
}

/// Bounds on what an instance holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that may wait in all.
    pub waiting_requests: u32,
    /// Bytes of bodies that may wait in all.
    pub waiting_bytes: u64,
    /// Requests that it may hold at once, waiting and running.
    pub held_requests: u32,
    /// Bytes of a request's headers.
    pub header_bytes: u32,
}

/// Periods and spans of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Periods {
    /// Between two exchanges of counters with a peer.
    pub exchange: Millis,
    /// For how long a slot is lent.
    pub slot_lease: Millis,
    /// Between two readings of the platform's list.
    pub list: Millis,
    /// How long neither a peer nor the platform may answer before the instance takes
    /// itself for cut off and turns unready.
    pub isolated_after: Millis,
    /// How long a planned stop waits for what is under way.
    pub stop_within: Millis,
}

/// How slots and shares are shared out; the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// How instances share the slots of backend servers.
    pub policy: SharePolicy,
    /// How far a team may be ahead of one that waits on another instance before a slot is
    /// given up to it, in units at a share of one. More is kinder to utilisation, less to
    /// the gap between teams.
    pub tolerance_units: u64,
}

/// How instances share the slots of backend servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum SharePolicy {
    /// A home lends slots as windows with a lease.
    #[default]
    Lent,
    /// Each instance has an equal part of each server's slots.
    FixedSplit,
    /// Each instance uses all slots and knows only what it sent itself.
    Uncoordinated,
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

/// Bytes in a kibibyte.
const KIB: u64 = 1_024;

impl Platform {
    /// The call deadline of an instance that gives none.
    pub const CALL_WITHIN: Millis = Millis(1_000);
    /// The watch's wait of an instance that gives none.
    pub const WATCH_WITHIN: Millis = Millis(2_000);
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            waiting_requests: 4_000,
            waiting_bytes: 64 * KIB * KIB,
            held_requests: 8_000,
            header_bytes: 32 * KIB as u32,
        }
    }
}

impl Default for Periods {
    fn default() -> Periods {
        Periods {
            exchange: Millis(1_000),
            slot_lease: Millis(3_000),
            list: Millis(2_000),
            isolated_after: Millis(3_000),
            stop_within: Millis(30_000),
        }
    }
}

impl Default for Sharing {
    fn default() -> Sharing {
        Sharing { policy: SharePolicy::Lent, tolerance_units: 500 }
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
