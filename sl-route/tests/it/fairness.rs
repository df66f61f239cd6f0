//! Teams' shares where requests are placed and refused.

use rstest::rstest;
use sl_base::{TeamId, Timestamp};
use sl_route::{Event, Notes, Prompt, PromptPart, RetryPolicy, ServerKey, State, note::Note};

use crate::testbed::{arrival, arrive, at, prompt, record, sent_target, state, team};

const PEER: u32 = 9;
const SHARED_TOKENS: u32 = 13_000;

/// Guards against a team within its share whose requests are refused for prefill that another
/// engine has cached, while the team over its share goes on: on a day like the incident inc1,
/// 363 of 394 refusals of teams below half of their share were of requests expected in time.
#[rstest]
#[case::within("modest", true)]
#[case::over("greedy", false)]
fn repeated_prefill_is_no_reason_to_refuse_a_team_within_its_share(
    #[case] name: &str,
    #[case] is_sent: bool,
) {
    let mut state = overloaded_fleet();
    let mut arrival = arrival(at(1_500), 1, RetryPolicy::Stream, Some(shared_prompt("own")));
    arrival.team = Some(team(name));
    let effects = arrive(&mut state, at(1_500), arrival);
    let target = sent_target(&effects);
    assert_eq!(target.is_some(), is_sent, "{effects:?}");
}

fn shared_prompt(own: &str) -> Prompt {
    prompt("shared", SHARED_TOKENS, own, 500)
}

fn key(engine: &str) -> ServerKey {
    record(engine, "model").key()
}

/// An instance in an overloaded fleet: the engine that caches the shared part has a backlog of
/// over a second, the other one is running a request, and the team `greedy` has been granted
/// more than its share.
fn overloaded_fleet() -> State {
    let mut state = state(0, &[("cached", "model"), ("other", "model")]);
    let mut attempt = 0;
    for engine in ["cached", "other"] {
        for step in 0..8 {
            attempt += 1;
            let sent_at = at(step * 100);
            note(&mut state, sent_at, sent(engine, attempt, 5_000, Vec::new(), None));
            let server = key(engine);
            note(&mut state, at(step * 100 + 100), Note::ResponseStarted { server, attempt });
        }
    }
    for _ in 0..20 {
        attempt += 1;
        let parts = shared_prompt(&format!("own{attempt}")).parts;
        let charge = Some((TeamId::of("greedy"), 50_000));
        note(&mut state, at(1_000), sent("cached", attempt, 5_000, parts, charge));
    }
    for (name, tokens) in [("greedy", 5_000_000), ("modest", 20_000)] {
        let team = TeamId::of(name);
        note(&mut state, at(1_000), Note::TokensRequested { team, tokens });
    }
    state
}

fn sent(
    engine: &str,
    attempt: u64,
    prefill_tokens: u32,
    parts: Vec<PromptPart>,
    charge: Option<(TeamId, u32)>,
) -> Note {
    Note::AttemptSent { server: key(engine), attempt, prefill_tokens, charge, parts, fetch: None }
}

fn note(state: &mut State, now: Timestamp, note: Note) {
    state.step(now, Event::NotesReceived { from: PEER, notes: Notes { notes: vec![note] } });
}
