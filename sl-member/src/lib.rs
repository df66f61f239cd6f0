//! Members of the fleet: the platform's list corrected by probes.
//!
//! The list lags, so that [`Members`] probes one member a period, asks others to probe
//! one that is silent, suspects it in public and holds it dead only when it does not
//! object in time (SWIM: Das, Gupta, Motivala 2002). Cost per instance does not grow with
//! the fleet. It is a reducer: messages come out as data, and nothing here does I/O or
//! reads a clock. docs/design.md, "Members, links, stops", has the reasons.

pub mod member;
pub mod members;
pub mod message;
pub mod options;

pub use member::{Life, Status};
pub use members::{Me, Members, Output};
pub use message::{Change, Message};
pub use options::Options;
