//! The command line.

use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, long, positional};
use strum::IntoEnumIterator;

use crate::{Error, check, exit::Exit, output::Form, run};

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run the daemon.
    Run(run::Options),
    /// Check files.
    Check(check::Options),
}

/// Columns of the help text.
const HELP_COLUMNS: usize = 100;

/// Parses the command line, does what it asks for and gives the exit code.
pub fn main() -> ExitCode {
    match options().run_inner(Args::current_args()) {
        Ok(command) => ExitCode::from(act(&command)),
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            ExitCode::from(exit_of(&failure))
        }
    }
}

fn exit_of(failure: &ParseFailure) -> Exit {
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
        ParseFailure::Stderr(_) => Exit::Usage,
    }
}

fn act(command: &Command) -> Exit {
    let mut out = io::stdout().lock();
    let exit = dispatch(command, &mut out).unwrap_or_else(|e| {
        let exit = e.exit();
        eprintln!("{:?}", miette::Report::new(e));
        exit
    });
    match out.flush() {
        Ok(()) => exit,
        Err(_) => Exit::Failed,
    }
}

fn dispatch(command: &Command, out: &mut impl Write) -> Result<Exit, Error> {
    match command {
        Command::Run(options) => {
            run::run(options)?;
            Ok(Exit::Done)
        }
        Command::Check(options) => {
            let outcome = check::check(options)?;
            outcome.write(options.form, out)?;
            Ok(outcome.exit())
        }
    }
}

/// The parser of the whole command line.
pub fn options() -> OptionParser<Command> {
    let run = run_options()
        .to_options()
        .descr("Run an instance of the router.")
        .footer("Example:\n  sesamelock run --settings /etc/sesamelock/settings.ini")
        .command("run");
    let check = check_options()
        .to_options()
        .descr("Check settings or templates and tell every fault at once.")
        .footer(
            "Examples:\n  sesamelock check settings settings.ini\n  \
             sesamelock check template --json te-byw.ini",
        )
        .command("check");
    construct!([run, check])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("A router fleet for teams who share capacity fairly.")
        .footer(exit_codes().as_str())
}

fn exit_codes() -> String {
    let line = |it: Exit| format!("  {}  {}", it.number(), it.meaning());
    let lines: Vec<String> = Exit::iter().map(line).collect();
    format!("Exit codes:\n{}", lines.join("\n"))
}

fn run_options() -> impl Parser<Command> {
    let settings = long("settings")
        .short('s')
        .help("The settings file, in INI")
        .argument::<PathBuf>("FILE")
        .complete_shell(bpaf::ShellComp::File {
            mask: Some("*.ini"),
        });
    construct!(run::Options { settings }).map(Command::Run)
}

fn check_options() -> impl Parser<Command> {
    let form = form();
    let kind = positional::<check::Kind>("KIND").help("`settings` or `template`");
    let files = positional::<PathBuf>("FILE")
        .help("The files to check")
        .complete_shell(bpaf::ShellComp::File {
            mask: Some("*.ini"),
        })
        .some("name at least one file");
    construct!(check::Options { form, kind, files }).map(Command::Check)
}

fn form() -> impl Parser<Form> {
    long("json")
        .help("Write JSON for programs")
        .flag(Form::Json, Form::Text)
}
