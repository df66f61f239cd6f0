//! Owns the reducer's state, steps it and dispatches its effects to the waiting tasks.

mod reporting;

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use sl_base::{Millis, RequestId, Timestamp};
use sl_http::Headers;
use sl_mirror::Change;
use sl_route::{
    Document, Effect, Event, Failure, Refusal, ServerKey, ServerNotice, State, Team,
    effect::Target, share::Standing,
};
use slog::Logger;
use tokio::sync::{Notify, mpsc};

use crate::{
    clock::Clock, detail::TailSampler, handle::SharedRecorder, health::HealthCheck, log::Line,
    metrics::Metrics, overload::LoadShedder, peers::arrivals::PeerArrival,
    shutdown::ShutdownControl,
};

/// What the reducer decided to do next with one request.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Attempt the request on this server.
    Send(Target),
    /// Continue the current attempt, and ask again at `until` unless data arrives before.
    KeepWaiting { until: Timestamp },
    /// Reject the request, which has not run.
    Refuse { reason: Refusal, retry_after: Millis },
    /// Report the failure of a request that may have run.
    Fail(Failure),
    /// Send the caller the server error that the last attempt withheld.
    ForwardServerError,
}

/// State and services shared by all tasks of the daemon's thread.
pub(crate) struct Core {
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    /// Notified when the reducer has notes to send to peers.
    pub(crate) notes_ready: Notify,
    state: RefCell<State>,
    /// Where to send the actions of each registered request.
    in_flight: RefCell<HashMap<RequestId, mpsc::UnboundedSender<Action>>>,
    last_request: Cell<u64>,
    pub(crate) shutdown: ShutdownControl,
    load_shedder: Cell<LoadShedder>,
    request_log: RefCell<TailSampler<Line>>,
    peer_counts: Cell<PeerCounts>,
    work_counts: Cell<WorkCounts>,
    /// When malformed data of each kind may be logged again.
    malformed_logged_until: RefCell<HashMap<&'static str, Timestamp>>,
    /// When the gauges are updated next.
    next_gauge_update: Cell<Timestamp>,
    /// When the configuration in force was applied.
    document_applied_at: Cell<Timestamp>,
    /// When the store's contents were last confirmed, by the store itself or by a peer.
    store_contact_at: Cell<Timestamp>,
    has_document: Cell<bool>,
    /// The store's entry that the configuration in force was read from.
    document_entry: RefCell<Option<Change>>,
    ready: Arc<AtomicBool>,
    pub(crate) recorder: SharedRecorder,
    server_calls: ServerCalls,
}

/// Where the calls to servers are made that belong to no request of a caller.
pub(crate) struct ServerCalls {
    /// Engines whose cache contents are to be listed.
    pub(crate) cache_lists: mpsc::UnboundedSender<(ServerKey, SocketAddr)>,
    /// Servers that are to be asked for their health.
    pub(crate) health_checks: mpsc::UnboundedSender<HealthCheck>,
}

/// Messages from peers since the last log line about them, and gaps in their sequence numbers.
#[derive(Clone, Copy, Debug, Default)]
struct PeerCounts {
    received: u64,
    missed: u64,
    overtaken: u64,
    repeated: u64,
}

/// What this instance has done since the last log line about its load.
#[derive(Clone, Copy, Debug, Default)]
struct WorkCounts {
    /// Connections that callers have opened.
    connections: u64,
    /// Request heads that were read.
    heads: u64,
    /// Time spent on messages from peers.
    note_time: Duration,
    /// Datagrams from peers that were not applied because no time was left for them.
    datagrams_skipped: u64,
}

/// Registration of a request with the core. Dropping it before [`RequestGuard::finish`] or
/// [`RequestGuard::mark_finished`] reports to the reducer that the caller has disconnected.
pub(crate) struct RequestGuard {
    core: Rc<Core>,
    pub(crate) request: RequestId,
    actions: mpsc::UnboundedReceiver<Action>,
    is_finished: bool,
}

/// Longest random part of the retry delay after a rejection.
const RETRY_SPREAD: Millis = Millis(200);

/// How often the gauges are updated and the number of omitted log lines is reported.
const GAUGE_INTERVAL: Millis = Millis(1_000);

impl Core {
    /// A graceful shutdown ends within `drain_timeout`.
    pub(crate) fn new(
        state: State,
        log: Logger,
        metrics: Metrics,
        recorder: SharedRecorder,
        server_calls: ServerCalls,
        drain_timeout: Millis,
    ) -> Core {
        Core {
            clock: Clock,
            log,
            metrics,
            notes_ready: Notify::new(),
            state: RefCell::new(state),
            in_flight: RefCell::default(),
            last_request: Cell::new(0),
            shutdown: ShutdownControl::new(drain_timeout),
            load_shedder: Cell::new(LoadShedder::new(Clock.now())),
            request_log: RefCell::new(TailSampler::new(Clock.now())),
            peer_counts: Cell::default(),
            work_counts: Cell::default(),
            malformed_logged_until: RefCell::default(),
            next_gauge_update: Cell::new(Clock.now()),
            document_applied_at: Cell::new(Clock.now()),
            store_contact_at: Cell::new(Clock.now()),
            has_document: Cell::new(false),
            document_entry: RefCell::default(),
            ready: Arc::default(),
            recorder,
            server_calls,
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn document(&self) -> Arc<Document> {
        self.state.borrow().document().clone()
    }

    /// Runs `f` on the reducer's state, outside of an event.
    pub(crate) fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.borrow_mut())
    }

    /// Steps the reducer with `event` and executes the resulting effects.
    pub(crate) fn step(&self, event: Event) {
        let now = self.now();
        let (effects, has_notes, in_flight) =
            self.with_state(|it| (it.step(now, event), it.has_notes(), it.in_flight()));
        for effect in effects {
            self.execute(effect);
        }
        if has_notes {
            self.notes_ready.notify_one();
        }
        self.metrics.requests_in_flight.set(in_flight as i64);
    }

    /// Registers a new request under the next request id.
    pub(crate) fn register_request(self: &Rc<Core>) -> RequestGuard {
        let request = RequestId(self.last_request.get() + 1);
        self.last_request.set(request.0);
        let (tx, actions) = mpsc::unbounded_channel();
        self.in_flight.borrow_mut().insert(request, tx);
        RequestGuard { core: self.clone(), request, actions, is_finished: false }
    }

    /// Records how late the last tick ran, which drives load shedding, and updates the gauges
    /// when they are due.
    pub(crate) fn record_tick(&self, late_ms: f64) {
        let now = self.now();
        let mut load_shedder = self.load_shedder.get();
        if load_shedder.record_tick(now, late_ms) {
            slog::warn!(self.log, "load shedding started";
                "late_ms" => load_shedder.late_ms().round(),
                "held" => self.with_state(|it| it.in_flight()));
        }
        self.load_shedder.set(load_shedder);
        if self.next_gauge_update.get().is_due(now) {
            self.next_gauge_update.set(now.after(GAUGE_INTERVAL));
            self.log_dropped_lines();
            self.log_instance_load();
            self.update_gauges(now);
        }
        self.update_readiness();
    }

    /// Sets how many times larger the largest instance of the fleet is than this one.
    pub(crate) fn set_largest_ratio(&self, ratio: f64) {
        let mut load_shedder = self.load_shedder.get();
        load_shedder.set_largest_ratio(ratio);
        self.load_shedder.set(load_shedder);
    }

    /// Counts a message from a peer.
    pub(crate) fn record_peer_arrival(&self, arrival: PeerArrival) {
        let mut counts = self.peer_counts.get();
        match arrival {
            PeerArrival::New { missed } => {
                counts.received += 1;
                counts.missed += missed;
            }
            PeerArrival::Overtaken => counts.overtaken += 1,
            PeerArrival::Repeated => counts.repeated += 1,
        }
        self.peer_counts.set(counts);
    }

    /// Counts a connection that a caller has opened.
    pub(crate) fn record_connection(&self) {
        self.update_work_counts(|it| it.connections += 1);
    }

    /// Counts a request head that was read.
    pub(crate) fn record_head(&self) {
        self.update_work_counts(|it| it.heads += 1);
    }

    /// Counts time spent on messages from peers.
    pub(crate) fn record_note_time(&self, spent: Duration) {
        self.update_work_counts(|it| it.note_time += spent);
    }

    /// Counts a datagram from a peer that is not applied, for lack of time.
    pub(crate) fn record_datagram_skipped(&self) {
        self.update_work_counts(|it| it.datagrams_skipped += 1);
    }

    fn update_work_counts(&self, update: impl FnOnce(&mut WorkCounts)) {
        let mut counts = self.work_counts.get();
        update(&mut counts);
        self.work_counts.set(counts);
    }

    /// Whether connections are closed after their request, so that callers reconnect, possibly
    /// to another instance.
    pub(crate) fn is_shedding(&self) -> bool {
        self.shutdown.is_in_progress() || self.load_shedder.get().is_shedding(self.now())
    }

    /// Whether the request that has just arrived is rejected because tasks run late. Each call
    /// counts as one request. Requests without a team count as within their share.
    pub(crate) fn should_reject(&self, team: Option<&Team>) -> bool {
        let now = self.now();
        let mut load_shedder = self.load_shedder.get();
        let standing = team
            .map_or(Standing::WithinShare, |team| self.with_state(|it| it.standing(now, team.id)));
        let rejected = load_shedder.should_reject(standing);
        self.load_shedder.set(load_shedder);
        rejected
    }

    /// The delay after which the caller of a request that [`Core::should_reject`] rejected may
    /// retry.
    pub(crate) fn rejection_retry_delay(&self) -> Millis {
        let delay = self.load_shedder.get().retry_delay(self.now());
        let spread = self.with_state(|it| it.draw_delay(RETRY_SPREAD));
        Millis(delay.0 + spread.0)
    }

    /// Whether tasks run so late that a caller may have disconnected without being noticed
    /// yet.
    pub(crate) fn is_lagging(&self) -> bool {
        self.load_shedder.get().is_lagging()
    }

    /// The readiness flag that the balancer polls.
    pub(crate) fn ready(&self) -> &Arc<AtomicBool> {
        &self.ready
    }

    /// The store's entry that the configuration in force was read from.
    pub(crate) fn document_entry(&self) -> Option<Change> {
        self.document_entry.borrow().clone()
    }

    /// Records that the configuration in the entry has been applied just now.
    pub(crate) fn record_document_applied(&self, change: Change) {
        self.document_entry.replace(Some(change));
        self.document_applied_at.set(self.now());
        self.has_document.set(true);
        self.update_readiness();
    }

    /// Records that the store's contents were confirmed just now, by the store or by a peer.
    pub(crate) fn record_store_contact(&self) {
        self.store_contact_at.set(self.now());
    }

    /// Reports to the reducer that a server is still cold, if the head of its response says so.
    pub(crate) fn report_warmup(&self, server: ServerKey, headers: &Headers) {
        if let Some(left) = platform::warmup_left(headers).filter(|it| it.0 > 0) {
            let until = self.now().after(left);
            self.step(Event::ServerNotice { server, notice: ServerNotice::Cold { until } });
        }
    }

    /// Reports to the reducer what a server's response says of the server itself, where no caller waits for it.
    pub(crate) fn report_server_state(&self, server: ServerKey, headers: &Headers) {
        if platform::announces_drain(headers) {
            self.step(Event::ServerNotice { server, notice: ServerNotice::Draining });
        }
        self.report_warmup(server, headers);
    }

    /// When the store's contents were last confirmed.
    pub(crate) fn store_contact_at(&self) -> Timestamp {
        self.store_contact_at.get()
    }

    /// Sets the readiness flag, and logs a change of it.
    pub(crate) fn update_readiness(&self) {
        let ready = self.has_document.get() && !self.is_shedding();
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            slog::info!(self.log, "readiness changed"; "ready" => ready);
            self.metrics.ready.set(i64::from(ready));
        }
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Send { request, target } => self.deliver(request, Action::Send(target)),
            Effect::KeepWaiting { request, until } => {
                self.deliver(request, Action::KeepWaiting { until });
            }
            Effect::Refuse { request, reason, retry_after } => {
                self.deliver(request, Action::Refuse { reason, retry_after });
            }
            Effect::Fail { request, reason } => self.deliver(request, Action::Fail(reason)),
            Effect::ForwardServerError { request } => {
                self.deliver(request, Action::ForwardServerError)
            }
            Effect::ListCache { server, address } => {
                // Fails only if the receiving task has ended because the daemon shuts down.
                let _ = self.server_calls.cache_lists.send((server, address));
            }
            Effect::CheckHealth { server, address, path } => {
                // As above.
                let _ = self.server_calls.health_checks.send(HealthCheck { server, address, path });
            }
            Effect::Log(decision) => self.log_decision(decision),
        }
    }

    fn deliver(&self, request: RequestId, action: Action) {
        if let Some(tx) = self.in_flight.borrow().get(&request) {
            // Fails if the receiver was dropped with its guard, which has informed the reducer.
            let _ = tx.send(action);
        }
    }
}

impl RequestGuard {
    /// Steps the reducer with an event of this request and waits for the resulting action.
    pub(crate) async fn next_action(&mut self, event: Event) -> Option<Action> {
        self.core.step(event);
        self.actions.recv().await
    }

    /// Steps the reducer with the last event of this request.
    pub(crate) fn finish(&mut self, event: Event) {
        self.is_finished = true;
        self.core.step(event);
    }

    /// Marks a request that the reducer has already completed, so that dropping the guard does
    /// not report a disconnected caller.
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
