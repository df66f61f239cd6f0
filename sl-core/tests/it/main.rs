//! Integration tests of the commands.

mod check;
mod cli;
mod configuration;
mod explain;
mod hash;
mod instance;
mod template;
