use sl_base::ServiceId;
use sl_route::State;

use crate::testbed::{START, options};

// The sum of the weights was a 32-bit number: it overflowed, so that a release build sent all
// requests to the first service, and a debug build panicked.
#[test]
fn requests_are_split_by_the_weights_however_large_they_are() {
    let mut state = State::new(options(1), START);
    let (first, second) = (ServiceId::of("first"), ServiceId::of("second"));
    let weights = [(first, u32::MAX), (second, u32::MAX)];
    let drawn: Vec<ServiceId> = (0..100).filter_map(|_| state.draw_service(&weights)).collect();
    assert_eq!(drawn.len(), 100);
    let of_first = drawn.iter().filter(|it| **it == first).count();
    assert!((30..=70).contains(&of_first), "{of_first} of 100");
}
