//! Settings of an instance, templates that operators accept, and the configuration
//! that accepted templates make up. Pure: reading files and the platform is done elsewhere.

mod ini;
mod raw;
mod reader;

pub mod config;
pub mod fault;
pub mod key;
pub mod parse;
pub mod settings;
pub mod template;

pub use config::Config;
pub use fault::{Fault, Faults, Problem};
pub use key::{KeySource, Secret};
pub use settings::Settings;
pub use template::{Cost, KeyRule, Objective, Policy, Route, Team, Template};
