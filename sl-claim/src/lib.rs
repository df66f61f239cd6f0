//! At most once: claims on idempotency keys, and strikes against requests that crash
//! servers.
//!
//! [`Claims`] makes sure that a non-idempotent request is dispatched only by the process
//! that wrote its claim in the platform's key-value service. [`Strikes`] recognises
//! requests that break the servers which run them. Both are reducers: calls and messages
//! come out as data, answers go in, and nothing here does I/O or reads a clock. The
//! reasons are in docs/design.md, "At most once".

pub mod claims;
pub mod index;
pub mod message;
pub mod options;
pub mod output;
pub mod segment;
mod shard;
pub mod strikes;
pub mod token;
mod view;

pub use claims::Claims;
pub use message::{Message, Verdict};
pub use options::Options;
pub use output::{Decision, Output, Settled};
pub use strikes::Strikes;
pub use token::Token;
