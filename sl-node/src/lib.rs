//! The daemon: the reducer and its adapters on one runtime.
//!
//! One task owns [`sl_step::State`]. Whatever happens outside reaches it as a command on
//! a bounded channel, and each effect that it gives is carried out by a task of its own,
//! so that the owner never waits; docs/design.md draws the picture.

mod attempt;
mod burn;
mod clock;
mod command;
mod handle;
mod held;
mod log;
mod metrics;
mod options;
mod owner;
mod run;
mod status;

pub use clock::Clock;
pub use run::{Error, run, signals};
