//! Lending of backend servers' slots between instances.
//!
//! Each backend server has a home instance by rendezvous hashing. The home lends the
//! server's slots as windows with a short lease to instances with waiting work; a holder
//! uses a slot again and again without asking, until a needier team waits elsewhere.
//! [`Slots`] is the whole state of one instance, as holder and as home. docs/design.md
//! argues for the parts and shows the other [`Policy`]s beside this one.

mod acquire;
mod exchange;
mod holder;
mod home;
pub mod message;
mod need;
pub mod options;
mod place;
mod release;
mod slots;
mod speed;

pub use message::Message;
pub use options::{Options, Policy};
pub use slots::{Loan, Outcome, Server, Slots};
