//! Attempts of peers of which the note on the end was lost.

use std::sync::Arc;

use rstest::rstest;
use sl_base::Millis;
use sl_route::{Document, Event, Limits, Notes, RetryPolicy, Service, State, note::Note};

use crate::testbed::{ENGINE, at, record, route, state};

const PEER: u32 = 1;

/// The configuration of the testbed with its route, whose requests last 8 s at most.
fn document() -> Arc<Document> {
    let services = [("app", None), ("model", Some(ENGINE))].map(|(name, engine)| Service {
        name: name.to_owned(),
        max_connections: 100,
        engine,
        warmup: None,
        health_path: None,
    });
    let route = route(RetryPolicy::Stream, "model").as_ref().clone();
    Arc::new(Document::new(2, [route], services, Limits::default(), []))
}

fn receive(state: &mut State, now: u64, notes: Vec<Note>) {
    state.step(at(now), Event::NotesReceived { from: PEER, notes: Notes { notes } });
    state.step(at(now), Event::Tick);
}

fn in_flight(state: &State) -> usize {
    state.servers().map(|it| it.in_flight()).sum()
}

/// Guards against an attempt that is counted on its server for as long as its instance lives, so that
/// the server seems to have more work than it has.
#[rstest]
#[case::engine("model", true)]
#[case::engine_before_its_response("model", false)]
#[case::plain_server("app", true)]
fn an_attempt_whose_end_was_lost_is_not_counted_for_ever(
    #[case] service: &str,
    #[case] has_started: bool,
) {
    let mut state = state(0, &[]);
    state.step(at(0), Event::Document(document()));
    state.step(at(0), Event::ServerListed(record("s", service)));
    let server = state.servers().next().unwrap().key;
    let sent = Note::AttemptSent {
        server,
        attempt: 1,
        prefill_tokens: 400,
        charge: None,
        parts: Vec::new(),
        fetch: None,
        stream: None,
    };
    receive(&mut state, 10, vec![sent]);
    if has_started {
        receive(&mut state, 100, vec![Note::ResponseStarted { server, attempt: 1 }]);
    }
    let timeout = Millis(8_000);
    for now in (200..timeout.0).step_by(200) {
        receive(&mut state, now, Vec::new());
        assert!(!has_started || in_flight(&state) == 1, "{now} ms");
    }
    for now in (timeout.0..timeout.0 + 1_600).step_by(200) {
        receive(&mut state, now, Vec::new());
    }
    assert_eq!(in_flight(&state), 0);
}
