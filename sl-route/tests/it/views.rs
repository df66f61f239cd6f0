//! Instances that hear each other have the same view, whatever is lost on the way.

use proptest::{prelude::*, test_runner::RngSeed};
use sl_base::RequestId;
use sl_route::{AttemptEnd, Event, Fault, RetryPolicy, State};

use crate::bed::{arrival, arrive, at, prompt, state};

#[derive(Clone, Copy, Debug)]
enum Step {
    Arrive { instance: usize, model: bool, part: u8 },
    Begin { instance: usize, pick: usize },
    End { instance: usize, pick: usize, fault: Option<Fault> },
    Leave { instance: usize, pick: usize },
    Tell { instance: usize, is_lost: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        Just(None),
        Just(Some(Fault::ConnectionLost)),
        Just(Some(Fault::Full)),
        Just(Some(Fault::NotConnected)),
        Just(Some(Fault::ResponseTimeout)),
        Just(Some(Fault::ServerError)),
    ];
    prop_oneof![
        4 => (0_usize..3, any::<bool>(), 0_u8..4)
            .prop_map(|(instance, model, part)| Step::Arrive { instance, model, part }),
        2 => (0_usize..3, any::<usize>()).prop_map(|(instance, pick)| Step::Begin { instance, pick }),
        3 => (0_usize..3, any::<usize>(), fault)
            .prop_map(|(instance, pick, fault)| Step::End { instance, pick, fault }),
        1 => (0_usize..3, any::<usize>()).prop_map(|(instance, pick)| Step::Leave { instance, pick }),
        3 => (0_usize..3, any::<bool>())
            .prop_map(|(instance, is_lost)| Step::Tell { instance, is_lost }),
    ]
}

fn tell(fleet: &mut [State], from: usize, now: u64, is_lost: bool) {
    let notes = fleet[from].take_notes();
    let bytes = postcard::to_allocvec(&notes).unwrap();
    for to in (0..fleet.len()).filter(|it| *it != from && !is_lost) {
        let notes = postcard::from_bytes(&bytes).unwrap();
        fleet[to].step(at(now), Event::NotesReceived { from: from as u32, notes });
    }
}

fn held(state: &State) -> Vec<(String, usize)> {
    let mut held: Vec<(String, usize)> =
        state.servers().map(|it| (it.record.id.to_string(), it.in_flight())).collect();
    held.sort();
    held
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(0x5e5a_0005),
        failure_persistence: None,
        cases: 128,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_request_ends_and_nothing_stays_held(steps in prop::collection::vec(step(), 1..120)) {
        let servers =
            [("a", "app"), ("b", "app"), ("e1", "model"), ("e2", "model"), ("e3", "model")];
        let mut fleet: Vec<State> = (0..3).map(|it| state(it, &servers)).collect();
        let mut open: Vec<Vec<u64>> = vec![Vec::new(); 3];
        let mut any_lost = false;
        let (mut now, mut number) = (0, 0);
        for step in steps {
            now += 7;
            match step {
                Step::Arrive { instance, model, part } => {
                    number += 1;
                    let prompt = model
                        .then(|| prompt(&format!("p{part}"), 2_000, &format!("o{number}"), 300));
                    let repeat = if model { RetryPolicy::ResumableStream } else { RetryPolicy::Idempotent };
                    arrive(&mut fleet[instance], at(now), arrival(at(now), number, repeat, prompt));
                    open[instance].push(number);
                }
                Step::Begin { instance, pick } if !open[instance].is_empty() => {
                    let request = RequestId(open[instance][pick % open[instance].len()]);
                    fleet[instance].step(at(now), Event::ResponseStarted { request });
                }
                Step::End { instance, pick, fault } if !open[instance].is_empty() => {
                    let request = RequestId(open[instance][pick % open[instance].len()]);
                    let end = match fault {
                        Some(fault) => AttemptEnd::Failed { fault, is_partially_delivered: false },
                        None => AttemptEnd::Completed { status: 200, event_interval_micros: None },
                    };
                    fleet[instance].step(at(now), Event::AttemptEnded { request, end });
                }
                Step::Leave { instance, pick } if !open[instance].is_empty() => {
                    let request = RequestId(open[instance][pick % open[instance].len()]);
                    fleet[instance].step(at(now), Event::CallerDisconnected { request });
                }
                Step::Tell { instance, is_lost } => {
                    any_lost |= is_lost && fleet[instance].has_notes();
                    tell(&mut fleet, instance, now, is_lost);
                }
                _ => {}
            }
        }
        for (instance, state) in fleet.iter_mut().enumerate() {
            for &number in &open[instance] {
                state.step(at(now), Event::CallerDisconnected { request: RequestId(number) });
            }
            prop_assert_eq!(state.in_flight(), 0);
        }
        for instance in 0..3 {
            tell(&mut fleet, instance, now, false);
        }
        for state in &fleet {
            let left: usize = held(state).iter().map(|it| it.1).sum();
            prop_assert!(any_lost || left == 0, "{:?}", held(state));
        }
    }
}
