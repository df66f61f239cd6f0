//! Tests of the whole reducer: several instances hand each other their effects through a
//! plain list, under random faults.

mod fleet;
mod focus;
mod model;
mod promises;
