//! Builds [`Settings`] from the sections of the INI text.

use std::path::PathBuf;

use sl_base::Millis;

use super::{
    Bounds, Keys, Listen, Log, Objectives, Periods, Placement, Platform, RetryBudget, SeedInstance,
    Settings, Sharing, Warmup,
};
use crate::{
    fault::{Fault, Problem},
    ini::{self, Section},
    key::KeySource,
    raw::{
        Amount, BaseUrl, Expected, Hashes, Name, Percent, Ratio, RawValue, RegionName,
        SeedInstances,
    },
    reader::Reader,
};

/// Names of all sections.
const SECTIONS: [&str; 13] = [
    "instance",
    "listen",
    "platform",
    "keys",
    "bounds",
    "periods",
    "sharing",
    "placement",
    "retries",
    "warmup",
    "regions",
    "objectives",
    "log",
];

fn check_sections(sections: &[Section<'_>], faults: &mut Vec<Fault>) {
    for (index, section) in sections.iter().enumerate() {
        let header = section.header.text;
        if !SECTIONS.contains(&header) {
            let problem = Problem::UnknownSection(header.to_owned());
            faults.push(Fault::new(problem, section.header.span).with_suggestion(header, SECTIONS));
        }
        if sections[..index].iter().any(|it| it.header.text == header) {
            let problem = Problem::Duplicate(format!("[{header}]"));
            faults.push(Fault::new(problem, section.header.span));
        }
    }
}

/// Finds sections by name and collects their faults.
struct Sections<'a, 'f> {
    sections: &'a [Section<'a>],
    faults: &'f mut Vec<Fault>,
}

impl<'a> Sections<'a, '_> {
    /// Reads a section with `read`; adds a fault if the section is absent.
    fn required<T>(
        &mut self,
        header: &str,
        read: impl FnOnce(&mut Reader<'a, '_>) -> Option<T>,
    ) -> Option<T> {
        let found = self.sections.iter().find(|it| it.header.text == header);
        let Some(section) = found else {
            let problem = Problem::MissingSection(header.to_owned());
            self.faults.push(Fault::new(problem, (0, 0).into()));
            return None;
        };
        let mut reader = Reader::new(section, self.faults);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// Reads a section with `read`, or returns the default if the section is absent.
    fn optional<T: Default>(
        &mut self,
        header: &str,
        read: impl FnOnce(&mut Reader<'a, '_>) -> T,
    ) -> T {
        if !self.sections.iter().any(|it| it.header.text == header) {
            return T::default();
        }
        self.required(header, |it| Some(read(it))).unwrap_or_default()
    }
}

/// Reads all sections of `text`; `None` if a required section is absent or lacks a valid
/// required value.
pub(super) fn settings(text: &str, faults: &mut Vec<Fault>) -> Option<Settings> {
    let sections = ini::sections(text, faults);
    check_sections(&sections, faults);
    let mut sections = Sections { sections: &sections, faults };
    read(&mut sections)
}

fn read(sections: &mut Sections<'_, '_>) -> Option<Settings> {
    let instance = sections.required("instance", read_instance);
    let listen = sections.required("listen", read_listen);
    let platform = sections.required("platform", read_platform);
    let keys = sections.required("keys", read_keys);
    let bounds = sections.optional("bounds", read_bounds);
    let periods = sections.optional("periods", read_periods);
    let sharing = sections.optional("sharing", read_sharing);
    let placement = sections.optional("placement", read_placement);
    let objectives = sections.optional("objectives", read_objectives);
    let retry_budget = sections.optional("retries", read_retry_budget);
    let warmup = sections.optional("warmup", read_warmup);
    let regions = sections.optional("regions", read_regions);
    let log = sections.optional("log", read_log);
    let instance = instance?;
    Some(Settings {
        name: instance.name,
        data_centre: instance.data_centre,
        cores: instance.cores,
        rng_seed: instance.rng_seed,
        seed_instances: instance.seed_instances,
        listen: listen?,
        platform: platform?,
        keys: keys?,
        bounds,
        periods,
        sharing,
        placement,
        retry_budget,
        warmup,
        regions,
        objectives,
        log,
    })
}

struct Instance {
    name: String,
    data_centre: String,
    cores: Ratio,
    rng_seed: Option<u64>,
    seed_instances: Vec<SeedInstance>,
}

fn read_instance(reader: &mut Reader<'_, '_>) -> Option<Instance> {
    let name = reader.required::<Name>("name");
    let data_centre = reader.required::<Name>("data-centre");
    let cores = reader.optional("cores").unwrap_or(Ratio { ppm: 1_000_000 });
    let rng_seed = reader.optional("seed");
    let seed_instances = reader.optional::<SeedInstances>("seeds").unwrap_or_default();
    Some(Instance {
        name: name?.0,
        data_centre: data_centre?.0,
        cores,
        rng_seed,
        seed_instances: seed_instances.0,
    })
}

fn read_listen(reader: &mut Reader<'_, '_>) -> Option<Listen> {
    let caller = reader.required("caller");
    let control = reader.required("control");
    let notes = reader.optional("notes").or(control);
    let operator = reader.required("operator");
    let metrics = reader.required("metrics");
    // `notes` is left out: it is a UDP port, which may have the same number as a TCP port.
    let keys = ["caller", "control", "operator", "metrics"];
    let addresses = [caller, control, operator, metrics];
    for (index, address) in addresses.iter().enumerate() {
        let earlier = addresses[..index].iter().position(|it| it == address);
        if let (Some(earlier), Some(address)) = (earlier, address) {
            let message = format!("address {address} is already used by `{}`", keys[earlier]);
            reader.conflict(keys[index], message);
        }
    }
    Some(Listen {
        caller: caller?,
        control: control?,
        notes: notes?,
        operator: operator?,
        metrics: metrics?,
    })
}

/// The interval between heartbeats of a platform that does not state it.
const HEARTBEAT_DEFAULT: Millis = Millis(1_200);

fn read_platform(reader: &mut Reader<'_, '_>) -> Option<Platform> {
    let address = reader.required::<BaseUrl>("address");
    let heartbeat = reader.millis("heartbeat-ms", HEARTBEAT_DEFAULT);
    Some(Platform { address: address?.0, heartbeat })
}

struct FilePath(PathBuf);

impl TryFrom<RawValue<'_>> for FilePath {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<FilePath, Expected> {
        if text.is_empty() {
            return Err(Expected("a file path".to_owned()));
        }
        Ok(FilePath(text.into()))
    }
}

struct EnvName(String);

impl TryFrom<RawValue<'_>> for EnvName {
    type Error = Expected;

    fn try_from(RawValue(text): RawValue<'_>) -> Result<EnvName, Expected> {
        let is_allowed = |it: u8| it.is_ascii_uppercase() || it.is_ascii_digit() || it == b'_';
        if !text.is_empty() && text.bytes().all(is_allowed) {
            return Ok(EnvName(text.to_owned()));
        }
        Err(Expected(
            "an environment variable name of upper-case letters, digits and `_`".to_owned(),
        ))
    }
}

fn read_keys(reader: &mut Reader<'_, '_>) -> Option<Keys> {
    let file = reader.optional::<FilePath>("control-key-file");
    let env = reader.optional::<EnvName>("control-key-env");
    let operators = reader.required::<Hashes>("operator-key-hash");
    let both = reader.contains("control-key-file") && reader.contains("control-key-env");
    let neither = !reader.contains("control-key-file") && !reader.contains("control-key-env");
    if both {
        reader.conflict(
            "control-key-env",
            "`control-key-file` and `control-key-env` are mutually exclusive",
        );
    }
    if neither {
        reader.missing_key("control-key-file");
    }
    let control_key = match (file, env) {
        (Some(FilePath(path)), _) => KeySource::File(path),
        (None, Some(EnvName(name))) => KeySource::Env(name),
        (None, None) => return None,
    };
    Some(Keys { control_key, operator_key_hashes: operators?.0 })
}

/// Largest valid value of `held-requests` and `descriptors`.
const BOUND_MAX: u64 = 1_000_000;

/// Smallest valid value of `descriptors`; an instance cannot operate with fewer.
const DESCRIPTORS_MIN: u64 = 256;

fn read_bounds(reader: &mut Reader<'_, '_>) -> Bounds {
    let defaults = Bounds::default();
    let max_in_flight = reader.number("held-requests", 1..=BOUND_MAX, defaults.max_in_flight);
    let max_descriptors =
        reader.number("descriptors", DESCRIPTORS_MIN..=BOUND_MAX, defaults.max_descriptors);
    Bounds { max_in_flight, max_descriptors }
}

fn read_periods(reader: &mut Reader<'_, '_>) -> Periods {
    let has_grace = reader.contains("grace-ms") || reader.contains("grace-s");
    if has_grace && reader.contains("stop-within-ms") {
        reader.conflict("stop-within-ms", "`stop-within-ms` follows from the grace period");
    }
    let grace = reader.duration("grace-ms", "grace-s", Periods::default().grace());
    let drain_timeout = reader.millis("stop-within-ms", Periods::from_grace(grace).drain_timeout);
    Periods { drain_timeout }
}

fn read_sharing(reader: &mut Reader<'_, '_>) -> Sharing {
    let defaults = Sharing::default();
    Sharing {
        window: reader.duration("window-ms", "window-s", defaults.window),
        routes: reader.variant("routes", defaults.routes),
    }
}

fn read_placement(reader: &mut Reader<'_, '_>) -> Placement {
    let cost = reader.optional::<Amount>("data-centre-cost-ms-per-mb");
    Placement { data_centre_cost_ms_per_mb: cost.map_or(0.0, |it| it.0) }
}

fn read_objectives(reader: &mut Reader<'_, '_>) -> Objectives {
    let defaults = Objectives::default();
    let ppm = |it: Option<Percent>, default: u32| it.map_or(default, |it| it.ppm);
    Objectives {
        latency_ppm: ppm(reader.optional("latency-percent"), defaults.latency_ppm),
        answered_ppm: ppm(reader.optional("answered-percent"), defaults.answered_ppm),
    }
}

fn read_retry_budget(reader: &mut Reader<'_, '_>) -> RetryBudget {
    let defaults = RetryBudget::default();
    RetryBudget {
        ratio: reader.optional("ratio").unwrap_or(defaults.ratio),
        allowance: reader.optional::<Amount>("allowance").map_or(defaults.allowance, |it| it.0),
        window: reader.duration("window-ms", "window-s", defaults.window),
    }
}

fn read_warmup(reader: &mut Reader<'_, '_>) -> Warmup {
    let defaults = Warmup::default();
    Warmup {
        overshoot: reader.optional("overshoot").unwrap_or(defaults.overshoot),
        allowance: reader.optional::<Amount>("allowance").map_or(defaults.allowance, |it| it.0),
    }
}

fn read_regions(reader: &mut Reader<'_, '_>) -> Vec<(String, String)> {
    let regions = reader.all::<RegionName>().into_iter();
    // A data centre without a region is one whose region is unknown.
    let regions = regions.filter(|(_, region)| !region.0.is_empty());
    regions.map(|(data_centre, region)| (data_centre.to_owned(), region.0)).collect()
}

fn read_log(reader: &mut Reader<'_, '_>) -> Log {
    let defaults = Log::default();
    Log {
        format: reader.variant("format", defaults.format),
        level: reader.variant("level", defaults.level),
    }
}
