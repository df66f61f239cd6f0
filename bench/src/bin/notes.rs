//! `sl-notes`: measures the processor time that an instance spends on the messages of its peers in a
//! large fleet, and prints a line of JSON.

use std::{hint::black_box, time::Duration};

use bench::load::{FleetTraffic, LARGE_FLEET, MessageRound};
use bpaf::{OptionParser, Parser, construct, long};
use miette::{IntoDiagnostic, Result};
use nix::time::{ClockId, clock_gettime};
use serde::Serialize;
use sl_base::{Incarnation, Millis, Timestamp};
use sl_edge::{
    arrivals::{MessageArrivals, PeerArrival},
    datagram::{DatagramKey, Hop, Message},
};
use sl_route::{Event, State};

#[derive(Clone, Debug)]
struct Args {
    traffic: FleetTraffic,
    receivers: usize,
    warmup: u64,
    seconds: u64,
}

/// Processor time in microseconds, each for one message.
#[derive(Serialize)]
struct Report {
    receivers: usize,
    messages_per_second: f64,
    notes_per_message: f64,
    messages_per_datagram: f64,
    verify_us: f64,
    decode_us: f64,
    apply_us: f64,
    total_us: f64,
}

/// A datagram as a relay sends it.
struct ReceivedDatagram {
    at: Timestamp,
    bytes: Vec<u8>,
}

/// An instance that receives datagrams.
struct Receiver {
    state: State,
    arrivals: MessageArrivals,
}

fn options() -> OptionParser<Args> {
    let seed = long("seed").help("Seed of the traffic").argument("N").fallback(LARGE_FLEET.seed);
    let instances = long("instances").help("Instances that send notes").argument("N");
    let instances = instances.fallback(LARGE_FLEET.instances);
    let engines = long("engines").help("Engines").argument("N").fallback(LARGE_FLEET.engines);
    let requests_per_second = long("requests").help("Model requests a second").argument("N");
    let requests_per_second = requests_per_second.fallback(LARGE_FLEET.requests_per_second);
    let traffic = construct!(FleetTraffic { seed, instances, engines, requests_per_second });
    let receivers = long("receivers")
        .help(
            "Instances that receive each datagram in turn, so that none finds its state in a cache",
        )
        .argument("N")
        .fallback(1);
    let warmup = long("warmup").help("Seconds before the measurement").argument("S").fallback(10);
    let seconds = long("seconds").help("Seconds that are measured").argument("S").fallback(5);
    construct!(Args { traffic, receivers, warmup, seconds })
        .to_options()
        .descr("What the messages of its peers cost an instance in processor time")
}

fn main() -> Result<()> {
    let args = options().run();
    let key = DatagramKey::derive("sl-notes");
    let rounds = args.traffic.rounds(Millis((args.warmup + args.seconds) * MILLIS_PER_SECOND));
    let measured_from =
        rounds.first().map(|it| it.at.after(Millis(args.warmup * MILLIS_PER_SECOND)));
    let (warmup, measured): (Vec<MessageRound>, Vec<MessageRound>) =
        rounds.into_iter().partition(|it| Some(it.at) < measured_from);
    let messages: usize = measured.iter().map(|it| it.messages.len()).sum();
    let notes = measured.iter().flat_map(|it| &it.messages).map(|it| it.notes.notes.len());
    let notes: usize = notes.sum();
    let datagrams = encode(&key, measured);
    let mut receivers: Vec<Receiver> =
        (0..args.receivers).map(|_| Receiver::new(&args.traffic)).collect();
    for datagram in encode(&key, warmup) {
        receivers.iter_mut().for_each(|it| it.receive(&key, &datagram));
    }
    let handled = messages * receivers.len();
    let verify_us = micros_per_message(handled, || {
        for datagram in repeated(&datagrams, args.receivers) {
            black_box(key.verify(&datagram.bytes));
        }
    })?;
    let decode_us = micros_per_message(handled, || {
        for datagram in repeated(&datagrams, args.receivers) {
            black_box(key.decode(&datagram.bytes));
        }
    })?;
    let total_us = micros_per_message(handled, || {
        for datagram in &datagrams {
            receivers.iter_mut().for_each(|it| it.receive(&key, datagram));
        }
    })?;
    let report = Report {
        receivers: args.receivers,
        messages_per_second: messages as f64 / args.seconds as f64,
        notes_per_message: notes as f64 / messages as f64,
        messages_per_datagram: messages as f64 / datagrams.len() as f64,
        verify_us,
        decode_us: decode_us - verify_us,
        apply_us: total_us - decode_us,
        total_us,
    };
    println!("{}", serde_json::to_string(&report).into_diagnostic()?);
    Ok(())
}

/// Each datagram as often as there are receivers.
fn repeated(
    datagrams: &[ReceivedDatagram],
    receivers: usize,
) -> impl Iterator<Item = &ReceivedDatagram> {
    datagrams.iter().flat_map(move |it| std::iter::repeat_n(it, receivers))
}

/// The processor time of this thread in `f`, for each of `messages`.
fn micros_per_message(messages: usize, f: impl FnOnce()) -> Result<f64> {
    let before = processor_time()?;
    f();
    let took = processor_time()? - before;
    Ok(took.as_secs_f64() * MICROS_PER_SECOND / messages as f64)
}

fn processor_time() -> Result<Duration> {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).into_diagnostic()?;
    Ok(time.into())
}

fn encode(key: &DatagramKey, rounds: Vec<MessageRound>) -> Vec<ReceivedDatagram> {
    let mut datagrams = Vec::new();
    for MessageRound { at, messages } in rounds {
        let messages = messages
            .into_iter()
            .map(|it| Message::of_notes(it.from, Incarnation(START_MICROS), it.sequence, it.notes));
        let encoded = key.encode(Hop::FromRelay, messages.collect());
        datagrams.extend(encoded.into_iter().map(|bytes| ReceivedDatagram { at, bytes }));
    }
    datagrams
}

impl Receiver {
    fn new(traffic: &FleetTraffic) -> Receiver {
        Receiver { state: traffic.receiver(), arrivals: MessageArrivals::default() }
    }

    /// Handles a datagram as the receiver of an instance does.
    fn receive(&mut self, key: &DatagramKey, received: &ReceivedDatagram) {
        let Some(datagram) = key.decode(&received.bytes) else {
            return;
        };
        for message in datagram.messages {
            let Message { from, incarnation, sequence, notes, .. } = message;
            let arrival = self.arrivals.record(from, incarnation, sequence);
            if matches!(arrival, PeerArrival::New { .. }) {
                let event = Event::NotesReceived { from: from.0, notes };
                self.state.step(received.at, event);
            }
        }
    }
}

/// The number of the senders' runs: as in production, a time in microseconds.
const START_MICROS: u64 = 1_700_000_000_000_000;

const MILLIS_PER_SECOND: u64 = 1_000;
const MICROS_PER_SECOND: f64 = 1_000_000.0;
