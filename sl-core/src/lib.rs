//! The command functions behind the binary: each command is a module with its `Options`,
//! its `Outcome` and its own error, so that a program may call it as well as a person.
//! docs/OPERATIONS.md shows the commands at work.

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
pub use output::Form;
