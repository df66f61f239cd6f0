//! Origins of streams outlast the loss of all instances: the version record and the batches that
//! the store keeps.

use std::collections::HashSet;

use rstest::rstest;
use sl_base::{RequestId, ServiceId, StreamId, UnixMillis, WallClock};
use sl_route::{
    Arrival, Decision, Effect, Event, Options, Refusal, RetryPolicy, ServerKey, ServerRecord,
    ServerState, State,
    effect::OriginKnowledge,
    known_versions::NoProof,
    note::{Note, Notes},
    stream_origin::{OriginBatch, RUN_RETENTION, StreamRequest, UNSAVED_MAX},
    version_record::{
        CLOCK_TOLERANCE, RECORD_RENEWAL_INTERVAL, RECORD_TIMEOUT, RECORD_VALIDITY, VersionRecord,
    },
};

use crate::testbed::{
    START, arrival, arrive, at, document, options, prompt, record, request_effects, route,
    sent_target, state,
};

const ERA: u64 = 1;

fn model() -> ServiceId {
    ServiceId::of("model")
}

fn engine(id: &str, version: &str) -> ServerRecord {
    ServerRecord { version: Some(version.into()), ..record(id, "model") }
}

/// A record that was written at the start.
fn versions(era: u64, names: &[&str]) -> VersionRecord {
    versions_at(0, era, names)
}

/// A record that was written at `millis`.
fn versions_at(millis: u64, era: u64, names: &[&str]) -> VersionRecord {
    let names = names.iter().map(|it| Some((*it).into())).collect();
    let complete_until = WallClock::default().time(at(millis + RECORD_VALIDITY.0));
    VersionRecord { era, is_complete: true, complete_until, services: [(model(), names)].into() }
}

/// A state that has just started and found a record and engines in the store.
fn started(record: Option<VersionRecord>, engines: &[(&str, &str)]) -> State {
    let mut state = state(1, &[]);
    state.step(START, Event::StoreEra(ERA));
    if record.is_some() {
        state.step(START, Event::VersionRecordListed(record));
    }
    for (id, version) in engines {
        state.step(START, Event::ServerListed(engine(id, version)));
    }
    state
}

fn send(state: &mut State, millis: u64, number: u64, stream: StreamRequest) -> Vec<Effect> {
    let prompt = prompt(&format!("shared-{number}"), 1_000, &format!("own-{number}"), 400);
    let arrival = arrival(at(millis), number, RetryPolicy::ResumableStream, Some(prompt));
    arrive(state, at(millis), Arrival { stream: Some(stream), ..arrival })
}

fn begin(state: &mut State, millis: u64, number: u64) -> Vec<Effect> {
    send(state, millis, number, StreamRequest::New(StreamId(number as u32)))
}

/// Resumes a stream as an instance does that asks the store if the origin is missing.
fn resume(state: &mut State, millis: u64, number: u64, stream: u32) -> Vec<Effect> {
    let request = StreamRequest::Resumed(Some(StreamId(stream)));
    let route = route(RetryPolicy::ResumableStream, "model");
    if let Some(stream) = state.missing_origin(&route, request) {
        state.step(at(millis), Event::StreamNotStored { stream, service: model() });
    }
    send(state, millis, number, request)
}

fn refusal(effects: Vec<Effect>) -> Option<Refusal> {
    request_effects(effects).into_iter().find_map(|it| match it {
        Effect::Refuse { reason, .. } => Some(reason),
        _ => None,
    })
}

fn known_origin(effects: &[Effect]) -> Option<OriginKnowledge> {
    effects.iter().find_map(|it| match it {
        Effect::Log(Decision::StreamResumed { known, .. }) => Some(*known),
        _ => None,
    })
}

fn sent_version(state: &State, effects: &[Effect]) -> Option<String> {
    let target = sent_target(effects)?;
    let server = state.servers().find(|it| it.key == target.server)?;
    server.record.version.as_deref().map(str::to_owned)
}

// Guards against text joined from two versions: an instance that starts after the last server of the
// former version has left sees one version.
#[test]
fn a_stream_is_refused_while_the_record_has_a_version_that_is_not_listed() {
    let mut state = started(Some(versions(ERA, &["v1", "v2"])), &[("a", "v2"), ("b", "v2")]);
    assert_eq!(refusal(resume(&mut state, 10, 1, 7)), Some(Refusal::OriginUnknown));
    let unnamed = send(&mut state, 20, 2, StreamRequest::Resumed(None));
    assert_eq!(refusal(unnamed), Some(Refusal::OriginUnknown));
    assert!(sent_target(&begin(&mut state, 30, 3)).is_some());
}

// Guards against an instance that forgets a version as soon as another one removes it from the
// record: it has started in between, and does not know when the version's servers left.
#[test]
fn a_version_that_was_found_in_the_record_is_remembered_for_a_minute() {
    let mut state = started(Some(versions(ERA, &["v1", "v2"])), &[("a", "v2")]);
    state.step(at(1_000), Event::VersionRecordListed(Some(versions(ERA, &["v2"]))));
    state.step(at(30_000), Event::Tick);
    assert_eq!(refusal(resume(&mut state, 30_010, 1, 7)), Some(Refusal::OriginUnknown));
    let later = 2 * RUN_RETENTION.0;
    state.step(at(later), Event::Tick);
    state.step(at(later), Event::ServerListed(ServerRecord { sequence: 2, ..engine("a", "v2") }));
    assert!(sent_target(&resume(&mut state, later + 10, 2, 7)).is_some());
}

// Guards against the refusal of all streams when a release begins while all instances are dead: the
// record that they left has the only version at which a stream can have begun.
#[test]
fn a_stream_goes_on_at_the_only_version_of_the_record_found_at_the_start() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[("a", "v1"), ("b", "v2"), ("c", "v2")]);
    for number in 0..4 {
        let resumed = resume(&mut state, 10 + number, number, 100 + number as u32);
        assert_eq!(sent_version(&state, &resumed).as_deref(), Some("v1"), "{resumed:?}");
    }
    // The second version is recorded now, which changes nothing about the streams of before.
    state.step(at(200), Event::VersionRecordListed(Some(versions(ERA, &["v1", "v2"]))));
    let resumed = resume(&mut state, 210, 10, 200);
    assert_eq!(sent_version(&state, &resumed).as_deref(), Some("v1"), "{resumed:?}");
}

// Guards against an operator who cannot tell a stream whose origin was deduced from one whose origin
// an instance or a batch knew.
#[test]
fn an_origin_that_was_deduced_is_logged_as_such() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[("a", "v1"), ("b", "v2")]);
    let noted = state.origin_batch(&[(StreamId(8), engine("a", "v1").key())]);
    state.step(at(5), Event::StoredOriginsRead(vec![noted]));
    for (number, stream, known) in
        [(1, 7, OriginKnowledge::Deduced), (2, 8, OriginKnowledge::Origin)]
    {
        let effects = resume(&mut state, 10, number, stream);
        assert_eq!(known_origin(&effects), Some(known), "{effects:?}");
        let deduced = effects.iter().any(|it| {
            matches!(it, Effect::Log(Decision::StreamOriginDeduced { version, .. }) if &**version == "v1")
        });
        assert_eq!(deduced, known == OriginKnowledge::Deduced, "{effects:?}");
    }
    // A peer or a batch that passes the origin on does not turn it into a known one.
    state.step(at(20), Event::StreamNotStored { stream: StreamId(9), service: model() });
    let origin = state.stream_origin(StreamId(9)).cloned().unwrap();
    let mut other = started(Some(versions(ERA, &["v1", "v2"])), &[("a", "v1"), ("b", "v2")]);
    other.step(at(5), Event::StreamOriginFound { stream: StreamId(9), origin });
    let effects = resume(&mut other, 10, 1, 9);
    assert_eq!(known_origin(&effects), Some(OriginKnowledge::Deduced), "{effects:?}");
}

// Guards against a record that counts as incomplete because its writer's clock, which starts with its
// machine, is ahead of the reader's.
#[test]
fn a_record_is_trusted_whatever_the_clock_of_its_writer() {
    let late = at(1_000_000_000);
    let wall_clock = WallClock::read_at(late, WallClock::default().time(START));
    let mut writer = State::new(Options { wall_clock, ..options(1) }, late);
    writer.step(late, Event::Document(document(1)));
    writer.step(late, Event::StoreEra(ERA));
    writer.step(late, Event::ServerListed(engine("a", "v1")));
    let record = writer.wanted_version_record(late).unwrap();
    let mut state = started(Some(record), &[("a", "v1"), ("b", "v2")]);
    let resumed = resume(&mut state, 10, 1, 7);
    assert_eq!(sent_version(&state, &resumed).as_deref(), Some("v1"), "{resumed:?}");
}

// Guards against a proof from a record that a restore of the store has brought back, that its writer
// could not complete, or that appeared after the start.
#[rstest]
#[case::earlier_era(Some(versions(ERA - 1, &["v1"])), false)]
#[case::incomplete(Some(VersionRecord { is_complete: false, ..versions(ERA, &["v1"]) }), false)]
#[case::later_record(None, false)]
#[case::restored_since(Some(versions(ERA, &["v1"])), true)]
fn a_record_that_may_lack_versions_proves_nothing(
    #[case] found: Option<VersionRecord>,
    #[case] is_restored: bool,
) {
    let mut state = started(found, &[("a", "v1"), ("b", "v2")]);
    state.step(at(1), Event::VersionRecordListed(Some(versions(ERA, &["v1"]))));
    if is_restored {
        state.step(at(2), Event::StoreEra(ERA + 1));
        state.step(at(2), Event::StoreRestored);
    }
    assert_eq!(refusal(resume(&mut state, 10, 1, 7)), Some(Refusal::OriginUnknown));
}

// Guards against text joined from two versions when a store is restored from a copy that lacks the
// former version, and all instances have started since.
#[test]
fn one_listed_version_proves_nothing_while_the_record_is_of_an_earlier_era() {
    let mut state = started(Some(versions(ERA - 1, &["v2"])), &[("a", "v2")]);
    assert_eq!(refusal(resume(&mut state, 10, 1, 7)), Some(Refusal::OriginUnknown));
    let wanted = state.wanted_version_record(at(20)).unwrap();
    assert_eq!(wanted.era, ERA);
    assert!(!wanted.is_complete, "{wanted:?}");
    state.step(at(30_000), Event::VersionRecordListed(Some(wanted.clone())));
    let renewed = state.wanted_version_record(at(59_000)).unwrap();
    assert!(!renewed.is_complete, "{renewed:?}");
    // An instance that starts later is told by the record.
    let mut later = started(Some(wanted), &[("a", "v2")]);
    assert_eq!(refusal(resume(&mut later, 10, 1, 7)), Some(Refusal::OriginUnknown));
    let after = 2 * RUN_RETENTION.0;
    state.step(at(after), Event::Tick);
    state.step(at(after), Event::ServerListed(ServerRecord { sequence: 2, ..engine("a", "v2") }));
    assert!(sent_target(&resume(&mut state, after + 10, 2, 7)).is_some());
}

// Guards against streams that begin at a version which the record lacks: if all instances were lost
// then, nobody would know of it.
#[test]
fn a_new_stream_waits_for_the_record_of_its_version_if_another_server_can_take_it() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[("a", "v1")]);
    state.step(at(100), Event::ServerListed(engine("b", "v2")));
    for number in 0..5 {
        let began = begin(&mut state, 110 + number, number);
        assert_eq!(sent_version(&state, &began).as_deref(), Some("v1"), "{began:?}");
    }
    state.step(at(200), Event::VersionRecordListed(Some(versions(ERA, &["v1", "v2"]))));
    let began = begin(&mut state, 210, 10);
    assert_eq!(sent_version(&state, &began).as_deref(), Some("v2"), "the idle engine: {began:?}");
}

/// When new streams no longer wait for the version of an engine that is listed at 100 ms.
const PROMISE_END_MS: u64 = 100 + RECORD_VALIDITY.0 + CLOCK_TOLERANCE.0;

// Guards against a store that is down, or a release that replaces all servers, and keeps the servers
// of the new version from all work for longer than the record promises; against streams that begin
// there sooner, so that a record which is taken for a proof after a loss of all instances lacks their
// version; and against holds in a fleet without a record, or with one that promises nothing.
#[rstest]
#[case::timeout(Some(versions(ERA, &["v1"])), true, PROMISE_END_MS)]
#[case::no_other_server(Some(versions(ERA, &["v1"])), false, PROMISE_END_MS)]
#[case::no_promise(Some(unpromised(&["v1"])), true, 100 + RECORD_TIMEOUT.0)]
#[case::no_promise_and_no_other_server(Some(unpromised(&["v1"])), false, 100)]
#[case::no_record(None, true, 100)]
fn the_wait_for_the_record_is_bounded(
    #[case] found: Option<VersionRecord>,
    #[case] has_other: bool,
    #[case] until: u64,
) {
    let mut state = started(found, &[("a", "v1")]);
    state.step(at(100), Event::ServerListed(engine("b", "v2")));
    if !has_other {
        state.step(at(100), Event::ServerRemoved { id: "a".into() });
    }
    let mut begin_some = |millis: u64| {
        let began = (0..6).map(|it| begin(&mut state, millis + it, millis + it));
        let began: Vec<Vec<Effect>> = began.collect();
        began.iter().filter_map(|it| sent_version(&state, it)).collect::<Vec<String>>()
    };
    if until > 100 {
        let used = begin_some(until - 10);
        assert!(!used.iter().any(|it| it == "v2"), "{used:?}");
    }
    let used = begin_some(until);
    assert!(used.iter().any(|it| it == "v2"), "{used:?}");
}

/// A record of an older build, which does not say until when it is complete.
fn unpromised(names: &[&str]) -> VersionRecord {
    VersionRecord { complete_until: UnixMillis::default(), ..versions(ERA, names) }
}

// Guards against a caller that is told nothing of a refusal which ends once the record is written.
#[test]
fn a_stream_that_only_an_unrecorded_version_can_begin_is_refused_for_a_short_time() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[("b", "v2")]);
    let refused = request_effects(begin(&mut state, 10, 1));
    let [Effect::Refuse { reason, retry_after, .. }] = refused[..] else {
        panic!("{refused:?}");
    };
    assert_eq!(reason, Refusal::VersionUnrecorded);
    assert!((200..1_000).contains(&retry_after.0), "{retry_after}");
}

// Guards against a caller that is told to come back soon although no server could take its stream.
#[test]
fn a_stream_without_a_server_that_accepts_it_is_not_refused_for_the_record() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[]);
    let leaving = ServerRecord { state: ServerState::Draining, ..engine("b", "v2") };
    state.step(at(5), Event::ServerListed(leaving));
    assert_eq!(refusal(begin(&mut state, 10, 1)), Some(Refusal::NoServer));
}

// Guards against streams that begin at a version which the record lacks while another instance has
// renewed the record's promise, and against a promise that ends although the store takes writes.
#[test]
fn a_renewed_record_keeps_streams_from_versions_that_it_lacks() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[("a", "v1")]);
    state.step(at(100), Event::ServerListed(engine("b", "v2")));
    let renewed_at = 9_000;
    let renewed = versions_at(renewed_at, ERA, &["v1"]);
    state.step(at(renewed_at), Event::VersionRecordListed(Some(renewed)));
    let promise_end = renewed_at + RECORD_VALIDITY.0 + CLOCK_TOLERANCE.0;
    for millis in (PROMISE_END_MS..promise_end).step_by(500) {
        let began = begin(&mut state, millis, millis);
        assert_eq!(sent_version(&state, &began).as_deref(), Some("v1"), "at {millis}: {began:?}");
        state.step(at(millis), Event::CallerDisconnected { request: RequestId(millis) });
    }
}

fn no_proof(effects: &[Effect]) -> Option<Option<NoProof>> {
    effects.iter().find_map(|it| match it {
        Effect::Log(Decision::VersionRecordFound { no_proof, .. }) => Some(*no_proof),
        _ => None,
    })
}

// Guards against text joined from two versions: streams began at another version than that of the record
// after its promise had ended, or its writer's clock was wrong. Each start says what it concludes.
#[rstest]
#[case::just_written(0, None)]
#[case::almost_expired(-(RECORD_VALIDITY.0 as i64) + 1, None)]
#[case::expired(-(RECORD_VALIDITY.0 as i64), Some(NoProof::Expired))]
#[case::clock_ahead(CLOCK_TOLERANCE.0 as i64, None)]
#[case::clock_far_ahead(CLOCK_TOLERANCE.0 as i64 + 1, Some(NoProof::ClocksDiffer))]
fn a_record_proves_something_until_its_promise_ends(
    #[case] written_ms: i64,
    #[case] expected: Option<NoProof>,
) {
    let validity = WallClock::default().time(at(RECORD_VALIDITY.0)).0;
    let complete_until = UnixMillis(validity.saturating_add_signed(written_ms));
    let found = VersionRecord { complete_until, ..versions(ERA, &["v1"]) };
    let mut state = state(1, &[]);
    state.step(START, Event::StoreEra(ERA));
    let effects = state.step(START, Event::VersionRecordListed(Some(found)));
    assert_eq!(no_proof(&effects), Some(expected));
    for (id, version) in [("a", "v1"), ("b", "v1")] {
        state.step(START, Event::ServerListed(engine(id, version)));
    }
    let resumed = resume(&mut state, 10, 1, 7);
    let is_refused = refusal(resumed) == Some(Refusal::OriginUnknown);
    assert_eq!(is_refused, expected.is_some());
}

// Guards against an instance which trusts nothing for a minute after a start beside others that know all
// versions, and makes the record worse for the others.
#[test]
fn an_instance_that_found_an_expired_record_trusts_one_that_a_peer_renews() {
    let found = VersionRecord { complete_until: UnixMillis(1), ..versions(ERA, &["v1"]) };
    let mut state = started(Some(found), &[("a", "v1")]);
    assert!(!state.wanted_version_record(at(10)).unwrap().is_complete);
    state.step(at(50), Event::VersionRecordListed(Some(versions_at(50, ERA, &["v1"]))));
    assert_eq!(state.wanted_version_record(at(60)), None);
    assert!(sent_target(&resume(&mut state, 100, 1, 7)).is_some());
}

// Guards against the loss of streams at instances that start after another one has written a release into
// the record: a peer that found the former record says where the stream began, but no peer that did not.
#[test]
fn a_peer_that_found_the_former_record_deduces_an_origin_for_others() {
    let engines = [("a", "v1"), ("b", "v2")];
    let first = started(Some(versions(ERA, &["v1"])), &engines);
    let mut second = started(Some(versions(ERA, &["v1", "v2"])), &engines);
    let stream = StreamId(7);
    assert_eq!(second.deduced_origin(at(10), stream, model()), None);
    let origin = first.deduced_origin(at(10), stream, model()).unwrap();
    second.step(at(20), Event::StreamOriginFound { stream, origin });
    let resumed = resume(&mut second, 30, 1, 7);
    assert_eq!(sent_version(&second, &resumed).as_deref(), Some("v1"), "{resumed:?}");
}

// Guards against writes of the record that change nothing and are no renewal, and against a version that
// is removed from it while streams of it may still be resumed.
#[test]
fn the_record_has_the_versions_of_the_last_minute_and_is_written_once_for_each_change() {
    let mut state = started(None, &[("a", "v1"), ("b", "v1")]);
    let first = state.wanted_version_record(at(10)).unwrap();
    assert_eq!(first.services, versions(ERA, &["v1"]).services);
    state.step(at(20), Event::VersionRecordListed(Some(first)));
    assert_eq!(state.wanted_version_record(at(30)), None);
    state.step(at(100), Event::ServerListed(engine("c", "v2")));
    let second = state.wanted_version_record(at(110)).unwrap();
    assert_eq!(second.services, versions(ERA, &["v1", "v2"]).services);
    state.step(at(120), Event::VersionRecordListed(Some(second)));
    state.step(at(200), Event::ServerRemoved { id: "a".into() });
    state.step(at(200), Event::ServerRemoved { id: "b".into() });
    let mut renewals = 0;
    for millis in (250..200 + RUN_RETENTION.0).step_by(250) {
        state.step(at(millis), Event::Tick);
        if let Some(renewed) = state.wanted_version_record(at(millis)) {
            assert_eq!(renewed.services, versions(ERA, &["v1", "v2"]).services, "at {millis}");
            state.step(at(millis), Event::VersionRecordListed(Some(renewed)));
            renewals += 1;
        }
    }
    assert!(renewals <= RUN_RETENTION.0 / RECORD_RENEWAL_INTERVAL.0, "{renewals} renewals");
    let after = 200 + RUN_RETENTION.0;
    let third = state.wanted_version_record(at(after + 10)).unwrap();
    assert_eq!(third.services, versions(ERA, &["v2"]).services);
}

// Guards against a follower that removes versions of which another one knows that they have served
// lately, or that takes them back for the record of a former era.
#[test]
fn a_version_in_the_record_is_kept_by_an_instance_that_has_not_seen_it() {
    let mut state = started(Some(versions(ERA, &["v1", "v2"])), &[("a", "v2")]);
    let renewed = state.wanted_version_record(at(RUN_RETENTION.0 - 1_000)).unwrap();
    assert_eq!(renewed.services, versions(ERA, &["v1", "v2"]).services);
    let later = state.wanted_version_record(at(RUN_RETENTION.0 + 1_000)).unwrap();
    assert_eq!(later.services, versions(ERA, &["v2"]).services);
    state.step(at(2_000), Event::StoreEra(ERA + 1));
    state.step(at(2_000), Event::StoreRestored);
    state.step(at(2_010), Event::VersionRecordListed(Some(versions(ERA, &["v2"]))));
    let restored = state.wanted_version_record(at(2_020)).unwrap();
    assert_eq!(restored.era, ERA + 1);
    assert_eq!(restored.services, versions(ERA, &["v1", "v2"]).services);
    assert!(restored.is_complete);
}

// Guards against the loss of what only instances knew: an instance without memory resumes the streams
// in the batches at their versions.
#[test]
fn a_stream_goes_on_at_the_version_in_a_batch() {
    let both = Some(versions(ERA, &["v1", "v2"]));
    let engines = [("a", "v1"), ("b", "v2")];
    let mut before = started(both.clone(), &engines);
    before.step(at(1), Event::Tick);
    let mut began = Vec::new();
    for number in 0..4 {
        let effects = begin(&mut before, 10, number);
        began.push(sent_version(&before, &effects).unwrap());
    }
    assert!(before.should_save_origins());
    before.collect_unsaved_origins(true);
    let mut batches = Vec::new();
    let unsaved = before.take_unsaved_origins();
    assert_eq!(unsaved.len(), 4, "the first batch has all that is known");
    batches.push(before.origin_batch(&unsaved));
    assert!(before.take_unsaved_origins().is_empty());
    for number in 4..8 {
        let effects = begin(&mut before, 20, number);
        began.push(sent_version(&before, &effects).unwrap());
    }
    let unsaved = before.take_unsaved_origins();
    assert_eq!(unsaved.len(), 4);
    batches.push(before.origin_batch(&unsaved));

    let mut after = started(both, &engines);
    after.step(at(1_000), Event::StoredOriginsRead(batches));
    for (number, version) in began.iter().enumerate() {
        let resumed = resume(&mut after, 1_010, 100 + number as u64, number as u32);
        assert_eq!(sent_version(&after, &resumed).as_ref(), Some(version), "stream {number}");
    }
    assert_eq!(refusal(resume(&mut after, 1_020, 200, 99)), Some(Refusal::OriginUnknown));
}

// Guards against an older batch that replaces what a later note or batch says.
#[test]
fn the_last_batch_counts_and_a_batch_replaces_no_note() {
    let both = Some(versions(ERA, &["v1", "v2"]));
    let engines = [("a", "v1"), ("b", "v2")];
    let runs = engines.map(|(id, version)| engine(id, version).key());
    let mut state = started(both.clone(), &engines);
    let noted = begin(&mut state, 10, 0);
    let noted = sent_version(&state, &noted).unwrap();
    let other = if noted == "v1" { runs[1] } else { runs[0] };
    let stale = state.origin_batch(&[(StreamId(0), other), (StreamId(1), runs[0])]);
    let last = state.origin_batch(&[(StreamId(1), runs[1])]);
    state.step(at(20), Event::StoredOriginsRead(vec![stale, last]));
    let resumed = resume(&mut state, 30, 10, 0);
    assert_eq!(sent_version(&state, &resumed), Some(noted));
    let resumed = resume(&mut state, 30, 11, 1);
    assert_eq!(sent_version(&state, &resumed).as_deref(), Some("v2"));
}

/// The load of part 1 of docs/work-2026-12-04.md: 295 instances begin 3,000 streams a second, all of
/// which one instance learns of by notes, and writes every 100 ms.
const STREAMS_PER_WRITE: u32 = 300;
const WRITE_INTERVAL_MS: u64 = 100;

/// The time for which streams are remembered, and slots are kept.
const LOAD_MS: u64 = 40_000;

/// Engines of two versions, several for each instance.
const LOAD_RUNS: u32 = 2_000;

/// Bytes of the largest value of the store.
const VALUE_BYTES_MAX: usize = 1_048_576;

/// Bytes of a stream in a batch, and of a run in its table: its key, service and version's index.
const STREAM_BYTES: usize = 8;
const RUN_BYTES: usize = 50;

/// A state with [`LOAD_RUNS`] engines, of which every other one has the second version.
fn under_load() -> (State, Vec<ServerKey>) {
    let mut state = started(Some(versions(ERA, &["v1", "v2"])), &[]);
    let engines = (0..LOAD_RUNS).map(|it| engine(&format!("e{it}"), ["v1", "v2"][it as usize % 2]));
    let engines: Vec<ServerRecord> = engines.collect();
    let runs = engines.iter().map(ServerRecord::key).collect();
    for engine in engines {
        state.step(START, Event::ServerListed(engine));
    }
    (state, runs)
}

/// The notes of the streams that begin in the interval which ends at `millis`.
fn note_streams(state: &mut State, runs: &[ServerKey], millis: u64) {
    let first = (millis / WRITE_INTERVAL_MS) as u32 * STREAMS_PER_WRITE;
    let streams = (first..first + STREAMS_PER_WRITE).map(StreamId);
    let notes = streams.map(|stream| {
        let server = runs[(stream.0 % LOAD_RUNS) as usize];
        Note::StreamBegan { stream, server }
    });
    state.step(at(millis), Event::Tick);
    let notes = Notes { notes: notes.collect() };
    state.step(at(millis), Event::NotesReceived { from: 2, notes });
}

fn batch_bytes(batch: &OriginBatch) -> usize {
    batch.streams.len() * STREAM_BYTES + batch.runs.len() * RUN_BYTES
}

// Guards against batches that the store rejects for their size, and streams that are in none, under
// 3,000 streams a second for 40 s: once for a writer that saves from the start, and once for one that
// takes over at the end and saves all that it knows.
#[rstest]
#[case::from_the_start(0)]
#[case::from_the_middle(LOAD_MS / 2)]
#[case::taking_over_at_the_end(LOAD_MS - WRITE_INTERVAL_MS)]
fn every_stream_is_in_a_batch_that_the_store_takes(#[case] saves_from_ms: u64) {
    let (mut state, runs) = under_load();
    let mut saved: HashSet<StreamId> = HashSet::new();
    let mut slot: (u64, Vec<(StreamId, ServerKey)>) = Default::default();
    // The last write follows the last stream.
    for millis in (0..=LOAD_MS).step_by(WRITE_INTERVAL_MS as usize) {
        if millis < LOAD_MS {
            note_streams(&mut state, &runs, millis);
        }
        if millis < saves_from_ms {
            continue;
        }
        let is_first = millis == saves_from_ms;
        let is_second = millis == saves_from_ms + WRITE_INTERVAL_MS;
        if is_first {
            state.collect_unsaved_origins(true);
        }
        let new = state.take_unsaved_origins();
        assert!(new.len() <= UNSAVED_MAX, "{} at {millis}", new.len());
        // The first two writes, of all that is known, have slots of their own; the others grow with
        // their second.
        let follows_known = millis == saves_from_ms + 2 * WRITE_INTERVAL_MS;
        if is_first || is_second || follows_known || slot.0 != millis / 1_000 {
            slot = (millis / 1_000, Vec::new());
        }
        slot.1.extend(new);
        let batch = state.origin_batch(&slot.1);
        let bytes = batch_bytes(&batch);
        assert!(bytes <= VALUE_BYTES_MAX, "{bytes} bytes at {millis}");
        saved.extend(batch.streams.iter().map(|it| it.0));
    }
    let begun = (LOAD_MS / WRITE_INTERVAL_MS) as u32 * STREAMS_PER_WRITE;
    let missing = (0..begun).filter(|it| !saved.contains(&StreamId(*it))).count();
    assert_eq!(missing, 0, "of {begun} streams are in no batch");
}

// Guards against memory that grows with an outage of the store: 3,000 streams a second for 40 s are
// more than may wait to be saved.
#[rstest]
#[case::before_the_first_batch(false)]
#[case::after_the_first_batches(true)]
fn what_is_not_saved_is_bounded_while_the_store_is_down(#[case] has_begun: bool) {
    let (mut state, runs) = under_load();
    state.collect_unsaved_origins(true);
    if has_begun {
        (0..2).for_each(|_| drop(state.take_unsaved_origins()));
    }
    for millis in (0..LOAD_MS).step_by(WRITE_INTERVAL_MS as usize) {
        note_streams(&mut state, &runs, millis);
    }
    for _ in 0..2 {
        let unsaved = state.take_unsaved_origins();
        assert!(unsaved.len() <= UNSAVED_MAX, "{}", unsaved.len());
        assert!(batch_bytes(&state.origin_batch(&unsaved)) <= VALUE_BYTES_MAX);
    }
}

// Guards against writes for streams that any server may go on with.
#[test]
fn origins_are_saved_only_while_a_service_has_several_versions() {
    let mut state = started(Some(versions(ERA, &["v1"])), &[("a", "v1"), ("b", "v1")]);
    assert!(!state.should_save_origins());
    state.step(at(10), Event::ServerListed(engine("c", "v2")));
    assert!(state.should_save_origins());
}
