//! The parsers of the command line.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional, pure};
use sl_base::Millis;
use strum::IntoEnumIterator;

use super::{Ask, Command};
use crate::{check, drain, exit::Exit, explain, operator, output::Form, report, run, template};

/// The environment variable that holds the address of an instance's operator port.
const INSTANCE_ENV: &str = "SESAMELOCK_INSTANCE";

/// How long an instance may take to answer where nothing else is said.
const ANSWER_WITHIN: Millis = Millis(5_000);

/// The parser of the whole command line.
pub fn options() -> OptionParser<Command> {
    let run = run();
    let check = check();
    let hash = hash();
    let explain = explain();
    let status = status();
    let drain = drain();
    let report = report();
    construct!([run, check, hash, explain, status, drain, report])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router fleet for teams who share capacity fairly.")
        .footer(footer().as_str())
}

fn footer() -> String {
    let line = |it: Exit| format!("  {}  {}", it.number(), it.meaning());
    let codes: Vec<String> = Exit::iter().map(line).collect();
    format!(
        "Exit codes:\n{}\n  \n  \
         Completions for your shell: sesamelock --bpaf-complete-style-bash (-zsh, -fish, -elvish)",
        codes.join("\n")
    )
}

fn hash() -> impl Parser<Command> {
    let form = form();
    construct!(Command::Hash(form))
        .to_options()
        .descr("Hash a secret from standard input, as settings name it.")
        .footer("Example:\n sesamelock hash < credential.txt")
        .command("hash")
}

fn run() -> impl Parser<Command> {
    let settings = long("settings")
        .short('s')
        .help("The settings file, in INI")
        .argument::<PathBuf>("FILE")
        .complete_shell(ini_files());
    construct!(run::Options { settings })
        .map(Command::Run)
        .to_options()
        .descr("Run an instance of the router.")
        .footer("Example:\n  sesamelock run --settings /etc/sesamelock/settings.ini")
        .command("run")
}

fn check() -> impl Parser<Command> {
    let form = form();
    let files = positional::<PathBuf>("FILE")
        .help("The files to check")
        .complete_shell(ini_files())
        .some("name at least one file");
    let settings = construct!(check::Options { form, files })
        .map(Command::Check)
        .to_options()
        .descr("Check settings of instances.")
        .command("settings");
    let template = template();
    construct!([settings, template])
        .to_options()
        .descr("Check settings and tell every fault at once.")
        .footer("Example:\n  sesamelock check settings --json settings.ini")
        .command("check")
}

fn template() -> impl Parser<Command> {
    let form = form();
    let values = long("values")
        .help("What the template is filled in with, in TOML")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None });
    let template = positional::<PathBuf>("TEMPLATE")
        .help("The template of the deploy file")
        .complete_shell(ini_files());
    construct!(template::Options { form, values, template })
        .map(Command::Template)
        .to_options()
        .descr("Fill a template of settings in, and check what comes of it.")
        .footer("Example:\n  sesamelock check template --values values.toml deploy/settings.ini")
        .command("template")
}

fn explain() -> impl Parser<Command> {
    let form = form();
    let id = positional::<String>("ID").help("The id of the caller's attempt");
    let files = positional::<PathBuf>("LOG")
        .help("Logs of any number of instances; standard input where there are none")
        .complete_shell(ShellComp::File { mask: None })
        .many();
    construct!(explain::Options { form, id, files })
        .map(Command::Explain)
        .to_options()
        .descr("Tell what became of a request and why, from the instances' logs.")
        .footer("Example:\n  sesamelock explain 9c41d07be2a35f68 /var/log/sesamelock/*.log")
        .command("explain")
}

fn status() -> impl Parser<Command> {
    ask(instance(), pure(()))
        .map(Command::Status)
        .to_options()
        .descr("Tell the status of the fleet, as one instance and its peers see it.")
        .footer("Example:\n  sesamelock status --instance http://127.0.0.1:8102")
        .command("status")
}

fn drain() -> impl Parser<Command> {
    let within = long("within-ms")
        .help("When to cut off what is still under way; else as its settings say")
        .argument::<u64>("MS")
        .map(Millis)
        .optional();
    let wait = long("wait-ms")
        .help("How long to wait for the instance to be gone")
        .argument::<u64>("MS")
        .map(Millis)
        .optional();
    let options = construct!(drain::Options { within, wait });
    let address = positional::<String>("INSTANCE").help("The address of its operator port");
    ask(address, options)
        .map(Command::Drain)
        .to_options()
        .descr("Begin a planned stop of one instance.")
        .footer("Example:\n  sesamelock drain http://127.0.0.1:8102 --wait-ms 60000")
        .command("drain")
}

fn report() -> impl Parser<Command> {
    let svg =
        long("svg").help("Write a plot to this file, too").argument::<PathBuf>("FILE").optional();
    let options = construct!(report::Options { svg });
    ask(instance(), options)
        .map(Command::Report)
        .to_options()
        .descr("Report how fast teams' routes use up what their objectives allow.")
        .footer("Example:\n  sesamelock report --instance http://127.0.0.1:8102 --svg burn.svg")
        .command("report")
}

fn ask<O: 'static>(
    address: impl Parser<String> + 'static,
    options: impl Parser<O> + 'static,
) -> impl Parser<Ask<O>> {
    let form = form();
    // The address may be a positional item, and those come last.
    let rest = construct!(form, options);
    let operator = operator(address);
    construct!(rest, operator).map(|((form, options), operator)| Ask { operator, options, form })
}

fn operator(address: impl Parser<String> + 'static) -> impl Parser<operator::Options> {
    let key_file = long("key-file")
        .help("The file that holds the operator's key; else SESAMELOCK_OPERATOR_KEY holds it")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let answer_within = millis("answer-within-ms", "How long an answer may take", ANSWER_WITHIN);
    construct!(operator::Options { key_file, answer_within, address })
}

fn instance() -> impl Parser<String> {
    long("instance")
        .env(INSTANCE_ENV)
        .help("The address of an instance's operator port")
        .argument::<String>("URL")
}

fn form() -> impl Parser<Form> {
    long("json").help("Write JSON for programs").flag(Form::Json, Form::Text)
}

fn millis(name: &'static str, help: &'static str, default: Millis) -> impl Parser<Millis> {
    long(name).help(help).argument::<u64>("MS").map(Millis).fallback(default).display_fallback()
}

fn ini_files() -> ShellComp {
    ShellComp::File { mask: Some("*.ini") }
}
