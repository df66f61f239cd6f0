//! Tests of sl-core.

mod check;
mod cli;
