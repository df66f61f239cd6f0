//! `sl-soak`: runs the fault soak with the given seeds.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use bench::soak::{self, Options};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result};

#[derive(Clone, Debug)]
struct Args {
    seed: u64,
    seeds: u64,
    seconds: u64,
    instances: usize,
    logs: Option<PathBuf>,
}

fn options() -> OptionParser<Args> {
    let seed = long("seed").help("The first seed").argument("N").fallback(1);
    let seeds = long("seeds")
        .help("Number of seeds, which are run one after the other")
        .argument("N")
        .fallback(1);
    let seconds =
        long("seconds").help("How long faults are injected, in seconds").argument("S").fallback(8);
    let instances = long("instances").help("Instances").argument("N").fallback(3);
    let logs =
        long("logs").help("Directory for the logs of failed runs").argument("DIR").optional();
    construct!(Args { seed, seeds, seconds, instances, logs })
        .to_options()
        .descr("Runs real instances under random faults and reports violated guarantees")
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let args = options().run();
    let binary = std::env::current_exe().into_diagnostic()?.with_file_name("sesamelock");
    let mut failed = 0;
    for seed in args.seed..args.seed + args.seeds {
        let options = Options {
            binary: binary.clone(),
            seed,
            fault_duration: Duration::from_secs(args.seconds),
            instances: args.instances,
        };
        let outcome = soak::run(options).await.into_diagnostic()?;
        let verdict = if outcome.violations.is_empty() { "kept" } else { "BROKEN" };
        println!(
            "seed {seed}: {verdict}; {} requests, {} answered, {} refused, {} faults",
            outcome.requests,
            outcome.answered,
            outcome.refused,
            outcome.faults.len()
        );
        if outcome.violations.is_empty() {
            continue;
        }
        failed += 1;
        for violation in &outcome.violations {
            println!("  {violation:?}");
        }
        println!("  faults: {:?}", outcome.faults);
        if let Some(dir) = &args.logs {
            std::fs::create_dir_all(dir).into_diagnostic()?;
            for (name, log) in &outcome.logs {
                let path = dir.join(format!("soak-{seed}-{name}.log"));
                std::fs::write(path, log).into_diagnostic()?;
            }
        }
    }
    println!("{failed} of {} seeds violated a guarantee", args.seeds);
    Ok(if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
