//! The daemon's I/O adapters. They turn input from callers, backend servers, peer instances
//! and the platform into events for the reducer ([`sl_route::State`]) and execute the effects
//! that it returns.
//!
//! All state lives on one thread: an instance usually has only a fraction of a core, and
//! decisions that read the whole state then need no locks.

mod attempt;
pub mod backoff;
mod cache_fetch;
mod caller;
mod catch_up;
mod change_handler;
mod clock;
pub mod connection_share;
pub mod connection_tracker;
mod core;
mod crash_record_writer;
mod delivery;
pub mod detail;
mod engines;
mod era;
pub mod event_sequence;
mod events;
mod handle;
mod health;
pub mod lag;
mod log;
pub mod log_buffer;
mod membership;
pub mod metrics;
pub mod note_budget;
mod origin_reader;
mod origin_writer;
pub mod overload;
mod peers;
mod pool;
mod query_handler;
pub mod record_schedule;
mod refusal;
mod relay;
mod reload;
pub mod response_memory;
pub mod roles;
mod run;
pub mod sent_requests;
mod shutdown;
mod signals;
pub mod store;
mod stream_locator;
pub mod turns;
mod wire;

pub use events::{EVENT_BYTES_MAX, EventKind, EventSplitter, RawEvent};
pub use log::json_drain;
pub use peers::{arrivals, datagram, heartbeat};
pub use run::{Error, run};
pub use signals::{StopSignal, signals};
