//! Notes on attempts that arrive in another order than they were written in.

use sl_route::{Event, Notes, State, note::Note};

use crate::testbed::{at, record, state};

const PEER: u32 = 9;

/// All orders of three notes.
const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

fn note(state: &mut State, note: Note) {
    state.step(at(100), Event::NotesReceived { from: PEER, notes: Notes { notes: vec![note] } });
}

/// Guards against an attempt that stays on its server for good because the note on its end overtook the
/// one on its start: estimates of the server would be wrong until the peer leaves.
#[test]
fn notes_on_an_attempt_in_any_order_leave_nothing_on_its_server() {
    for service in ["model", "app"] {
        let server = record("a", service).key();
        let sent = Note::AttemptSent {
            server,
            attempt: 1,
            prefill_tokens: 5_000,
            charge: None,
            parts: Vec::new(),
            fetch: None,
            stream: None,
        };
        let ended =
            Note::AttemptEnded { server, attempt: 1, event_interval_micros: None, refunded: None };
        let notes = [sent, Note::ResponseStarted { server, attempt: 1 }, ended];
        for order in ORDERS {
            let mut state = state(0, &[("a", service)]);
            order.into_iter().for_each(|it| note(&mut state, notes[it].clone()));
            let in_flight: usize = state.servers().map(|it| it.in_flight()).sum();
            assert_eq!(in_flight, 0, "{order:?}");
        }
    }
}

/// Guards against a stream whose place is taken back by a late note: it may have begun on another server
/// since.
#[test]
fn late_notes_leave_out_what_newer_ones_may_contradict() {
    let server = record("a", "model").key();
    let late = Notes {
        notes: vec![
            Note::ServerLimit { server, per_second: Some(5.0) },
            Note::ServerAvoided { server, for_ms: 100 },
            Note::ResponseStarted { server, attempt: 1 },
        ],
    };
    let kept = late.into_late().notes;
    assert_eq!(kept, [Note::ResponseStarted { server, attempt: 1 }]);
}
