//! Reads settings from their sections.

use std::path::PathBuf;

use super::{
    Bounds, Keys, Listen, Log, Objectives, Periods, Platform, RetryBudget, SeedInstance, Settings,
    Sharing,
};
use crate::{
    fault::{Fault, Problem},
    ini::{self, Section},
    key::KeySource,
    raw::{Base, Hashes, Name, Percent, Ratio, Raw, Seeds, Wanted},
    reader::Reader,
};

/// The sections that settings may have.
const SECTIONS: [&str; 10] = [
    "instance",
    "listen",
    "platform",
    "keys",
    "bounds",
    "periods",
    "sharing",
    "retries",
    "objectives",
    "log",
];

fn check_sections(sections: &[Section<'_>], faults: &mut Vec<Fault>) {
    for (at, section) in sections.iter().enumerate() {
        let head = section.head.text;
        if !SECTIONS.contains(&head) {
            let problem = Problem::UnknownSection(head.to_owned());
            faults.push(Fault::new(problem, section.head.span).suggesting(head, SECTIONS));
        }
        if sections[..at].iter().any(|it| it.head.text == head) {
            let problem = Problem::Duplicate(format!("[{head}]"));
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

/// Reads every section of `text`; none where one that must be there is not good.
pub(super) fn settings(text: &str, faults: &mut Vec<Fault>) -> Option<Settings> {
    let sections = ini::sections(text, faults);
    check_sections(&sections, faults);
    let mut parts = Parts { sections: &sections, faults };
    read(&mut parts)
}

fn read(parts: &mut Parts<'_, '_>) -> Option<Settings> {
    let instance = parts.required("instance", read_instance);
    let listen = parts.required("listen", read_listen);
    let platform = parts.required("platform", read_platform);
    let keys = parts.required("keys", read_keys);
    let bounds = parts.optional("bounds", read_bounds);
    let periods = parts.optional("periods", read_periods);
    let sharing = parts.optional("sharing", read_sharing);
    let objectives = parts.optional("objectives", read_objectives);
    let retries = parts.optional("retries", read_retries);
    let log = parts.optional("log", read_log);
    let instance = instance?;
    Some(Settings {
        name: instance.name,
        data_centre: instance.data_centre,
        cores: instance.cores,
        rng_seed: instance.seed,
        seed_instances: instance.seeds,
        listen: listen?,
        platform: platform?,
        keys: keys?,
        bounds,
        periods,
        sharing,
        retry_budget: retries,
        objectives,
        log,
    })
}

struct Instance {
    name: String,
    data_centre: String,
    cores: Ratio,
    seed: Option<u64>,
    seeds: Vec<SeedInstance>,
}

fn read_instance(reader: &mut Reader<'_, '_>) -> Option<Instance> {
    let name = reader.required::<Name>("name");
    let data_centre = reader.required::<Name>("data-centre");
    let cores = reader.optional("cores").unwrap_or(Ratio { ppm: 1_000_000 });
    let seed = reader.optional("seed");
    let seeds = reader.optional::<Seeds>("seeds").unwrap_or_default();
    Some(Instance { name: name?.0, data_centre: data_centre?.0, cores, seed, seeds: seeds.0 })
}

fn read_listen(reader: &mut Reader<'_, '_>) -> Option<Listen> {
    let caller = reader.required("caller");
    let control = reader.required("control");
    let notes = reader.optional("notes").or(control);
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
        notes: notes?,
        operator: operator?,
        metrics: metrics?,
    })
}

fn read_platform(reader: &mut Reader<'_, '_>) -> Option<Platform> {
    let address = reader.required::<Base>("address");
    Some(Platform { address: address?.0 })
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
    Some(Keys { control_key: control, operator_key_hashes: operators?.0 })
}

/// The most that a bound on a number of requests takes.
const REQUESTS_MAX: u64 = 1_000_000;

/// An instance cannot do its work with fewer descriptors.
const DESCRIPTORS_MIN: u64 = 256;

fn read_bounds(reader: &mut Reader<'_, '_>) -> Bounds {
    let standard = Bounds::default();
    let held = reader.number("held-requests", 1..=REQUESTS_MAX, standard.max_in_flight);
    let descriptors =
        reader.number("descriptors", DESCRIPTORS_MIN..=REQUESTS_MAX, standard.max_descriptors);
    Bounds { max_in_flight: held, max_descriptors: descriptors }
}

fn read_periods(reader: &mut Reader<'_, '_>) -> Periods {
    let standard = Periods::default();
    Periods { drain_timeout: reader.millis("stop-within-ms", standard.drain_timeout) }
}

fn read_sharing(reader: &mut Reader<'_, '_>) -> Sharing {
    let standard = Sharing::default();
    Sharing { window: reader.millis("window-ms", standard.window) }
}

fn read_objectives(reader: &mut Reader<'_, '_>) -> Objectives {
    let standard = Objectives::default();
    let ppm = |it: Option<Percent>, standard: u32| it.map_or(standard, |it| it.ppm);
    Objectives {
        latency_ppm: ppm(reader.optional("latency-percent"), standard.latency_ppm),
        answered_ppm: ppm(reader.optional("answered-percent"), standard.answered_ppm),
    }
}

/// The most retries that an allowance takes.
const ALLOWANCE_MAX: u64 = 1_000_000;

fn read_retries(reader: &mut Reader<'_, '_>) -> RetryBudget {
    let standard = RetryBudget::default();
    RetryBudget {
        ratio: reader.optional("ratio").unwrap_or(standard.ratio),
        allowance: reader.number("allowance", 0..=ALLOWANCE_MAX, standard.allowance),
        window: reader.millis("window-ms", standard.window),
    }
}

fn read_log(reader: &mut Reader<'_, '_>) -> Log {
    let standard = Log::default();
    Log {
        format: reader.word("format", standard.format),
        level: reader.word("level", standard.level),
    }
}
