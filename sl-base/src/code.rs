//! Numbered result codes. docs/result-codes.md holds the table that operators and
//! callers read; a test keeps the two equal.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, FromRepr, IntoStaticStr};

/// What is known of a request when its final answer is given.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A backend server ran it, and the answer is that server's.
    Ran,
    /// No byte of it can have reached a backend server in this call.
    NotRun,
    /// It may have run; it is not to be sent again as new.
    Unknown,
}

/// A result code of the system's own. The thousands tell the outcome: 1 not run,
/// 2 ran, 3 unknown.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumIter,
    EnumString,
    FromRepr,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
#[repr(u16)]
pub enum Code {
    /// The credential belongs to no team.
    UnknownCredential = 1001,
    /// The team's template has no such route.
    UnknownRoute = 1002,
    /// The route does not take this method.
    MethodNotAllowed = 1003,
    /// The body is larger than the route allows.
    BodyTooLarge = 1004,
    /// The headers are larger than the instance allows.
    HeadersTooLarge = 1005,
    /// The caller broke off while sending the body.
    BodyIncomplete = 1006,
    /// The route wants an idempotency key, and there is none.
    KeyRequired = 1007,
    /// The idempotency key is empty, too long or not printable.
    KeyInvalid = 1008,
    /// The team has as many requests waiting here as it may.
    QueueFull = 1009,
    /// The team has as many bytes waiting here as it may.
    QueueBytesFull = 1010,
    /// The request waited for a backend server until its deadline.
    QueueTimeout = 1011,
    /// The pool has no backend server that takes work.
    NoServer = 1012,
    /// No connection to any backend server came about.
    ConnectFailed = 1013,
    /// The instance is shutting down.
    Draining = 1014,
    /// The instance reaches neither peers nor the platform.
    Isolated = 1015,
    /// The instance has no accepted configuration yet.
    NoConfiguration = 1016,
    /// The platform did not answer, so that no claim could be made.
    ClaimUnavailable = 1017,
    /// Requests like this one have broken several backend servers.
    CrashesServers = 1018,
    /// The caller went away before the request was dispatched.
    CallerGone = 1019,
    /// The instance has as many requests as it may hold.
    Overloaded = 1020,
    /// The key was claimed before, and that request ran.
    KeyRan = 2001,
    /// The key was claimed before, and that request is still running.
    KeyRunning = 3001,
    /// The key was claimed before, and what came of it is not known.
    KeyUnknown = 3002,
    /// The backend server sent no first byte before the deadline.
    FirstByteTimeout = 3003,
    /// The backend server's answer stood still until the deadline.
    IdleTimeout = 3004,
    /// The request took longer than the route allows.
    TotalTimeout = 3005,
    /// The connection broke after the request may have left.
    ConnectionLost = 3006,
    /// The answer belonged to another attempt and was dropped.
    CrossedAnswer = 3007,
    /// The operator's deadline for the shutdown came first.
    Stopped = 3008,
    /// The caller went away while the request ran.
    CallerGoneRunning = 3009,
}

impl Code {
    /// The number that callers and logs see.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// What the code says of the request.
    pub const fn outcome(self) -> Outcome {
        match self.number() / 1000 {
            1 => Outcome::NotRun,
            2 => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }

    /// The HTTP status that carries the code.
    pub const fn status(self) -> u16 {
        match self {
            Code::UnknownCredential => 401,
            Code::UnknownRoute => 404,
            Code::MethodNotAllowed => 405,
            Code::BodyTooLarge => 413,
            Code::HeadersTooLarge => 431,
            Code::BodyIncomplete | Code::KeyRequired | Code::KeyInvalid => 400,
            Code::QueueFull | Code::QueueBytesFull => 429,
            Code::CrashesServers => 422,
            Code::CallerGone | Code::CallerGoneRunning => 499,
            Code::KeyRan | Code::KeyRunning | Code::KeyUnknown => 409,
            Code::FirstByteTimeout | Code::IdleTimeout | Code::TotalTimeout => 504,
            Code::ConnectionLost | Code::CrossedAnswer | Code::ConnectFailed => 502,
            Code::QueueTimeout
            | Code::NoServer
            | Code::Draining
            | Code::Isolated
            | Code::NoConfiguration
            | Code::ClaimUnavailable
            | Code::Overloaded
            | Code::Stopped => 503,
        }
    }
}
