//! The processor of an instance. Work is done in the order in which it arrives, and each item takes a
//! time that depends on the instance's share of a core, so an instance that has more to do than it can
//! reads requests, applies messages and runs ticks late.

use std::collections::VecDeque;

use sl_base::{Millis, Timestamp};
use sl_edge::overload::LoadShedder;
use sl_route::{Event, Notes};

/// Processor time that the work of an instance takes, in microseconds of a whole core.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorCosts {
    /// A request that is sent on, from its head to the end of its response.
    pub request_micros: f64,
    /// A request that is rejected because the instance runs late: its head alone.
    pub rejection_micros: f64,
    /// A message of a peer.
    pub message_micros: f64,
    /// A tick, without the heartbeats of the peers.
    pub tick_micros: f64,
    /// The number of instances of the deployment that the simulation stands for. Each peer of the
    /// simulation stands for several there, so that its messages take as much of an instance's time as
    /// those of all of them: messages and requests are in the same proportion as there.
    pub represented_instances: usize,
    /// The messages that the receive buffer of a represented instance holds; more are lost.
    pub buffered_messages: usize,
}

impl Default for ProcessorCosts {
    fn default() -> ProcessorCosts {
        ProcessorCosts {
            request_micros: 500.0,
            rejection_micros: 150.0,
            message_micros: 6.0,
            tick_micros: 100.0,
            represented_instances: 295,
            buffered_messages: 1_500,
        }
    }
}

/// Messages without notes that each instance sends in each interval of ticks.
const HEARTBEATS_PER_TICK: f64 = 0.5;

/// How many times smaller the receive buffer of a simulated instance is at most, so that it holds some
/// messages in any fleet.
const BUFFER_MIN: usize = 4;

impl ProcessorCosts {
    /// Represented instances for each simulated one.
    fn scale(self, instances: usize) -> f64 {
        self.represented_instances as f64 / instances as f64
    }

    /// Messages that the receive buffer of one of `instances` simulated instances holds.
    pub(super) fn buffer(self, instances: usize) -> usize {
        ((self.buffered_messages as f64 / self.scale(instances)) as usize).max(BUFFER_MIN)
    }

    /// Time that the work takes at one of `instances` simulated instances.
    pub(super) fn micros(self, work: &Work, instances: usize) -> f64 {
        match work {
            Work::Request { .. } => self.rejection_micros,
            Work::FirstToken { .. } => self.request_micros - self.rejection_micros,
            Work::Step(_) => 0.0,
            Work::Message { .. } => self.message_micros * self.scale(instances),
            Work::Tick { .. } => {
                let heartbeats = self.represented_instances as f64 * HEARTBEATS_PER_TICK;
                self.tick_micros + heartbeats * self.message_micros
            }
        }
    }
}

/// Something that an instance has to do.
pub(super) enum Work {
    /// Reading the head of a request, and deciding on it. `attempt` tells the caller's attempts apart.
    Request { call: usize, attempt: u32 },
    /// Passing a response on to the caller, from the first token on, which was `transit_micros` on its
    /// way from the engine.
    FirstToken { call: usize, transit_micros: u64 },
    /// Telling the reducer of something that takes no time beyond that of the request.
    Step(Event),
    /// Applying a message of a peer.
    Message { from: usize, sequence: u64, notes: Notes },
    /// The periodic tick.
    Tick { due: Timestamp },
}

/// The processor of an instance, with the work that waits for it.
pub(super) struct Processor {
    cores: f64,
    queue: VecDeque<Work>,
    current: Option<Work>,
    buffered_messages: usize,
    has_tick: bool,
    pub(super) load_shedder: LoadShedder,
}

impl Processor {
    /// The idle processor of an instance with `cores`, in a fleet whose largest instances have
    /// `largest_cores`.
    pub(super) fn new(now: Timestamp, cores: f64, largest_cores: f64) -> Processor {
        let mut load_shedder = LoadShedder::new(now);
        load_shedder.set_largest_ratio(largest_cores / cores);
        Processor {
            cores,
            queue: VecDeque::new(),
            current: None,
            buffered_messages: 0,
            has_tick: false,
            load_shedder,
        }
    }

    /// Adds work to the queue; false if it is lost, as a message is for which the receive buffer, of
    /// `buffer` messages, has no room. A tick is due only after the one before.
    pub(super) fn push(&mut self, work: Work, buffer: usize) -> bool {
        match &work {
            Work::Message { .. } if self.buffered_messages >= buffer => return false,
            Work::Message { .. } => self.buffered_messages += 1,
            Work::Tick { .. } if std::mem::replace(&mut self.has_tick, true) => return false,
            _ => {}
        }
        self.queue.push_back(work);
        true
    }

    /// Starts the next work unless some is being done, and returns when it will be complete.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        micros: impl Fn(&Work) -> f64,
    ) -> Option<Timestamp> {
        if self.current.is_some() {
            return None;
        }
        let work = self.queue.pop_front()?;
        let micros = (micros(&work) / self.cores) as u64;
        self.current = Some(work);
        Some(Timestamp::from_micros(now.as_micros() + micros))
    }

    /// Completes the current work.
    pub(super) fn finish(&mut self) -> Option<Work> {
        let work = self.current.take()?;
        match work {
            Work::Message { .. } => self.buffered_messages -= 1,
            Work::Tick { .. } => self.has_tick = false,
            _ => {}
        }
        Some(work)
    }

    /// The delay after which the caller of a rejected request may retry.
    pub(super) fn retry_delay(&self, now: Timestamp) -> Millis {
        self.load_shedder.retry_delay(now)
    }
}
