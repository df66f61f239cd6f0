//! What one instance adds and carries: latency to the first byte against a direct call
//! in the same run, requests a second, and memory with requests waiting. One JSON line
//! for each figure.

use std::{path::PathBuf, time::Duration};

use bench::{Fleet, Options, Site};
use bpaf::{OptionParser, Parser, construct, long};
use hdrhistogram::Histogram;
use miette::{IntoDiagnostic, Result, miette};
use reqwest::{Client, Method, RequestBuilder};
use serde::Serialize;
use stand_ins::{Kind, Spec};
use tokio::{
    task::JoinSet,
    time::{Instant, MissedTickBehavior},
};

const TEAM: &str = "team-01";
const PATH: &str = "/bookings/7";

#[derive(Clone, Copy, Debug)]
struct Args {
    rate: u32,
    seconds: u64,
    callers: usize,
    waiting: usize,
}

fn args() -> OptionParser<Args> {
    let rate = long("rate").help("Requests a second for the latency").argument("N").fallback(500);
    let seconds = long("seconds").help("How long each part runs").argument("N").fallback(10);
    let callers =
        long("callers").help("Callers at once for the throughput").argument("N").fallback(64);
    let waiting =
        long("waiting").help("Requests that wait for the memory").argument("N").fallback(1_000);
    construct!(Args { rate, seconds, callers, waiting })
        .to_options()
        .descr("Latency, throughput and memory of one instance on loopback")
}

#[derive(Serialize)]
struct Latency {
    figure: &'static str,
    rate: u32,
    requests: u64,
    failed: u64,
    direct_p50_us: u64,
    direct_p99_us: u64,
    through_p50_us: u64,
    through_p99_us: u64,
    added_p50_us: i64,
    added_p99_us: i64,
}

#[derive(Serialize)]
struct Throughput {
    figure: &'static str,
    callers: usize,
    requests_per_second: f64,
    failed: u64,
    cpu_seconds_per_second: f64,
}

#[derive(Serialize)]
struct Memory {
    figure: &'static str,
    waiting: usize,
    idle_kib: u64,
    waiting_kib: u64,
}

#[tokio::main]
async fn main() -> Result<()> {
    let args = args().run();
    let fleet = Fleet::start(Options::new(binary()?, site())).await.into_diagnostic()?;
    tokio::time::sleep(WARM_UP).await;
    print(&latency(&fleet, args).await?)?;
    print(&throughput(&fleet, args).await?)?;
    print(&memory(&fleet, args).await?)
}

fn print(figure: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(figure).into_diagnostic()?);
    Ok(())
}

fn binary() -> Result<PathBuf> {
    let path = std::env::current_exe().into_diagnostic()?;
    Ok(path.with_file_name("sesamelock"))
}

/// One instance before services that answer at once, and one that never hurries.
fn site() -> Site {
    let server = |pool: &str, n: usize, slots: u32, service_ms: u64| Spec {
        name: format!("{pool}-{n}"),
        pool: pool.to_owned(),
        data_centre: "caerdydd".to_owned(),
        listen: ([127, 0, 0, 1], 0).into(),
        slots,
        kind: Kind::Plain { service_ms },
    };
    let mut site = Site::te_byw().with_instances(1);
    site.servers = (1..=4).map(|n| server("booking", n, 64, 0)).collect();
    site.servers.push(server("drafting", 1, 1, 60_000));
    site.routes = site
        .routes
        .replace("path = /v1/route-sheets", "path = /wait")
        .replace("cost = tokens\nhint = 400", "queue-within-ms = 120000");
    // The text with its teams stands for the routes, so that a team's bounds can be set.
    site.routes = site.text().replace("share = 8", "share = 8\nqueue-max = 100000");
    site.teams.clear();
    site
}

async fn latency(fleet: &Fleet, args: Args) -> Result<Latency> {
    let http = Client::builder().no_proxy().build().into_diagnostic()?;
    let address = fleet.backends.listed()[0].address;
    let direct = || http.get(format!("http://{address}{PATH}"));
    let through = || fleet.call(0, TEAM, Method::GET, PATH);
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / args.rate);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut calls = JoinSet::new();
    let count = u64::from(args.rate) * args.seconds;
    for _ in 0..count {
        ticks.tick().await;
        calls.spawn(first_byte(direct(), false));
        calls.spawn(first_byte(through(), true));
    }
    let mut of = [histogram()?, histogram()?];
    let mut failed = 0;
    while let Some(call) = calls.join_next().await {
        match call.into_diagnostic()? {
            (is_through, Some(micros)) => of[usize::from(is_through)].saturating_record(micros),
            (_, None) => failed += 1,
        }
    }
    let at = |n: usize, quantile: f64| of[n].value_at_quantile(quantile);
    Ok(Latency {
        figure: "latency",
        rate: args.rate,
        requests: count,
        failed,
        direct_p50_us: at(0, 0.5),
        direct_p99_us: at(0, 0.99),
        through_p50_us: at(1, 0.5),
        through_p99_us: at(1, 0.99),
        added_p50_us: at(1, 0.5) as i64 - at(0, 0.5) as i64,
        added_p99_us: at(1, 0.99) as i64 - at(0, 0.99) as i64,
    })
}

async fn first_byte(call: RequestBuilder, is_through: bool) -> (bool, Option<u64>) {
    let start = Instant::now();
    let Ok(answer) = call.send().await else {
        return (is_through, None);
    };
    let micros = start.elapsed().as_micros() as u64;
    let whole = answer.status() == 200 && answer.bytes().await.is_ok();
    (is_through, whole.then_some(micros))
}

async fn throughput(fleet: &Fleet, args: Args) -> Result<Throughput> {
    let cpu = cpu_seconds(fleet)?;
    let start = Instant::now();
    let end = start + Duration::from_secs(args.seconds);
    let mut callers = JoinSet::new();
    for _ in 0..args.callers {
        let call = fleet.call(0, TEAM, Method::GET, PATH);
        callers.spawn(async move {
            let (mut done, mut failed) = (0_u64, 0_u64);
            while Instant::now() < end {
                let Some(call) = call.try_clone() else { break };
                match first_byte(call, true).await {
                    (_, Some(_)) => done += 1,
                    (_, None) => failed += 1,
                }
            }
            (done, failed)
        });
    }
    let (mut done, mut failed) = (0, 0);
    while let Some(counts) = callers.join_next().await {
        let counts = counts.into_diagnostic()?;
        done += counts.0;
        failed += counts.1;
    }
    let seconds = start.elapsed().as_secs_f64();
    Ok(Throughput {
        figure: "throughput",
        callers: args.callers,
        requests_per_second: done as f64 / seconds,
        failed,
        cpu_seconds_per_second: (cpu_seconds(fleet)? - cpu) / seconds,
    })
}

async fn memory(fleet: &Fleet, args: Args) -> Result<Memory> {
    let idle_kib = resident_kib(fleet)?;
    let body = "x".repeat(BODY_BYTES);
    let mut calls = JoinSet::new();
    for _ in 0..args.waiting {
        let call = fleet.call(0, TEAM, Method::POST, "/wait");
        calls.spawn(call.body(body.clone()).send());
    }
    let wanted = format!("sesamelock_held_requests {}", args.waiting);
    let end = Instant::now() + WAITING_WITHIN;
    while !fleet.metrics(0).await.into_diagnostic()?.contains(&wanted) {
        if Instant::now() > end {
            return Err(miette!("{} requests never waited", args.waiting));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let waiting_kib = resident_kib(fleet)?;
    calls.abort_all();
    Ok(Memory { figure: "memory", waiting: args.waiting, idle_kib, waiting_kib })
}

fn histogram() -> Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, MICROS_MAX, 3).into_diagnostic()
}

fn proc_file(fleet: &Fleet, name: &str) -> Result<String> {
    let id = fleet.instances[0].id().unwrap_or_default();
    std::fs::read_to_string(format!("/proc/{id}/{name}")).into_diagnostic()
}

fn resident_kib(fleet: &Fleet) -> Result<u64> {
    let status = proc_file(fleet, "status")?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    number.ok_or_else(|| miette!("the system tells no resident size"))
}

fn cpu_seconds(fleet: &Fleet) -> Result<f64> {
    let stat = proc_file(fleet, "stat")?;
    let fields = stat.rsplit_once(')').map_or("", |it| it.1);
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |n: usize| -> f64 { fields.get(n).and_then(|it| it.parse().ok()).unwrap_or(0.0) };
    Ok((ticks(USER_TIME) + ticks(SYSTEM_TIME)) / TICKS_PER_SECOND)
}

/// Microseconds of the longest latency that is told apart.
const MICROS_MAX: u64 = 3_600_000_000;
/// Where user time stands after the name in a process's `stat`.
const USER_TIME: usize = 11;
/// Where system time stands after the name in a process's `stat`.
const SYSTEM_TIME: usize = 12;
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a waiting request's body.
const BODY_BYTES: usize = 4 * 1024;
/// How long the slots take to settle after a start.
const WARM_UP: Duration = Duration::from_secs(6);
/// How long the waiting requests may take to arrive.
const WAITING_WITHIN: Duration = Duration::from_secs(20);
