//! The one reducer: [`step`](State::step) takes an event and gives effects. It does no
//! I/O, reads no clock and draws no randomness from outside, so that a test can replay
//! any schedule; docs/design.md says how the adapters surround it.

mod admit;
mod attempt;
mod dispatch;
pub mod effect;
pub mod event;
mod exchange;
mod list;
pub mod message;
mod options;
mod request;
mod spread;
pub mod state;
mod status;
mod stop;
mod wait;

pub use effect::Effect;
pub use event::Event;
pub use message::Message;
pub use options::Options;
pub use state::State;
