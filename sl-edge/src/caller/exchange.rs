//! Runs a request's attempts and relays the response to the caller.

use bytes::Bytes;
use sl_base::{Code, Millis, Timestamp};
use sl_http::Conn;
use sl_route::{
    Arrival, AttemptEnd, Event, Failure, Fault, RetryPolicy, ServerKey, ServerNotice,
    effect::Target,
};

use super::{Disposition, Ingress, request::Request};
use crate::{
    attempt::{self, OutgoingRequest, Upstream},
    core::{Action, Core, RequestGuard},
    delivery::{self, DeliveryError},
    event_sequence::{EventSequence, IdRule},
    refusal::LocalResponse,
    relay::{self, CollectError, FullResponse, RelayDeadlines, RelayError, StreamRelay},
};
use platform::ServerResponse;

/// A stream is resumed on another server when the gap between two events exceeds the route's
/// target by this factor.
const STREAM_GAP_FACTOR: u64 = 2;

/// The result of an attempt as the caller sees it.
enum AttemptOutcome {
    /// The complete response has been written to the caller.
    Delivered { status: u16 },
    /// The attempt failed; `response` is the server's error, if it may be forwarded.
    Failed { fault: Fault, response: Option<FullResponse> },
    /// The caller does not get the rest of its response.
    Undelivered(DeliveryError),
    /// The graceful shutdown has ended before the response.
    CutOff,
    /// The server was silent, and the reducer decided on something else than waiting for it.
    Superseded { next: Option<Action> },
}

/// What the reducer decided on an attempt whose server is silent.
enum SilenceDecision {
    /// The attempt continues; the server counts as silent again at `until`.
    Wait { until: Timestamp },
    /// The attempt is given up.
    GiveUp { next: Option<Action> },
}

/// A request in progress on a caller's connection.
pub(super) struct Exchange<'a> {
    request: &'a Request,
    ingress: &'a Ingress,
    conn: &'a mut Conn,
    guard: RequestGuard,
    body: &'a Bytes,
    deadline: Timestamp,
    stream: StreamRelay,
    /// Whether a response that is no stream may have been sent in part.
    is_response_begun: bool,
    /// The error response of the last attempt, withheld because another server may be tried.
    server_error: Option<FullResponse>,
}

impl<'a> Exchange<'a> {
    /// An exchange whose attempts all end by `deadline`.
    pub(super) fn new(
        request: &'a Request,
        ingress: &'a Ingress,
        conn: &'a mut Conn,
        guard: RequestGuard,
        body: &'a Bytes,
        deadline: Timestamp,
    ) -> Exchange<'a> {
        // Elsewhere the caller's last event says nothing about the server's response.
        let events = match request.route.retry_policy {
            RetryPolicy::ResumableStream => {
                EventSequence::new(IdRule::Required, request.metadata.last_event_id)
            }
            _ => EventSequence::new(IdRule::AsFirst, None),
        };
        let memory = ingress.response_memory.share();
        let stream =
            StreamRelay::new(events, request.head.is_http_11, request.keeps_alive.get(), memory);
        Exchange {
            request,
            ingress,
            conn,
            guard,
            body,
            deadline,
            stream,
            is_response_begun: false,
            server_error: None,
        }
    }

    /// Runs the request, with retries on other servers as the reducer decides, and responds.
    pub(super) async fn run(mut self, arrival: Arrival) -> Disposition {
        let shutdown = &self.ingress.core.shutdown;
        let mut next = self.guard.next_action(Event::RequestArrived(Box::new(arrival))).await;
        loop {
            let target = match next {
                Some(Action::Send(target)) => target,
                Some(action) => {
                    self.guard.mark_finished();
                    return self.finish(action).await;
                }
                None => return Disposition::Reset,
            };
            let outcome = tokio::select! {
                biased;
                outcome = self.attempt(&target) => outcome,
                () = shutdown.termination_started() => AttemptOutcome::CutOff,
            };
            next = match outcome {
                AttemptOutcome::CutOff => return self.finish_for_shutdown().await,
                AttemptOutcome::Superseded { next } => next,
                AttemptOutcome::Delivered { status } => return self.complete(status),
                AttemptOutcome::Undelivered(reason) => {
                    self.request.record_undelivered(self.ingress, &self.guard, reason);
                    return Disposition::Reset;
                }
                AttemptOutcome::Failed { fault, response } => {
                    self.server_error = response;
                    let is_partially_delivered = self.stream.is_head_sent;
                    let end = AttemptEnd::Failed { fault, is_partially_delivered };
                    let request = self.guard.request;
                    self.guard.next_action(Event::AttemptEnded { request, end }).await
                }
            };
        }
    }

    /// Reports a delivered response to the reducer and the metrics.
    fn complete(mut self, status: u16) -> Disposition {
        let end = AttemptEnd::Completed {
            status,
            event_interval_micros: self.stream.event_interval_micros(),
        };
        self.guard.finish(Event::AttemptEnded { request: self.guard.request, end });
        self.request.record_end(self.ingress, Some(&self.guard), "answered", status);
        let keeps_alive = match self.stream.is_head_sent {
            true => self.stream.keeps_alive(),
            false => self.request.keeps_alive.get(),
        };
        if keeps_alive { Disposition::KeepAlive } else { Disposition::Close }
    }

    /// Makes one attempt on `target`.
    async fn attempt(&mut self, target: &Target) -> AttemptOutcome {
        let clock = self.ingress.core.clock;
        if self.ingress.core.is_lagging() && self.conn.is_closed_by_peer() {
            return AttemptOutcome::Undelivered(delivery::connection_error(self.conn));
        }
        let request = self.request;
        let outgoing = OutgoingRequest {
            head: &request.head,
            body: self.body,
            attempt_id: &request.metadata.attempt_id,
            team: request.team.as_ref().map(|it| it.name.as_str()),
            deadline: self.deadline,
            last_event_id: self.stream.last_event_id(),
            only_fresh: !request.route.retry_policy.allows_rerun(),
            max_connections: request.max_connections(self.ingress),
            memory: &self.ingress.response_memory,
        };
        let core = &self.ingress.core;
        let is_accepting = || core.with_state(|it| it.is_accepting(clock.now(), target.server));
        let sent_at = clock.now();
        let on_response =
            |response: ServerResponse<'_>| report_notices(core, target, sent_at, response);
        let sending =
            attempt::send(&self.ingress.pool, clock, target, outgoing, is_accepting, on_response);
        let mut sending = std::pin::pin!(sending);
        let mut silent_at = target.silent_at;
        let sent = loop {
            tokio::select! {
                biased;
                sent = &mut sending => break sent,
                reason = self.stream.undelivered(clock, self.conn) => {
                    return AttemptOutcome::Undelivered(reason);
                }
                () = clock.reached(silent_at), if silent_at < self.deadline => {}
            }
            match self.report_silence().await {
                SilenceDecision::Wait { until } => silent_at = until,
                SilenceDecision::GiveUp { next } => return AttemptOutcome::Superseded { next },
            }
        };
        let upstream = match sent {
            Ok(upstream) => upstream,
            Err(fault) => return AttemptOutcome::Failed { fault, response: None },
        };
        let is_ok = upstream.head.status == STATUS_OK;
        // A response to HEAD has no body, so it has no events either.
        let is_stream = self.request.route.retry_policy.is_stream()
            && is_ok
            && !self.request.head.is_head()
            && ServerResponse(&upstream.head).is_event_stream();
        match (self.stream.is_head_sent, is_stream) {
            (_, true) => self.relay_stream(target, upstream, silent_at).await,
            (false, false) => self.relay_full(target, upstream).await,
            (true, false) => {
                let fault = if is_ok { Fault::InvalidResponse } else { Fault::ServerError };
                AttemptOutcome::Failed { fault, response: None }
            }
        }
    }

    /// Asks the reducer what to do about an attempt whose server is silent.
    async fn report_silence(&mut self) -> SilenceDecision {
        let request = self.guard.request;
        let is_partially_delivered = self.stream.is_head_sent;
        let event = Event::AttemptSilent { request, is_partially_delivered };
        match self.guard.next_action(event).await {
            Some(Action::KeepWaiting { until }) => SilenceDecision::Wait { until },
            next => SilenceDecision::GiveUp { next },
        }
    }

    /// Reads a whole response and writes it to the caller, unless it is an error that may be
    /// retried on another server.
    async fn relay_full(&mut self, target: &Target, mut upstream: Upstream) -> AttemptOutcome {
        let clock = self.ingress.core.clock;
        let collecting = relay::collect(clock, self.conn, &mut upstream, self.deadline);
        let response = match collecting.await {
            Ok(response) => response,
            Err(CollectError::CallerDisconnected) => {
                return AttemptOutcome::Undelivered(delivery::connection_error(self.conn));
            }
            Err(CollectError::Fault(fault)) => {
                return AttemptOutcome::Failed { fault, response: None };
            }
        };
        self.request.record_first_byte(self.ingress, &self.guard);
        let is_error = upstream.is_error;
        return_to_pool(self.ingress, target, upstream);
        if is_error
            && target.may_retry
            && self.request.route.retry_policy == RetryPolicy::Idempotent
        {
            return AttemptOutcome::Failed { fault: Fault::ServerError, response: Some(response) };
        }
        self.request.decide_keep_alive(self.ingress, self.conn);
        self.is_response_begun = true;
        match self.request.write_response(self.ingress, self.conn, &response).await {
            Ok(()) => AttemptOutcome::Delivered { status: response.head.status },
            Err(reason) => AttemptOutcome::Undelivered(reason),
        }
    }

    /// Relays a stream of events to the caller as they arrive. The server counts as silent at
    /// `silent_at` unless an event arrives before.
    async fn relay_stream(
        &mut self,
        target: &Target,
        mut upstream: Upstream,
        mut silent_at: Timestamp,
    ) -> AttemptOutcome {
        let route = &self.request.route;
        let is_resumable = route.retry_policy == RetryPolicy::ResumableStream;
        let event_gap = route.target_gap.filter(|_| is_resumable && target.may_retry);
        let event_gap = event_gap.map(|it| Millis(it.0 * STREAM_GAP_FACTOR));
        let clock = self.ingress.core.clock;
        self.stream.begin_response();
        loop {
            let deadlines = RelayDeadlines { silent_at, stream_deadline: self.deadline, event_gap };
            let on_first_event = |caller: &mut Conn| {
                self.request.record_first_byte(self.ingress, &self.guard);
                self.request.decide_keep_alive(self.ingress, caller)
            };
            let relaying =
                self.stream.relay(clock, self.conn, &mut upstream, deadlines, on_first_event);
            match relaying.await {
                Ok(()) => {
                    let status = upstream.head.status;
                    return_to_pool(self.ingress, target, upstream);
                    let deadline = self.request.caller_deadline();
                    return match self.stream.deliver(clock, self.conn, deadline).await {
                        Ok(()) => AttemptOutcome::Delivered { status },
                        Err(reason) => AttemptOutcome::Undelivered(reason),
                    };
                }
                Err(RelayError::Silent) => match self.report_silence().await {
                    SilenceDecision::Wait { until } => silent_at = until,
                    SilenceDecision::GiveUp { next } => return AttemptOutcome::Superseded { next },
                },
                Err(RelayError::Undelivered(reason)) => return AttemptOutcome::Undelivered(reason),
                Err(RelayError::Fault(fault)) => {
                    return AttemptOutcome::Failed { fault, response: None };
                }
            }
        }
    }

    /// Responds to a request that no server is to run any more.
    async fn finish(self, action: Action) -> Disposition {
        if self.request.is_cut_short && matches!(action, Action::Fail(Failure::Timeout)) {
            return self.finish_for_shutdown().await;
        }
        if self.stream.is_head_sent {
            self.request.record_end(self.ingress, Some(&self.guard), "cut_off", 0);
            return Disposition::Reset;
        }
        let local = match action {
            Action::Refuse { reason, retry_after } => LocalResponse::refused(reason, retry_after),
            Action::Fail(reason) => LocalResponse::failed(reason),
            Action::ForwardServerError => match self.server_error {
                Some(response) => {
                    self.request.record_end(
                        self.ingress,
                        Some(&self.guard),
                        "server_error",
                        response.head.status,
                    );
                    let written =
                        self.request.write_response(self.ingress, self.conn, &response).await;
                    return self.request.disposition(self.ingress, written);
                }
                None => LocalResponse::failed(Failure::ConnectionLost),
            },
            Action::Send(_) | Action::KeepWaiting { .. } => return Disposition::Reset,
        };
        let keeps_alive = self.request.decide_keep_alive(self.ingress, self.conn);
        self.respond(local, keeps_alive).await
    }

    /// Responds to a request that the end of a graceful shutdown leaves without a server's
    /// response.
    async fn finish_for_shutdown(self) -> Disposition {
        self.ingress.core.shutdown.record_cut();
        if self.stream.is_head_sent || self.is_response_begun {
            self.request.record_end(self.ingress, Some(&self.guard), "cut_off", 0);
            return Disposition::Reset;
        }
        self.respond(LocalResponse::of(Code::InstanceStopped), false).await
    }

    /// Sends a response of this instance's own.
    async fn respond(self, local: LocalResponse, keeps_alive: bool) -> Disposition {
        let (code, status) = (local.code.into(), local.code.status());
        self.request.record_end(self.ingress, Some(&self.guard), code, status);
        let attempt_id = Some(&self.request.metadata.attempt_id);
        let is_head = self.request.head.is_head();
        let deadline = self.request.caller_deadline();
        let clock = self.ingress.core.clock;
        let memory = &self.ingress.response_memory.share();
        let response = local.encode(attempt_id, is_head, keeps_alive);
        match delivery::deliver(clock, self.conn, deadline, memory, response).await {
            Ok(()) if keeps_alive => Disposition::KeepAlive,
            Ok(()) => Disposition::Close,
            Err(reason) => {
                self.request.log_undelivered(self.ingress, reason);
                Disposition::Reset
            }
        }
    }
}

/// Reports to the reducer what the server asks for in the head of its response.
fn report_notices(core: &Core, target: &Target, sent_at: Timestamp, response: ServerResponse<'_>) {
    let server = target.server;
    report_limit(core, server, sent_at, response);
    core.report_warmup(server, &response.0.headers);
    if response.announces_drain() {
        core.step(Event::ServerNotice { server, notice: ServerNotice::Draining });
    }
    match response.retry_after() {
        Ok(Some(pause)) => {
            let until = core.now().after(pause);
            core.step(Event::ServerNotice { server, notice: ServerNotice::Pause { until } });
        }
        Ok(None) => {}
        Err(e) => core.warn_malformed("server response", &e),
    }
}

/// Reports the limit that a server names, or that it names none although it did before. A response
/// that turns the request away may lack the limit while it holds.
fn report_limit(core: &Core, server: ServerKey, sent_at: Timestamp, response: ServerResponse<'_>) {
    let notice = match response.request_limit() {
        Ok(Some(per_second)) => ServerNotice::Limit { per_second },
        Ok(None) if response.is_sealed() && core.with_state(|it| it.is_limited(server)) => {
            ServerNotice::NoLimit { sent_at }
        }
        Ok(None) => return,
        Err(e) => return core.warn_malformed("server response", &e),
    };
    core.step(Event::ServerNotice { server, notice });
}

/// Only responses with this status are relayed as streams.
const STATUS_OK: u16 = 200;

/// Returns the connection to the pool if it can carry another request.
fn return_to_pool(ingress: &Ingress, target: &Target, mut upstream: Upstream) {
    let is_clean = upstream.pooled.conn.buffered().is_empty();
    if upstream.is_reusable && is_clean {
        let keep_alive = ServerResponse(&upstream.head).keep_alive_timeout();
        ingress.pool.release(target.address, upstream.pooled, keep_alive);
    }
}
