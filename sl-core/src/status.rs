//! `sesamelock status`: the fleet as one instance sees it.

use std::{collections::BTreeMap, io};

use sl_base::status::{FleetStatus, InstanceStatus};

use crate::{
    operator::{Error, Operator},
    output::{self, Form},
};

/// The fleet's status.
#[derive(Debug)]
pub struct Outcome {
    /// What the asked instance told.
    pub fleet: FleetStatus,
}

/// Asks an instance, which asks its peers.
///
/// # Errors
///
/// [`Error`] where the instance does not answer.
pub async fn status(operator: &Operator) -> Result<Outcome, Error> {
    let fleet = operator.get("/status").await?;
    Ok(Outcome { fleet })
}

/// The instances that do not run `revision` yet, and those that did not answer.
pub fn behind(fleet: &FleetStatus, revision: sl_base::Revision) -> Vec<String> {
    let late = fleet.instances.iter().filter(|it| it.revision < revision);
    let late = late.map(|it| it.name.clone());
    let mut names: Vec<String> = late.chain(fleet.silent.iter().cloned()).collect();
    names.sort();
    names
}

impl Outcome {
    /// Writes it out.
    ///
    /// # Errors
    ///
    /// Those of `out`.
    pub fn write(&self, form: Form, out: &mut impl io::Write) -> io::Result<()> {
        match form {
            Form::Json => output::json(out, &self.fleet),
            Form::Text => self.write_text(out),
        }
    }

    fn write_text(&self, out: &mut impl io::Write) -> io::Result<()> {
        let fleet = &self.fleet;
        writeln!(out, "configuration revision {}", fleet.revision)?;
        writeln!(out)?;
        write_instances(fleet, out)?;
        writeln!(out)?;
        write_servers(fleet, out)?;
        writeln!(out)?;
        write_teams(fleet, out)
    }
}

fn write_instances(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<14} {:>8}  {:<9} platform",
        "instance", "data centre", "revision", "state"
    )?;
    for it in &fleet.instances {
        let platform = if it.platform_answers {
            "answers"
        } else {
            "silent"
        };
        writeln!(
            out,
            "{:<20} {:<14} {:>8}  {:<9} {platform}",
            it.name,
            it.data_centre,
            it.revision.0,
            state(it)
        )?;
    }
    for name in &fleet.silent {
        writeln!(out, "{name:<20} {:<14} {:>8}  no answer", "", "")?;
    }
    Ok(())
}

fn state(instance: &InstanceStatus) -> &'static str {
    match (instance.stopping, instance.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    }
}

fn write_servers(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<14} {:>8} {:>8}",
        "backend server", "pool", "slots", "running"
    )?;
    for it in &fleet.servers {
        let leaving = if it.leaving { "  leaving" } else { "" };
        writeln!(
            out,
            "{:<20} {:<14} {:>8} {:>8}{leaving}",
            it.name, it.pool, it.slots, it.running
        )?;
    }
    Ok(())
}

#[derive(Default)]
struct Sum {
    waiting: u64,
    waiting_bytes: u64,
    running: u64,
}

fn write_teams(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    let mut sums: BTreeMap<&str, Sum> = BTreeMap::new();
    for team in fleet.instances.iter().flat_map(|it| &it.teams) {
        let sum = sums.entry(&team.name).or_default();
        sum.waiting += team.waiting;
        sum.waiting_bytes += team.waiting_bytes;
        sum.running += team.running;
    }
    writeln!(
        out,
        "{:<20} {:>8} {:>14} {:>8}",
        "team", "waiting", "waiting bytes", "running"
    )?;
    for (name, sum) in sums {
        writeln!(
            out,
            "{name:<20} {:>8} {:>14} {:>8}",
            sum.waiting, sum.waiting_bytes, sum.running
        )?;
    }
    Ok(())
}
