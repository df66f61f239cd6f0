//! Settings of an instance, templates that operators accept, and the configuration
//! that accepted templates make up. Pure: reading files and the platform is done elsewhere.

mod ini;
mod raw;
mod reader;

pub mod accept;
pub mod assemble;
pub mod config;
pub mod draft;
pub mod fault;
pub mod head;
pub mod key;
pub mod page;
pub mod parse;
pub mod settings;
pub mod template;

pub use assemble::{Clash, Library};
pub use config::Config;
pub use draft::Draft;
pub use fault::{Fault, Faults, Problem};
pub use head::{Change, ChangeId, Head};
pub use key::{KeySource, Secret};
pub use page::{Page, PageHash};
pub use settings::Settings;
pub use template::{Cost, KeyRule, Objective, Policy, Route, Team, Template};
