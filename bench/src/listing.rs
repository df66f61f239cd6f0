//! What a change and a full listing of the store cost a fleet, by the number of entries. See docs/CAPACITY.md,
//! "Messages between instances".

use std::{
    fs, io,
    path::PathBuf,
    time::{Duration, Instant},
};

use serde_json::json;
use stand_ins::{Caller, document, store::Fault};

use crate::{
    Fleet, Instance,
    cost::{Usage, usage_of},
    fleet,
};

/// A fleet and what its store holds.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the `sesamelock` binary.
    pub binary: PathBuf,
    /// Number of instances, of which three follow the store.
    pub instances: usize,
    /// Entries of servers beside those of the fleet.
    pub entries: usize,
    /// Bytes of each of these entries.
    pub entry_bytes: usize,
}

/// What one change, or one listing, took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spread {
    /// Time from the change's acknowledgement until the last instance has it in force.
    pub last: Duration,
    /// Processor time of all instances meanwhile.
    pub processor: Duration,
    /// Bytes that the instances sent to each other over their links.
    pub link_bytes: u64,
    /// Resident memory of the largest instance afterwards, in kilobytes.
    pub memory_kb: u64,
    /// Turns of instances to the store because their peers did not help.
    pub fallbacks: u64,
}

/// How the change comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// All instances are up to date, and a change comes.
    Change,
    /// The change comes while watches are cut off, and the store has dropped its history since, so that the
    /// instances list everything.
    AfterCompaction,
}

/// How long the fleet settles before a measurement.
const SETTLE_TIME: Duration = Duration::from_millis(3_000);

/// How long watches hear nothing before the store drops its history.
const MUTE_TIME: Duration = Duration::from_millis(700);

/// How long a change may take.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Measures a change of each kind in a fleet of its own.
///
/// # Errors
///
/// Those of [`Fleet::start`], of reading the use of a process, and a timeout if an instance does not get the
/// change.
pub async fn measure(options: &Options, kind: Kind) -> io::Result<Spread> {
    let fleet = fleet::Options {
        binary: options.binary.clone(),
        instances: options.instances,
        apps: 2,
        engines: 0,
    };
    let fleet = Fleet::start(fleet).await?;
    fill(&fleet, options);
    tokio::time::sleep(SETTLE_TIME).await;
    if kind == Kind::AfterCompaction {
        fleet.store.set_fault(Fault::MutesWatches);
        tokio::time::sleep(MUTE_TIME).await;
    }
    let before = totals(&fleet).await?;
    fleet.store.put(document::CONFIG_KEY, &document::standard(2));
    if kind == Kind::AfterCompaction {
        fleet.store.set_fault(Fault::None);
        fleet.store.compact();
    }
    let changed_at = Instant::now();
    for instance in &fleet.instances {
        wait_for_version(instance, changed_at).await?;
    }
    let last = changed_at.elapsed();
    let after = totals(&fleet).await?;
    Ok(Spread {
        last,
        processor: after.usage.processor.saturating_sub(before.usage.processor),
        link_bytes: after.link_bytes - before.link_bytes,
        memory_kb: after.memory_kb,
        fallbacks: after.fallbacks - before.fallbacks,
    })
}

/// Writes the entries of servers of a service that no route leads to.
fn fill(fleet: &Fleet, options: &Options) {
    for index in 0..options.entries {
        let mut entry = json!({
            "service": "unrouted", "address": format!("127.0.0.1:{}", 10_000 + index % 50_000),
            "zone": "here", "version": "v1", "slots": 64, "state": "ready", "sequence": 1, "born": 1,
        });
        let missing = options.entry_bytes.saturating_sub(entry.to_string().len());
        entry["note"] = json!("x".repeat(missing));
        fleet.store.put(&format!("servers/listed-{index:05}"), &entry);
    }
}

async fn wait_for_version(instance: &Instance, since: Instant) -> io::Result<()> {
    while metric(instance, "sesamelock_document_version").await? < 2 {
        if since.elapsed() > SPREAD_TIMEOUT {
            return Err(io::ErrorKind::TimedOut.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

#[derive(Default)]
struct Totals {
    usage: Usage,
    link_bytes: u64,
    memory_kb: u64,
    fallbacks: u64,
}

async fn totals(fleet: &Fleet) -> io::Result<Totals> {
    let mut totals = Totals::default();
    for instance in &fleet.instances {
        let id = instance.process_id().ok_or(io::ErrorKind::NotFound)?;
        totals.usage.processor += usage_of(id)?.processor;
        totals.link_bytes += metric(instance, "sesamelock_link_bytes_sent").await?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        totals.memory_kb = totals.memory_kb.max(number_in(&status, "VmRSS:"));
        totals.fallbacks += metric(instance, "sesamelock_peer_fetch_fallbacks_total").await?;
    }
    Ok(totals)
}

/// The number after `name` at the start of a line; 0 without one.
fn number_in(text: &str, name: &str) -> u64 {
    let value = text.lines().find_map(|it| it.strip_prefix(name));
    let number = value.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0)
}

async fn metric(instance: &Instance, name: &str) -> io::Result<u64> {
    let mut probe = Caller::connect(instance.metrics).await?;
    probe.send(b"GET /metrics HTTP/1.1\r\nHost: probe\r\n\r\n").await?;
    let response = probe.read_response("GET").await?;
    Ok(number_in(response.text(), name))
}
