//! The load model.

mod loads;
