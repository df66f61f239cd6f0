//! What an instance knows of the platform's store, whoever told it: the store itself, or
//! a fellow instance while the store turns this one away.

mod mirror;

pub use mirror::{Change, Item, Mirror, Update};
