//! The whole thing on loopback: nine instances between stand-ins. It sends a request of
//! each kind, prints status and burn report, and stays up to be called by hand.

use std::path::PathBuf;

use bench::{Fleet, fleet::Options, instance::OPERATOR_KEY};
use bpaf::{OptionParser, Parser, long};
use miette::{IntoDiagnostic, Result, miette};
use stand_ins::{Call, document};

fn options() -> OptionParser<bool> {
    long("once")
        .help("Exit after the round instead of staying up")
        .switch()
        .to_options()
        .descr("Nine instances between stand-ins on loopback, with one round of use")
}

#[tokio::main]
async fn main() -> Result<()> {
    let once = options().run();
    println!("Starting 9 instances, 16 backend servers and a stand-in for the store ...");
    let options = Options { binary: binary()?, instances: 9, apps: 4, engines: 12 };
    let fleet = Fleet::start(options).await.into_diagnostic()?;
    println!("All instances are ready.");
    send(&fleet, 0, call("GET", "/status/7")).await?;
    send(&fleet, 1, call("POST", "/book/7")).await?;
    let prompt = Some((1_400, 60, "a1:1000,b2:400".to_owned()));
    send(&fleet, 2, Call { prompt: prompt.clone(), ..call("POST", "/chat/7") }).await?;
    send(&fleet, 3, Call { prompt, ..call("POST", "/sheet/7") }).await?;
    operate(&fleet, &["status"])?;
    operate(&fleet, &["report"])?;
    if once {
        return Ok(());
    }
    explain(&fleet);
    tokio::signal::ctrl_c().await.into_diagnostic()
}

/// The daemon's binary, which stands beside this program.
fn binary() -> Result<PathBuf> {
    let path = std::env::current_exe().into_diagnostic()?.with_file_name("sesamelock");
    if path.exists() {
        return Ok(path);
    }
    Err(miette!(
        help = "build it first: cargo build --release --workspace",
        "{} is missing",
        path.display()
    ))
}

fn call(method: &'static str, target: &str) -> Call {
    let attempt = format!("demo-{}", target.trim_matches('/').replace('/', "-"));
    let call = Call::new(method, document::HOST, target, &attempt);
    Call { api_key: Some(document::BREWERS_KEY.to_owned()), ..call }
}

async fn send(fleet: &Fleet, at: usize, call: Call) -> Result<()> {
    let mut caller = fleet.caller(at).await.into_diagnostic()?;
    let answer = caller.call(&call).await.into_diagnostic()?;
    println!("\n{} {} through {}", call.method, call.target, fleet.instances[at].name);
    println!(
        "  {} after {:?}, {} bytes, whole: {}, events: {:?}",
        answer.status(),
        answer.time_to_first_byte,
        answer.body.len(),
        answer.is_complete,
        answer.event_ids()
    );
    if answer.status() != 200 {
        return Err(miette!("{} was answered with {}", call.target, answer.status()));
    }
    Ok(())
}

/// Runs a command of the operators' program and shows what it prints.
fn operate(fleet: &Fleet, args: &[&str]) -> Result<()> {
    println!("\n$ sesamelock {}", args.join(" "));
    let status = std::process::Command::new(binary()?)
        .args(args)
        .env("SESAMELOCK_OPERATOR_KEY", OPERATOR_KEY)
        .env("SESAMELOCK_INSTANCE", operator_url(fleet))
        .status()
        .into_diagnostic()?;
    if status.success() {
        return Ok(());
    }
    Err(miette!("sesamelock {} ended with {status}", args[0]))
}

fn operator_url(fleet: &Fleet) -> String {
    format!("http://{}", fleet.instances[0].operator)
}

fn explain(fleet: &Fleet) {
    let first = &fleet.instances[0];
    println!("\nThe fleet stays up; end it with Ctrl-C. Call it by hand:\n");
    let mut call = Call::new("GET", document::HOST, "/status/1", "by-hand-1");
    call.api_key = Some(document::BREWERS_KEY.to_owned());
    println!("{}", call.curl_command(first.caller));
    println!(
        "SESAMELOCK_OPERATOR_KEY={OPERATOR_KEY} target/release/sesamelock status --instance {}",
        operator_url(fleet)
    );
    println!("curl http://{}/metrics", first.metrics);
    println!("\nSettings of the first instance: {}", first.settings().display());
    println!("Its log: {}", first.log_path().display());
}
