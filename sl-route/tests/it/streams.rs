//! Streams go on at the software version that began them, and are not refused before new ones.

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use sl_base::{Millis, RequestId, ServiceId, StreamId, Timestamp, WallClock};
use sl_route::{
    Arrival, AttemptEnd, Effect, Event, Fault, Notes, Refusal, RetryPolicy, ServerKey,
    ServerRecord, State,
    note::Note,
    stream_origin::{
        ROTATION_PERIOD, RUN_RETENTION, STREAMS_PER_PERIOD_MAX, StreamOrigin, StreamOrigins,
        StreamRequest,
    },
};

use crate::testbed::{
    START, arrival, arrive, at, complete, fail_attempt, prompt, record, request_effects, route,
    sent_target, state,
};

const STREAM: StreamId = StreamId(7);

fn engine(id: &str, version: &str) -> ServerRecord {
    ServerRecord { version: Some(version.into()), ..record(id, "model") }
}

/// A state with engines, given as pairs of id and software version.
fn state_with(instance: u32, engines: &[(&str, &str)]) -> State {
    let mut state = state(instance, &[]);
    for (id, version) in engines {
        state.step(START, Event::ServerListed(engine(id, version)));
    }
    state
}

/// The engines write their entries again, which shows that their runs go on.
fn write_entries(state: &mut State, millis: u64, engines: &[(&str, &str)]) {
    for (id, version) in engines {
        let entry = ServerRecord { sequence: 2 + millis, ..engine(id, version) };
        state.step(at(millis), Event::ServerListed(entry));
    }
}

fn stream_arrival(millis: u64, number: u64, stream: StreamRequest) -> Arrival {
    let prompt = prompt(&format!("shared-{number}"), 1_000, &format!("own-{number}"), 400);
    let arrival = arrival(at(millis), number, RetryPolicy::ResumableStream, Some(prompt));
    Arrival { stream: Some(stream), ..arrival }
}

fn begin(state: &mut State, millis: u64, number: u64, stream: StreamId) -> Vec<Effect> {
    arrive(state, at(millis), stream_arrival(millis, number, StreamRequest::New(stream)))
}

fn resume(state: &mut State, millis: u64, number: u64, stream: StreamId) -> Vec<Effect> {
    let request = StreamRequest::Resumed(Some(stream));
    arrive(state, at(millis), stream_arrival(millis, number, request))
}

fn start(state: &mut State, millis: u64, number: u64) {
    state.step(at(millis), Event::ResponseStarted { request: RequestId(number) });
}

/// Breaks off a response of which the caller has a part.
fn break_off(state: &mut State, millis: u64, number: u64) -> Vec<Effect> {
    let fault = Fault::TruncatedResponse;
    let end = AttemptEnd::Failed { fault, is_partially_delivered: true };
    state.step(at(millis), Event::AttemptEnded { request: RequestId(number), end })
}

fn refusal(effects: Vec<Effect>) -> Option<Refusal> {
    request_effects(effects).into_iter().find_map(|it| match it {
        Effect::Refuse { reason, .. } => Some(reason),
        _ => None,
    })
}

/// The version of the server to which a request is sent; `None` if it is not sent.
fn sent_version(state: &State, effects: &[Effect]) -> Option<String> {
    let target = sent_target(effects)?;
    let server = state.servers().find(|it| it.key == target.server)?;
    server.record.version.as_deref().map(str::to_owned)
}

/// Passes all notes that wait at one instance to another.
fn exchange(from: &mut State, to: &mut State, millis: u64) {
    let notes = from.take_notes();
    to.step(at(millis), Event::NotesReceived { from: 1, notes });
}

// Guards against a stream that goes on within its response at the best-scored server, whatever its
// version, and against one that is cut off although another server of its version is there.
#[test]
fn a_stream_goes_on_at_its_version_within_its_response() {
    let mut state = state_with(1, &[("a", "v1"), ("b", "v2"), ("c", "v2"), ("d", "v1")]);
    for number in 0..8 {
        let millis = 1_000 * number;
        write_entries(&mut state, millis, &[("a", "v1"), ("b", "v2"), ("c", "v2"), ("d", "v1")]);
        let began = begin(&mut state, millis, number, StreamId(number as u32));
        let began = sent_version(&state, &began);
        start(&mut state, millis + 50, number);
        let goes_on = break_off(&mut state, millis + 100, number);
        assert_eq!(sent_version(&state, &goes_on), began, "request {number}: {goes_on:?}");
        let cut_off = break_off(&mut state, millis + 150, number);
        assert!(sent_target(&cut_off).is_none(), "no third server of the version: {cut_off:?}");
    }
}

// Guards against an origin that is taken from the server that was asked first: it sent no event.
#[test]
fn a_stream_that_has_not_begun_may_go_anywhere_and_begins_where_its_first_event_comes_from() {
    let mut here = state_with(1, &[("a", "v1"), ("b", "v2")]);
    let mut there = state_with(2, &[("a", "v1"), ("b", "v2")]);
    let began = begin(&mut here, 0, 1, STREAM);
    let first = sent_version(&here, &began).unwrap();
    let retried = fail_attempt(&mut here, at(50), 1, Fault::ConnectionLost);
    let second = sent_version(&here, &retried).unwrap();
    assert_ne!(first, second);
    // The note of the second attempt gets lost; its first event is reported again.
    let mut notes = here.take_notes();
    notes.notes.truncate(1);
    there.step(at(60), Event::NotesReceived { from: 1, notes });
    start(&mut here, 100, 1);
    exchange(&mut here, &mut there, 110);
    let resumed = resume(&mut there, 200, 2, STREAM);
    assert_eq!(sent_version(&there, &resumed), Some(second));
}

// Guards against an instance that forgets a stream as soon as its server is gone.
#[rstest]
#[case::removed(false)]
#[case::back_with_another_version(true)]
fn a_stream_is_refused_at_once_when_its_version_is_gone(#[case] comes_back: bool) {
    let mut here = state_with(1, &[("a", "v1")]);
    let mut there = state_with(2, &[("a", "v1")]);
    begin(&mut here, 0, 1, STREAM);
    exchange(&mut here, &mut there, 10);
    there.step(at(100), Event::ServerListed(engine("b", "v2")));
    match comes_back {
        true => there.step(at(100), Event::ServerListed(engine("a", "v2"))),
        false => there.step(at(100), Event::ServerRemoved { id: "a".into() }),
    };
    assert_eq!(refusal(resume(&mut there, 200, 2, STREAM)), Some(Refusal::VersionGone));
    // A new stream is none of the caller's earlier ones.
    assert!(sent_target(&begin(&mut there, 300, 3, StreamId(8))).is_some());
    there.step(at(400), Event::ServerListed(engine("c", "v1")));
    let resumed = resume(&mut there, 500, 4, STREAM);
    assert_eq!(sent_version(&there, &resumed).as_deref(), Some("v1"));
}

// Guards against guessing, and against refusing streams where every server will do.
#[test]
fn a_stream_of_unknown_origin_goes_on_only_where_all_servers_have_one_version() {
    for is_named in [false, true] {
        let mut state = state_with(1, &[("a", "v1"), ("b", "v1")]);
        let resume_at = |state: &mut State, millis: u64, number: u64| {
            let stream = is_named.then_some(StreamId(number as u32));
            let request = StreamRequest::Resumed(stream);
            arrive(state, at(millis), stream_arrival(millis, number, request))
        };
        assert!(sent_target(&resume_at(&mut state, 0, 1)).is_some(), "named: {is_named}");
        state.step(at(10), Event::ServerListed(engine("c", "v2")));
        let refused = refusal(resume_at(&mut state, 20, 2));
        assert_eq!(refused, Some(Refusal::OriginUnknown), "named: {is_named}");
        // The stream may have begun at a server whose entry is gone.
        state.step(at(30), Event::ServerRemoved { id: "c".into() });
        let refused = refusal(resume_at(&mut state, 40, 3));
        assert_eq!(refused, Some(Refusal::OriginUnknown), "named: {is_named}");
        let later = RUN_RETENTION.0 + ROTATION_PERIOD.0;
        state.step(at(later), Event::Tick);
        assert!(sent_target(&resume_at(&mut state, later + 10, 4)).is_some(), "named: {is_named}");
    }
}

#[test]
fn an_instance_asks_for_an_origin_only_if_it_lacks_it_and_versions_differ() {
    let mut state = state_with(1, &[("a", "v1")]);
    let route = route(RetryPolicy::ResumableStream, "model");
    let resumed = StreamRequest::Resumed(Some(STREAM));
    assert_eq!(state.missing_origin(&route, resumed), None);
    state.step(at(10), Event::ServerListed(engine("b", "v2")));
    assert_eq!(state.missing_origin(&route, StreamRequest::New(STREAM)), None);
    assert_eq!(state.missing_origin(&route, StreamRequest::Resumed(None)), None);
    assert_eq!(state.missing_origin(&route, resumed), Some(STREAM));
    let origin = StreamOrigin {
        run: ServerKey(99),
        service: ServiceId::of("model"),
        version: Some("v2".into()),
    };
    state.step(at(20), Event::StreamOriginFound { stream: STREAM, origin });
    assert_eq!(state.missing_origin(&route, resumed), None);
    let sent = resume(&mut state, 30, 1, STREAM);
    assert_eq!(sent_version(&state, &sent).as_deref(), Some("v2"));
}

// Guards against a route that leads elsewhere by now: what another service would add does not fit.
#[test]
fn a_stream_goes_on_only_at_its_service() {
    let mut state = state_with(1, &[("a", "v1")]);
    begin(&mut state, 0, 1, STREAM);
    let request = StreamRequest::Resumed(Some(STREAM));
    let moved = Arrival {
        route: route(RetryPolicy::ResumableStream, "app"),
        service: ServiceId::of("app"),
        ..stream_arrival(100, 2, request)
    };
    assert_eq!(state.service_of_stream(&moved.route, request), None);
    assert_eq!(refusal(arrive(&mut state, at(100), moved)), Some(Refusal::VersionGone));
    let kept = route(RetryPolicy::ResumableStream, "model");
    assert_eq!(state.service_of_stream(&kept, request), Some(ServiceId::of("model")));
}

// Guards against two servers without a version, or one and a server with one, that pass for servers
// of the same version; the run that began a stream may go on with it.
#[test]
fn a_stream_of_a_server_without_a_version_goes_on_only_there() {
    let mut state = state_with(1, &[("named", "v1")]);
    state.step(START, Event::ServerListed(record("a", "model")));
    state.step(START, Event::ServerListed(record("b", "model")));
    let mut kept = 0;
    for number in 0..10 {
        let stream = StreamId(number as u32);
        for id in ["a", "b"] {
            let entry = ServerRecord { sequence: 2 + number, ..record(id, "model") };
            state.step(at(500 * number), Event::ServerListed(entry));
        }
        write_entries(&mut state, 500 * number, &[("named", "v1")]);
        let began = begin(&mut state, 500 * number, 2 * number, stream);
        let began = sent_target(&began).unwrap().server;
        start(&mut state, 500 * number + 50, 2 * number);
        let cut_off = break_off(&mut state, 500 * number + 100, 2 * number);
        let is_named = state.servers().any(|it| it.key == began && it.record.version.is_some());
        assert!(sent_target(&cut_off).is_none(), "{cut_off:?}");
        let resumed = resume(&mut state, 500 * number + 200, 2 * number + 1, stream);
        assert_eq!(sent_target(&resumed).map(|it| it.server), Some(began));
        complete(&mut state, at(500 * number + 300), 2 * number + 1);
        kept += usize::from(!is_named);
    }
    assert!(kept > 0, "no stream began at a server without a version");
}

#[test]
fn a_service_whose_servers_name_no_version_has_one() {
    let mut state = state(1, &[("a", "model"), ("b", "model")]);
    begin(&mut state, 0, 1, STREAM);
    start(&mut state, 50, 1);
    assert!(sent_target(&resume(&mut state, 100, 2, STREAM)).is_some());
    assert!(sent_target(&resume(&mut state, 100, 3, StreamId(8))).is_some());
}

// Guards against a server that crashes and comes back under its id with another version, before its
// entry says so: nothing that is known of the former run holds for what answers there now.
#[test]
fn a_run_that_crashed_resumes_no_stream_until_its_entry_is_written_again() {
    let mut state = state_with(1, &[("a", "v1"), ("b", "v2")]);
    let mut began = 0;
    for number in 0..8 {
        let began_there = begin(&mut state, 100 * number, number, StreamId(number as u32));
        start(&mut state, 100 * number + 10, number);
        if sent_target(&began_there).is_some_and(|it| &*it.id == "a") {
            began = number;
        }
    }
    for number in 0..8 {
        break_off(&mut state, 1_000, number);
    }
    // A response that was broken off is no crash of the run: it resumes streams.
    let resumed = resume(&mut state, 1_010, 20, StreamId(began as u32));
    assert_eq!(sent_target(&resumed).map(|it| &*it.id), Some("a"));
    fail_attempt(&mut state, at(1_020), 20, Fault::NotConnected);
    state.step(at(1_400), Event::Tick);
    let resumed = resume(&mut state, 1_500, 21, StreamId(began as u32));
    assert_eq!(refusal(resumed), Some(Refusal::VersionGone));
    let rewritten = ServerRecord { sequence: 2, ..engine("a", "v1") };
    state.step(at(1_600), Event::ServerListed(rewritten));
    let resumed = resume(&mut state, 1_700, 22, StreamId(began as u32));
    assert_eq!(sent_target(&resumed).map(|it| &*it.id), Some("a"));
}

// Guards against refusing the rest of a stream, of which the caller has a part, where a new one
// would still be sent, or where new ones have taken the last places.
#[test]
fn resumed_streams_are_not_refused_before_new_ones() {
    let mut state = state_with(1, &[("a", "v1"), ("b", "v2")]);
    begin(&mut state, 0, 1, STREAM);
    start(&mut state, 50, 1);
    let mut number = 10;
    let mut refused = 0;
    while refused < 50 {
        let effects = begin(&mut state, 100, number, StreamId(number as u32));
        refused += usize::from(sent_target(&effects).is_none());
        number += 1;
        assert!(number < 10_000, "new streams are never refused");
    }
    let mut resumed = 0;
    for number in 20_000..20_003 {
        resumed += usize::from(sent_target(&resume(&mut state, 110, number, STREAM)).is_some());
    }
    assert_eq!(resumed, 3);
}

// Guards against a table that grows without bound, and against forgetting streams that still run.
#[test]
fn origins_are_bounded_and_kept_while_streams_run() {
    let mut origins = StreamOrigins::new(START, WallClock::default());
    for stream in 0..STREAMS_PER_PERIOD_MAX as u32 + 10 {
        origins.record(StreamId(stream), ServerKey(1));
    }
    assert_eq!(origins.len(), STREAMS_PER_PERIOD_MAX);

    let mut here = state_with(1, &[("a", "v1"), ("b", "v2")]);
    let mut there = state_with(2, &[("a", "v1"), ("b", "v2")]);
    let long = Millis(600_000);
    let mut stream = stream_arrival(0, 1, StreamRequest::New(STREAM));
    stream.caller_deadline = START.after(long);
    let began = arrive(&mut here, START, stream);
    let began = sent_version(&here, &began);
    start(&mut here, 50, 1);
    for millis in (0..120_000).step_by(1_000) {
        here.step(at(millis), Event::Tick);
        exchange(&mut here, &mut there, millis);
        there.step(at(millis), Event::Tick);
    }
    let resumed = resume(&mut there, 120_500, 2, STREAM);
    assert_eq!(sent_version(&there, &resumed), began);
    assert!(there.stream_origin(STREAM).is_some());
}

/// Something that happens in a fleet of instances and servers of two versions.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin { instance: usize },
    BreakOff { stream: usize },
    Resume { stream: usize, instance: usize },
    Restart { instance: usize },
    Replace { server: usize },
    LoseNotes { instance: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let (instance, stream, server) = (0..INSTANCES, 0..64_usize, 0..SERVERS);
    prop_oneof![
        6 => instance.clone().prop_map(|instance| Step::Begin { instance }),
        4 => stream.clone().prop_map(|stream| Step::BreakOff { stream }),
        6 => (stream, instance.clone()).prop_map(|(stream, instance)| Step::Resume { stream, instance }),
        1 => instance.clone().prop_map(|instance| Step::Restart { instance }),
        2 => server.prop_map(|server| Step::Replace { server }),
        1 => instance.prop_map(|instance| Step::LoseNotes { instance }),
    ]
}

const INSTANCES: usize = 3;
const SERVERS: usize = 6;

/// A stream as its caller knows it.
struct CallerStream {
    id: StreamId,
    /// The version that sent its events; `None` before the first.
    version: Option<String>,
    /// Where it runs, and the number of its request there.
    running: Option<(usize, u64)>,
}

struct Fleet {
    states: Vec<State>,
    /// The number of each server's run, from which its version follows.
    runs: [u64; SERVERS],
    streams: Vec<CallerStream>,
    requests: u64,
    now: Timestamp,
    loses_notes: Option<usize>,
}

impl Fleet {
    fn new() -> Fleet {
        let mut fleet = Fleet {
            states: Vec::new(),
            runs: std::array::from_fn(|it| it as u64 % 2),
            streams: Vec::new(),
            requests: 0,
            now: START,
            loses_notes: None,
        };
        fleet.states = (0..INSTANCES).map(|it| fleet.start_instance(it)).collect();
        fleet
    }

    fn start_instance(&self, instance: usize) -> State {
        let mut state = state(instance as u32, &[]);
        for server in 0..SERVERS {
            state.step(self.now, Event::ServerListed(self.record(server)));
        }
        state
    }

    fn record(&self, server: usize) -> ServerRecord {
        let run = self.runs[server];
        let version = ["v1", "v2"][run as usize % 2];
        ServerRecord { started_at_ms: run + 1, ..engine(&format!("s{server}"), version) }
    }

    fn apply(&mut self, step: Step) -> Result<(), TestCaseError> {
        self.now = self.now.after(Millis(20));
        match step {
            Step::Begin { instance } => {
                let id = StreamId(self.streams.len() as u32);
                self.streams.push(CallerStream { id, version: None, running: None });
                let stream = self.streams.len() - 1;
                self.send(stream, instance, StreamRequest::New(id))?;
            }
            Step::Resume { stream, instance } if stream < self.streams.len() => {
                let CallerStream { id, ref version, running } = self.streams[stream];
                if version.is_some() && running.is_none() {
                    self.locate(instance, id);
                    self.send(stream, instance, StreamRequest::Resumed(Some(id)))?;
                }
            }
            Step::BreakOff { stream } if stream < self.streams.len() => self.break_off(stream)?,
            Step::Restart { instance } => {
                self.states[instance] = self.start_instance(instance);
                let lost = self.streams.iter_mut();
                let lost = lost.filter(|it| it.running.is_some_and(|it| it.0 == instance));
                lost.for_each(|it| it.running = None);
            }
            Step::Replace { server } => {
                self.runs[server] += 1;
                let record = self.record(server);
                for state in &mut self.states {
                    state.step(self.now, Event::ServerListed(record.clone()));
                }
            }
            Step::LoseNotes { instance } => self.loses_notes = Some(instance),
            Step::Resume { .. } | Step::BreakOff { .. } => {}
        }
        self.exchange_notes();
        Ok(())
    }

    /// Does what an instance does before it resumes a stream: it asks the others if need be.
    fn locate(&mut self, instance: usize, stream: StreamId) {
        let route = route(RetryPolicy::ResumableStream, "model");
        let request = StreamRequest::Resumed(Some(stream));
        if self.states[instance].missing_origin(&route, request).is_none() {
            return;
        }
        let found = self.states.iter().find_map(|it| it.stream_origin(stream)).cloned();
        if let Some(origin) = found {
            let event = Event::StreamOriginFound { stream, origin };
            self.states[instance].step(self.now, event);
        }
    }

    fn send(
        &mut self,
        stream: usize,
        instance: usize,
        request: StreamRequest,
    ) -> Result<(), TestCaseError> {
        self.requests += 1;
        let number = self.requests;
        let millis = self.now.millis_since(START) as u64;
        let effects =
            arrive(&mut self.states[instance], self.now, stream_arrival(millis, number, request));
        self.deliver(stream, instance, number, &effects)
    }

    fn break_off(&mut self, stream: usize) -> Result<(), TestCaseError> {
        let Some((instance, number)) = self.streams[stream].running.take() else {
            return Ok(());
        };
        let millis = self.now.millis_since(START) as u64;
        let effects = break_off(&mut self.states[instance], millis, number);
        self.deliver(stream, instance, number, &effects)
    }

    /// The first event of the server to which a request was sent reaches the caller.
    fn deliver(
        &mut self,
        stream: usize,
        instance: usize,
        number: u64,
        effects: &[Effect],
    ) -> Result<(), TestCaseError> {
        let Some(version) = sent_version(&self.states[instance], effects) else {
            return Ok(());
        };
        let request = RequestId(number);
        self.states[instance].step(self.now, Event::ResponseStarted { request });
        let began = self.streams[stream].version.get_or_insert(version.clone());
        prop_assert_eq!(&*began, &version, "stream {}", stream);
        self.streams[stream].running = Some((instance, number));
        Ok(())
    }

    fn exchange_notes(&mut self) {
        let lost = self.loses_notes.take();
        let notes: Vec<Notes> = self.states.iter_mut().map(State::take_notes).collect();
        for (from, notes) in notes.into_iter().enumerate() {
            for (to, state) in self.states.iter_mut().enumerate() {
                if to != from && Some(to) != lost {
                    let notes = notes.clone();
                    state.step(self.now, Event::NotesReceived { from: from as u32, notes });
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0032),
        failure_persistence: None,
        cases: 400,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_stream_has_events_of_two_versions(steps in prop::collection::vec(step(), 1..120)) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(step)?;
        }
    }
}

// Guards against notes that other instances cannot do without: an attempt names its stream.
#[test]
fn the_note_of_an_attempt_names_its_stream() {
    let mut state = state_with(1, &[("a", "v1")]);
    begin(&mut state, 0, 1, STREAM);
    let notes = state.take_notes().notes;
    let named = notes.iter().any(|it| matches!(it, Note::AttemptSent { stream: Some(STREAM), .. }));
    assert!(named, "{notes:?}");
}
