//! Tests of sl-core.

mod check;
mod cli;
mod explain;
mod hash;
mod instance;
mod template;
