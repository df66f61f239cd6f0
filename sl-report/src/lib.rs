//! Error-budget burn rates: how fast each team's routes use up the failures that their
//! service-level objectives allow. Each instance records requests into mergeable histograms
//! of bounded size; the instance that serves the report merges the snapshots of all reachable
//! instances and lists the missing ones. docs/OPERATIONS.md explains how to read the report.

pub mod burn;
pub mod metrics;
pub mod record;
pub mod render;
pub mod snapshot;
mod window;

pub use burn::{Objective, Report, Row, WindowBurn};
pub use record::{Options, Recorder, Sample};
pub use snapshot::{Series, Snapshot};
