//! `sl-cost`: measures the processor time that a request takes at one instance, by kind of request.

use std::{path::PathBuf, time::Duration};

use bench::cost::{Cost, Kind, Options, Testbed};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result};
use strum::IntoEnumIterator;

#[derive(Clone, Debug)]
struct Args {
    kinds: Vec<Kind>,
    engines: usize,
    rate: u32,
    seconds: u64,
    new_every: u32,
    binary: Option<PathBuf>,
}

fn options() -> OptionParser<Args> {
    let kinds = long("kind")
        .help("A kind of request: plain, stream, rejected or unrouted; all where none is named")
        .argument("KIND")
        .many();
    let engines = long("engines").help("Model engines").argument("N").fallback(320);
    let rate = long("rate").help("Requests a second").argument("N").fallback(150);
    let seconds = long("seconds").help("How long each kind is sent").argument("S").fallback(8);
    let new_every = long("new-every")
        .help("Of so many requests, one comes on a new connection; 0 for none")
        .argument("N")
        .fallback(5);
    let binary = long("binary")
        .help("The `sesamelock` to measure; by default the one beside this program")
        .argument("FILE")
        .optional();
    construct!(Args { kinds, engines, rate, seconds, new_every, binary })
        .to_options()
        .descr("Measures what a request costs one real instance on loopback")
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = options().run();
    if args.kinds.is_empty() {
        args.kinds = Kind::iter().filter(|it| *it != Kind::Idle).collect();
    }
    let binary = match args.binary {
        Some(binary) => binary,
        None => std::env::current_exe().into_diagnostic()?.with_file_name("sesamelock"),
    };
    let options = Options {
        binary,
        engines: args.engines,
        rate: args.rate,
        duration: Duration::from_secs(args.seconds),
        new_connection_every: args.new_every,
    };
    let testbed = Testbed::start(options).await.into_diagnostic()?;
    println!("process {}", testbed.instance().process_id().unwrap_or_default());
    let idle = testbed.measure(Kind::Idle).await.into_diagnostic()?;
    print(Kind::Idle, idle, idle);
    for kind in args.kinds {
        let cost = testbed.measure(kind).await.into_diagnostic()?;
        print(kind, cost, idle);
    }
    Ok(())
}

/// Prints what a kind cost, and for each request how much more than an `idle` instance takes.
fn print(kind: Kind, cost: Cost, idle: Cost) {
    let seconds = cost.elapsed.as_secs_f64();
    let cores = cost.usage.processor.as_secs_f64() / seconds;
    let idle_cores = idle.usage.processor.as_secs_f64() / idle.elapsed.as_secs_f64();
    let waits = cost.usage.waits as f64 / seconds;
    let idle_waits = idle.usage.waits as f64 / idle.elapsed.as_secs_f64();
    println!("{kind}: {cores:.4} cores, {waits:.0} waits a second");
    if cost.requests > 0 {
        let requests = f64::from(cost.requests);
        println!(
            "  {} requests, {} as expected; each {:.1} us and {:.1} waits",
            cost.requests,
            cost.expected,
            (cores - idle_cores) * seconds / requests * MICROS_PER_SECOND,
            (waits - idle_waits) * seconds / requests,
        );
    }
}

const MICROS_PER_SECOND: f64 = 1_000_000.0;
