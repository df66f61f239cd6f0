//! Numbered result codes. docs/result-codes.md is the reference table for operators and
//! callers; a test checks that it matches [`Code`].

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, FromRepr, IntoStaticStr};

/// Whether a request has run, as far as is known when its final response is sent.
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
    /// A backend server ran the request and produced the response.
    Ran,
    /// No byte of the request can have reached a backend server in this call.
    NotRun,
    /// The request may have run, so the caller must not resend it as a new one.
    Unknown,
}

/// A result code that the system itself issues. The thousands digit encodes the [`Outcome`]:
/// 1 for not run, 2 for ran, 3 for unknown.
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
    /// The API key belongs to no team.
    UnknownCredential = 1001,
    /// No route matches the host and path.
    UnknownRoute = 1002,
    /// The request body exceeds the configured limit.
    BodyTooLarge = 1004,
    /// The request head exceeds the configured limit.
    HeadersTooLarge = 1005,
    /// The caller's connection ended before the whole body was received.
    BodyIncomplete = 1006,
    /// The team already uses its share of the engines while other teams are waiting.
    OverShare = 1009,
    /// Too little time is left until the caller's deadline.
    TooLate = 1011,
    /// No backend server is listed for the service.
    NoServer = 1012,
    /// Every backend server that was tried rejected the request without running it.
    TurnedAway = 1013,
    /// The instance is shutting down.
    Draining = 1014,
    /// The instance has not received a configuration yet.
    NoConfiguration = 1016,
    /// Requests with this fingerprint have crashed several backend servers.
    CrashesServers = 1018,
    /// The caller disconnected before it had received the whole response.
    CallerGone = 1019,
    /// No backend server is expected to respond in time.
    Overloaded = 1020,
    /// The request is not valid HTTP/1.1, or its length is ambiguous.
    Malformed = 1021,
    /// The request head was not received in time.
    HeadersLate = 1022,
    /// A header that controls how the request is handled is missing, repeated or malformed.
    HeaderInvalid = 1023,
    /// The instance has reached its limit of requests in flight.
    InstanceFull = 1024,
    /// The request resumes a stream, and no server of the software version that began it is left.
    VersionGone = 1025,
    /// The request resumes a stream, servers of several software versions could go on with it, and
    /// it is not known which version began it.
    OriginUnknown = 1026,
    /// The request begins a stream, and the software versions of all servers that could take it have
    /// yet to be recorded in the platform's store.
    VersionUnrecorded = 1027,
    /// No response arrived before the deadline.
    TotalTimeout = 3005,
    /// The connection failed after the request may have been sent.
    ConnectionLost = 3006,
    /// The response belonged to another request or was invalid.
    CrossedAnswer = 3007,
    /// The instance shut down before a response arrived.
    InstanceStopped = 3008,
}

impl Code {
    /// The number in responses to callers and in logs.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Whether a request that ended with this code has run.
    pub const fn outcome(self) -> Outcome {
        match self.number() / 1000 {
            1 => Outcome::NotRun,
            2 => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }

    /// The HTTP status that is sent with the code.
    pub const fn status(self) -> u16 {
        match self {
            Code::UnknownCredential => 401,
            Code::UnknownRoute => 404,
            Code::BodyTooLarge => 413,
            Code::HeadersTooLarge => 431,
            Code::BodyIncomplete | Code::Malformed | Code::HeaderInvalid => 400,
            Code::HeadersLate => 408,
            Code::OverShare => 429,
            Code::CallerGone => 499,
            Code::TotalTimeout | Code::InstanceStopped => 504,
            Code::ConnectionLost | Code::CrossedAnswer | Code::CrashesServers => 502,
            Code::TooLate
            | Code::NoServer
            | Code::TurnedAway
            | Code::Draining
            | Code::NoConfiguration
            | Code::Overloaded
            | Code::InstanceFull
            | Code::VersionGone
            | Code::OriginUnknown
            | Code::VersionUnrecorded => 503,
        }
    }
}
