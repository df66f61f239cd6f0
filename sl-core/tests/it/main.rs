//! Tests of sl-core.

mod check;
mod cli;
mod hash;
mod instance;
mod memory;
mod template;
