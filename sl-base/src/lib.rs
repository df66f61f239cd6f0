//! Identifiers, time, result codes and status reports: the plain data types that all other
//! crates share. Nothing here does I/O or reads a clock.

pub mod code;
pub mod hash;
pub mod id;
pub mod map;
pub mod status;
pub mod time;

pub use code::{Code, Outcome};
pub use id::{
    AttemptId, DocumentVersion, Incarnation, InstanceId, RequestId, ServerId, ServiceId, StreamId,
    TeamId,
};
pub use map::{IdMap, IdSet};
pub use time::{Millis, Timestamp, UnixMillis, WallClock};
