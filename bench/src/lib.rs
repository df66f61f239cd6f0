//! A fleet of real instances on loopback with stand-ins for the systems around them, a soak
//! test with injected faults, and a load model.

pub mod cost;
pub mod fleet;
pub mod instance;
pub mod listing;
pub mod load;
pub mod ports;
pub mod soak;
pub mod stops;

pub use fleet::{Fleet, eventually};
pub use instance::Instance;
