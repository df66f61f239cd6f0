//! What the notes of a large fleet cost one instance.

use std::time::Duration;

use bench::load::{LARGE_FLEET, MessageRound};
use nix::time::{ClockId, clock_gettime};
use sl_base::Millis;
use sl_route::{Event, State};

/// Instances that receive each message in turn: one that shares a processor with others does not find
/// its state in the processor's caches.
const RECEIVERS: usize = 16;

/// Processor time that an instance may spend on applying the notes of a second.
///
/// The smallest instances have 0.09 of a processor. A fifth of it, 18 ms a second, may go to
/// messages of peers. To verify and to decode 8,300 of them takes some 5 ms (`sl-notes`).
const APPLYING_MAX: Duration = Duration::from_millis(13);

const WARMUP: Millis = Millis(4_000);
const SECOND: Millis = Millis(1_000);

fn processor_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).unwrap().into()
}

fn apply(receivers: &mut [State], rounds: &[MessageRound]) -> Duration {
    // The copies are made and dropped outside of what is measured, as decoding makes them.
    let mut took = Duration::ZERO;
    for round in rounds {
        let mut copies = vec![round.messages.clone(); receivers.len()];
        let before = processor_time();
        for (receiver, messages) in receivers.iter_mut().zip(&mut copies) {
            for message in messages {
                let notes = std::mem::take(&mut message.notes);
                receiver.step(round.at, Event::NotesReceived { from: message.from.0, notes });
            }
        }
        took += processor_time() - before;
    }
    took
}

#[test]
fn the_notes_of_295_instances_take_no_more_than_a_fifth_of_a_small_instance() {
    let rounds = LARGE_FLEET.rounds(Millis(WARMUP.0 + 3 * SECOND.0));
    let seconds: Vec<&[MessageRound]> = rounds
        .chunk_by(|a, b| a.at.as_micros() / 1_000_000 == b.at.as_micros() / 1_000_000)
        .collect();
    let (warmup, measured) = seconds.split_at((WARMUP.0 / SECOND.0) as usize);
    let mut receivers: Vec<State> = (0..RECEIVERS).map(|_| LARGE_FLEET.receiver()).collect();
    for second in warmup {
        apply(&mut receivers, second);
    }
    let whole = measured.iter().filter(|it| it.len() == 50);
    let took = whole.map(|it| apply(&mut receivers, it) / RECEIVERS as u32);
    // The least of several seconds, as other processes of the machine may use its caches.
    let least = took.min().unwrap();
    assert!(least <= APPLYING_MAX, "{least:?} of processor time in a second");
}
