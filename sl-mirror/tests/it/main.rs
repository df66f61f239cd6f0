//! The copy of the store never returns to an earlier state, whatever the source and order of
//! updates.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_mirror::{Change, Item, Mirror, PAGE_BYTES_MAX, PageMismatch, PagedUpdate, Update, Version};

fn item(key: &str, revision: u64, value: Option<&str>) -> Item {
    let value = value.map(|it| it.as_bytes().to_vec());
    Item { key: key.to_owned(), revision, value }
}

/// A version of the first era.
fn version(revision: u64) -> Version {
    Version::new(1, revision)
}

/// An empty copy in the first era.
fn first_era() -> Mirror {
    let mut mirror = Mirror::default();
    mirror.begin_era(1);
    mirror
}

/// What a peer lacks that has everything up to `since`, put together from its pages.
fn update_since(mirror: &Mirror, since: Version) -> Update {
    let mut pages = PagedUpdate::default();
    let mut after = None;
    loop {
        let page = mirror.page_since(since, after.as_deref());
        assert!(page.next.is_none() || page.next > after, "{page:?}");
        after = page.next.clone();
        pages.add(page).unwrap();
        if after.is_none() {
            return pages.finish().unwrap();
        }
    }
}

fn full_update(mirror: &Mirror) -> Update {
    update_since(mirror, Version::default())
}

fn change(key: &str, value: Option<&str>) -> Change {
    Change { key: key.to_owned(), value: value.map(|it| it.as_bytes().to_vec()) }
}

#[test]
fn a_change_is_reported_once() {
    let mut mirror = first_era();
    let changes = mirror.apply_changes(version(5), vec![item("a", 5, Some("x"))]);
    assert_eq!(changes, [change("a", Some("x"))]);
    assert_eq!(mirror.apply_changes(version(5), vec![item("a", 5, Some("x"))]), []);
    assert_eq!(
        mirror.apply_changes(version(6), vec![item("a", 6, Some("x"))]),
        [],
        "the value did not change"
    );
    assert_eq!(mirror.apply_changes(version(7), vec![item("a", 7, None)]), [change("a", None)]);
}

#[test]
fn a_later_listing_removes_the_items_that_it_lacks() {
    let mut mirror = first_era();
    mirror.apply_changes(version(5), vec![item("a", 4, Some("x")), item("b", 5, Some("y"))]);
    let changes = mirror.replace(version(9), vec![item("b", 8, Some("z"))]);
    assert_eq!(changes, [change("a", None), change("b", Some("z"))]);
}

#[test]
fn an_earlier_listing_changes_nothing() {
    let mut mirror = first_era();
    mirror.apply_changes(version(9), vec![item("a", 9, Some("new"))]);
    assert_eq!(
        mirror.replace(version(7), vec![item("a", 3, Some("old")), item("b", 6, Some("x"))]),
        []
    );
    assert_eq!(mirror.version(), version(9));
}

#[test]
fn a_removal_is_not_undone_by_an_older_change() {
    let mut mirror = first_era();
    mirror.apply_changes(version(5), vec![item("a", 5, Some("x"))]);
    mirror.apply_changes(version(8), vec![item("a", 8, None)]);
    assert_eq!(mirror.apply_changes(version(8), vec![item("a", 6, Some("y"))]), []);
    assert_eq!(full_update(&mirror).items, []);
}

#[test]
fn a_peer_gets_only_the_changes_after_its_revision() {
    let mut mirror = first_era();
    mirror.replace(version(5), vec![item("a", 3, Some("x")), item("b", 5, Some("y"))]);
    mirror.apply_changes(
        version(8),
        vec![item("c", 6, Some("z")), item("a", 7, None), item("b", 8, Some("w"))],
    );
    let update = update_since(&mirror, version(6));
    assert_eq!((update.since, update.version), (Some(version(6)), version(8)));
    assert_eq!(update.items, [item("a", 7, None), item("b", 8, Some("w"))]);
    assert_eq!(
        update_since(&mirror, version(0)).since,
        None,
        "a peer without any revision gets a full listing"
    );
    assert_eq!(
        update_since(&mirror, version(4)).since,
        None,
        "removals up to revision 5 are not kept"
    );
}

#[test]
fn an_update_that_leaves_a_gap_is_ignored() {
    let mut ahead = first_era();
    ahead.apply_changes(version(9), vec![item("a", 4, Some("x")), item("b", 9, Some("y"))]);
    let mut behind = first_era();
    behind.apply_changes(version(3), Vec::new());
    assert_eq!(behind.apply(update_since(&ahead, version(8))), []);
    assert_eq!(behind.version(), version(3));
}

/// The store's revisions go back when it is restored from an older copy, and are given out
/// again.
#[test]
fn a_restored_store_replaces_all_that_was_known_before() {
    let mut mirror = first_era();
    mirror.replace(version(900), vec![item("a", 900, Some("new")), item("b", 5, Some("x"))]);
    assert!(mirror.begin_era(2));
    let restored = vec![item("a", 3, Some("old")), item("c", 4, Some("y"))];
    let changes = mirror.replace(Version::new(2, 7), restored);
    assert_eq!(
        changes,
        [change("b", None), change("a", Some("old")), change("c", Some("y"))],
        "an earlier revision of a later era is no regression"
    );
    let changes = mirror.apply_changes(Version::new(2, 8), vec![item("b", 8, Some("x"))]);
    assert_eq!(changes, [change("b", Some("x"))]);
}

#[test]
fn the_items_stay_until_the_first_listing_of_a_new_era() {
    let mut mirror = first_era();
    mirror.replace(version(9), vec![item("a", 9, Some("x"))]);
    mirror.begin_era(2);
    assert!(mirror.version().is_unknown());
    assert_eq!(mirror.replace(Version::new(2, 0), Vec::new()), [], "no listing at all");
    assert_eq!(full_update(&mirror).items.len(), 1);
    assert!(!mirror.begin_era(2), "the era is known");
    assert!(!mirror.begin_era(1), "the era is older");
}

#[test]
fn what_a_peer_of_a_former_era_sends_is_ignored() {
    let mut mirror = first_era();
    mirror.begin_era(2);
    mirror.replace(Version::new(2, 5), vec![item("a", 5, Some("x"))]);
    let items = vec![item("a", 900, Some("old")), item("b", 901, Some("y"))];
    let full = Update { since: None, version: version(901), items: items.clone() };
    assert_eq!(mirror.apply(full), []);
    let changes = Update { since: Some(version(4)), version: version(901), items };
    assert_eq!(mirror.apply(changes), []);
    assert_eq!(mirror.version(), Version::new(2, 5));
}

#[test]
fn a_peer_of_a_former_era_gets_a_full_listing() {
    let mut mirror = first_era();
    mirror.replace(version(9), vec![item("a", 9, Some("x"))]);
    mirror.begin_era(2);
    mirror.replace(Version::new(2, 5), vec![item("a", 5, Some("x"))]);
    mirror.apply_changes(Version::new(2, 6), vec![item("a", 6, None)]);
    assert_eq!(update_since(&mirror, version(8)).since, None);
    assert_eq!(update_since(&mirror, Version::new(2, 5)).since, Some(Version::new(2, 5)));
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
        let mut mirror = first_era();
        let mut latest = version(0);
        for step in steps {
            match step {
                Step::Changes { from, to } => {
                    let (from, to) = (from.min(history.len()), to.min(history.len()));
                    // A watch starts at or before the mirror's revision; later ranges are skipped.
                    if from as u64 > mirror.version().revision { continue; }
                    let items = history[from..to].iter().enumerate().map(|(at, (key, value))| Item {
                        key: key.to_string(),
                        revision: (from + at) as u64 + 1,
                        value: value.map(|it| vec![it]),
                    });
                    mirror.apply_changes(version(to as u64), items.collect());
                }
                Step::Listing { at } => {
                    let at = at.min(history.len());
                    mirror.replace(version(at as u64), listing(&history, at));
                }
            }
            prop_assert!(mirror.version() >= latest);
            latest = mirror.version();
            let revision = latest.revision;
            let mut actual = full_update(&mirror).items;
            actual.sort_by(|a, b| a.key.cmp(&b.key));
            let expected = listing(&history, revision as usize);
            // A peer at an earlier revision reaches the same state with an update.
            let mut lagging = first_era();
            let earlier = revision / 2;
            lagging.replace(version(earlier), listing(&history, earlier as usize));
            lagging.apply(update_since(&mirror, version(earlier)));
            let mut updated = full_update(&lagging).items;
            updated.sort_by(|a, b| a.key.cmp(&b.key));
            let values = |it: &[Item]| it.iter().map(|it| (it.key.clone(), it.value.clone())).collect::<Vec<_>>();
            prop_assert_eq!(values(&actual), values(&expected));
            prop_assert_eq!(values(&updated), values(&expected));
        }
    }
}

/// What happens to a store that may be restored, and to one of the copies of it.
#[derive(Clone, Debug)]
enum RestoreStep {
    Write {
        key: u8,
        value: Option<u8>,
    },
    /// The store comes back from its state some changes ago.
    Restore {
        lost: usize,
    },
    /// A copy lists the store.
    List {
        copy: usize,
    },
    /// A copy gets the changes since its version, if the store has them.
    Watch {
        copy: usize,
    },
    /// A copy hears of the store's era, from a call or a peer.
    Hear {
        copy: usize,
    },
    /// A copy gets what another one has.
    Update {
        from: usize,
        to: usize,
    },
}

const COPIES: usize = 3;

fn restore_step() -> impl Strategy<Value = RestoreStep> {
    prop_oneof![
        4 => (0_u8..4, prop::option::of(any::<u8>()))
            .prop_map(|(key, value)| RestoreStep::Write { key, value }),
        1 => (0_usize..6).prop_map(|lost| RestoreStep::Restore { lost }),
        2 => (0..COPIES).prop_map(|copy| RestoreStep::List { copy }),
        2 => (0..COPIES).prop_map(|copy| RestoreStep::Watch { copy }),
        1 => (0..COPIES).prop_map(|copy| RestoreStep::Hear { copy }),
        3 => (0..COPIES, 0..COPIES).prop_map(|(from, to)| RestoreStep::Update { from, to }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0021),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// With restores at any moment, also several in a row, a copy's version never decreases, and
    /// each copy that knows a version equals the store as it was at that version.
    #[test]
    fn copies_equal_the_store_across_restores(
        steps in prop::collection::vec(restore_step(), 0..40),
    ) {
        let mut store: Vec<(u8, Option<u8>)> = vec![(0, Some(0))];
        let mut era = 1;
        let mut states = std::collections::HashMap::new();
        let mut copies = vec![Mirror::default(); COPIES];
        for step in steps {
            states.insert(Version::new(era, store.len() as u64), listing(&store, store.len()));
            let before: Vec<Version> = copies.iter().map(Mirror::version).collect();
            let store_version = Version::new(era, store.len() as u64);
            match step {
                RestoreStep::Write { key, value } => store.push((key, value)),
                RestoreStep::Restore { lost } => {
                    store.truncate(store.len().saturating_sub(lost).max(1));
                    era += 1;
                }
                RestoreStep::List { copy } => {
                    copies[copy].begin_era(era);
                    copies[copy].replace(store_version, listing(&store, store.len()));
                }
                RestoreStep::Watch { copy } => {
                    let from = copies[copy].version();
                    if from.era != era || from.is_unknown() {
                        continue;
                    }
                    let from = from.revision as usize;
                    let items = store[from..].iter().enumerate().map(|(at, (key, value))| Item {
                        key: key.to_string(),
                        revision: (from + at) as u64 + 1,
                        value: value.map(|it| vec![it]),
                    });
                    let items = items.collect();
                    copies[copy].apply_changes(store_version, items);
                }
                RestoreStep::Hear { copy } => {
                    copies[copy].begin_era(era);
                }
                RestoreStep::Update { from, to } => {
                    let known = copies[to].version();
                    if copies[from].version().is_unknown() || copies[from].version() <= known {
                        continue;
                    }
                    let update = update_since(&copies[from], known);
                    copies[to].begin_era(update.version.era);
                    copies[to].apply(update);
                }
            }
            states.insert(Version::new(era, store.len() as u64), listing(&store, store.len()));
            for (copy, before) in copies.iter().zip(before) {
                prop_assert!(copy.version() >= before);
                if copy.version().is_unknown() {
                    continue;
                }
                let mut items = full_update(copy).items;
                items.sort_by(|a, b| a.key.cmp(&b.key));
                let values = |it: &[Item]| it.iter().map(|it| (it.key.clone(), it.value.clone())).collect::<Vec<_>>();
                prop_assert_eq!(values(&items), values(&states[&copy.version()]));
            }
        }
    }
}

// Guards against a listing that grows with the store until it is larger than a message between instances, and
// against items that are lost between two pages.
#[test]
fn a_listing_comes_in_pages_of_a_bounded_size() {
    const VALUE_BYTES: usize = 700;
    const ITEMS: usize = 6_000;
    let mut mirror = first_era();
    let value = "x".repeat(VALUE_BYTES);
    let items = (0..ITEMS).map(|it| item(&format!("key-{it}"), it as u64 + 1, Some(&value)));
    mirror.replace(version(ITEMS as u64), items.collect());
    let mut after = None;
    let mut pages = 0;
    loop {
        let page = mirror.page_since(Version::default(), after.as_deref());
        let bytes: usize = page.items.iter().map(|it| it.key.len() + VALUE_BYTES).sum();
        assert!(bytes < PAGE_BYTES_MAX + 2 * VALUE_BYTES, "{bytes} bytes");
        pages += 1;
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    assert!(pages > ITEMS * VALUE_BYTES / PAGE_BYTES_MAX, "{pages} pages");
    assert_eq!(full_update(&mirror).items.len(), ITEMS);
}

// Guards against an update put together from pages of two states of the sender, which would remove items.
#[test]
fn pages_of_a_listing_and_of_changes_do_not_belong_together() {
    let mut mirror = first_era();
    let value = "x".repeat(PAGE_BYTES_MAX);
    let items = ["a", "b"].map(|it| item(it, 2, Some(&value)));
    mirror.replace(version(2), items.to_vec());
    let first = mirror.page_since(Version::default(), None);
    let mut pages = PagedUpdate::default();
    let after = first.next.clone().unwrap();
    pages.add(first).unwrap();
    mirror.apply_changes(version(3), vec![item("c", 3, Some("y"))]);
    let second = mirror.page_since(version(2), Some(&after));
    assert_eq!(pages.add(second), Err(PageMismatch));
    let mut pages = PagedUpdate::default();
    pages.add(mirror.page_since(Version::default(), None)).unwrap();
    mirror.begin_era(2);
    assert_eq!(pages.add(mirror.page_since(Version::default(), Some(&after))), Err(PageMismatch));
}

// Guards against a change that is lost since it came between two pages: the next update has it.
#[test]
fn what_changes_between_two_pages_comes_with_the_next_update() {
    let mut sender = first_era();
    let value = "x".repeat(PAGE_BYTES_MAX);
    sender.replace(version(2), ["a", "b"].map(|it| item(it, 2, Some(&value))).to_vec());
    let first = sender.page_since(Version::default(), None);
    let mut pages = PagedUpdate::default();
    let after = first.next.clone();
    pages.add(first).unwrap();
    sender.apply_changes(version(4), vec![item("a", 3, None), item("c", 4, Some("z"))]);
    pages.add(sender.page_since(Version::default(), after.as_deref())).unwrap();
    let mut receiver = first_era();
    receiver.apply(pages.finish().unwrap());
    let rest = update_since(&sender, receiver.version());
    receiver.apply(rest);
    assert_eq!(full_update(&receiver), full_update(&sender));
}
