//! Counts of teams' tokens for the log.

use sl_base::{Millis, RequestId};
use sl_route::{Arrival, Decision, Effect, Event, Fault, RetryPolicy, activity::TokenOutcome};
use strum::IntoEnumIterator;

use crate::testbed::{arrival, arrive, at, complete, fail_attempt, prompt, state, team};

/// Guards against a rejection for load that no line of the log attributes to a team.
#[test]
fn requested_granted_and_shed_tokens_of_a_team_are_reported_once_a_second() {
    let mut state = state(0, &[("e", "model")]);
    let own = prompt("shared", 1_000, "own", 200);
    let charge = u64::from(own.charge());
    arrive(&mut state, at(10), arrival(at(10), 1, RetryPolicy::Stream, Some(own)));
    state.step(at(20), Event::RequestShed { team: team("t"), tokens: 500 });
    assert!(reports(state.step(at(900), Event::Tick)).is_empty());
    let reports = reports(state.step(at(1_000), Event::Tick));
    let [report] = &reports[..] else { panic!("{reports:?}") };
    assert_eq!(report.requested, charge + 500);
    assert_eq!(report.of(TokenOutcome::Granted), charge);
    assert_eq!(report.of(TokenOutcome::Shed), 500);
    let next = at(1_000).after(Millis(1_000));
    assert!(self::reports(state.step(next, Event::Tick)).is_empty());
}

/// Guards against requests of a team that end in a place which no count names.
#[test]
fn the_outcomes_of_a_teams_requests_add_up_to_what_it_asked_for() {
    let mut state = state(0, &[("e", "model")]);
    let own = || Some(prompt("shared", 1_000, "own", 200));
    for number in 1..=4 {
        arrive(&mut state, at(number), arrival(at(number), number, RetryPolicy::Stream, own()));
    }
    complete(&mut state, at(300), 1);
    fail_attempt(&mut state, at(310), 2, Fault::ConnectionLost);
    state.step(at(320), Event::CallerDisconnected { request: RequestId(3) });
    fail_attempt(&mut state, at(330), 4, Fault::Full);
    let model = arrival(at(340), 5, RetryPolicy::Stream, own());
    arrive(&mut state, at(340), Arrival { caller_deadline: at(341), ..model });
    state.step(at(350), Event::RequestShed { team: team("t"), tokens: 500 });
    for outcome in [TokenOutcome::Stopping, TokenOutcome::Unread, TokenOutcome::Unlocated] {
        state.step(at(360), Event::RequestEndedEarly { team: team("t"), tokens: 70, outcome });
    }
    let reports = reports(state.step(at(1_000), Event::Tick));
    let [report] = &reports[..] else { panic!("{reports:?}") };
    let ended: u64 =
        TokenOutcome::iter().filter(|it| *it != TokenOutcome::Lost).map(|it| report.of(it)).sum();
    assert_eq!(report.requested, ended - report.of(TokenOutcome::Lost), "{report:?}");
    for outcome in [TokenOutcome::GivenUp, TokenOutcome::Refused, TokenOutcome::Unread] {
        assert!(report.of(outcome) > 0, "{outcome}");
    }
}

fn reports(effects: Vec<Effect>) -> Vec<sl_route::activity::TeamTokens> {
    let report = |it| match it {
        Effect::Log(Decision::TeamActivity { tokens, .. }) => Some(tokens),
        _ => None,
    };
    effects.into_iter().filter_map(report).collect()
}
