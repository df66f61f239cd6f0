//! Runs real daemons on loopback under one load and prints a JSON line of figures for each
//! policy. docs/CAPACITY.md says which run gave which figure.

use std::path::PathBuf;

use bench::measure::{self, run::Fault, run::SiteName};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result};
use sl_config::settings::SharePolicy;

#[derive(Clone, Debug)]
struct Asked {
    site: SiteName,
    policies: Vec<SharePolicy>,
    fault: Fault,
    seed: u64,
    seconds: u64,
    tolerance_units: u64,
    exchange_ms: u64,
}

fn options() -> OptionParser<Asked> {
    let site = long("site").help("te-byw or tasman").argument("SITE").fallback(SiteName::TeByw);
    let policies = long("policy")
        .help("lent, fixed-split or uncoordinated; may be given several times")
        .argument("POLICY")
        .some("at least one policy")
        .fallback(vec![SharePolicy::Lent]);
    let fault = long("fault")
        .help("none, kill, pause, cut, platform-down or server-down")
        .argument("FAULT")
        .fallback(Fault::None);
    let seed = long("seed").help("Seed of the load").argument("N").fallback(1);
    let seconds = long("seconds").help("Seconds that are measured").argument("N").fallback(30);
    let tolerance_units = long("tolerance-units")
        .help("Tolerance between teams, in units")
        .argument("N")
        .fallback(500);
    let exchange_ms = long("exchange-ms")
        .help("Milliseconds between two exchanges")
        .argument("N")
        .fallback(1_000);
    construct!(Asked { site, policies, fault, seed, seconds, tolerance_units, exchange_ms })
        .to_options()
        .descr("Fairness gap, utilisation and control traffic of real daemons on loopback")
}

#[tokio::main]
async fn main() -> Result<()> {
    let asked = options().run();
    for policy in asked.policies {
        let options = measure::Options {
            binary: binary()?,
            site: asked.site,
            policy,
            tolerance_units: asked.tolerance_units,
            exchange_ms: asked.exchange_ms,
            fault: asked.fault,
            seed: asked.seed,
            seconds: asked.seconds,
        };
        let figures = measure::run(&options).await.into_diagnostic()?;
        println!("{}", serde_json::to_string(&figures).into_diagnostic()?);
    }
    Ok(())
}

/// The daemon's binary, which stands beside this program.
fn binary() -> Result<PathBuf> {
    Ok(std::env::current_exe().into_diagnostic()?.with_file_name("sesamelock"))
}
