//! What is known of the store only ever goes forward, whoever tells it.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_mirror::{Change, Item, Mirror};

fn item(key: &str, revision: u64, value: Option<&str>) -> Item {
    let value = value.map(|it| it.as_bytes().to_vec());
    Item { key: key.to_owned(), revision, value }
}

fn change(key: &str, value: Option<&str>) -> Change {
    Change { key: key.to_owned(), value: value.map(|it| it.as_bytes().to_vec()) }
}

#[test]
fn a_change_is_told_once() {
    let mut mirror = Mirror::default();
    let changes = mirror.apply_changes(5, vec![item("a", 5, Some("x"))]);
    assert_eq!(changes, [change("a", Some("x"))]);
    assert_eq!(mirror.apply_changes(5, vec![item("a", 5, Some("x"))]), []);
    assert_eq!(mirror.apply_changes(6, vec![item("a", 6, Some("x"))]), [], "the value is the same");
    assert_eq!(mirror.apply_changes(7, vec![item("a", 7, None)]), [change("a", None)]);
}

#[test]
fn what_is_missing_from_a_later_whole_was_removed() {
    let mut mirror = Mirror::default();
    mirror.apply_changes(5, vec![item("a", 4, Some("x")), item("b", 5, Some("y"))]);
    let changes = mirror.replace(9, vec![item("b", 8, Some("z"))]);
    assert_eq!(changes, [change("a", None), change("b", Some("z"))]);
}

#[test]
fn an_earlier_whole_changes_nothing() {
    let mut mirror = Mirror::default();
    mirror.apply_changes(9, vec![item("a", 9, Some("new"))]);
    assert_eq!(mirror.replace(7, vec![item("a", 3, Some("old")), item("b", 6, Some("x"))]), []);
    assert_eq!(mirror.revision(), 9);
}

#[test]
fn a_removal_is_not_undone_by_an_older_change() {
    let mut mirror = Mirror::default();
    mirror.apply_changes(5, vec![item("a", 5, Some("x"))]);
    mirror.apply_changes(8, vec![item("a", 8, None)]);
    assert_eq!(mirror.apply_changes(8, vec![item("a", 6, Some("y"))]), []);
    assert_eq!(mirror.full_update().items, []);
}

#[test]
fn a_fellow_is_told_only_what_changed() {
    let mut mirror = Mirror::default();
    mirror.replace(5, vec![item("a", 3, Some("x")), item("b", 5, Some("y"))]);
    mirror.apply_changes(
        8,
        vec![item("c", 6, Some("z")), item("a", 7, None), item("b", 8, Some("w"))],
    );
    let told = mirror.update_since(6);
    assert_eq!((told.since, told.revision), (Some(6), 8));
    assert_eq!(told.items, [item("a", 7, None), item("b", 8, Some("w"))]);
    assert_eq!(mirror.update_since(0).since, None, "a newborn is told everything");
    assert_eq!(mirror.update_since(4).since, None, "what was removed before is not known");
}

#[test]
fn what_leaves_a_gap_is_not_taken() {
    let mut teller = Mirror::default();
    teller.apply_changes(9, vec![item("a", 4, Some("x")), item("b", 9, Some("y"))]);
    let mut hearer = Mirror::default();
    hearer.apply_changes(3, Vec::new());
    assert_eq!(hearer.apply(teller.update_since(8)), []);
    assert_eq!(hearer.revision(), 3);
}

#[derive(Clone, Debug)]
enum Told {
    Changes { from: usize, to: usize },
    Whole { at: usize },
}

fn told(history: usize) -> impl Strategy<Value = Told> {
    prop_oneof![
        (0..history, 0..history).prop_map(|(a, b)| Told::Changes { from: a.min(b), to: a.max(b) }),
        (0..history).prop_map(|at| Told::Whole { at }),
    ]
}

/// The store after the first `upto` changes.
fn whole(history: &[(u8, Option<u8>)], upto: usize) -> Vec<Item> {
    let mut items = std::collections::BTreeMap::new();
    for (at, (key, value)) in history[..upto].iter().enumerate() {
        match value {
            Some(value) => items.insert(*key, (at as u64 + 1, *value)),
            None => items.remove(key),
        };
    }
    let item = |(key, (revision, value)): (u8, (u64, u8))| Item {
        key: key.to_string(),
        revision,
        value: Some(vec![value]),
    };
    items.into_iter().map(item).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0002),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever is told by whom in which order, once everything was told the mirror is the
    /// store, and its revision never fell.
    #[test]
    fn all_tellers_lead_to_the_store(
        history in prop::collection::vec((0_u8..4, prop::option::of(any::<u8>())), 1..20),
        tellings in prop::collection::vec(told(20), 0..20),
    ) {
        let mut mirror = Mirror::default();
        let mut revision = 0;
        for telling in tellings {
            match telling {
                Told::Changes { from, to } => {
                    let (from, to) = (from.min(history.len()), to.min(history.len()));
                    // A watch goes on from where its own instance is; others are skipped.
                    if from as u64 > mirror.revision() { continue; }
                    let items = history[from..to].iter().enumerate().map(|(at, (key, value))| Item {
                        key: key.to_string(),
                        revision: (from + at) as u64 + 1,
                        value: value.map(|it| vec![it]),
                    });
                    mirror.apply_changes(to as u64, items.collect());
                }
                Told::Whole { at } => {
                    let at = at.min(history.len());
                    mirror.replace(at as u64, whole(&history, at));
                }
            }
            prop_assert!(mirror.revision() >= revision);
            revision = mirror.revision();
            let mut known = mirror.full_update().items;
            known.sort_by(|a, b| a.key.cmp(&b.key));
            let wanted = whole(&history, revision as usize);
            // Whoever lags behind and is told the rest knows the same.
            let mut lagging = Mirror::default();
            let lag = revision / 2;
            lagging.replace(lag, whole(&history, lag as usize));
            lagging.apply(mirror.update_since(lag));
            let mut seen = lagging.full_update().items;
            seen.sort_by(|a, b| a.key.cmp(&b.key));
            let values = |it: &[Item]| it.iter().map(|it| (it.key.clone(), it.value.clone())).collect::<Vec<_>>();
            prop_assert_eq!(values(&known), values(&wanted));
            prop_assert_eq!(values(&seen), values(&wanted));
        }
    }
}
