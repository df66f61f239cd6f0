//! Tests of the load model and of the ports for instances.

mod loads;
mod ports;
