//! Settings of an instance, templates that operators accept, and the configuration
//! that accepted templates make up. Pure: reading files and the platform is done elsewhere.

pub mod config;
pub mod template;

pub use config::Config;
pub use template::{Cost, KeyRule, Policy, Route, Team, Template};
