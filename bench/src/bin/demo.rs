//! The whole thing on loopback: nine instances between stand-ins, as in Te Byw's
//! deployment. It accepts a template, edits it, sends a streamed chat and a booking,
//! prints status and burn report, and stays up to be called by hand.

use std::path::PathBuf;

use bench::{Fleet, Options, Site, instance::OPERATOR_KEY, site::credential};
use bpaf::{OptionParser, Parser, long};
use miette::{IntoDiagnostic, Result, miette};
use reqwest::Method;

const TEAM: &str = "team-01";

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
    let site = Site::te_byw();
    println!(
        "Starting {} instances, {} backend servers and the platform's stand-in ...",
        site.instances.len(),
        site.servers.len()
    );
    let fleet = Fleet::start(Options::new(binary()?, site)).await.into_diagnostic()?;
    println!("All instances are ready; the template is accepted.");
    edit(&fleet)?;
    chat(&fleet).await?;
    book(&fleet).await?;
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

/// Edits the template as an operator would: a draft from a file, then its acceptance,
/// which waits until every instance runs it.
fn edit(fleet: &Fleet) -> Result<()> {
    let text = fleet.site.text().replace("share = 8", "share = 6");
    let file = tempfile::NamedTempFile::new().into_diagnostic()?;
    std::fs::write(file.path(), text).into_diagnostic()?;
    let path = file.path().display().to_string();
    let (name, platform) = (fleet.site.template, fleet.platform.url());
    let file = ["--file", &path, "--base", "1", "--as", "demo"];
    let draft = ["template", "edit", name, "--platform", &platform];
    operate(fleet, &[draft.as_slice(), file.as_slice()].concat())?;
    let accept = ["template", "accept", name, "--platform", &platform];
    operate(fleet, &[accept.as_slice(), &["--as", "demo"]].concat())
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

async fn chat(fleet: &Fleet) -> Result<()> {
    let body = r#"{"stream":true,"max_tokens":24,"prompt":"When does my kombucha come?"}"#;
    let call = fleet.call(0, TEAM, Method::POST, "/v1/chat/completions");
    let mut answer = call.body(body).send().await.into_diagnostic()?;
    let name = &fleet.instances[0].name;
    println!("\nA chat streamed through {name}: {}", answer.status());
    let mut bytes = 0;
    let mut pieces = 0;
    while let Some(piece) = answer.chunk().await.into_diagnostic()? {
        bytes += piece.len();
        pieces += 1;
    }
    println!("  {bytes} bytes in {pieces} pieces");
    Ok(())
}

async fn book(fleet: &Fleet) -> Result<()> {
    for (at, what) in [(1, "A booking"), (2, "The same booking again")] {
        let call = fleet.call(at, TEAM, Method::POST, "/bookings");
        let call = call.header("Idempotency-Key", "standing-order-7");
        let answer = call.body(r#"{"crates":2}"#).send().await.into_diagnostic()?;
        let name = &fleet.instances[at].name;
        println!("\n{what} through {name}: {}", answer.status());
        println!("  {}", answer.text().await.into_diagnostic()?);
    }
    Ok(())
}

fn explain(fleet: &Fleet) {
    let token = credential(TEAM);
    let [first, second, ..] = fleet.instances.as_slice() else {
        return;
    };
    println!("\nThe site stays up; end it with Ctrl-C. Call it by hand:\n");
    println!(
        "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {token}' \\\n  \
         -d '{{\"stream\":true,\"max_tokens\":24}}'\n",
        first.caller
    );
    println!(
        "curl -i http://{}/bookings -H 'Authorization: Bearer {token}' \\\n  \
         -H 'Idempotency-Key: my-order-1' -d '{{\"crates\":1}}'\n",
        second.caller
    );
    println!(
        "SESAMELOCK_OPERATOR_KEY={OPERATOR_KEY} target/release/sesamelock status --instance {}",
        operator_url(fleet)
    );
    println!("curl http://{}/metrics", first.metrics);
    println!("curl -i http://{}/ready", first.metrics);
    println!("\nSettings of the first instance: {}", first.settings().display());
}
