//! The daemon's adapters: callers, backend servers, fellow instances and the platform
//! become events for the reducer ([`sl_route::State`]), and its effects are carried out.
//!
//! Everything runs on one thread: an instance has a part of a core, and decisions that
//! see all of the state at once need no locks.

mod asker;
mod attempt;
mod caller;
mod catch_up;
mod clock;
mod core;
pub mod detail;
mod engines;
mod events;
mod handle;
mod known;
pub mod lines;
mod log;
mod membership;
pub mod metrics;
pub mod overload;
mod peers;
mod pool;
pub mod portion;
mod refusal;
mod relay;
mod reload;
pub mod roles;
mod run;
mod stop;
mod store;
pub mod unused;
mod wire;

pub use events::{EventSplitter, RawEvent};
pub use run::{Error, run, signals};
