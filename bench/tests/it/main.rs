//! Tests of the load model, and of what tests of real processes rely on.

mod fleet;
mod loads;
mod notes;
mod ports;
