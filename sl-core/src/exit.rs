//! Exit codes, for scripts. docs/operating.md holds the table.

use std::process::ExitCode;

use strum::{Display, EnumIter};

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Exit {
    /// It did what was asked.
    Done = 0,
    /// It failed for a reason that has no code of its own, such as an unreadable file.
    Failed = 1,
    /// The command line was wrong.
    Usage = 2,
    /// A settings file or template has faults.
    Faults = 3,
    /// Another change was accepted first; nothing was changed.
    Conflict = 4,
    /// The platform or the instance gave no answer; nothing was changed.
    Unreachable = 5,
    /// It was accepted, and some instances do not run it yet.
    NotEverywhere = 6,
    /// The key was refused.
    Refused = 7,
    /// No answer came to a write, and it could not be learnt whether it took effect.
    Unknown = 8,
    /// There is no such template, draft or instance.
    NotFound = 9,
}

impl Exit {
    /// The number that the shell sees.
    pub const fn number(self) -> u8 {
        self as u8
    }

    /// What it says, in one line of the help text.
    pub const fn meaning(self) -> &'static str {
        match self {
            Exit::Done => "done",
            Exit::Failed => "failed for a reason that has no code of its own",
            Exit::Usage => "wrong command line",
            Exit::Faults => "the settings file or template has faults",
            Exit::Conflict => "another change was accepted first; nothing was changed",
            Exit::Unreachable => "no answer from the platform or the instance; nothing was changed",
            Exit::NotEverywhere => "accepted, but some instances do not run it yet",
            Exit::Refused => "the key was refused",
            Exit::Unknown => "no answer to a write: it may or may not have taken effect",
            Exit::NotFound => "no such template, draft or instance",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit.number())
    }
}
