//! `sl-listing`: measures how long a change of the store takes to reach all instances, and what a full listing
//! costs, by the number of entries.

use std::path::PathBuf;

use bench::listing::{Kind, Options, measure};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result};
use strum::IntoEnumIterator;

#[derive(Clone, Debug)]
struct Args {
    instances: usize,
    entries: Vec<usize>,
    entry_bytes: usize,
    binary: Option<PathBuf>,
}

fn options() -> OptionParser<Args> {
    let instances = long("instances").help("Instances").argument("N").fallback(6);
    let entries = long("entries")
        .help("Entries of servers; 100, 1,000 and 6,000 where none is named")
        .argument("N")
        .many();
    let entry_bytes = long("entry-bytes").help("Bytes of each entry").argument("N").fallback(300);
    let binary = long("binary")
        .help("The `sesamelock` to measure; by default the one beside this program")
        .argument("FILE")
        .optional();
    construct!(Args { instances, entries, entry_bytes, binary })
        .to_options()
        .descr("Measures changes and full listings of the store in a fleet on loopback")
}

#[tokio::main]
async fn main() -> Result<()> {
    let mut args = options().run();
    if args.entries.is_empty() {
        args.entries = vec![100, 1_000, 6_000];
    }
    let binary = match args.binary {
        Some(binary) => binary,
        None => std::env::current_exe().into_diagnostic()?.with_file_name("sesamelock"),
    };
    for kind in Kind::iter() {
        for &entries in &args.entries {
            let options = Options {
                binary: binary.clone(),
                instances: args.instances,
                entries,
                entry_bytes: args.entry_bytes,
            };
            match measure(&options, kind).await {
                Ok(it) => println!(
                    "{kind} entries={entries} last_ms={} processor_ms={} link_bytes={} memory_kb={} \
                     fallbacks={}",
                    it.last.as_millis(),
                    it.processor.as_millis(),
                    it.link_bytes,
                    it.memory_kb,
                    it.fallbacks
                ),
                Err(e) => println!("{kind} entries={entries} failed: {e}"),
            }
        }
    }
    Ok(())
}
