use sl_base::Millis;
use sl_edge::backoff::Backoff;

#[test]
fn delays_double_up_to_the_limit_until_a_success() {
    let mut backoff = Backoff::new(Millis(500), Millis(3_000));
    let delays = [(); 5].map(|()| backoff.next_delay().0);
    assert_eq!(delays, [500, 1_000, 2_000, 3_000, 3_000]);
    backoff.reset();
    assert_eq!(backoff.next_delay(), Millis(500));
}
