//! Hash maps and sets whose keys are short ids.
//!
//! An instance looks up several of them for each note of each other instance. Their hash function takes
//! a fraction of the time of the standard library's, and is seeded at random for each map: the keys of
//! prompt parts and streams are derived from what callers send, so callers must not know which keys
//! collide.

use std::collections::{HashMap, HashSet};

/// A map by an id.
pub type IdMap<K, V> = HashMap<K, V, foldhash::fast::RandomState>;

/// A set of ids.
pub type IdSet<K> = HashSet<K, foldhash::fast::RandomState>;
