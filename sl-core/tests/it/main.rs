//! Tests of sl-core.

mod check;
mod cli;
mod instance;
mod memory;
mod template;
