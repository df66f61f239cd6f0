//! An instance's copy of the platform's store, updated by the store itself or, while the store
//! does not respond to this instance, by peers.

mod mirror;
mod page;

pub use mirror::{Change, Item, Mirror, PAGE_BYTES_MAX, Update, Version};
pub use page::{PageMismatch, PagedUpdate, UpdatePage};
