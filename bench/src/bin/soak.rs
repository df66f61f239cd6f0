//! `sl-soak`: runs the soak with unplanned faults, or that of planned stops, with the given seeds.

use std::{
    fmt,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use bench::{soak, stops};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result};

#[derive(Clone, Debug)]
struct Args {
    stops: bool,
    seed: u64,
    seeds: u64,
    seconds: Option<u64>,
    instances: usize,
    logs: Option<PathBuf>,
}

fn options() -> OptionParser<Args> {
    let stops = long("stops")
        .help("Stop instances of three data centres as planned, instead of injecting faults")
        .switch();
    let seed = long("seed").help("The first seed").argument("N").fallback(1);
    let seeds = long("seeds")
        .help("Number of seeds, which are run one after the other")
        .argument("N")
        .fallback(1);
    let seconds = long("seconds")
        .help("How long faults are injected or stops are planned, in seconds; 8, or 15 for stops")
        .argument("S")
        .optional();
    let instances = long("instances")
        .help("Instances; with --stops in each data centre")
        .argument("N")
        .fallback(3);
    let logs =
        long("logs").help("Directory for the logs of failed runs").argument("DIR").optional();
    construct!(Args { stops, seed, seeds, seconds, instances, logs })
        .to_options()
        .descr("Runs real instances under random faults and reports violated guarantees")
}

/// What is printed of a run, and the logs of its instances.
struct Report {
    counts: String,
    violations: Vec<String>,
    schedule: String,
    logs: Vec<(String, String)>,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args = options().run();
    let binary = std::env::current_exe().into_diagnostic()?.with_file_name("sesamelock");
    if let Some(dir) = &args.logs {
        std::fs::create_dir_all(dir).into_diagnostic()?;
    }
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let report = match args.stops {
            true => run_stops(&args, &binary, seed).await?,
            false => run_faults(&args, &binary, seed).await?,
        };
        let is_kept = report.violations.is_empty();
        let verdict = if is_kept { "kept" } else { "BROKEN" };
        println!("seed {seed}: {verdict}; {}", report.counts);
        if is_kept {
            continue;
        }
        failed += 1;
        for violation in &report.violations {
            println!("  {violation}");
        }
        println!("  {}", report.schedule);
        if let Some(dir) = &args.logs {
            for (name, log) in &report.logs {
                let path = dir.join(format!("soak-{seed}-{name}.log"));
                std::fs::write(path, log).into_diagnostic()?;
            }
        }
    }
    println!("{failed} of {} seeds violated a guarantee", args.seeds);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run_faults(args: &Args, binary: &Path, seed: u64) -> Result<Report> {
    let options = soak::Options {
        binary: binary.to_owned(),
        seed,
        fault_duration: Duration::from_secs(args.seconds.unwrap_or(8)),
        instances: args.instances,
    };
    let outcome = soak::run(options).await.into_diagnostic()?;
    Ok(Report {
        counts: format!(
            "{} requests, {} answered, {} refused, {} faults",
            outcome.requests,
            outcome.answered,
            outcome.refused,
            outcome.faults.len()
        ),
        violations: debug_lines(&outcome.violations),
        schedule: format!("faults: {:?}", outcome.faults),
        logs: outcome.logs,
    })
}

async fn run_stops(args: &Args, binary: &Path, seed: u64) -> Result<Report> {
    let options = stops::Options {
        binary: binary.to_owned(),
        seed,
        duration: Duration::from_secs(args.seconds.unwrap_or(15)),
        instances: args.instances,
    };
    let outcome = stops::run(options).await.into_diagnostic()?;
    Ok(Report {
        counts: format!(
            "{} requests, {} answered, {} refused, {} stops, {} ms late at most",
            outcome.requests,
            outcome.answered,
            outcome.refused,
            outcome.stops,
            outcome.lag.as_millis()
        ),
        violations: debug_lines(&outcome.violations),
        schedule: format!("planned: {:?}", outcome.actions),
        logs: outcome.logs,
    })
}

fn debug_lines(violations: &[impl fmt::Debug]) -> Vec<String> {
    violations.iter().map(|it| format!("{it:?}")).collect()
}
