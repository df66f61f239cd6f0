//! Parsers of the commands, flags and positional arguments.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, ShellComp, construct, long, positional, pure};
use sl_base::Millis;
use strum::IntoEnumIterator;

use super::{Command, OperatorCommand};
use crate::{
    check, drain, exit::Exit, explain, operator, output::OutputFormat, report, run, template,
};

/// Environment variable with the default for `--instance`.
const INSTANCE_ENV: &str = "SESAMELOCK_INSTANCE";

/// Default of `--answer-within-ms`.
const RESPONSE_TIMEOUT_DEFAULT: Millis = Millis(5_000);

/// Returns the parser of the whole command line.
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
        .descr("Request router that shares LLM serving capacity fairly between teams.")
        .footer(footer().as_str())
}

fn footer() -> String {
    let line = |it: Exit| format!("  {}  {}", it.number(), it.meaning());
    let codes: Vec<String> = Exit::iter().map(line).collect();
    format!(
        "Exit codes:\n{}\n  \n  \
         Shell completions: sesamelock --bpaf-complete-style-bash (-zsh, -fish, -elvish)",
        codes.join("\n")
    )
}

fn hash() -> impl Parser<Command> {
    let format = format();
    construct!(Command::Hash(format))
        .to_options()
        .descr("Hash a secret from standard input into the form that settings files hold.")
        .footer("Example:\n sesamelock hash < credential.txt")
        .command("hash")
}

fn run() -> impl Parser<Command> {
    let settings = long("settings")
        .short('s')
        .help("Settings file in INI format")
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
    let format = format();
    let files = positional::<PathBuf>("FILE")
        .help("Settings files to check")
        .complete_shell(ini_files())
        .some("name at least one file");
    let settings = construct!(check::Options { format, files })
        .map(Command::Check)
        .to_options()
        .descr("Validate settings files.")
        .command("settings");
    let template = template();
    construct!([settings, template])
        .to_options()
        .descr("Validate settings and report all faults in one run.")
        .footer("Example:\n  sesamelock check settings --json settings.ini")
        .command("check")
}

fn template() -> impl Parser<Command> {
    let format = format();
    let values = long("values")
        .help("TOML file with the values of the placeholders")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None });
    let template = positional::<PathBuf>("TEMPLATE")
        .help("Settings template to render")
        .complete_shell(ini_files());
    construct!(template::Options { format, values, template })
        .map(Command::Template)
        .to_options()
        .descr("Render a settings template and validate the result.")
        .footer("Example:\n  sesamelock check template --values values.toml deploy/settings.ini")
        .command("template")
}

fn explain() -> impl Parser<Command> {
    let format = format();
    let id = positional::<String>("ID").help("Attempt id of the request, as sent by the caller");
    let files = positional::<PathBuf>("LOG")
        .help("Log files of any number of instances; reads standard input if omitted")
        .complete_shell(ShellComp::File { mask: None })
        .many();
    construct!(explain::Options { format, id, files })
        .map(Command::Explain)
        .to_options()
        .descr("Trace a request through the logs of the instances: each decision and its inputs.")
        .footer("Example:\n  sesamelock explain 9c41d07be2a35f68 /var/log/sesamelock/*.log")
        .command("explain")
}

fn status() -> impl Parser<Command> {
    operator_command(instance(), pure(()))
        .map(Command::Status)
        .to_options()
        .descr("Show the status of the fleet, as reported by one instance and its peers.")
        .footer("Example:\n  sesamelock status --instance http://127.0.0.1:8102")
        .command("status")
}

fn drain() -> impl Parser<Command> {
    let drain_timeout = long("within-ms")
        .help("Time until requests still in flight are cut off; default: the instance's setting")
        .argument::<u64>("MS")
        .map(Millis)
        .optional();
    let wait_timeout = long("wait-ms")
        .help("Time to wait for the instance to exit; returns at once if omitted")
        .argument::<u64>("MS")
        .map(Millis)
        .optional();
    let options = construct!(drain::Options { drain_timeout, wait_timeout });
    let address = positional::<String>("INSTANCE").help("Base URL of the instance's operator port");
    operator_command(address, options)
        .map(Command::Drain)
        .to_options()
        .descr(
            "Start a graceful shutdown of one instance. This does not evacuate a data centre: that is \
             done by the entry `op/evacuate/DATA_CENTRE` of the platform's store.",
        )
        .footer("Example:\n  sesamelock drain http://127.0.0.1:8102 --wait-ms 60000")
        .command("drain")
}

fn report() -> impl Parser<Command> {
    let svg = long("svg")
        .help("Also write a plot to this SVG file")
        .argument::<PathBuf>("FILE")
        .optional();
    let options = construct!(report::Options { svg });
    operator_command(instance(), options)
        .map(Command::Report)
        .to_options()
        .descr("Report how fast each team's routes use up their error budgets.")
        .footer("Example:\n  sesamelock report --instance http://127.0.0.1:8102 --svg burn.svg")
        .command("report")
}

fn operator_command<O: 'static>(
    address: impl Parser<String> + 'static,
    options: impl Parser<O> + 'static,
) -> impl Parser<OperatorCommand<O>> {
    let format = format();
    // The address may be positional, and bpaf requires positional items to come last.
    let rest = construct!(format, options);
    let operator = operator(address);
    construct!(rest, operator).map(|((format, options), operator)| OperatorCommand {
        operator,
        options,
        format,
    })
}

fn operator(address: impl Parser<String> + 'static) -> impl Parser<operator::Options> {
    let key_file = long("key-file")
        .help("File with the operator key; default: the value of SESAMELOCK_OPERATOR_KEY")
        .argument::<PathBuf>("FILE")
        .complete_shell(ShellComp::File { mask: None })
        .optional();
    let response_timeout =
        millis("answer-within-ms", "Timeout of each call", RESPONSE_TIMEOUT_DEFAULT);
    construct!(operator::Options { key_file, response_timeout, address })
}

fn instance() -> impl Parser<String> {
    long("instance")
        .env(INSTANCE_ENV)
        .help("Base URL of an instance's operator port")
        .argument::<String>("URL")
}

fn format() -> impl Parser<OutputFormat> {
    long("json").help("Write JSON instead of text").flag(OutputFormat::Json, OutputFormat::Text)
}

fn millis(name: &'static str, help: &'static str, default: Millis) -> impl Parser<Millis> {
    long(name).help(help).argument::<u64>("MS").map(Millis).fallback(default).display_fallback()
}

fn ini_files() -> ShellComp {
    ShellComp::File { mask: Some("*.ini") }
}
