//! Instances that exchange notes end up with no attempts in flight, in any order of events.
//! If messages are lost, an instance may still count attempts of its peers, but none of its own
//! requests.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::RequestId;
use sl_route::{AttemptEnd, Event, Fault, RetryPolicy, State};

use crate::testbed::{arrival, arrive, at, prompt, state};

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { instance: usize, model: bool, part: u8 },
    StartResponse { instance: usize, index: usize },
    EndAttempt { instance: usize, index: usize, fault: Option<Fault> },
    Disconnect { instance: usize, index: usize },
    Gossip { instance: usize, is_lost: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(None),
        Just(Some(Fault::ConnectionLost)),
        Just(Some(Fault::Full)),
        Just(Some(Fault::NotConnected)),
        Just(Some(Fault::ConnectionRefused)),
        Just(Some(Fault::ResponseTimeout)),
        Just(Some(Fault::ServerError)),
    ];
    prop_oneof![
        4 => (0_usize..3, any::<bool>(), 0_u8..4)
            .prop_map(|(instance, model, part)| Step::Arrive { instance, model, part }),
        2 => (0_usize..3, any::<usize>())
            .prop_map(|(instance, index)| Step::StartResponse { instance, index }),
        3 => (0_usize..3, any::<usize>(), fault)
            .prop_map(|(instance, index, fault)| Step::EndAttempt { instance, index, fault }),
        1 => (0_usize..3, any::<usize>())
            .prop_map(|(instance, index)| Step::Disconnect { instance, index }),
        3 => (0_usize..3, any::<bool>())
            .prop_map(|(instance, is_lost)| Step::Gossip { instance, is_lost }),
    ]
}

fn gossip(instances: &mut [State], from: usize, now: u64, is_lost: bool) {
    let notes = instances[from].take_notes();
    let bytes = postcard::to_allocvec(&notes).unwrap();
    for to in (0..instances.len()).filter(|it| *it != from && !is_lost) {
        let notes = postcard::from_bytes(&bytes).unwrap();
        instances[to].step(at(now), Event::NotesReceived { from: from as u32, notes });
    }
}

fn in_flight(state: &State) -> Vec<(String, usize)> {
    let mut counts: Vec<(String, usize)> =
        state.servers().map(|it| (it.record.id.to_string(), it.in_flight())).collect();
    counts.sort();
    counts
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0005),
        failure_persistence: None,
        cases: 128,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_request_or_attempt_stays_in_flight(steps in prop::collection::vec(step(), 1..120)) {
        let servers =
            [("a", "app"), ("b", "app"), ("e1", "model"), ("e2", "model"), ("e3", "model")];
        let mut instances: Vec<State> = (0..3).map(|it| state(it, &servers)).collect();
        let mut requests: Vec<Vec<u64>> = vec![Vec::new(); 3];
        let mut any_notes_lost = false;
        let (mut now, mut number) = (0, 0);
        for step in steps {
            now += 7;
            match step {
                Step::Arrive { instance, model, part } => {
                    number += 1;
                    let prompt = model
                        .then(|| prompt(&format!("p{part}"), 2_000, &format!("o{number}"), 300));
                    let retry_policy =
                        if model { RetryPolicy::ResumableStream } else { RetryPolicy::Idempotent };
                    arrive(
                        &mut instances[instance],
                        at(now),
                        arrival(at(now), number, retry_policy, prompt),
                    );
                    requests[instance].push(number);
                }
                Step::StartResponse { instance, index } if !requests[instance].is_empty() => {
                    let request = RequestId(requests[instance][index % requests[instance].len()]);
                    instances[instance].step(at(now), Event::ResponseStarted { request });
                }
                Step::EndAttempt { instance, index, fault } if !requests[instance].is_empty() => {
                    let request = RequestId(requests[instance][index % requests[instance].len()]);
                    let end = match fault {
                        Some(fault) => AttemptEnd::Failed { fault, is_partially_delivered: false },
                        None => AttemptEnd::Completed { status: 200, event_interval_micros: None },
                    };
                    instances[instance].step(at(now), Event::AttemptEnded { request, end });
                }
                Step::Disconnect { instance, index } if !requests[instance].is_empty() => {
                    let request = RequestId(requests[instance][index % requests[instance].len()]);
                    instances[instance].step(at(now), Event::CallerDisconnected { request });
                }
                Step::Gossip { instance, is_lost } => {
                    any_notes_lost |= is_lost && instances[instance].has_notes();
                    gossip(&mut instances, instance, now, is_lost);
                }
                _ => {}
            }
        }
        for (instance, state) in instances.iter_mut().enumerate() {
            for &number in &requests[instance] {
                state.step(at(now), Event::CallerDisconnected { request: RequestId(number) });
            }
            prop_assert_eq!(state.in_flight(), 0);
        }
        for instance in 0..3 {
            gossip(&mut instances, instance, now, false);
        }
        for state in &instances {
            let remaining: usize = in_flight(state).iter().map(|it| it.1).sum();
            prop_assert!(any_notes_lost || remaining == 0, "{:?}", in_flight(state));
        }
    }
}
