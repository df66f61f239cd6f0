//! Small stand-ins for what lies outside the system: the platform, model engines and
//! plain services, and relays that break the links between. Never shipped. Every fault
//! is switched on by a call and, where it is left to chance, by a seed.

pub mod backends;
pub mod chance;
mod engine;
mod plain;
pub mod platform;
pub mod relay;
mod relay_admin;
mod serve;
mod store;

pub use backends::{Backends, Kind, Spec};
pub use chance::Chance;
pub use platform::Platform;
pub use relay::Relay;
pub use relay_admin::{RelayAdmin, RelayFault};
