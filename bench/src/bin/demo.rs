//! The whole thing on loopback: nine instances between stand-ins, as in Te Byw's
//! deployment. It accepts a template, edits it, sends a streamed chat and a booking,
//! prints status and burn report, and stays up to be called by hand.

use std::{path::PathBuf, time::Duration};

use bench::{Fleet, Options, Site, instance::OPERATOR_KEY, site::credential};
use bpaf::{OptionParser, Parser, long};
use miette::{IntoDiagnostic, Result, miette};
use reqwest::Method;

const TEAM: &str = "team-01";

/// How long the edited template may take to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(10);

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
    let mut fleet = Fleet::start(Options::new(binary()?, site))
        .await
        .into_diagnostic()?;
    println!("All instances are ready; the template is accepted.");
    edit(&mut fleet).await?;
    chat(&fleet).await?;
    book(&fleet).await?;
    print(&fleet, "Status", "/status").await?;
    print(&fleet, "Burn report", "/report").await?;
    if once {
        return Ok(());
    }
    explain(&fleet);
    tokio::signal::ctrl_c().await.into_diagnostic()
}

/// The daemon's binary, which stands beside this program.
fn binary() -> Result<PathBuf> {
    let path = std::env::current_exe()
        .into_diagnostic()?
        .with_file_name("sesamelock");
    if path.exists() {
        return Ok(path);
    }
    Err(miette!(
        help = "build it first: cargo build --release --workspace",
        "{} is missing",
        path.display()
    ))
}

async fn edit(fleet: &mut Fleet) -> Result<()> {
    let text = fleet.site.text().replace("share = 8", "share = 6");
    let start = tokio::time::Instant::now();
    let revision = fleet.accept(&text).await.into_diagnostic()?;
    println!("\nEdited the share of {TEAM} and accepted revision {revision}.");
    let wanted = format!("sesamelock_config_revision {revision}");
    for at in 0..fleet.instances.len() {
        while !fleet.metrics(at).await.into_diagnostic()?.contains(&wanted) {
            if start.elapsed() > IN_FORCE_WITHIN {
                let name = &fleet.instances[at].name;
                return Err(miette!("{name} does not run revision {revision}"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let millis = start.elapsed().as_millis();
    println!("It is in force on all instances after {millis} ms.");
    Ok(())
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
        let answer = call
            .body(r#"{"crates":2}"#)
            .send()
            .await
            .into_diagnostic()?;
        let name = &fleet.instances[at].name;
        println!("\n{what} through {name}: {}", answer.status());
        println!("  {}", answer.text().await.into_diagnostic()?);
    }
    Ok(())
}

async fn print(fleet: &Fleet, what: &str, path: &str) -> Result<()> {
    let answer = fleet.operate(0, Method::GET, path).send().await;
    let text = answer.into_diagnostic()?.text().await.into_diagnostic()?;
    let pretty = serde_json::from_str::<serde_json::Value>(&text)
        .and_then(|it| serde_json::to_string_pretty(&it))
        .unwrap_or(text);
    println!("\n{what}:\n{pretty}");
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
        "curl http://{}/status -H 'Authorization: Bearer {OPERATOR_KEY}'",
        first.operator
    );
    println!("curl http://{}/metrics", first.metrics);
    println!("curl -i http://{}/ready", first.metrics);
    println!(
        "\nSettings of the first instance: {}",
        first.settings().display()
    );
}
