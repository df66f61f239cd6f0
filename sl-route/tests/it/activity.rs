//! Counts of teams' tokens for the log.

use sl_base::Millis;
use sl_route::{Decision, Effect, Event, RetryPolicy, activity::TokenOutcome};

use crate::testbed::{arrival, arrive, at, prompt, state, team};

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

fn reports(effects: Vec<Effect>) -> Vec<sl_route::activity::TeamTokens> {
    let report = |it| match it {
        Effect::Log(Decision::TeamActivity { tokens, .. }) => Some(tokens),
        _ => None,
    };
    effects.into_iter().filter_map(report).collect()
}
