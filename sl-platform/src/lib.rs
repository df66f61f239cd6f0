//! Client of the platform's key-value service and instance list. Every call has an
//! answer deadline, and a write that may have taken effect is never said to have failed.

pub mod client;
pub mod counters;

pub use client::{Client, ListError, Options};
pub use counters::{Counted, Kind};
