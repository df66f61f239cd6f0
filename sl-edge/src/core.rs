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
    clock::Clock, detail::TailSampler, handle::SharedRecorder, log::Line, metrics::Metrics,
    overload::LoadShedder,
};

/// What is to be done with one request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Send(Target),
    Refuse { reason: Refusal, retry_after: Millis },
    Fail(Failure),
    ForwardServerError,
}

/// Shared by all tasks of this thread.
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Rung when there are notes for peers.
    pub(crate) notes_ready: Notify,
    state: RefCell<State>,
    in_flight: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Action>>>,
    last_request: Cell<u64>,
    phase: watch::Sender<ShutdownPhase>,
    load_shedder: Cell<LoadShedder>,
    request_log: RefCell<TailSampler<Line>>,
    /// When gauges are set the next time.
    next_gauge_update: Cell<Timestamp>,
    /// When the configuration came into force.
    document_applied_at: Cell<Timestamp>,
    /// When the store was last heard, by itself or by a fellow.
    store_contact_at: Cell<Timestamp>,
    has_document: Cell<bool>,
    connection_share: Cell<f64>,
    ready: Arc<AtomicBool>,
    pub(crate) recorder: SharedRecorder,
    cache_list_tx: mpsc::UnboundedSender<(ServerKey, SocketAddr)>,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownPhase {
    /// None is under way.
    Serving,
    /// Connections without a request are ended, others after it.
    Stopping,
    /// Requests that may last are refused, too.
    RefusingStreams,
    /// Every request is refused; the process ends in a moment.
    Terminating,
}

/// A request's place in the core; leaving it tells the reducer.
pub(crate) struct RequestGuard {
    core: Rc<Core>,
    pub(crate) request: RequestId,
    actions: mpsc::UnboundedReceiver<Action>,
    is_finished: bool,
}

/// How often gauges are set and it is told how many lines were left out.
const GAUGE_INTERVAL: Millis = Millis(1_000);

impl Core {
    /// A core; engines that are to be asked what they keep go to `lists`.
    pub(crate) fn new(
        state: State,
        log: Logger,
        metrics: Metrics,
        recorder: SharedRecorder,
        cache_list_tx: mpsc::UnboundedSender<(ServerKey, SocketAddr)>,
    ) -> Core {
        Core {
            clock: Clock,
            log,
            metrics,
            notes_ready: Notify::new(),
            state: RefCell::new(state),
            in_flight: RefCell::default(),
            last_request: Cell::new(0),
            phase: watch::Sender::new(ShutdownPhase::Serving),
            load_shedder: Cell::new(LoadShedder::new(Clock.now())),
            request_log: RefCell::new(TailSampler::new(Clock.now())),
            next_gauge_update: Cell::new(Clock.now()),
            document_applied_at: Cell::new(Clock.now()),
            store_contact_at: Cell::new(Clock.now()),
            has_document: Cell::new(false),
            connection_share: Cell::new(1.0),
            ready: Arc::default(),
            recorder,
            cache_list_tx,
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn document(&self) -> Arc<Document> {
        self.state.borrow().document().clone()
    }

    /// Looks at the state, or changes it without an event.
    pub(crate) fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }

    /// Takes an event and carries its effects out.
    pub(crate) fn step(&self, event: Event) {
        let now = self.now();
        let (effects, has_notes, held) =
            self.with_state(|it| (it.step(now, event), it.has_notes(), it.in_flight()));
        for effect in effects {
            self.execute(effect);
        }
        if has_notes {
            self.notes_ready.notify_one();
        }
        self.metrics.held_requests.set(held as i64);
    }

    /// A place for a new request.
    pub(crate) fn register_request(self: &Rc<Core>) -> RequestGuard {
        let request = RequestId(self.last_request.get() + 1);
        self.last_request.set(request.0);
        let (tx, actions) = mpsc::unbounded_channel();
        self.in_flight.borrow_mut().insert(request, tx);
        RequestGuard { core: self.clone(), request, actions, is_finished: false }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.phase.borrow() > ShutdownPhase::Serving
    }

    pub(crate) fn set_phase(&self, phase: ShutdownPhase) {
        self.phase.send_replace(phase);
        if phase > ShutdownPhase::Serving {
            self.update_readiness();
        }
    }

    /// Notes how late the last tick came.
    pub(crate) fn record_tick(&self, late_ms: f64) {
        let now = self.now();
        let mut load_shedder = self.load_shedder.get();
        if load_shedder.record_tick(now, late_ms) {
            slog::warn!(self.log, "connections are sent elsewhere";
                "late_ms" => load_shedder.late_ms().round(), "held" => self.with_state(|it| it.in_flight()));
        }
        self.load_shedder.set(load_shedder);
        if self.next_gauge_update.get().is_due(now) {
            self.next_gauge_update.set(now.after(GAUGE_INTERVAL));
            self.log_left_out();
            self.update_gauges(now);
        }
        self.update_readiness();
    }

    /// Whether a caller is to use another connection for its next request.
    pub(crate) fn is_shedding(&self) -> bool {
        self.is_stopping() || self.load_shedder.get().is_shedding(self.now())
    }

    /// Whether the request that has just come is to go to another instance.
    pub(crate) fn should_reject(&self) -> bool {
        let mut load_shedder = self.load_shedder.get();
        let rejected = load_shedder.should_reject();
        self.load_shedder.set(load_shedder);
        rejected
    }

    /// Whether tasks run so late that a caller may have left unnoticed.
    pub(crate) fn is_lagging(&self) -> bool {
        self.load_shedder.get().is_lagging()
    }

    /// Waits until a planned stop begins.
    pub(crate) async fn shutdown_started(&self) {
        // The sender lives as long as the core.
        let _ = self.phase.subscribe().wait_for(|it| *it > ShutdownPhase::Serving).await;
    }

    /// Waits until no connection is to be taken any more.
    pub(crate) async fn termination_started(&self) {
        // The sender lives as long as the core.
        let _ = self.phase.subscribe().wait_for(|it| *it == ShutdownPhase::Terminating).await;
    }

    /// Whether a request on `route` that comes now can be expected to end before this
    /// instance does.
    pub(crate) fn accepts(&self, route: &Route) -> bool {
        match *self.phase.borrow() {
            ShutdownPhase::Serving | ShutdownPhase::Stopping => true,
            ShutdownPhase::RefusingStreams => !route.retry_policy.is_stream(),
            ShutdownPhase::Terminating => false,
        }
    }

    /// How many of a server's `all` connections this instance may have.
    pub(crate) fn connection_limit(&self, total: u32) -> usize {
        ((f64::from(total) * self.connection_share.get()) as usize).max(1)
    }

    /// Notes which part of each server's connections this instance may have.
    pub(crate) fn set_connection_share(&self, share: f64) {
        self.connection_share.set(share);
    }

    /// Whether the balancer may send callers here.
    pub(crate) fn ready(&self) -> &Arc<AtomicBool> {
        &self.ready
    }

    /// Notes that a configuration is in force.
    pub(crate) fn record_document_applied(&self) {
        self.document_applied_at.set(self.now());
        self.has_document.set(true);
        self.update_readiness();
    }

    /// Notes that what the store holds was heard, from itself or by a fellow.
    pub(crate) fn record_store_contact(&self) {
        self.store_contact_at.set(self.now());
    }

    fn update_readiness(&self) {
        let ready = self.has_document.get() && !self.is_shedding();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            slog::info!(self.log, "readiness changed"; "ready" => ready);
            self.metrics.ready.set(i64::from(ready));
        }
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Send { request, target } => self.deliver(request, Action::Send(target)),
            Effect::Refuse { request, reason: why, retry_after } => {
                self.deliver(request, Action::Refuse { reason: why, retry_after });
            }
            Effect::Fail { request, reason: why } => self.deliver(request, Action::Fail(why)),
            Effect::ForwardServerError { request } => {
                self.deliver(request, Action::ForwardServerError)
            }
            Effect::ListCache { server, address } => {
                // Nobody listens any more where the daemon is ending.
                let _ = self.cache_list_tx.send((server, address));
            }
            Effect::Log(decision) => self.log_decision(decision),
        }
    }

    fn deliver(&self, request: RequestId, action: Action) {
        if let Some(tx) = self.in_flight.borrow().get(&request) {
            // Whoever waited may have left by now; its place tells the reducer.
            let _ = tx.send(action);
        }
    }
}

impl RequestGuard {
    /// Takes an event of this request and waits for what is to be done with it.
    pub(crate) async fn next_action(&mut self, event: Event) -> Option<Action> {
        self.core.step(event);
        self.actions.recv().await
    }

    /// Takes the last event of this request.
    pub(crate) fn finish(&mut self, event: Event) {
        self.is_finished = true;
        self.core.step(event);
    }

    /// Nothing more is to come of this request.
    pub(crate) fn mark_finished(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.core.in_flight.borrow_mut().remove(&self.request);
        self.core.request_log.borrow_mut().discard(self.request);
        if !self.is_finished {
            self.core.step(Event::CallerDisconnected { request: self.request });
        }
    }
}
