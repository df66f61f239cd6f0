//! The platform's store comes back from an older copy: what it lists then may be older than what
//! the instance knows.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_route::{Event, RetryPolicy, ServerNotice, ServerRecord, ServerState, State};

use crate::testbed::{arrival, arrive, at, document, record, sent_target, state};

fn listed(sequence: u64, state: ServerState) -> ServerRecord {
    ServerRecord { sequence, state, ..record("a", "app") }
}

fn is_used(state: &mut State, millis: u64) -> bool {
    let now = at(millis);
    let effects = arrive(state, now, arrival(now, millis, RetryPolicy::Idempotent, None));
    sent_target(&effects).is_some()
}

#[test]
fn a_restored_entry_does_not_make_a_draining_server_ready() {
    let mut state = state(0, &[]);
    state.step(at(0), Event::ServerListed(listed(3, ServerState::Ready)));
    state.step(at(10), Event::ServerListed(listed(4, ServerState::Draining)));
    state.step(at(20), Event::StoreRestored);
    state.step(at(21), Event::ServerListed(listed(3, ServerState::Ready)));
    assert!(!is_used(&mut state, 30));
    state.step(at(40), Event::ServerListed(listed(5, ServerState::Ready)));
    assert!(is_used(&mut state, 50), "the server has written its entry again");
}

#[test]
fn a_restored_entry_does_not_bring_back_a_removed_server() {
    let mut state = state(0, &[]);
    state.step(at(0), Event::ServerListed(listed(3, ServerState::Ready)));
    state.step(at(10), Event::ServerRemoved { id: "a".into() });
    state.step(at(20), Event::StoreRestored);
    state.step(at(21), Event::ServerListed(listed(3, ServerState::Ready)));
    assert!(!is_used(&mut state, 30));
    state.step(at(40), Event::ServerListed(listed(4, ServerState::Ready)));
    assert!(is_used(&mut state, 50));
}

#[test]
fn a_restored_entry_does_not_bring_back_an_earlier_run() {
    let mut state = state(0, &[("a", "app")]);
    let next_run = ServerRecord { started_at_ms: 2, ..listed(1, ServerState::Draining) };
    state.step(at(10), Event::ServerListed(next_run));
    state.step(at(20), Event::StoreRestored);
    state.step(at(21), Event::ServerListed(listed(9, ServerState::Ready)));
    assert!(!is_used(&mut state, 30));
}

/// Without a restore, the store's word counts, whatever the sequence.
#[test]
fn a_removed_server_that_registers_again_is_used() {
    let mut state = state(0, &[("a", "app")]);
    state.step(at(10), Event::ServerRemoved { id: "a".into() });
    state.step(at(20), Event::ServerListed(listed(1, ServerState::Ready)));
    assert!(is_used(&mut state, 30));
}

#[test]
fn a_restored_configuration_does_not_replace_a_newer_one() {
    let mut state = state(0, &[]);
    state.step(at(0), Event::Document(document(7)));
    state.step(at(10), Event::StoreRestored);
    state.step(at(11), Event::Document(document(5)));
    assert_eq!(state.document().version, 7);
    state.step(at(12), Event::Document(document(8)));
    assert_eq!(state.document().version, 8);
}

#[derive(Clone, Debug)]
enum Step {
    Listed { sequence: u64, is_draining: bool },
    Removed,
    Missing,
    Restored,
    DrainAnnounced,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..6, any::<bool>())
            .prop_map(|(sequence, is_draining)| Step::Listed { sequence, is_draining }),
        Just(Step::Removed),
        Just(Step::Missing),
        Just(Step::Restored),
        Just(Step::DrainAnnounced),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0021),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order of events: a server that announced that it leaves gets no request, nor does
    /// one that has drained, until it has written its entry again; and one that has written its
    /// entry again as ready, with a higher sequence than ever, is used.
    #[test]
    fn no_order_of_events_brings_back_a_server_that_shuts_down(
        steps in prop::collection::vec(step(), 0..20),
    ) {
        let mut state = state(0, &[]);
        let mut announces_drain = false;
        let mut is_restoring = false;
        // The state and sequence that the server wrote last, if its entry was not removed.
        let mut written: Option<(u64, bool)> = None;
        let mut now = 0;
        for step in steps {
            now += 10;
            match step {
                Step::Listed { sequence, is_draining } => {
                    let listed_state =
                        if is_draining { ServerState::Draining } else { ServerState::Ready };
                    state.step(at(now), Event::ServerListed(listed(sequence, listed_state)));
                    let is_older = is_restoring && matches!(written, Some((last, true)) if sequence < last);
                    if !is_older {
                        written = Some((sequence, is_draining));
                    }
                }
                Step::Removed => {
                    state.step(at(now), Event::ServerRemoved { id: "a".into() });
                    written = None;
                }
                Step::Missing => {
                    let expires_at = at(now + 100_000);
                    state.step(at(now), Event::ServerMissing { id: "a".into(), expires_at });
                }
                Step::Restored => {
                    state.step(at(now), Event::StoreRestored);
                    is_restoring = true;
                }
                Step::DrainAnnounced => {
                    let server = record("a", "app").key();
                    let notice = ServerNotice::Draining;
                    state.step(at(now), Event::ServerNotice { server, notice });
                    announces_drain = true;
                }
            }
            let is_used = is_used(&mut state, now + 1);
            prop_assert!(!is_used || !announces_drain);
            prop_assert!(!is_used || !matches!(written, Some((_, true)) | None));
        }
        state.step(at(now + 10), Event::ServerListed(listed(100, ServerState::Ready)));
        prop_assert_eq!(is_used(&mut state, now + 20), !announces_drain);
    }
}
