//! Why a request may not wait.

use sl_base::Code;

/// Why a request was not queued; nothing was stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The team has as many requests waiting here as it may.
    #[error("the team may have {max} requests waiting on this instance")]
    QueueFull {
        /// The bound.
        max: u32,
    },
    /// The team has as many bytes waiting here as it may.
    #[error("the team may have {max} bytes waiting on this instance")]
    QueueBytesFull {
        /// The bound.
        max: u64,
    },
    /// The configuration has no such team.
    #[error("the configuration has no such team")]
    UnknownTeam,
}

impl Error {
    /// The result code that the caller gets.
    pub const fn code(self) -> Code {
        match self {
            Error::QueueFull { .. } => Code::QueueFull,
            Error::QueueBytesFull { .. } => Code::QueueBytesFull,
            Error::UnknownTeam => Code::UnknownCredential,
        }
    }
}
