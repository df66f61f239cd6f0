//! Teams' shares where requests are placed and refused.

use rstest::rstest;
use sl_base::{TeamId, Timestamp};
use sl_route::{
    Event, Notes, Prompt, PromptPart, RetryPolicy, ServerKey, State, note::Note, share::Standing,
};

use crate::testbed::{arrival, arrive, at, complete, prompt, record, sent_target, state, team};

const PEER: u32 = 9;
const SHARED_TOKENS: u32 = 13_000;

/// Guards against a team with nothing of its share whose requests are refused for prefill that another
/// engine has cached, while the team over its share goes on: on a day like the incident inc1,
/// 363 of 394 refusals of teams below half of their share were of requests expected in time.
#[rstest]
#[case::within("modest", true)]
#[case::over("greedy", false)]
fn repeated_prefill_is_no_reason_to_refuse_a_team_that_has_got_nothing(
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

/// Guards against a team that is refused for what it got seconds ago, when it asked for more than its
/// share, while it now asks for a fraction of the share: in the incident of issue 42 it got a quarter of
/// what it asked for until the window had passed.
#[rstest]
#[case::asks_for_little(false)]
#[case::goes_on(true)]
fn a_team_that_asks_for_less_than_its_share_is_not_refused_for_what_it_got_before(
    #[case] goes_on: bool,
) {
    let mut state = overloaded_fleet();
    for millis in (1_100..2_700).step_by(100) {
        request_tokens(&mut state, at(millis), "third", 500_000);
        request_tokens(&mut state, at(millis), "greedy", if goes_on { 500_000 } else { 1_000 });
    }
    let mut arrival = arrival(at(2_700), 1, RetryPolicy::Stream, Some(prompt("p", 400, "q", 200)));
    arrival.team = Some(team("greedy"));
    let effects = arrive(&mut state, at(2_700), arrival);
    assert_eq!(sent_target(&effects).is_none(), goes_on, "{effects:?}");
    let standing = if goes_on { Standing::OverShare } else { Standing::WithinShare };
    assert_eq!(state.standing(at(2_700), TeamId::of("greedy")), standing);
}

/// Guards against a team that has got a third of its share and is refused for prefill that another engine
/// has cached, although it would be served in time.
#[test]
fn repeated_prefill_is_no_reason_to_refuse_a_team_below_half_its_share() {
    let mut state = overloaded_fleet();
    let long_prompt = |own: &str| prompt("long", 30_000, own, 500);
    let charge = Some((TeamId::of("modest"), 240_000));
    note(&mut state, at(1_000), sent("cached", 1_000, 500, long_prompt("first").parts, charge));
    request_tokens(&mut state, at(1_000), "modest", 1_000_000);
    let mut arrival = arrival(at(1_500), 1, RetryPolicy::Stream, Some(long_prompt("own")));
    arrival.team = Some(team("modest"));
    let effects = arrive(&mut state, at(1_500), arrival);
    assert!(sent_target(&effects).is_some(), "{effects:?}");
}

/// Guards against a team with nothing of its share that is refused because others have filled all engines:
/// it is served late rather than not at all. In the record of issue 42 engines were lost twice, so that
/// those left were behind for everybody.
#[rstest]
#[case::within("modest", true)]
#[case::over("greedy", false)]
fn a_team_that_has_got_nothing_is_served_late_when_all_engines_are_behind(
    #[case] name: &str,
    #[case] is_sent: bool,
) {
    let mut state = overloaded_fleet();
    for attempt in 2_000..2_012 {
        let charge = Some((TeamId::of("greedy"), 5_000));
        note(&mut state, at(1_000), sent("other", attempt, 5_000, Vec::new(), charge));
    }
    let mut arrival = arrival(at(1_010), 1, RetryPolicy::Stream, Some(prompt("p", 400, "q", 200)));
    arrival.team = Some(team(name));
    let effects = arrive(&mut state, at(1_010), arrival);
    assert_eq!(sent_target(&effects).is_some(), is_sent, "{effects:?}");
}

fn request_tokens(state: &mut State, now: Timestamp, name: &str, tokens: u32) {
    note(state, now, Note::TokensRequested { team: TeamId::of(name), tokens });
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
    Note::AttemptSent {
        server: key(engine),
        attempt,
        prefill_tokens,
        charge,
        parts,
        fetch: None,
        stream: None,
    }
}

fn note(state: &mut State, now: Timestamp, note: Note) {
    state.step(now, Event::NotesReceived { from: PEER, notes: Notes { notes: vec![note] } });
}

/// Guards against an instance that is short of processor time while the engines have capacity,
/// and rejects requests of the teams that send it few as often as those of the one that
/// overloads it.
#[test]
fn with_engines_to_spare_a_team_stands_by_its_share_of_the_requests_of_the_instance() {
    let mut state = state(0, &[("a", "app")]);
    for number in 0..60 {
        let mut arrival = arrival(at(number), number, RetryPolicy::Idempotent, None);
        arrival.team = Some(team(if number % 10 == 0 { "light" } else { "heavy" }));
        let is_shed = number % 3 == 0;
        if is_shed {
            let team = arrival.team.unwrap();
            state.step(at(number), Event::RequestShed { team, tokens: 0 });
        } else {
            arrive(&mut state, at(number), arrival);
        }
    }
    let mut standing = |name| state.standing(at(200), TeamId::of(name));
    assert_eq!(standing("light"), Standing::WithinShare);
    assert_eq!(standing("heavy"), Standing::OverShare);
}

/// Guards against a standing by requests while the engines are what is scarce.
#[test]
fn with_busy_engines_a_team_stands_by_its_share_of_the_tokens_of_the_fleet() {
    let mut state = overloaded_fleet();
    let mut standing = |name| state.standing(at(1_500), TeamId::of(name));
    assert_eq!(standing("modest"), Standing::WithinShare);
    assert_eq!(standing("greedy"), Standing::OverShare);
}

/// Guards against a team that fills an instance's requests in flight and leaves none to the
/// others whose callers reach the same instance.
#[test]
fn a_full_instance_admits_teams_within_their_share_first() {
    let mut state = state(0, &[("a", "app")]);
    // The instance may have a hundred requests in flight.
    let admitted = (0..120).filter(|it| admits(&mut state, *it, "heavy")).count();
    assert_eq!(admitted, 100);
    assert!(!admits(&mut state, 120, "light"));
    complete(&mut state, at(200), 1);
    assert!(!admits(&mut state, 300, "heavy"));
    assert!(admits(&mut state, 301, "light"));
}

fn admits(state: &mut State, number: u64, name: &str) -> bool {
    let mut arrival = arrival(at(number), number, RetryPolicy::Idempotent, None);
    arrival.team = Some(team(name));
    sent_target(&arrive(state, at(number), arrival)).is_some()
}
