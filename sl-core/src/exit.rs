//! Exit codes, listed in docs/OPERATIONS.md. Scripts rely on the numbers.

use std::process::ExitCode;

use strum::{Display, EnumIter};

/// Exit code of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// A failure without a code of its own, such as an unreadable file.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A settings file, template or configuration has faults.
    Faults = 3,
    /// The instance did not respond, or responded that it is stopping.
    Unreachable = 5,
    /// The instance rejected the operator key.
    Refused = 7,
    /// No log line mentions the request.
    NotFound = 9,
}

impl Exit {
    /// Returns the number that the shell sees.
    pub const fn number(self) -> u8 {
        self as u8
    }

    /// Returns the description in the help text.
    pub const fn meaning(self) -> &'static str {
        match self {
            Exit::Done => "done",
            Exit::Failed => "failure without a code of its own",
            Exit::Usage => "invalid command line",
            Exit::Faults => "the settings or the configuration have faults",
            Exit::Unreachable => "the instance did not respond",
            Exit::Refused => "the instance rejected the operator key",
            Exit::NotFound => "no log line mentions the request",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.number())
    }
}
