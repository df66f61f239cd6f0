//! Shares across the fleet: service counters, queues and the choice of the next team.
//!
//! [`Fair`] is the whole state of one instance. It charges each team for its work as a
//! virtual time (service over share), hands its own counters to its peers as a
//! [`Report`] and takes theirs, so that every instance picks the team that the whole
//! fleet has served least. docs/design.md argues for the parts.

mod charge;
pub mod error;
mod exchange;
mod fair;
mod ledger;
mod pick;
mod pool;
mod queue;
pub mod report;
pub mod service;
mod waiting;

pub use error::Error;
pub use fair::{Fair, Options, Rule};
pub use pick::Picked;
pub use queue::{Item, Limits};
pub use report::Report;
pub use service::Service;
