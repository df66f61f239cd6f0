//! HTTP towards backend servers: one attempt at a time, streamed, with each end told
//! apart honestly. docs/design.md says why nothing is ever replayed here.

pub mod client;
pub mod cost;
pub mod filter;
mod gate;
pub mod sink;
pub mod target;

pub use client::{Client, Forward, Options};
pub use cost::Meter;
pub use sink::{AnswerSink, CallerGone, Head};
pub use target::{Target, TargetError};

pub use reqwest::{
    Method,
    header::{self, HeaderMap},
};
