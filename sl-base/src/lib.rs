//! Ids, time, result codes and the platform's call types: the plain values that
//! every other crate speaks in. Nothing here does I/O or reads a clock.

pub mod call;
pub mod code;
pub mod hash;
pub mod id;
pub mod listing;
pub mod need;
pub mod status;
pub mod time;

pub use code::{Code, Outcome};
pub use id::{AttemptId, Incarnation, InstanceId, PoolId, RequestId, Revision, ServerId, TeamId};
pub use need::Need;
pub use time::{Millis, Timestamp};
