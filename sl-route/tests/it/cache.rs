//! The estimated contents of an engine's cache.

use std::collections::BTreeMap;

use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::Timestamp;
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

    #[test]
    fn a_cache_evicts_like_a_list_sorted_by_last_use(
        uses in prop::collection::vec((0_u32..30, 1_u32..1_000, 0_u64..3), 1..300),
    ) {
        let mut cache = Cache::new(5_000);
        let mut model: BTreeMap<u64, (Timestamp, u32)> = BTreeMap::new();
        let mut now = 0;
        for (id, tokens, after) in uses {
            now += after;
            let used = part(&id.to_string(), tokens);
            cache.record_use(at(now), &[used]);
            model.insert(used.key, (at(now), tokens));
            let mut sorted: Vec<(Timestamp, u64)> = model.iter().map(|(&key, it)| (it.0, key)).collect();
            sorted.sort();
            let mut sum: u32 = model.values().map(|it| it.1).sum();
            sorted.retain(|(_, key)| {
                let keep = sum <= 5_000;
                sum -= if keep { 0 } else { model[key].1 };
                keep
            });
            model.retain(|key, it| sorted.contains(&(it.0, *key)));
            let kept: Vec<u64> = cache.parts().map(|it| it.key).collect();
            let expected: Vec<u64> = sorted.iter().map(|it| it.1).collect();
            prop_assert_eq!(kept, expected);
            let oldest = sorted.first().filter(|_| sum >= 4_750);
            prop_assert_eq!(cache.eviction_age_ms(at(now)), oldest.map(|it| at(now).millis_since(it.0)));
        }
    }
}
