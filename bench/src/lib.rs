//! A fleet of real daemons on loopback between stand-ins.

pub mod fleet;
pub mod instance;
pub mod load;
pub mod soak;

pub use fleet::{Fleet, eventually};
pub use instance::Instance;
