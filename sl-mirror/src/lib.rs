//! An instance's copy of the platform's store, updated by the store itself or, while the store
//! does not respond to this instance, by peers.

mod mirror;

pub use mirror::{Change, Item, Mirror, Update, Version};
