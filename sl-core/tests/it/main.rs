//! Tests of sl-core.

mod check;
mod cli;
mod memory;
mod template;
