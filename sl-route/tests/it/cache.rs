//! The estimated contents of an engine's cache.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_route::{PromptPart, cache::Cache};

use crate::testbed::{at, prompt};

fn part(id: &str, tokens: u32) -> PromptPart {
    PromptPart::new("m", id, tokens)
}

#[test]
fn a_part_counts_only_after_a_fully_cached_prefix() {
    let mut cache = Cache::new(10_000);
    let whole = prompt("a", 1_000, "b", 500);
    cache.record_use(at(0), &[part("b", 500)]);
    assert_eq!(cache.cached_prefix_tokens(&whole), 0);
    cache.record_use(at(1), &[part("a", 1_000)]);
    assert_eq!(cache.cached_prefix_tokens(&whole), 1_500);
}

#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut cache = Cache::new(2_500);
    cache.record_use(at(0), &[part("a", 1_000), part("b", 1_000)]);
    cache.record_use(at(1), &[part("a", 1_000)]);
    cache.record_use(at(2), &[part("c", 1_000)]);
    let kept: Vec<PromptPart> = cache.parts().collect();
    assert_eq!(kept, [part("a", 1_000), part("c", 1_000)]);
}

#[test]
fn a_listing_by_the_engine_replaces_the_estimate() {
    let mut cache = Cache::new(10_000);
    cache.record_use(at(0), &[part("a", 1_000), part("b", 1_000)]);
    cache.replace_with(at(1), &[part("b", 1_000), part("c", 1_000)]);
    assert_eq!(cache.cached_prefix_tokens(&prompt("a", 1_000, "b", 1_000)), 0);
    assert_eq!(cache.cached_prefix_tokens(&prompt("b", 1_000, "c", 1_000)), 2_000);
}

#[test]
fn a_cache_with_room_expects_no_eviction() {
    let mut cache = Cache::new(2_000);
    cache.record_use(at(0), &[part("a", 1_000)]);
    assert_eq!(cache.eviction_age_ms(at(500)), None);
    cache.record_use(at(100), &[part("b", 1_000)]);
    assert_eq!(cache.eviction_age_ms(at(500)), Some(500.0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0004),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_estimate_never_exceeds_the_capacity(
        uses in prop::collection::vec((0_u32..30, 1_u32..1_000), 1..200),
    ) {
        let mut cache = Cache::new(5_000);
        for (now, (id, tokens)) in uses.iter().enumerate() {
            cache.record_use(at(now as u64), &[part(&id.to_string(), *tokens)]);
            let sum: u32 = cache.parts().map(|it| it.tokens).sum();
            prop_assert!(sum <= 5_000);
            prop_assert_eq!(cache.parts().count(), cache.len());
        }
    }
}
