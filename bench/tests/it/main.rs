//! Tests of the load model.

mod loads;
