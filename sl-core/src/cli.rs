//! The command line: what it asks for, and doing it.

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
    output::Form,
    report, run, status, template,
};

/// What the command line asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Run the daemon.
    Run(run::Options),
    /// Check files.
    Check(check::Options),
    /// `check template`.
    Template(template::Options),
    /// Hash a secret.
    Hash(Form),
    /// Tell the story of a request.
    Explain(explain::Options),
    /// Tell the fleet's status.
    Status(Ask<()>),
    /// Drain an instance.
    Drain(Ask<drain::Options>),
    /// Report on service-level burn.
    Report(Ask<report::Options>),
}

/// Something to ask of an instance.
#[derive(Clone, Debug)]
pub struct Ask<O> {
    /// Whom to ask, and as whom.
    pub operator: operator::Options,
    /// What to ask.
    pub options: O,
    /// The form of the output.
    pub form: Form,
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
    // Not locked for the whole command: the daemon's threads may write, too, and would wait
    // for ever, so that the process never ended.
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
            outcome.write(options.form, out)?;
            Ok(outcome.exit())
        }
        Command::Template(options) => {
            let outcome = template::check(options)?;
            outcome.write(options.form, out)?;
            Ok(outcome.exit())
        }
        Command::Hash(form) => {
            hash::hash(io::stdin().lock())?.write(*form, out)?;
            Ok(Exit::Done)
        }
        Command::Explain(options) => {
            explain::explain(options, io::stdin().lock())?.write(options.form, out)?;
            Ok(Exit::Done)
        }
        Command::Status(ask) => wait_for(async {
            let operator = Operator::new(&ask.operator)?;
            status::status(&operator).await?.write(ask.form, out)?;
            Ok(Exit::Done)
        }),
        Command::Drain(ask) => wait_for(async {
            let operator = Operator::new(&ask.operator)?;
            let outcome = drain::drain(&operator, &ask.options).await?;
            outcome.write(ask.form, out)?;
            Ok(outcome.exit())
        }),
        Command::Report(ask) => wait_for(async {
            let operator = Operator::new(&ask.operator)?;
            let outcome = report::report(&operator, &ask.options).await?;
            outcome.write(ask.form, out)?;
            Ok(Exit::Done)
        }),
    }
}

fn wait_for(work: impl Future<Output = Result<Exit, Error>>) -> Result<Exit, Error> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
