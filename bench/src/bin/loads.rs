//! `sl-loads`: simulates named loads with the real scheduling decisions, by seed and policy, and
//! prints a line of JSON for each simulation.

use std::{path::PathBuf, process::ExitCode};

use bench::load::{Load, Options, Policy, ProcessorCosts, Tally, simulate};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result, miette};
use plotters::prelude::*;
use serde::Serialize;
use sl_base::Millis;
use strum::IntoEnumIterator;

#[derive(Clone, Debug)]
struct Args {
    loads: Vec<Load>,
    policies: Vec<Policy>,
    seed: u64,
    seeds: u64,
    instances: usize,
    engines: usize,
    data_centres: Option<usize>,
    cost: f64,
    independent: bool,
    processor: Option<ProcessorCosts>,
    lease_ms: u64,
    seconds: u64,
    plot: Option<PathBuf>,
}

#[derive(Serialize)]
struct Row<'a> {
    load: String,
    policy: String,
    seed: u64,
    instances: usize,
    engines: usize,
    data_centres: usize,
    cost: f64,
    #[serde(flatten)]
    tally: &'a Tally,
}

fn options() -> OptionParser<Args> {
    let loads = long("load").help("A load; all where none is named").argument("LOAD").many();
    let policies = long("policy").help("How instances hear of each other").argument("POLICY");
    let policies = policies.many();
    let seed = long("seed").help("The first seed").argument("N").fallback(1);
    let seeds = long("seeds").help("How many seeds").argument("N").fallback(1);
    let instances = long("instances").help("Instances").argument("N").fallback(9);
    let engines = long("engines").help("Engines").argument("N").fallback(12);
    let data_centres = long("data-centres")
        .help("Data centres; by default 3 in the load `uneven`, 2 in `evacuated`, else 1")
        .argument("N")
        .guard(|it| *it > 0, "at least one")
        .optional();
    let cost = long("cost")
        .help("Milliseconds that one megabyte between data centres is worth")
        .argument("MS")
        .fallback(0.0);
    let independent = long("independent").help("Do not balance routes").switch();
    let processor = processor().optional();
    let lease_ms = long("lease")
        .help("Milliseconds for which the entry of a lost engine stays listed")
        .argument("MS")
        .fallback(0);
    let seconds = long("seconds").help("How long callers come").argument("S").fallback(40);
    let plot = long("plot").help("Draw the credit of each load as SVG").argument("FILE");
    let plot = plot.optional();
    construct!(Args {
        loads,
        policies,
        seed,
        seeds,
        instances,
        engines,
        data_centres,
        cost,
        independent,
        processor,
        lease_ms,
        seconds,
        plot
    })
    .to_options()
    .descr("The load model: real decisions, modelled engines and callers, no real time")
}

/// What the work of instances takes of their processors.
fn processor() -> impl Parser<ProcessorCosts> {
    let default = ProcessorCosts::default();
    let processor = long("processor").help("The work of instances takes time").req_flag(());
    let request_micros = long("request-us")
        .help("Microseconds of a core that a request takes")
        .argument("US")
        .fallback(default.request_micros);
    let rejection_micros = long("rejection-us")
        .help("The same for a request that is rejected")
        .argument("US")
        .fallback(default.rejection_micros);
    let message_micros = long("message-us")
        .help("The same for a message of a peer")
        .argument("US")
        .fallback(default.message_micros);
    let tick_micros =
        long("tick-us").help("The same for a tick").argument("US").fallback(default.tick_micros);
    let represented_instances = long("represented")
        .help("Instances of the deployment that is simulated")
        .argument("N")
        .fallback(default.represented_instances);
    let buffered_messages = long("buffered-messages")
        .help("Messages that an instance's receive buffer holds")
        .argument("N")
        .fallback(default.buffered_messages);
    let costs = construct!(ProcessorCosts {
        request_micros,
        rejection_micros,
        message_micros,
        tick_micros,
        represented_instances,
        buffered_messages
    });
    construct!(processor, costs).map(|((), costs)| costs)
}

fn main() -> Result<ExitCode> {
    let mut args = options().run();
    if args.loads.is_empty() {
        args.loads = Load::iter().collect();
    }
    if args.policies.is_empty() {
        args.policies = vec![Policy::Notes];
    }
    let mut bars = Vec::new();
    for &policy in &args.policies {
        for &load in &args.loads {
            let credit = simulate_seeds(&args, load, policy)?;
            bars.push((format!("{load} {policy}"), credit));
        }
    }
    if let Some(path) = &args.plot {
        draw(path, &bars).map_err(|e| miette!("{} cannot be drawn: {e}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Simulates a load with all seeds and returns the mean credit.
fn simulate_seeds(args: &Args, load: Load, policy: Policy) -> Result<f64> {
    let &Args { seed, seeds, instances, engines, seconds, .. } = args;
    let data_centres = args.data_centres.unwrap_or(load.data_centres());
    let duration = Millis(seconds * 1_000);
    let mut credit = 0.0;
    for seed in seed..seed + seeds {
        let tally = simulate(Options {
            seed,
            load,
            policy,
            instances,
            engines,
            data_centres,
            data_centre_cost_ms_per_mb: args.cost,
            balances_routes: !args.independent,
            processor: args.processor,
            lease: Millis(args.lease_ms),
            duration,
        });
        credit += tally.credit / seeds as f64;
        let (load, policy) = (load.to_string(), policy.to_string());
        let cost = args.cost;
        let row = Row { load, policy, seed, instances, engines, data_centres, cost, tally: &tally };
        println!("{}", serde_json::to_string(&row).into_diagnostic()?);
    }
    Ok(credit)
}

/// Width of the drawing, height of a bar with its margin, and width of the labels, in pixels.
const WIDTH: u32 = 900;
const BAR_HEIGHT: u32 = 22;
const LABEL_WIDTH: i32 = 260;

fn draw(
    path: &PathBuf,
    bars: &[(String, f64)],
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let height = BAR_HEIGHT * (bars.len() as u32 + 1);
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let max_bar_width = f64::from(WIDTH as i32 - LABEL_WIDTH - 60);
    for (index, (name, credit)) in bars.iter().enumerate() {
        let top = (index as u32 * BAR_HEIGHT) as i32 + 4;
        let right = LABEL_WIDTH + (credit * max_bar_width) as i32;
        let bar = [(LABEL_WIDTH, top), (right, top + BAR_HEIGHT as i32 - 6)];
        area.draw(&Rectangle::new(bar, BLUE.mix(0.5).filled()))?;
        area.draw(&Text::new(name.clone(), (4, top), ("sans-serif", 14)))?;
        area.draw(&Text::new(format!("{credit:.3}"), (right + 4, top), ("sans-serif", 14)))?;
    }
    area.present()?;
    Ok(())
}
