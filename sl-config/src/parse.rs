//! Reads a template from the INI text that operators edit. `examples/template.ini` shows
//! every key with its default.

use std::collections::BTreeSet;

use sl_base::{Millis, PoolId, TeamId};

use crate::{
    fault::{Fault, Faults, Problem},
    ini::{self, Section},
    raw::{Flag, Hashes, Methods, Name, PathPattern, Percent, Raw, Wanted},
    reader::Reader,
    template::{Cost, KeyRule, Objective, Policy, Route, Team, Template},
};

/// A template's name and text, as an operator gives them.
#[derive(Clone, Copy, Debug)]
pub struct TemplateText<'a> {
    /// The template's name.
    pub name: &'a str,
    /// The INI text.
    pub text: &'a str,
}

impl Template {
    /// Reads a template from its INI text.
    ///
    /// # Errors
    ///
    /// Every fault of the text at once.
    pub fn parse(name: &str, text: &str) -> Result<Template, Faults> {
        Template::try_from(TemplateText { name, text })
    }

    /// Reads a template from a file, which is named after it.
    ///
    /// # Errors
    ///
    /// Every fault of the text at once, under the file's path.
    pub fn parse_file(path: &str, text: &str) -> Result<Template, Faults> {
        let file = path.rsplit('/').next().unwrap_or(path);
        let name = file.strip_suffix(".ini").unwrap_or(file);
        Template::parse(name, text).map_err(|it| it.named(path))
    }
}

impl TryFrom<TemplateText<'_>> for Template {
    type Error = Faults;

    fn try_from(TemplateText { name, text }: TemplateText<'_>) -> Result<Template, Faults> {
        let mut faults = Vec::new();
        check_name(name, &mut faults);
        let sections = ini::sections(text, &mut faults);
        let mut template =
            Template { name: name.to_owned(), routes: Vec::new(), teams: Vec::new() };
        for section in &sections {
            read_section(section, &mut template, &mut faults);
        }
        check_repeats(&sections, &mut faults);
        check_hidden(&sections, &mut faults);
        check_credentials(&sections, &mut faults);
        Faults::settle(name, text, Some(template), faults)
    }
}

/// Whether `name` may name a template.
pub fn is_template_name(name: &str) -> bool {
    Name::try_from(Raw(name)).is_ok()
}

/// Defaults of keys that a route need not give, and the most that keys take.
pub mod limits {
    use sl_base::Millis;

    /// The order of work of a route that gives none; lower goes first.
    pub const ORDER: u8 = 100;
    /// The hint of a route that is counted in tokens.
    pub const HINT_TOKENS: u64 = 256;
    /// The hint of a route that is counted in busy milliseconds.
    pub const HINT_BUSY_MILLIS: u64 = 100;
    /// The most that a hint takes, in either unit.
    pub const HINT_MAX: u64 = 10_000_000;
    /// How long a request may wait for a backend server.
    pub const QUEUE_WITHIN: Millis = Millis(30_000);
    /// How long a backend server may take to its first byte.
    pub const FIRST_BYTE_WITHIN: Millis = Millis(10_000);
    /// How long an answer may stand still.
    pub const IDLE_WITHIN: Millis = Millis(10_000);
    /// How long a request may take in all.
    pub const TOTAL_WITHIN: Millis = Millis(300_000);
    /// Retries after the first try, where they are safe.
    pub const RETRIES: u8 = 2;
    /// The most retries that a route takes.
    pub const RETRIES_MAX: u64 = 10;
    /// The largest body of a route, in kibibytes.
    pub const BODY_KIB: u64 = 1_024;
    /// The most that a route's largest body takes, in kibibytes: 64 MiB.
    pub const BODY_KIB_MAX: u64 = 64 * 1_024;
    /// The share of capacity of a team that gives none.
    pub const SHARE: u32 = 1;
    /// The most that a share takes.
    pub const SHARE_MAX: u64 = 1_000_000;
    /// Requests of a team that may wait on one instance.
    pub const QUEUE_MAX: u32 = 256;
    /// The most that a team's queue takes.
    pub const QUEUE_MAX_MAX: u64 = 100_000;
    /// Bytes of bodies of a team that may wait on one instance, in kibibytes: 16 MiB.
    pub const QUEUE_KIB: u64 = 16 * 1_024;
    /// The most that a team's waiting bodies take, in kibibytes: 4 GiB.
    pub const QUEUE_KIB_MAX: u64 = 4 * 1_024 * 1_024;
    /// Parts in a million that must be good in latency, where an objective gives none.
    pub const LATENCY_PPM: u32 = 950_000;
    /// Parts in a million that must be answered, where an objective gives none.
    pub const ANSWERED_PPM: u32 = 999_000;
}

/// The sections that a template may have.
const KINDS: [&str; 2] = ["route", "team"];

/// Bytes in a kibibyte.
const KIB: u64 = 1_024;

fn check_name(name: &str, faults: &mut Vec<Fault>) {
    if let Err(Wanted(wanted)) = Name::try_from(Raw(name)) {
        let value = name.to_owned();
        let problem = Problem::Malformed { value, wanted };
        faults.push(Fault::new(problem, (0, 0).into()));
    }
}

fn read_section(section: &Section<'_>, template: &mut Template, faults: &mut Vec<Fault>) {
    let name = read_label(section, faults).unwrap_or_default();
    let mut reader = Reader::new(section, faults);
    match section.kind() {
        "route" => template.routes.extend(read_route(name, &mut reader)),
        "team" => template.teams.extend(read_team(name, &mut reader)),
        _ => return,
    }
    reader.finish();
}

fn read_label(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<String> {
    let kind = section.kind();
    if !KINDS.contains(&kind) {
        let problem = Problem::UnknownSection(section.head.text.to_owned());
        faults.push(Fault::new(problem, section.head.span).suggesting(kind, KINDS));
        return None;
    }
    let label = section.label();
    match Name::try_from(Raw(label.text)) {
        Ok(Name(name)) => Some(name),
        Err(Wanted(wanted)) => {
            let value = label.text.to_owned();
            let problem = Problem::Malformed { value, wanted };
            let help = format!("write [{kind} NAME]");
            faults.push(Fault::new(problem, section.head.span).with_help(help));
            None
        }
    }
}

fn read_team(name: String, reader: &mut Reader<'_, '_>) -> Option<Team> {
    let share = reader.number("share", 1..=limits::SHARE_MAX, limits::SHARE);
    let credentials = reader.required::<Hashes>("credential");
    let queue_max = reader.number("queue-max", 1..=limits::QUEUE_MAX_MAX, limits::QUEUE_MAX);
    let queue_kib = reader.number("queue-max-kib", 1..=limits::QUEUE_KIB_MAX, limits::QUEUE_KIB);
    Some(Team {
        id: TeamId::of(&name),
        name,
        share,
        credentials: credentials?.0,
        queue_max,
        queue_bytes_max: queue_kib * KIB,
    })
}

fn read_route(name: String, reader: &mut Reader<'_, '_>) -> Option<Route> {
    let path = reader.required::<PathPattern>("path");
    let methods = reader.optional::<Methods>("methods").unwrap_or_default();
    let pool = reader.required::<Name>("pool");
    let body_kib = reader.number("body-max-kib", 0..=limits::BODY_KIB_MAX, limits::BODY_KIB);
    let objective = read_objective(reader);
    let policy = read_policy(reader);
    check_policy(&policy, reader);
    let pool = pool?.0;
    Some(Route {
        name,
        path: path?.0,
        methods: methods.0,
        policy: Policy { pool: PoolId::of(&pool), ..policy },
        pool,
        body_max: body_kib * KIB,
        objective,
    })
}

fn read_policy(reader: &mut Reader<'_, '_>) -> Policy {
    let idempotent = reader.optional::<Flag>("idempotent");
    let cost = reader.word("cost", Cost::BusyMillis);
    let hint = match cost {
        Cost::Tokens => limits::HINT_TOKENS,
        Cost::BusyMillis => limits::HINT_BUSY_MILLIS,
    };
    Policy {
        pool: PoolId::default(),
        idempotent: idempotent.is_some_and(|it| it.0),
        key: reader.word("key", KeyRule::Required),
        order: reader.number("order", 0..=u64::from(u8::MAX), limits::ORDER),
        cost,
        hint: reader.number("hint", 1..=limits::HINT_MAX, hint),
        queue_within: reader.millis("queue-within-ms", limits::QUEUE_WITHIN),
        first_byte_within: reader.millis("first-byte-within-ms", limits::FIRST_BYTE_WITHIN),
        idle_within: reader.millis("idle-within-ms", limits::IDLE_WITHIN),
        total_within: reader.millis("total-within-ms", limits::TOTAL_WITHIN),
        retries: reader.number("retries", 0..=limits::RETRIES_MAX, limits::RETRIES),
    }
}

fn check_policy(policy: &Policy, reader: &mut Reader<'_, '_>) {
    if policy.idempotent && reader.stands("key") {
        reader.clash("key", "an idempotent route asks for no idempotency key");
    }
    if policy.total_within < policy.first_byte_within {
        let key = match reader.stands("total-within-ms") {
            true => "total-within-ms",
            false => "first-byte-within-ms",
        };
        reader.clash(
            key,
            format!(
                "the first byte may take {}, longer than the {} of the whole request",
                policy.first_byte_within, policy.total_within
            ),
        );
    }
}

fn read_objective(reader: &mut Reader<'_, '_>) -> Option<Objective> {
    let stands = reader.stands("objective-first-byte-ms");
    let first_byte_within = reader.millis("objective-first-byte-ms", Millis(1));
    let latency = reader.optional::<Percent>("objective-latency-percent");
    let answered = reader.optional::<Percent>("objective-answered-percent");
    if stands {
        return Some(Objective {
            first_byte_within,
            latency_ppm: latency.map_or(limits::LATENCY_PPM, |it| it.ppm),
            answered_ppm: answered.map_or(limits::ANSWERED_PPM, |it| it.ppm),
        });
    }
    let partial = ["objective-latency-percent", "objective-answered-percent"];
    if partial.iter().any(|it| reader.stands(it)) {
        reader.missing("objective-first-byte-ms");
    }
    None
}

/// Sections that stand twice.
fn check_repeats(sections: &[Section<'_>], faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for section in sections {
        let (kind, name) = (section.kind(), section.label().text);
        if !seen.insert((kind, name)) {
            let problem = Problem::Repeated(format!("[{kind} {name}]"));
            faults.push(Fault::new(problem, section.head.span));
        }
    }
}

/// Routes that an earlier one hides.
fn check_hidden(sections: &[Section<'_>], faults: &mut Vec<Fault>) {
    let is_route = |it: &&Section<'_>| it.kind() == "route";
    let routes: Vec<&Section<'_>> = sections.iter().filter(is_route).collect();
    for (at, route) in routes.iter().enumerate() {
        if let Some(first) = routes[..at].iter().find(|it| hides(it, route)) {
            let why = format!("every call of it goes to [{}] above", first.head.text);
            faults.push(Fault::new(Problem::Clash(why), route.head.span));
        }
    }
}

/// Whether each call that `second` takes is one that `first` takes.
fn hides(first: &Section<'_>, second: &Section<'_>) -> bool {
    if first.label().text == second.label().text {
        return false;
    }
    let (Some(wide), Some(narrow)) = (value(first, "path"), value(second, "path")) else {
        return false;
    };
    let covers_path = match wide.strip_suffix('*') {
        Some(prefix) => narrow.trim_end_matches('*').starts_with(prefix),
        None => wide == narrow,
    };
    covers_path && covers_methods(&methods(first), &methods(second))
}

fn covers_methods(wide: &[String], narrow: &[String]) -> bool {
    wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|it| wide.contains(it)))
}

fn methods(section: &Section<'_>) -> Vec<String> {
    let text = value(section, "methods").unwrap_or("any");
    Methods::try_from(Raw(text)).unwrap_or_default().0
}

fn value<'a>(section: &Section<'a>, key: &str) -> Option<&'a str> {
    let entry = section.entries.iter().find(|it| it.key.text == key)?;
    Some(entry.value.text)
}

/// Credentials that name two teams.
fn check_credentials(sections: &[Section<'_>], faults: &mut Vec<Fault>) {
    let mut seen = BTreeSet::new();
    for section in sections.iter().filter(|it| it.kind() == "team") {
        for entry in &section.entries {
            if entry.key.text != "credential" {
                continue;
            }
            for hash in Hashes::try_from(Raw(entry.value.text)).unwrap_or_default().0 {
                if !seen.insert(hash) {
                    let why = "this credential stands above already".to_owned();
                    faults.push(Fault::new(Problem::Clash(why), entry.value.span));
                }
            }
        }
    }
}
