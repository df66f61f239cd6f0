//! A load model: the real reducers of several instances between modelled engines and
//! callers, without network and without real time, so that a policy or a change can be
//! measured on a load in a second. docs/design.md has its table and how far off it is.

mod engine;
mod play;
mod policy;
mod tally;
mod traffic;

pub use play::{Options, play};
pub use policy::Policy;
pub use tally::{KindTally, Tally};
pub use traffic::{KINDS, Kind, Load};
