//! The commands of the `sesamelock` binary. Each command is a module with its own `Options`,
//! `Outcome` and error type, so that it can also be called from Rust code.
//! docs/OPERATIONS.md has an example of each command.

pub mod check;
pub mod cli;
pub mod drain;
pub mod error;
pub mod exit;
pub mod explain;
pub mod file;
pub mod hash;
pub mod operator;
pub mod report;
pub mod run;
pub mod status;
pub mod template;

mod output;

pub use cli::main;
pub use error::Error;
pub use exit::Exit;
pub use output::OutputFormat;
