//! A load model: a discrete-event simulation of the real reducers of several instances with
//! modelled engines and callers. It uses neither the network nor real time, so that the effect
//! of a policy or a change on a load can be measured within a second. docs/design.md has a
//! table of its results and says how far they are off.

mod balancer;
mod cache;
mod endings;
mod engine;
mod fairness;
mod fleet;
mod notes;
mod options;
mod play;
mod policy;
mod processor;
mod queue;
mod step_engine;
mod tally;
mod traffic;

pub use endings::{Ending, TeamEndings};
pub use notes::{FleetTraffic, LARGE_FLEET, MessageRound, PeerMessage};
pub use options::Options;
pub use play::simulate;
pub use policy::Policy;
pub use processor::ProcessorCosts;
pub use tally::{KindTally, Tally};
pub use traffic::{Kind, Load};
