//! Routing, admission and retry decisions of one instance.
//!
//! [`State::step`] takes each event and returns the resulting effects as data. Nothing here
//! does I/O or reads a clock. docs/design.md gives the reasons for the design.

pub mod activity;
pub mod admission;
pub mod breaker;
pub mod budget;
pub mod cache;
pub mod crash_causes;
pub mod crash_detector;
pub mod crash_record;
pub mod demand;
pub mod directory;
pub mod document;
pub mod draining;
pub mod effect;
pub mod engine;
pub mod estimates;
pub mod evacuation;
pub mod event;
pub mod health;
pub mod known_versions;
pub mod locality;
pub mod note;
mod pace;
mod part_demand;
pub mod place;
pub mod prompt;
pub mod region;
pub mod request;
pub mod response_times;
pub mod route_balance;
pub mod sample;
pub mod send_limit;
pub mod server;
pub mod share;
pub mod shutdown;
mod state;
pub mod stream_origin;
pub mod transfer;
pub mod version_record;
pub mod warmup;

pub use directory::{Directory, ServerRecord, ServerState};
pub use document::{Document, Limits, RetryPolicy, Route, Service, Team};
pub use effect::{Decision, Effect, Failure, Refusal};
pub use event::{Arrival, AttemptEnd, Event, Fault, ServerNotice};
pub use note::{AttemptKey, Notes};
pub use prompt::{Prompt, PromptPart};
pub use region::{AllowedRegions, Regions};
pub use server::ServerKey;
pub use state::{Options, State};
