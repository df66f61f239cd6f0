//! The status for people: tables of instances, backend servers and teams.

use std::{collections::BTreeMap, io};

use sl_base::status::{FleetStatus, InstanceStatus, ServerStatus};

pub(super) fn write(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(out, "configuration revision {}\n", fleet.revision)?;
    write_instances(fleet, out)?;
    writeln!(out)?;
    write_servers(fleet, out)?;
    writeln!(out)?;
    write_teams(fleet, out)?;
    writeln!(out)?;
    write_services(fleet, out)
}

fn write_instances(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<14} {:>8}  {:<9} platform",
        "instance", "data centre", "revision", "state"
    )?;
    for it in &fleet.instances {
        let platform = match it.platform_answers {
            true => "answers",
            false => "silent",
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
    match instance {
        it if it.stopping => "stopping",
        it if it.isolated => "isolated",
        it if it.ready => "ready",
        _ => "not ready",
    }
}

fn write_servers(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<14} {:>8} {:>8} {:>8}  home",
        "backend server", "pool", "slots", "lent", "running"
    )?;
    for it in &fleet.servers {
        let seen = Seen::of(fleet, it);
        let leaving = if it.leaving { ", leaving" } else { "" };
        writeln!(
            out,
            "{:<20} {:<14} {:>8} {:>8} {:>8}  {}{leaving}",
            it.name, it.pool, it.slots, seen.lent, seen.running, seen.home
        )?;
    }
    Ok(())
}

/// A backend server as all instances that answered see it.
#[derive(Default)]
struct Seen<'a> {
    lent: u32,
    running: u32,
    home: &'a str,
}

impl<'a> Seen<'a> {
    fn of(fleet: &'a FleetStatus, server: &ServerStatus) -> Seen<'a> {
        let mut seen = Seen::default();
        let windows = fleet.instances.iter().flat_map(|it| &it.windows);
        for window in windows.filter(|it| it.server == server.name) {
            seen.lent += window.window;
            seen.running += window.busy;
            seen.home = &window.home;
        }
        seen
    }
}

#[derive(Default)]
struct Work {
    waiting: u64,
    waiting_bytes: u64,
    running: u64,
}

fn write_teams(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    let mut sums: BTreeMap<&str, Work> = BTreeMap::new();
    for team in fleet.instances.iter().flat_map(|it| &it.teams) {
        let sum = sums.entry(&team.name).or_default();
        sum.waiting += team.waiting;
        sum.waiting_bytes += team.waiting_bytes;
        sum.running += team.running;
    }
    writeln!(out, "{:<20} {:>8} {:>14} {:>8}", "team", "waiting", "waiting bytes", "running")?;
    for (name, sum) in sums {
        writeln!(
            out,
            "{name:<20} {:>8} {:>14} {:>8}",
            sum.waiting, sum.waiting_bytes, sum.running
        )?;
    }
    Ok(())
}

fn write_services(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    let mut sums: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    for service in fleet.instances.iter().flat_map(|it| &it.services) {
        *sums.entry((&service.pool, &service.team)).or_default() += service.served;
    }
    writeln!(out, "{:<20} {:<20} {:>14}", "pool", "team", "served")?;
    for ((pool, team), served) in sums {
        writeln!(out, "{pool:<20} {team:<20} {served:>14}")?;
    }
    Ok(())
}
