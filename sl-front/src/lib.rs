//! HTTP ports over Rocket: the operator port (status, burn-rate report, drain) and the metrics
//! port (liveness, readiness, metrics). The crate reaches the daemon only through the
//! [`Daemon`] trait.

mod node;
mod operator;
mod serve;

pub use node::Daemon;
pub use operator::KeyHash;
pub use serve::{Error, Options, Server, serve};
