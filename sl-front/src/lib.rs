//! The ports for operators (status, burn report, planned stop) and for machines (liveness,
//! readiness, metrics), over Rocket. What stands behind them is a [`Daemon`]: the crate knows
//! nothing of the daemon.

mod node;
mod operator;
mod serve;

pub use node::Daemon;
pub use operator::KeyHash;
pub use serve::{Error, Options, Server, serve};
