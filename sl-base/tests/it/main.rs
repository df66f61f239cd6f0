//! Tests of the base crate.

mod code;
mod hash;
mod time;
