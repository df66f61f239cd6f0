use sl_edge::body_memory::{BodyMemory, LARGE_BODIES_BYTES_MAX, SMALL_BODY_BYTES_MAX};

/// Guards against bodies without end that together exceed the memory of the instance, although
/// each of them stays below the limit of a single one.
#[test]
fn large_bodies_share_a_limit() {
    let memory = BodyMemory::default();
    let (mut first, mut second) = (memory.share(), memory.share());
    assert!(first.reserve(SMALL_BODY_BYTES_MAX + LARGE_BODIES_BYTES_MAX));
    assert!(!second.reserve(SMALL_BODY_BYTES_MAX + 1));
    drop(first);
    assert!(second.reserve(SMALL_BODY_BYTES_MAX + 1));
}

/// Guards against one server in trouble whose bodies make the small responses of all others
/// fail.
#[test]
fn small_bodies_are_received_while_large_ones_use_all_memory() {
    let memory = BodyMemory::default();
    let mut large = memory.share();
    assert!(large.reserve(SMALL_BODY_BYTES_MAX + LARGE_BODIES_BYTES_MAX));
    let mut small = memory.share();
    assert!(small.reserve(SMALL_BODY_BYTES_MAX / 2) && small.reserve(SMALL_BODY_BYTES_MAX / 2));
    assert!(!small.reserve(1));
}
