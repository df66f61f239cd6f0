//! The reducer's state, and who waits for its effects.

mod told;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use sl_base::{Millis, RequestId, Timestamp};
use sl_route::{
    Document, Effect, Event, Failure, Refusal, Route, ServerKey, State, effect::Target,
};
use slog::Logger;
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    clock::Clock, detail::TailSampler, handle::Burn, log::Line, metrics::Metrics,
    overload::Overload,
};

/// What is to be done with one request.
#[derive(Clone, Debug)]
pub(crate) enum Order {
    Send(Target),
    Refuse { why: Refusal, retry_after: Millis },
    Fail(Failure),
    PassOn,
}

/// Shared by all tasks of this thread.
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Rung when there are notes for peers.
    pub(crate) notes: Notify,
    state: RefCell<State>,
    waiting: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Order>>>,
    next_request: Cell<u64>,
    phase: watch::Sender<Phase>,
    overload: Cell<Overload>,
    detail: RefCell<TailSampler<Line>>,
    /// When gauges are set the next time.
    measure_at: Cell<Timestamp>,
    /// When the configuration came into force.
    document_at: Cell<Timestamp>,
    /// When the store was last heard, by itself or by a fellow.
    store_heard_at: Cell<Timestamp>,
    has_document: Cell<bool>,
    connections_part: Cell<f64>,
    ready: Arc<AtomicBool>,
    pub(crate) burn: Burn,
    lists: mpsc::UnboundedSender<(ServerKey, SocketAddr)>,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// None is under way.
    Serving,
    /// Connections without a request are ended, others after it.
    Stopping,
    /// Requests that may last are refused, too.
    Closing,
    /// Every request is refused; the process ends in a moment.
    Ended,
}

/// A request's place in the core; leaving it tells the reducer.
pub(crate) struct Place {
    core: Rc<Core>,
    pub(crate) request: RequestId,
    orders: mpsc::UnboundedReceiver<Order>,
    settled: bool,
}

/// How often gauges are set and it is told how many lines were left out.
const MEASURE_EVERY: Millis = Millis(1_000);

impl Core {
    /// A core; engines that are to be asked what they keep go to `lists`.
    pub(crate) fn new(
        state: State,
        log: Logger,
        metrics: Metrics,
        burn: Burn,
        lists: mpsc::UnboundedSender<(ServerKey, SocketAddr)>,
    ) -> Core {
        Core {
            clock: Clock,
            log,
            metrics,
            notes: Notify::new(),
            state: RefCell::new(state),
            waiting: RefCell::default(),
            next_request: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            overload: Cell::new(Overload::new(Clock.now())),
            detail: RefCell::new(TailSampler::new(Clock.now())),
            measure_at: Cell::new(Clock.now()),
            document_at: Cell::new(Clock.now()),
            store_heard_at: Cell::new(Clock.now()),
            has_document: Cell::new(false),
            connections_part: Cell::new(1.0),
            ready: Arc::default(),
            burn,
            lists,
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn document(&self) -> Arc<Document> {
        self.state.borrow().document().clone()
    }

    /// Looks at the state, or changes it without an event.
    pub(crate) fn with<T>(&self, look: impl FnOnce(&mut State) -> T) -> T {
        look(&mut self.state.borrow_mut())
    }

    /// Takes an event and carries its effects out.
    pub(crate) fn step(&self, event: Event) {
        let now = self.now();
        let (effects, has_notes, held) =
            self.with(|it| (it.step(now, event), it.has_notes(), it.in_flight()));
        for effect in effects {
            self.carry_out(effect);
        }
        if has_notes {
            self.notes.notify_one();
        }
        self.metrics.held_requests.set(held as i64);
    }

    /// A place for a new request.
    pub(crate) fn place(self: &Rc<Core>) -> Place {
        let request = RequestId(self.next_request.get() + 1);
        self.next_request.set(request.0);
        let (tx, orders) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(request, tx);
        Place { core: self.clone(), request, orders, settled: false }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() > Phase::Serving
    }

    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
        if phase > Phase::Serving {
            self.tell_ready();
        }
    }

    /// Notes how late the last tick came.
    pub(crate) fn ticked(&self, late_ms: f64) {
        let now = self.now();
        let mut overload = self.overload.get();
        if overload.ticked(now, late_ms) {
            slog::warn!(self.log, "connections are sent elsewhere";
                "late_ms" => overload.late_ms().round(), "held" => self.with(|it| it.in_flight()));
        }
        self.overload.set(overload);
        if self.measure_at.get().is_due(now) {
            self.measure_at.set(now.after(MEASURE_EVERY));
            self.note_left_out();
            self.measure(now);
        }
        self.tell_ready();
    }

    /// Whether a caller is to use another connection for its next request.
    pub(crate) fn sheds(&self) -> bool {
        self.is_stopping() || self.overload.get().sheds(self.now())
    }

    /// Whether the request that has just come is to go to another instance.
    pub(crate) fn turns_away(&self) -> bool {
        let mut overload = self.overload.get();
        let turns_away = overload.turns_away();
        self.overload.set(overload);
        turns_away
    }

    /// Whether tasks run so late that a caller may have left unnoticed.
    pub(crate) fn is_lagging(&self) -> bool {
        self.overload.get().is_lagging()
    }

    /// Waits until a planned stop begins.
    pub(crate) async fn stopping(&self) {
        // The sender lives as long as the core.
        let _ = self.phase.subscribe().wait_for(|it| *it > Phase::Serving).await;
    }

    /// Waits until no connection is to be taken any more.
    pub(crate) async fn ended(&self) {
        // The sender lives as long as the core.
        let _ = self.phase.subscribe().wait_for(|it| *it == Phase::Ended).await;
    }

    /// Whether a request on `route` that comes now can be expected to end before this
    /// instance does.
    pub(crate) fn has_time_for(&self, route: &Route) -> bool {
        match *self.phase.borrow() {
            Phase::Serving | Phase::Stopping => true,
            Phase::Closing => !route.retry_policy.is_stream(),
            Phase::Ended => false,
        }
    }

    /// How many of a server's `all` connections this instance may have.
    pub(crate) fn connections_of(&self, all: u32) -> usize {
        ((f64::from(all) * self.connections_part.get()) as usize).max(1)
    }

    /// Notes which part of each server's connections this instance may have.
    pub(crate) fn set_connections_part(&self, part: f64) {
        self.connections_part.set(part);
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn ready(&self) -> &Arc<AtomicBool> {
        &self.ready
    }

    /// Notes that a configuration is in force.
    pub(crate) fn set_has_document(&self) {
        self.document_at.set(self.now());
        self.has_document.set(true);
        self.tell_ready();
    }

    /// Notes that what the store holds was heard, from itself or by a fellow.
    pub(crate) fn store_heard(&self) {
        self.store_heard_at.set(self.now());
    }

    fn tell_ready(&self) {
        let ready = self.has_document.get() && !self.sheds();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            slog::info!(self.log, "readiness changed"; "ready" => ready);
            self.metrics.ready.set(i64::from(ready));
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::Send { request, target } => self.order(request, Order::Send(target)),
            Effect::Refuse { request, reason: why, retry_after } => {
                self.order(request, Order::Refuse { why, retry_after });
            }
            Effect::Fail { request, reason: why } => self.order(request, Order::Fail(why)),
            Effect::ForwardServerError { request } => self.order(request, Order::PassOn),
            Effect::ListCache { server, address } => {
                // Nobody listens any more where the daemon is ending.
                let _ = self.lists.send((server, address));
            }
            Effect::Log(decision) => self.note(decision),
        }
    }

    fn order(&self, request: RequestId, order: Order) {
        if let Some(tx) = self.waiting.borrow().get(&request) {
            // Whoever waited may have left by now; its place tells the reducer.
            let _ = tx.send(order);
        }
    }
}

impl Place {
    /// Takes an event of this request and waits for what is to be done with it.
    pub(crate) async fn ask(&mut self, event: Event) -> Option<Order> {
        self.core.step(event);
        self.orders.recv().await
    }

    /// Takes the last event of this request.
    pub(crate) fn settle(&mut self, event: Event) {
        self.settled = true;
        self.core.step(event);
    }

    /// Nothing more is to come of this request.
    pub(crate) fn close(&mut self) {
        self.settled = true;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.core.waiting.borrow_mut().remove(&self.request);
        self.core.detail.borrow_mut().discard(self.request);
        if !self.settled {
            self.core.step(Event::CallerDisconnected { request: self.request });
        }
    }
}
