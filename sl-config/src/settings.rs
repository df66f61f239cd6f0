//! What one instance is told at its start. `examples/settings.ini` shows every key with
//! its default; docs/operating.md tells when to change one.

use std::{net::SocketAddr, path::PathBuf};

use sl_base::{InstanceId, Millis};
use strum::{Display, EnumString, VariantNames};

use crate::{
    fault::{Fault, Faults, Problem},
    ini::{self, Section},
    key::KeySource,
    raw::{Base, Hashes, Name, Raw, Seeds, Wanted},
    reader::Reader,
};

pub use crate::raw::Seed;

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
        Sharing {
            policy: SharePolicy::Lent,
            tolerance_units: 500,
        }
    }
}

impl Default for Log {
    fn default() -> Log {
        Log {
            format: LogFormat::Json,
            level: LogLevel::Info,
        }
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
        let sections = ini::sections(text, &mut faults);
        check_sections(&sections, &mut faults);
        let mut parts = Parts {
            sections: &sections,
            faults: &mut faults,
        };
        let settings = read(&mut parts);
        Faults::settle(name, text, settings, faults)
    }

    /// The id that stands for the instance's name on the wire.
    pub fn id(&self) -> InstanceId {
        InstanceId::of(&self.name)
    }
}

/// The sections that settings may have.
const SECTIONS: [&str; 8] = [
    "instance", "listen", "platform", "keys", "bounds", "periods", "sharing", "log",
];

/// Bytes in a kibibyte.
const KIB: u64 = 1_024;

fn check_sections(sections: &[Section<'_>], faults: &mut Vec<Fault>) {
    for (at, section) in sections.iter().enumerate() {
        let head = section.head.text;
        if !SECTIONS.contains(&head) {
            let problem = Problem::UnknownSection(head.to_owned());
            faults.push(Fault::new(problem, section.head.span).suggesting(head, SECTIONS));
        }
        if sections[..at].iter().any(|it| it.head.text == head) {
            let problem = Problem::Repeated(format!("[{head}]"));
            faults.push(Fault::new(problem, section.head.span));
        }
    }
}

struct Parts<'a, 'f> {
    sections: &'a [Section<'a>],
    faults: &'f mut Vec<Fault>,
}

impl<'a> Parts<'a, '_> {
    /// What `read` makes of a section; a fault where the section is missing.
    fn required<T>(
        &mut self,
        head: &str,
        read: impl FnOnce(&mut Reader<'a, '_>) -> Option<T>,
    ) -> Option<T> {
        let found = self.sections.iter().find(|it| it.head.text == head);
        let Some(section) = found else {
            let problem = Problem::MissingSection(head.to_owned());
            self.faults.push(Fault::new(problem, (0, 0).into()));
            return None;
        };
        let mut reader = Reader::new(section, self.faults);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// What `read` makes of a section, or the default where the section is missing.
    fn optional<T: Default>(
        &mut self,
        head: &str,
        read: impl FnOnce(&mut Reader<'a, '_>) -> T,
    ) -> T {
        if !self.sections.iter().any(|it| it.head.text == head) {
            return T::default();
        }
        self.required(head, |it| Some(read(it))).unwrap_or_default()
    }
}

fn read(parts: &mut Parts<'_, '_>) -> Option<Settings> {
    let instance = parts.required("instance", read_instance);
    let listen = parts.required("listen", read_listen);
    let platform = parts.required("platform", read_platform);
    let keys = parts.required("keys", read_keys);
    let bounds = parts.optional("bounds", read_bounds);
    let periods = parts.optional("periods", read_periods);
    let sharing = parts.optional("sharing", read_sharing);
    let log = parts.optional("log", read_log);
    let instance = instance?;
    Some(Settings {
        name: instance.name,
        data_centre: instance.data_centre,
        seed: instance.seed,
        seeds: instance.seeds,
        listen: listen?,
        platform: platform?,
        keys: keys?,
        bounds,
        periods,
        sharing,
        log,
    })
}

struct Instance {
    name: String,
    data_centre: String,
    seed: Option<u64>,
    seeds: Vec<Seed>,
}

fn read_instance(reader: &mut Reader<'_, '_>) -> Option<Instance> {
    let name = reader.required::<Name>("name");
    let data_centre = reader.required::<Name>("data-centre");
    let seed = reader.optional("seed");
    let seeds = reader.optional::<Seeds>("seeds").unwrap_or_default();
    Some(Instance {
        name: name?.0,
        data_centre: data_centre?.0,
        seed,
        seeds: seeds.0,
    })
}

fn read_listen(reader: &mut Reader<'_, '_>) -> Option<Listen> {
    let caller = reader.required("caller");
    let control = reader.required("control");
    let operator = reader.required("operator");
    let metrics = reader.required("metrics");
    let keys = ["caller", "control", "operator", "metrics"];
    let given = [caller, control, operator, metrics];
    for (at, address) in given.iter().enumerate() {
        let taken = given[..at].iter().position(|it| it == address);
        if let (Some(taken), Some(address)) = (taken, address) {
            let why = format!("`{}` listens on {address} already", keys[taken]);
            reader.clash(keys[at], why);
        }
    }
    Some(Listen {
        caller: caller?,
        control: control?,
        operator: operator?,
        metrics: metrics?,
    })
}

fn read_platform(reader: &mut Reader<'_, '_>) -> Option<Platform> {
    let address = reader.required::<Base>("address");
    let call_within = reader.millis("call-within-ms", Platform::CALL_WITHIN);
    let watch_within = reader.millis("watch-within-ms", Platform::WATCH_WITHIN);
    Some(Platform {
        address: address?.0,
        call_within,
        watch_within,
    })
}

struct FilePath(PathBuf);

impl TryFrom<Raw<'_>> for FilePath {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<FilePath, Wanted> {
        if text.is_empty() {
            return Err(Wanted("the path of a file".to_owned()));
        }
        Ok(FilePath(text.into()))
    }
}

struct EnvName(String);

impl TryFrom<Raw<'_>> for EnvName {
    type Error = Wanted;

    fn try_from(Raw(text): Raw<'_>) -> Result<EnvName, Wanted> {
        let is_plain = |it: u8| it.is_ascii_uppercase() || it.is_ascii_digit() || it == b'_';
        if !text.is_empty() && text.bytes().all(is_plain) {
            return Ok(EnvName(text.to_owned()));
        }
        Err(Wanted("an environment variable's name".to_owned()))
    }
}

fn read_keys(reader: &mut Reader<'_, '_>) -> Option<Keys> {
    let file = reader.optional::<FilePath>("control-key-file");
    let env = reader.optional::<EnvName>("control-key-env");
    let operators = reader.required::<Hashes>("operator-key-hash");
    let both = reader.stands("control-key-file") && reader.stands("control-key-env");
    let neither = !reader.stands("control-key-file") && !reader.stands("control-key-env");
    if both {
        reader.clash(
            "control-key-env",
            "the control key comes from a file or the environment, not from both",
        );
    }
    if neither {
        reader.missing("control-key-file");
    }
    let control = match (file, env) {
        (Some(FilePath(path)), _) => KeySource::File(path),
        (None, Some(EnvName(name))) => KeySource::Env(name),
        (None, None) => return None,
    };
    Some(Keys {
        control,
        operators: operators?.0,
    })
}

/// The most that a bound on a number of requests takes.
const REQUESTS_MAX: u64 = 1_000_000;

/// The most that a bound on waiting bodies takes, in kibibytes: 16 GiB.
const WAITING_KIB_MAX: u64 = 16 * KIB * KIB;

/// The most that a bound on headers takes, in kibibytes.
const HEADER_KIB_MAX: u64 = KIB;

fn read_bounds(reader: &mut Reader<'_, '_>) -> Bounds {
    let standard = Bounds::default();
    let requests = 1..=REQUESTS_MAX;
    let waiting_kib = standard.waiting_bytes / KIB;
    let header_kib = u64::from(standard.header_bytes) / KIB;
    let waiting = standard.waiting_requests;
    let bounds = Bounds {
        waiting_requests: reader.number("waiting-requests", requests.clone(), waiting),
        waiting_bytes: KIB * reader.number("waiting-kib", 1..=WAITING_KIB_MAX, waiting_kib),
        held_requests: reader.number("held-requests", requests, standard.held_requests),
        header_bytes: (KIB * reader.number("header-kib", 1..=HEADER_KIB_MAX, header_kib)) as u32,
    };
    if bounds.waiting_requests > bounds.held_requests {
        let why = "an instance holds every request that waits: this is less than waiting-requests";
        reader.clash("held-requests", why);
    }
    bounds
}

fn read_periods(reader: &mut Reader<'_, '_>) -> Periods {
    let standard = Periods::default();
    let periods = Periods {
        exchange: reader.millis("exchange-period-ms", standard.exchange),
        slot_lease: reader.millis("slot-lease-ms", standard.slot_lease),
        list: reader.millis("list-period-ms", standard.list),
        isolated_after: reader.millis("isolated-after-ms", standard.isolated_after),
        stop_within: reader.millis("stop-within-ms", standard.stop_within),
    };
    if periods.slot_lease <= periods.exchange {
        let why =
            "a slot's lease is renewed with each exchange, so it lasts longer than one period";
        reader.clash("slot-lease-ms", why);
    }
    if periods.isolated_after <= periods.exchange {
        let why = "peers answer once in an exchange period, so this has to be longer";
        reader.clash("isolated-after-ms", why);
    }
    periods
}

/// The most that the tolerance takes, in units.
const TOLERANCE_MAX: u64 = 1_000_000_000;

fn read_sharing(reader: &mut Reader<'_, '_>) -> Sharing {
    let standard = Sharing::default();
    Sharing {
        policy: reader.word("policy", standard.policy),
        tolerance_units: reader.number(
            "tolerance-units",
            0..=TOLERANCE_MAX,
            standard.tolerance_units,
        ),
    }
}

fn read_log(reader: &mut Reader<'_, '_>) -> Log {
    let standard = Log::default();
    Log {
        format: reader.word("format", standard.format),
        level: reader.word("level", standard.level),
    }
}
