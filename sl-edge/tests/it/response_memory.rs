use sl_edge::response_memory::{
    LARGE_RESPONSES_BYTES_MAX, ResponseMemory, SMALL_RESPONSE_BYTES_MAX,
};

/// Guards against bodies without end that together exceed the memory of the instance, although
/// each of them stays below the limit of a single one.
#[test]
fn large_bodies_share_a_limit() {
    let memory = ResponseMemory::default();
    let (mut first, mut second) = (memory.share(), memory.share());
    assert!(first.reserve(SMALL_RESPONSE_BYTES_MAX + LARGE_RESPONSES_BYTES_MAX));
    assert!(!second.reserve(SMALL_RESPONSE_BYTES_MAX + 1));
    drop(first);
    assert!(second.reserve(SMALL_RESPONSE_BYTES_MAX + 1));
}

/// Guards against one server in trouble whose bodies make the small responses of all others
/// fail.
#[test]
fn small_bodies_are_received_while_large_ones_use_all_memory() {
    let memory = ResponseMemory::default();
    let mut large = memory.share();
    assert!(large.reserve(SMALL_RESPONSE_BYTES_MAX + LARGE_RESPONSES_BYTES_MAX));
    let mut small = memory.share();
    assert!(
        small.reserve(SMALL_RESPONSE_BYTES_MAX / 2) && small.reserve(SMALL_RESPONSE_BYTES_MAX / 2)
    );
    assert!(!small.reserve(1));
}

/// Guards against a stream that keeps the memory of an event which it has delivered.
#[test]
fn what_is_given_back_is_available_to_others() {
    let memory = ResponseMemory::default();
    let (mut first, mut second) = (memory.share(), memory.share());
    assert!(first.resize(SMALL_RESPONSE_BYTES_MAX + LARGE_RESPONSES_BYTES_MAX));
    assert!(!second.resize(SMALL_RESPONSE_BYTES_MAX + 1));
    first.release(2);
    assert!(second.resize(SMALL_RESPONSE_BYTES_MAX + 1));
    let moved = first.take();
    assert!(!second.resize(SMALL_RESPONSE_BYTES_MAX + 4));
    drop(moved);
    assert!(second.resize(SMALL_RESPONSE_BYTES_MAX + 4));
}
