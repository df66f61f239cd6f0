//! Runs a stand-in as a process of its own, until it is ended.

use std::{future::pending, io, net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::{OptionParser, Parser, construct, long, short};
use stand_ins::{Backends, Platform, Relay, Spec, platform};

#[derive(Clone, Debug)]
enum Command {
    Platform(platform::Options),
    Backends { specs: PathBuf, seed: u64 },
    Relay { listen: SocketAddr, target: SocketAddr },
}

fn command() -> OptionParser<Command> {
    let platform = platform_options().map(Command::Platform);
    let platform = platform
        .to_options()
        .descr("The key-value service and the instance list")
        .command("platform");
    let backends = backend_options()
        .to_options()
        .descr("Backend servers, many in one process")
        .command("backends");
    let relay = relay_options().to_options().descr("A TCP relay").command("relay");
    construct!([platform, backends, relay])
        .to_options()
        .descr("Stand-ins for what lies outside the system; never shipped")
}

fn platform_options() -> impl Parser<platform::Options> {
    let usual = platform::Options::default();
    let listen = listen();
    let list_lag = long("list-lag-ms")
        .help("How much later a change shows in the list")
        .argument::<u64>("MS")
        .map(Duration::from_millis)
        .fallback(usual.list_lag);
    let writes_per_second = long("writes-per-second")
        .help("Writes that are taken")
        .argument("N")
        .fallback(usual.writes_per_second);
    let reads_per_second = long("reads-per-second")
        .help("Reads that are taken")
        .argument("N")
        .fallback(usual.reads_per_second);
    let seed = seed();
    construct!(platform::Options { listen, list_lag, writes_per_second, reads_per_second, seed })
}

fn backend_options() -> impl Parser<Command> {
    let specs =
        short('f').long("specs").help("A JSON file with a list of servers").argument("FILE");
    let seed = seed();
    construct!(Command::Backends { specs, seed })
}

fn relay_options() -> impl Parser<Command> {
    let listen = listen();
    let target = long("target").help("Where to relay to").argument("ADDRESS");
    construct!(Command::Relay { listen, target })
}

fn listen() -> impl Parser<SocketAddr> {
    long("listen")
        .help("Where to listen; port 0 for any")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 0)))
}

fn seed() -> impl Parser<u64> {
    long("seed").help("Seed of the faults that are left to chance").argument("N").fallback(0)
}

#[tokio::main]
async fn main() -> io::Result<()> {
    match command().run() {
        Command::Platform(options) => {
            let platform = Platform::start(options).await?;
            print(&serde_json::json!({
                "address": platform.address(),
                "admin": platform.admin(),
            }));
            pending().await
        }
        Command::Backends { specs, seed } => {
            let specs: Vec<Spec> = serde_json::from_slice(&std::fs::read(specs)?)?;
            let backends = Backends::start(specs, seed).await?;
            print(&serde_json::json!({
                "admin": backends.admin(),
                "servers": backends.listed(),
            }));
            pending().await
        }
        Command::Relay { listen, target } => {
            let relay = Relay::start(listen, target).await?;
            let admin = relay.serve_admin().await?;
            print(&serde_json::json!({
                "address": relay.address(),
                "admin": admin.address(),
            }));
            pending().await
        }
    }
}

// One line that tells whoever started the process where it listens.
fn print(line: &serde_json::Value) {
    println!("{line}");
}
