//! Command-line entry point: parses the arguments and dispatches to the command modules.

mod args;

use std::{
    io::{self, Write},
    process::ExitCode,
};

use bpaf::{Args, ParseFailure};

pub use args::options;

use crate::{
    Error, check, drain,
    exit::Exit,
    explain, hash,
    operator::{self, Operator},
    output::OutputFormat,
    report, run, status, template,
};

/// A parsed command line.
#[derive(Clone, Debug)]
pub enum Command {
    /// `run`: run an instance of the router.
    Run(run::Options),
    /// `check settings`: validate settings files.
    Check(check::Options),
    /// `check template`: render a settings template and validate the result.
    Template(template::Options),
    /// `check configuration`: check the operator's configuration.
    Configuration(check::configuration::Options),
    /// `hash`: hash a secret from standard input.
    Hash(OutputFormat),
    /// `explain`: trace a request through the logs of the instances.
    Explain(explain::Options),
    /// `status`: show the status of the fleet.
    Status(OperatorCommand<()>),
    /// `drain`: start a graceful shutdown of one instance.
    Drain(OperatorCommand<drain::Options>),
    /// `report`: show error-budget burn rates.
    Report(OperatorCommand<report::Options>),
}

/// A command that calls the operator port of an instance.
#[derive(Clone, Debug)]
pub struct OperatorCommand<O> {
    /// Address, key and timeout of the call.
    pub operator: operator::Options,
    /// Options of the command itself.
    pub options: O,
    /// Text or JSON output.
    pub format: OutputFormat,
}

/// Width to which the help text is wrapped, in columns.
const HELP_COLUMNS: usize = 100;

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    match options().run_inner(Args::current_args()) {
        Ok(command) => ExitCode::from(execute(&command)),
        Err(failure) => {
            failure.print_message(HELP_COLUMNS);
            ExitCode::from(parse_failure_exit(&failure))
        }
    }
}

fn parse_failure_exit(failure: &ParseFailure) -> Exit {
    match failure {
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
        ParseFailure::Stderr(_) => Exit::Usage,
    }
}

fn execute(command: &Command) -> Exit {
    // Holding the stdout lock for the whole command would deadlock `run`: the daemon's
    // threads write to stdout as well, would block on the lock, and the process would never
    // exit.
    let mut out = io::stdout();
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
            outcome.write(options.format, out)?;
            Ok(outcome.exit())
        }
        Command::Template(options) => {
            let outcome = template::check(options)?;
            outcome.write(options.format, out)?;
            Ok(outcome.exit())
        }
        Command::Configuration(options) => {
            let outcome = check::configuration::check(options)?;
            outcome.write(options.format, out)?;
            Ok(outcome.exit())
        }
        Command::Hash(format) => {
            hash::hash(io::stdin().lock())?.write(*format, out)?;
            Ok(Exit::Done)
        }
        Command::Explain(options) => {
            explain::explain(options, io::stdin().lock())?.write(options.format, out)?;
            Ok(Exit::Done)
        }
        Command::Status(command) => block_on(async {
            let operator = Operator::new(&command.operator)?;
            status::status(&operator).await?.write(command.format, out)?;
            Ok(Exit::Done)
        }),
        Command::Drain(command) => block_on(async {
            let operator = Operator::new(&command.operator)?;
            let outcome = drain::drain(&operator, &command.options).await?;
            outcome.write(command.format, out)?;
            Ok(outcome.exit())
        }),
        Command::Report(command) => block_on(async {
            let operator = Operator::new(&command.operator)?;
            let outcome = report::report(&operator, &command.options).await?;
            outcome.write(command.format, out)?;
            Ok(Exit::Done)
        }),
    }
}

fn block_on(future: impl Future<Output = Result<Exit, Error>>) -> Result<Exit, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(future)
}
