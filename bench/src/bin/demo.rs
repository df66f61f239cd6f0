//! `sl-demo`: runs nine instances on loopback with stand-ins for the systems around them. It
//! sends a request of each kind, prints the status and the burn report, and then keeps the
//! fleet running for manual calls.

use std::path::PathBuf;

use bench::{Fleet, fleet::Options, instance::OPERATOR_KEY};
use bpaf::{OptionParser, Parser, long};
use miette::{IntoDiagnostic, Result, miette};
use stand_ins::{Call, document};

fn options() -> OptionParser<bool> {
    long("once")
        .help("Exit after the demonstration instead of keeping the fleet running")
        .switch()
        .to_options()
        .descr("Runs nine instances with stand-ins on loopback and sends a request of each kind")
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
    run_command(&fleet, &["status"])?;
    run_command(&fleet, &["report"])?;
    if once {
        return Ok(());
    }
    print_manual_use(&fleet);
    tokio::signal::ctrl_c().await.into_diagnostic()
}

/// Path of the `sesamelock` binary, which is in the directory of this program.
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
    let attempt_id = format!("demo-{}", target.trim_matches('/').replace('/', "-"));
    let call = Call::new(method, document::HOST, target, &attempt_id);
    Call { api_key: Some(document::BREWERS_KEY.to_owned()), ..call }
}

async fn send(fleet: &Fleet, index: usize, call: Call) -> Result<()> {
    let mut caller = fleet.caller(index).await.into_diagnostic()?;
    let response = caller.call(&call).await.into_diagnostic()?;
    println!("\n{} {} through {}", call.method, call.target, fleet.instances[index].name);
    println!(
        "  {} after {:?}, {} bytes, complete: {}, events: {:?}",
        response.status(),
        response.time_to_first_byte,
        response.body.len(),
        response.is_complete,
        response.event_ids()
    );
    if response.status() != 200 {
        return Err(miette!("request for {} returned status {}", call.target, response.status()));
    }
    Ok(())
}

/// Runs a command of `sesamelock` and prints its output.
fn run_command(fleet: &Fleet, args: &[&str]) -> Result<()> {
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
    Err(miette!("sesamelock {} failed with {status}", args[0]))
}

fn operator_url(fleet: &Fleet) -> String {
    format!("http://{}", fleet.instances[0].operator)
}

fn print_manual_use(fleet: &Fleet) {
    let first = &fleet.instances[0];
    println!("\nThe fleet keeps running until Ctrl-C. Commands to call it by hand:\n");
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
