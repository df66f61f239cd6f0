//! Evacuations of data centres: nothing is sent to the servers of an evacuated data centre.

use std::{collections::HashSet, net::SocketAddr};

use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use sl_base::{Millis, RequestId, StreamId};
use sl_route::{
    Arrival, AttemptEnd, Decision, Effect, Event, Fault, Notes, PromptPart, Refusal, RetryPolicy,
    ServerKey, ServerRecord, ServerState, State, document::WarmupLimits, effect::RetryDenial,
    stream_origin::StreamRequest,
};

use crate::testbed::{
    arrival, arrive, at, complete, document, document_with_warmup, fail_attempt, prompt, record,
    request_effects, sent_target, state,
};

const AWAY: &str = "away";

/// The time for which a restored store may lack an evacuation.
const RESTORE_MS: u64 = 5_000;

/// An entry with an address of its own.
fn located(id: &str, service: &str, data_centre: &str, port: u16) -> ServerRecord {
    ServerRecord {
        data_centre: data_centre.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        ..record(id, service)
    }
}

/// An app and an engine here and in the data centre that the tests evacuate.
fn records() -> [ServerRecord; 4] {
    [
        located("app-here", "app", "here", 1),
        located("app-away", "app", AWAY, 2),
        located("engine-here", "model", "here", 3),
        located("engine-away", "model", AWAY, 4),
    ]
}

fn listed(records: &[ServerRecord]) -> State {
    let mut state = state(1, &[]);
    for record in records {
        state.step(at(0), Event::ServerListed(record.clone()));
    }
    state
}

fn evacuate(state: &mut State, millis: u64) -> Vec<Effect> {
    state.step(at(millis), Event::EvacuationRequested { data_centre: AWAY.into() })
}

fn lift(state: &mut State, millis: u64) -> Vec<Effect> {
    state.step(at(millis), Event::EvacuationLifted { data_centre: AWAY.into() })
}

fn remove(state: &mut State, millis: u64, id: &str) {
    state.step(at(millis), Event::ServerRemoved { id: id.into() });
}

fn ask_app(state: &mut State, millis: u64) -> Vec<Effect> {
    let now = at(millis);
    arrive(state, now, arrival(now, millis, RetryPolicy::Idempotent, None))
}

fn sent_to(effects: &[Effect]) -> Option<&str> {
    sent_target(effects).map(|it| &*it.id)
}

fn refusal(effects: Vec<Effect>) -> Option<Refusal> {
    request_effects(effects).into_iter().find_map(|it| match it {
        Effect::Refuse { reason, .. } => Some(reason),
        _ => None,
    })
}

/// Whether the state sends an app request there, if no other server is left.
fn is_away_used(state: &mut State, millis: u64) -> bool {
    let sent = sent_to(&ask_app(state, millis)) == Some("app-away");
    complete(state, at(millis), millis);
    sent
}

// Guards against first attempts that are sent to an evacuated data centre, and against requests that
// are held or lost when no other data centre has servers.
#[test]
fn first_attempts_go_to_other_data_centres_or_are_refused_at_once() {
    let mut state = listed(&records());
    evacuate(&mut state, 10);
    for millis in 20..60 {
        assert_eq!(sent_to(&ask_app(&mut state, millis)), Some("app-here"));
        complete(&mut state, at(millis), millis);
    }
    remove(&mut state, 70, "app-here");
    assert_eq!(refusal(ask_app(&mut state, 80)), Some(Refusal::NoServer));
    lift(&mut state, 90);
    assert_eq!(sent_to(&ask_app(&mut state, 100)), Some("app-away"));
}

// Guards against servers that get full traffic at the end of an evacuation, in which they may have
// become cold.
#[test]
fn servers_of_a_returned_data_centre_are_cold_until_an_entry_says_otherwise() {
    let warmup = WarmupLimits { duration: Millis(3_000), per_second: 6.6 };
    let mut state = listed(&records()[1..2]);
    state.step(at(0), Event::Document(document_with_warmup(2, Some(warmup))));
    let [_, app_away, ..] = records();
    evacuate(&mut state, 10);
    lift(&mut state, 5_000);
    let is_cold = |state: &State, millis: u64| {
        state.servers().any(|it| it.key == app_away.key() && it.is_cold(at(millis)))
    };
    assert!(is_cold(&state, 5_010));
    assert!(is_cold(&state, 7_990));
    assert!(!is_cold(&state, 8_000));

    // Long after the end, so that it cannot have been written before.
    let rewritten = ServerRecord { sequence: app_away.sequence + 1, ..app_away.clone() };
    state.step(at(6_500), Event::ServerListed(rewritten));
    assert!(!is_cold(&state, 6_510));
}

// Guards against an evacuation that ends the requests in flight.
#[test]
fn requests_in_flight_end_as_usual() {
    let mut state = listed(&records()[1..2]);
    assert_eq!(sent_to(&ask_app(&mut state, 1)), Some("app-away"));
    assert_eq!(request_effects(evacuate(&mut state, 10)), Vec::new());
    assert_eq!(state.in_flight(), 1);
    complete(&mut state, at(20), 1);
    assert_eq!(state.in_flight(), 0);
}

// Guards against a request that was decided before the evacuation and is sent after it, because its
// connection took some time.
#[test]
fn a_server_of_an_evacuated_data_centre_accepts_nothing_more() {
    let mut state = listed(&records());
    let [app_here, app_away, ..] = records().map(|it| it.key());
    evacuate(&mut state, 10);
    assert!(state.is_accepting(at(10), app_here));
    assert!(!state.is_accepting(at(10), app_away));
    assert!(state.is_evacuated(app_away));
    lift(&mut state, 20);
    assert!(state.is_accepting(at(20), app_away));
}

// Guards against a retry in an evacuated data centre.
#[test]
fn a_retry_does_not_go_to_an_evacuated_data_centre() {
    let mut state = listed(&records()[..1]);
    assert_eq!(sent_to(&ask_app(&mut state, 1)), Some("app-here"));
    state.step(at(2), Event::ServerListed(records()[1].clone()));
    evacuate(&mut state, 3);
    let effects = fail_attempt(&mut state, at(10), 1, Fault::ConnectionLost);
    assert_eq!(sent_target(&effects), None);
}

/// A state with a request in flight on the engine here.
fn engines_with_request() -> State {
    let mut state = listed(&records()[2..3]);
    let prompt = Some(prompt("a", 1_000, "b", 100));
    let request = arrival(at(1), 1, RetryPolicy::ResumableStream, prompt);
    assert_eq!(sent_to(&arrive(&mut state, at(1), request)), Some("engine-here"));
    state.step(at(2), Event::ServerListed(records()[3].clone()));
    state
}

fn report_silence(state: &mut State, millis: u64) -> Vec<Effect> {
    let request = RequestId(1);
    state.step(at(millis), Event::AttemptSilent { request, is_partially_delivered: true })
}

// Guards against a move from a silent server to an evacuated data centre.
#[test]
fn a_request_does_not_move_from_a_silent_server_to_an_evacuated_data_centre() {
    let mut state = engines_with_request();
    evacuate(&mut state, 10);
    let effects = report_silence(&mut state, 1_700);
    assert_eq!(sent_target(&effects), None);
    let denied = effects.iter().any(|it| {
        matches!(it, Effect::Log(Decision::AttemptSilent { denial: RetryDenial::NoServer, .. }))
    });
    assert!(denied, "{effects:?}");
    lift(&mut state, 1_800);
    assert_eq!(sent_to(&report_silence(&mut state, 1_950)), Some("engine-away"));
}

// Guards against the return to a silent server whose data centre was evacuated since, when the server
// that took over did not run the request.
#[rstest]
#[case::rejected(Fault::Full)]
#[case::unreachable(Fault::NotConnected)]
#[case::refused(Fault::ConnectionRefused)]
fn a_request_does_not_return_to_a_silent_server_of_an_evacuated_data_centre(
    #[case] fault: Fault,
    #[values(false, true)] is_evacuated: bool,
) {
    let mut state = listed(&records()[3..]);
    let prompt = Some(prompt("a", 1_000, "b", 100));
    let request = arrival(at(1), 1, RetryPolicy::ResumableStream, prompt);
    assert_eq!(sent_to(&arrive(&mut state, at(1), request)), Some("engine-away"));
    state.step(at(2), Event::ServerListed(records()[2].clone()));
    assert_eq!(sent_to(&report_silence(&mut state, 1_700)), Some("engine-here"));
    if is_evacuated {
        evacuate(&mut state, 1_705);
    }
    let end = AttemptEnd::Failed { fault, is_partially_delivered: true };
    let effects = state.step(at(1_710), Event::AttemptEnded { request: RequestId(1), end });
    assert_eq!(sent_to(&effects), (!is_evacuated).then_some("engine-away"));
}

// Guards against a stream that is resumed in an evacuated data centre, or not refused at once with
// the code that tells that its version is gone.
#[test]
fn a_stream_whose_version_serves_only_in_an_evacuated_data_centre_is_refused_at_once() {
    let version = |record: &ServerRecord, it: &str| ServerRecord {
        version: Some(it.into()),
        ..record.clone()
    };
    let [_, _, here, away] = records();
    let mut state = listed(&[version(&away, "v1")]);
    let stream = StreamId(7);
    let request = |millis: u64, stream: StreamRequest| {
        let prompt = Some(prompt("a", 1_000, "b", 100));
        let arrival = arrival(at(millis), millis, RetryPolicy::ResumableStream, prompt);
        Arrival { stream: Some(stream), ..arrival }
    };
    let began = arrive(&mut state, at(1), request(1, StreamRequest::New(stream)));
    assert_eq!(sent_to(&began), Some("engine-away"));
    complete(&mut state, at(50), 1);
    state.step(at(60), Event::ServerListed(version(&here, "v2")));
    evacuate(&mut state, 70);
    let resumed = StreamRequest::Resumed(Some(stream));
    let effects = arrive(&mut state, at(80), request(80, resumed));
    assert_eq!(refusal(effects), Some(Refusal::VersionGone));
    lift(&mut state, 90);
    let effects = arrive(&mut state, at(100), request(100, resumed));
    assert_eq!(sent_to(&effects), Some("engine-away"));
}

// Guards against parts that are fetched from an evacuated data centre, and against their holder there
// counting as a reason to refuse the prefill elsewhere.
#[rstest]
fn parts_are_not_fetched_from_an_evacuated_data_centre(#[values(false, true)] is_evacuated: bool) {
    let [_, _, here, away] = records();
    let mut state = listed(std::slice::from_ref(&away));
    let model = |millis: u64, number: u64| {
        let prompt = prompt("shared", 1_000, &number.to_string(), 400);
        arrival(at(millis), number, RetryPolicy::Idempotent, Some(prompt))
    };
    arrive(&mut state, at(0), model(0, 1));
    complete(&mut state, at(600), 1);
    state.step(at(600), Event::ServerListed(here));
    if is_evacuated {
        evacuate(&mut state, 650);
    }
    let mut sent = Vec::new();
    for number in 2..80 {
        let effects = arrive(&mut state, at(700), model(700, number));
        sent.extend(sent_target(&effects).map(|it| (it.id.clone(), it.fetch_from)));
    }
    let fetched = sent.iter().any(|it| it.1 == Some(away.address));
    assert_eq!(fetched, !is_evacuated, "{sent:?}");
    let used: HashSet<&str> = sent.iter().map(|it| &*it.0).collect();
    assert!(used.contains("engine-here"), "{used:?}");
    assert_eq!(used.contains("engine-away"), !is_evacuated);
}

fn listed_caches(effects: &[Effect]) -> Vec<ServerKey> {
    let asked = effects.iter().filter_map(|it| match it {
        Effect::ListCache { server, .. } => Some(*server),
        _ => None,
    });
    asked.collect()
}

// Guards against calls for the caches of evacuated engines, and against trusting what was known of
// them before the evacuation once it has ended.
#[test]
fn caches_are_not_listed_in_an_evacuated_data_centre_and_listed_again_afterwards() {
    let [_, _, _, away] = records();
    let mut state = listed(std::slice::from_ref(&away));
    evacuate(&mut state, 1);
    for millis in (0..5_000).step_by(100) {
        assert_eq!(listed_caches(&state.step(at(10 + millis), Event::Tick)), []);
    }
    lift(&mut state, 5_100);
    let listed = listed_caches(&state.step(at(6_000), Event::Tick));
    assert_eq!(listed, [away.key()]);
    state.step(at(6_010), Event::CacheListed { server: away.key(), parts: Vec::new() });
    evacuate(&mut state, 6_020);
    lift(&mut state, 6_030);
    let listed = listed_caches(&state.step(at(7_000), Event::Tick));
    assert_eq!(listed, [away.key()]);
}

// Guards against an evacuation that depends on the order in which an instance that starts learns of
// the servers and of the evacuation, or that is lost for servers listed later.
#[rstest]
#[case::evacuation_first(true)]
#[case::servers_first(false)]
fn an_instance_that_starts_learns_of_the_evacuation_in_any_order(#[case] evacuation_first: bool) {
    let mut state = state(2, &[]);
    let away = located("app-away", "app", AWAY, 2);
    if evacuation_first {
        evacuate(&mut state, 1);
    }
    state.step(at(1), Event::ServerListed(away.clone()));
    if !evacuation_first {
        evacuate(&mut state, 1);
    }
    assert!(!is_away_used(&mut state, 2));
    let next_run = ServerRecord { started_at_ms: 2, ..away };
    state.step(at(10), Event::ServerListed(next_run));
    assert!(!is_away_used(&mut state, 20));
}

// Guards against an evacuation that ends because the store was restored from a copy that lacks it.
#[test]
fn an_evacuation_that_a_restored_store_lacks_stays_in_force_for_five_seconds() {
    let mut state = listed(&records()[1..2]);
    evacuate(&mut state, 1);
    state.step(at(100), Event::StoreRestored);
    lift(&mut state, 150);
    assert!(!is_away_used(&mut state, 160));
    state.step(at(100 + RESTORE_MS - 1), Event::Tick);
    assert!(!is_away_used(&mut state, 100 + RESTORE_MS - 1));
    // A due end takes effect with the next periodic work, at most 250 ms later.
    state.step(at(100 + RESTORE_MS + 250), Event::Tick);
    assert!(is_away_used(&mut state, 100 + RESTORE_MS + 251), "the store's word counts again");
}

// Guards against an evacuation that ends although the operator has written it again after a restore.
#[test]
fn an_evacuation_that_is_written_again_after_a_restore_stays_in_force() {
    let mut state = listed(&records()[1..2]);
    evacuate(&mut state, 1);
    state.step(at(100), Event::StoreRestored);
    lift(&mut state, 150);
    evacuate(&mut state, 400);
    state.step(at(2 * RESTORE_MS), Event::Tick);
    assert!(!is_away_used(&mut state, 2 * RESTORE_MS));
    lift(&mut state, 2 * RESTORE_MS + 10);
    assert!(is_away_used(&mut state, 2 * RESTORE_MS + 20));
}

// Guards against an evacuation that begins again and again, or whose end is reported twice.
#[test]
fn the_begin_and_the_end_are_reported_once() {
    let decisions = |effects: Vec<Effect>| -> Vec<Decision> {
        let logged = effects.into_iter().filter_map(|it| match it {
            Effect::Log(it) => Some(it),
            _ => None,
        });
        logged.collect()
    };
    let mut state = listed(&records());
    let data_centre: std::sync::Arc<str> = AWAY.into();
    let begun = Decision::DataCentreEvacuated { data_centre: data_centre.clone(), servers: 2 };
    assert_eq!(decisions(evacuate(&mut state, 1)), [begun]);
    assert_eq!(decisions(evacuate(&mut state, 2)), []);
    assert_eq!(state.evacuations().names().collect::<Vec<_>>(), [&data_centre]);
    let ended = Decision::DataCentreReturned { data_centre, servers: 2 };
    assert_eq!(decisions(lift(&mut state, 3)), [ended]);
    assert_eq!(decisions(lift(&mut state, 4)), []);
    assert_eq!(state.evacuations().names().count(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Evacuate,
    Lift,
    Restore,
    Wait { millis: u64 },
    List { server: usize, run: u64, is_draining: bool },
    Remove { server: usize },
    Missing { server: usize },
    Arrive { is_model: bool, shared: u8, stream: Option<(u32, bool)> },
    Start { request: u64 },
    Complete { request: u64 },
    Fail { request: u64, fault: Fault, is_partially_delivered: bool },
    Silent { request: u64, is_partially_delivered: bool },
    ListCache { server: usize, shared: u8 },
    Notes,
    Configure,
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(Fault::NotConnected),
        Just(Fault::ConnectionRefused),
        Just(Fault::Full),
        Just(Fault::ConnectionLost),
        Just(Fault::TruncatedResponse),
        Just(Fault::ResponseTimeout),
        Just(Fault::ServerError),
    ];
    let stream = prop::option::of((0_u32..4, any::<bool>()));
    prop_oneof![
        2 => Just(Step::Evacuate),
        2 => Just(Step::Lift),
        1 => Just(Step::Restore),
        4 => (1_u64..3_000).prop_map(|millis| Step::Wait { millis }),
        4 => (0_usize..6, 1_u64..4, prop::bool::weighted(0.1))
            .prop_map(|(server, run, is_draining)| Step::List { server, run, is_draining }),
        1 => (0_usize..6).prop_map(|server| Step::Remove { server }),
        1 => (0_usize..6).prop_map(|server| Step::Missing { server }),
        10 => (any::<bool>(), 0_u8..3, stream)
            .prop_map(|(is_model, shared, stream)| Step::Arrive { is_model, shared, stream }),
        3 => (0_u64..40).prop_map(|request| Step::Start { request }),
        2 => (0_u64..40).prop_map(|request| Step::Complete { request }),
        5 => (0_u64..40, fault, any::<bool>()).prop_map(|(request, fault, is_partially_delivered)| {
            Step::Fail { request, fault, is_partially_delivered }
        }),
        5 => (0_u64..40, any::<bool>()).prop_map(|(request, is_partially_delivered)| {
            Step::Silent { request, is_partially_delivered }
        }),
        3 => (0_usize..6, 0_u8..3).prop_map(|(server, shared)| Step::ListCache { server, shared }),
        1 => Just(Step::Notes),
        1 => Just(Step::Configure),
        1 => Just(Step::Restart),
    ]
}

/// The servers of the property: odd ones are in the data centre that is evacuated, the first two are
/// apps. The run is a part of the software version for some, so that streams lose their version.
fn property_record(server: usize, run: u64, is_draining: bool) -> ServerRecord {
    let service = if server < 2 { "app" } else { "model" };
    let data_centre = if server % 2 == 1 { AWAY } else { "here" };
    let version = (server >= 4).then(|| format!("v{run}").as_str().into());
    ServerRecord {
        started_at_ms: run,
        version,
        state: if is_draining { ServerState::Draining } else { ServerState::Ready },
        sequence: 0,
        ..located(&format!("s{server}"), service, data_centre, 1 + server as u16)
    }
}

fn is_away(address: SocketAddr) -> bool {
    // The port of a server is its number plus 1.
    address.port().is_multiple_of(2)
}

/// An instance and the store's word on the evacuation.
struct Model {
    state: State,
    peer: State,
    now: u64,
    requests: u64,
    configuration: u64,
    is_demanded: bool,
    /// Until then a missing entry does not end the evacuation.
    restore_ends_at: u64,
    /// When the evacuation ends, if a restored store lacks it.
    ends_at: Option<u64>,
}

impl Model {
    fn new() -> Model {
        Model {
            state: state(1, &[]),
            peer: state(2, &[]),
            now: 10,
            requests: 0,
            configuration: 1,
            is_demanded: false,
            restore_ends_at: 0,
            ends_at: None,
        }
    }

    fn is_evacuated(&self) -> bool {
        self.is_demanded || self.ends_at.is_some_and(|it| self.now < it)
    }

    /// Evacuates or lifts, and records when an evacuation has to be over.
    fn demand(&mut self, is_demanded: bool) {
        if self.is_demanded && !is_demanded {
            self.ends_at = Some(self.restore_ends_at.max(self.now));
        }
        if is_demanded {
            self.ends_at = None;
        }
        self.is_demanded = is_demanded;
    }

    fn event(&mut self, step: Step) -> Option<Event> {
        Some(match step {
            Step::Evacuate => {
                self.demand(true);
                Event::EvacuationRequested { data_centre: AWAY.into() }
            }
            Step::Lift => {
                self.demand(false);
                Event::EvacuationLifted { data_centre: AWAY.into() }
            }
            Step::Restore => {
                self.restore_ends_at = self.now + RESTORE_MS;
                Event::StoreRestored
            }
            Step::Wait { millis } => {
                self.now += millis;
                Event::Tick
            }
            Step::List { server, run, is_draining } => {
                Event::ServerListed(property_record(server, run, is_draining))
            }
            Step::Remove { server } => {
                Event::ServerRemoved { id: format!("s{server}").as_str().into() }
            }
            Step::Missing { server } => Event::ServerMissing {
                id: format!("s{server}").as_str().into(),
                expires_at: at(self.now + 2_000),
            },
            Step::Arrive { is_model, shared, stream } => {
                Event::RequestArrived(Box::new(self.arrival(is_model, shared, stream)))
            }
            Step::Start { request } => Event::ResponseStarted { request: RequestId(request) },
            Step::Complete { request } => Event::AttemptEnded {
                request: RequestId(request),
                end: AttemptEnd::Completed { status: 200, event_interval_micros: None },
            },
            Step::Fail { request, fault, is_partially_delivered } => Event::AttemptEnded {
                request: RequestId(request),
                end: AttemptEnd::Failed { fault, is_partially_delivered },
            },
            Step::Silent { request, is_partially_delivered } => {
                Event::AttemptSilent { request: RequestId(request), is_partially_delivered }
            }
            Step::ListCache { server, shared } => Event::CacheListed {
                server: property_record(server, 1, false).key(),
                parts: vec![PromptPart::new("m", &format!("shared-{shared}"), 9_000)],
            },
            Step::Notes => Event::NotesReceived { from: 2, notes: self.peer_notes() },
            Step::Configure => {
                self.configuration += 1;
                Event::Document(document(self.configuration))
            }
            Step::Restart => {
                self.restart();
                return None;
            }
        })
    }

    fn arrival(&mut self, is_model: bool, shared: u8, stream: Option<(u32, bool)>) -> Arrival {
        let number = self.requests;
        self.requests = (self.requests + 1) % 40;
        let prompt = is_model
            .then(|| prompt(&format!("shared-{shared}"), 9_000, &format!("own-{number}"), 100));
        let stream = stream.map(|(id, is_resumed)| {
            let id = StreamId(id);
            if is_resumed { StreamRequest::Resumed(Some(id)) } else { StreamRequest::New(id) }
        });
        let arrival = arrival(at(self.now), number, RetryPolicy::ResumableStream, prompt);
        Arrival { stream: stream.filter(|_| is_model), ..arrival }
    }

    /// Notes of a peer that sends requests to all servers, as one that does not know of the
    /// evacuation yet.
    fn peer_notes(&mut self) -> Notes {
        for server in 0..6 {
            let record = property_record(server, 1, false);
            self.peer.step(at(self.now), Event::ServerListed(record));
        }
        let request = arrival(
            at(self.now),
            self.now,
            RetryPolicy::Idempotent,
            Some(prompt("shared-0", 9_000, "peer", 10)),
        );
        arrive(&mut self.peer, at(self.now), request);
        self.peer.take_notes()
    }

    /// The instance starts again and learns what the store lists, which may lack an evacuation
    /// that stayed in force after a restore.
    fn restart(&mut self) {
        self.state = state(1, &[]);
        self.state.step(at(self.now), Event::Document(document(self.configuration)));
        self.ends_at = None;
        self.restore_ends_at = 0;
        if self.is_demanded {
            self.state.step(at(self.now), Event::EvacuationRequested { data_centre: AWAY.into() });
        }
    }

    fn check(&self, effects: &[Effect]) -> Result<(), TestCaseError> {
        if !self.is_evacuated() {
            return Ok(());
        }
        for effect in effects {
            match effect {
                Effect::Send { target, .. } => {
                    prop_assert!(!is_away(target.address), "sent: {target:?}");
                    prop_assert!(!target.fetch_from.is_some_and(is_away), "fetched: {target:?}");
                }
                Effect::ListCache { address, .. } => prop_assert!(!is_away(*address)),
                _ => {}
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(0x5e5a_0031),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In any order of events nothing is sent to an evacuated data centre, and servers there are
    /// used again once the evacuation has ended.
    #[test]
    fn no_order_of_events_sends_anything_to_an_evacuated_data_centre(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut model = Model::new();
        for step in steps {
            model.now += 1;
            if let Some(event) = model.event(step) {
                let effects = model.state.step(at(model.now), event);
                model.check(&effects)?;
            }
        }
        model.demand(false);
        let end = model.now + RESTORE_MS + 1;
        lift(&mut model.state, model.now);
        let server = located("app-away", "app", AWAY, 8);
        remove(&mut model.state, model.now, "s0");
        remove(&mut model.state, model.now, "s1");
        model.state.step(at(model.now), Event::ServerListed(server));
        model.state.step(at(end + 250), Event::Tick);
        prop_assert!(model.state.evacuations().names().next().is_none());
        let effects = ask_app(&mut model.state, end + 300);
        prop_assert_eq!(sent_to(&effects), Some("app-away"));
    }
}
