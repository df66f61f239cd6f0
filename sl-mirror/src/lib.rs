//! An instance's copy of the platform's store, updated by the store itself or, while the store
//! does not answer this instance, by peers.

mod mirror;

pub use mirror::{Change, Item, Mirror, Update};
