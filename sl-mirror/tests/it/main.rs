//! The copy of the store never returns to an earlier state, whatever the source and order of
//! updates.

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
fn a_change_is_reported_once() {
    let mut mirror = Mirror::default();
    let changes = mirror.apply_changes(5, vec![item("a", 5, Some("x"))]);
    assert_eq!(changes, [change("a", Some("x"))]);
    assert_eq!(mirror.apply_changes(5, vec![item("a", 5, Some("x"))]), []);
    assert_eq!(
        mirror.apply_changes(6, vec![item("a", 6, Some("x"))]),
        [],
        "the value did not change"
    );
    assert_eq!(mirror.apply_changes(7, vec![item("a", 7, None)]), [change("a", None)]);
}

#[test]
fn a_later_listing_removes_the_items_that_it_lacks() {
    let mut mirror = Mirror::default();
    mirror.apply_changes(5, vec![item("a", 4, Some("x")), item("b", 5, Some("y"))]);
    let changes = mirror.replace(9, vec![item("b", 8, Some("z"))]);
    assert_eq!(changes, [change("a", None), change("b", Some("z"))]);
}

#[test]
fn an_earlier_listing_changes_nothing() {
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
fn a_peer_gets_only_the_changes_after_its_revision() {
    let mut mirror = Mirror::default();
    mirror.replace(5, vec![item("a", 3, Some("x")), item("b", 5, Some("y"))]);
    mirror.apply_changes(
        8,
        vec![item("c", 6, Some("z")), item("a", 7, None), item("b", 8, Some("w"))],
    );
    let update = mirror.update_since(6);
    assert_eq!((update.since, update.revision), (Some(6), 8));
    assert_eq!(update.items, [item("a", 7, None), item("b", 8, Some("w"))]);
    assert_eq!(
        mirror.update_since(0).since,
        None,
        "a peer without any revision gets a full listing"
    );
    assert_eq!(mirror.update_since(4).since, None, "removals up to revision 5 are not kept");
}

#[test]
fn an_update_that_leaves_a_gap_is_ignored() {
    let mut ahead = Mirror::default();
    ahead.apply_changes(9, vec![item("a", 4, Some("x")), item("b", 9, Some("y"))]);
    let mut behind = Mirror::default();
    behind.apply_changes(3, Vec::new());
    assert_eq!(behind.apply(ahead.update_since(8)), []);
    assert_eq!(behind.revision(), 3);
}

#[derive(Clone, Debug)]
enum Step {
    Changes { from: usize, to: usize },
    Listing { at: usize },
}

fn step(history: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..history, 0..history).prop_map(|(a, b)| Step::Changes { from: a.min(b), to: a.max(b) }),
        (0..history).prop_map(|at| Step::Listing { at }),
    ]
}

/// Items of the store after the first `upto` changes.
fn listing(history: &[(u8, Option<u8>)], upto: usize) -> Vec<Item> {
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

    /// After updates in any order, the mirror equals the store at the mirror's revision, and
    /// the revision never decreases.
    #[test]
    fn updates_in_any_order_reproduce_the_store(
        history in prop::collection::vec((0_u8..4, prop::option::of(any::<u8>())), 1..20),
        steps in prop::collection::vec(step(20), 0..20),
    ) {
        let mut mirror = Mirror::default();
        let mut revision = 0;
        for step in steps {
            match step {
                Step::Changes { from, to } => {
                    let (from, to) = (from.min(history.len()), to.min(history.len()));
                    // A watch starts at or before the mirror's revision; later ranges are skipped.
                    if from as u64 > mirror.revision() { continue; }
                    let items = history[from..to].iter().enumerate().map(|(at, (key, value))| Item {
                        key: key.to_string(),
                        revision: (from + at) as u64 + 1,
                        value: value.map(|it| vec![it]),
                    });
                    mirror.apply_changes(to as u64, items.collect());
                }
                Step::Listing { at } => {
                    let at = at.min(history.len());
                    mirror.replace(at as u64, listing(&history, at));
                }
            }
            prop_assert!(mirror.revision() >= revision);
            revision = mirror.revision();
            let mut actual = mirror.full_update().items;
            actual.sort_by(|a, b| a.key.cmp(&b.key));
            let expected = listing(&history, revision as usize);
            // A peer at an earlier revision reaches the same state with an update.
            let mut lagging = Mirror::default();
            let earlier = revision / 2;
            lagging.replace(earlier, listing(&history, earlier as usize));
            lagging.apply(mirror.update_since(earlier));
            let mut updated = lagging.full_update().items;
            updated.sort_by(|a, b| a.key.cmp(&b.key));
            let values = |it: &[Item]| it.iter().map(|it| (it.key.clone(), it.value.clone())).collect::<Vec<_>>();
            prop_assert_eq!(values(&actual), values(&expected));
            prop_assert_eq!(values(&updated), values(&expected));
        }
    }
}
