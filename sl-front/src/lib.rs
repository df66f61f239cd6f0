//! HTTP towards callers, the balancer and operators.
//!
//! Rocket carries three ports (callers, operators, balancer with metrics); this crate
//! surrounds it with the checks that a proxy's door needs, see docs/design.md. What stands behind the
//! door is a [`Node`]: the crate knows nothing of the reducer's loop.

mod answer;
mod body;
mod connection;
mod door;
mod forward;
mod gate;
mod node;
mod operator;
mod refusal;
mod serve;

pub use gate::Gate;
pub use node::{CallerRequest, Head, Job, Label, Node, Part};
pub use operator::KeyHash;
pub use refusal::{Refusal, headers};
pub use serve::{Error, Options, Server, serve};
