//! Settings of an instance: parses INI text into checked values and reports all faults at
//! once. This crate does no I/O; callers read the file.

mod ini;
mod raw;
mod reader;

pub mod fault;
pub mod key;
pub mod settings;

pub use fault::{Fault, Faults, Problem};
pub use key::{KeySource, Secret};
pub use settings::Settings;
