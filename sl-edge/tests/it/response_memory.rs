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

/// Guards against callers that pause and hold the memory for all large responses meanwhile, and against
/// dropping what others have for the sake of one that pauses itself.
#[tokio::test]
async fn the_caller_that_has_been_paused_for_longest_gives_way_to_one_that_reads() {
    const HALF: usize = SMALL_RESPONSE_BYTES_MAX + LARGE_RESPONSES_BYTES_MAX / 2;
    let memory = ResponseMemory::default();
    let (mut first, mut second, mut third) = (memory.share(), memory.share(), memory.share());
    assert!(first.reserve(HALF) && second.reserve(HALF));
    second.set_paused(true);
    first.set_paused(true);
    third.set_paused(true);
    assert!(!third.resize(HALF), "it pauses itself");
    third.set_paused(false);
    assert!(third.resize(HALF));
    second.evicted().await;
    let is_evicted = |it| tokio::time::timeout(std::time::Duration::ZERO, it);
    assert!(is_evicted(first.evicted()).await.is_err(), "enough was available");
    first.set_paused(false);
    assert!(!memory.share().resize(HALF), "nobody is paused");
    drop(second);
    assert!(!memory.share().resize(HALF), "what was dropped is given back once");
}
