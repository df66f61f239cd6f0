//! Text output of `status`: a table of instances and one of backend servers.

use std::io;

use sl_base::status::{FleetStatus, InstanceStatus};

pub(super) fn write(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(out, "configuration version {}\n", fleet.document_version)?;
    for data_centre in &fleet.evacuated {
        writeln!(out, "evacuated: data centre {data_centre}")?;
    }
    write_instances(fleet, out)?;
    writeln!(out)?;
    write_servers(fleet, out)
}

fn write_instances(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<24} {:<14} {:>8} {:>9} {:>6} {:>6}  {:<9} store",
        "instance", "data centre", "version", "revision", "held", "peers", "state"
    )?;
    for instance in &fleet.instances {
        let store = if instance.store_answers { "answers" } else { "silent" };
        writeln!(
            out,
            "{:<24} {:<14} {:>8} {:>9} {:>6} {:>6}  {:<9} {store}",
            instance.name,
            instance.data_centre,
            instance.document_version,
            instance.revision,
            instance.in_flight,
            instance.peers,
            state(instance)
        )?;
    }
    for id in &fleet.unreachable {
        writeln!(out, "{id:<24} no answer")?;
    }
    Ok(())
}

fn state(instance: &InstanceStatus) -> &'static str {
    match instance {
        it if it.stopping => "stopping",
        it if it.ready => "ready",
        _ => "not ready",
    }
}

fn write_servers(fleet: &FleetStatus, out: &mut impl io::Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<20} {:<14} {:<10} {:>6} {:>6} {:>11} {:>10} {:>8}  state",
        "backend server",
        "data centre",
        "version",
        "slots",
        "held",
        "backlog ms",
        "tokens/ms",
        "failing"
    )?;
    for server in &fleet.servers {
        let avoided = if server.avoided { ", avoided" } else { "" };
        let cold = match server.cold_ms {
            0 => String::new(),
            millis => format!(", cold for {millis} ms"),
        };
        writeln!(
            out,
            "{:<20} {:<14} {:<10} {:>6} {:>6} {:>11.0} {:>10.1} {:>8.2}  {}{avoided}{cold}",
            server.id,
            server.data_centre,
            server.version,
            server.slots,
            server.in_flight,
            server.backlog_ms,
            server.tokens_per_ms,
            server.failure_rate,
            server.state
        )?;
    }
    Ok(())
}
