//! What goes on between a request's first attempt and its answer.

use bytes::Bytes;
use sl_base::{Code, Millis, Timestamp};
use sl_http::Conn;
use sl_route::{Arrival, AttemptEnd, Event, Failure, Fault, RetryPolicy, effect::Target};

use super::{Disposition, Ingress, request::Request};
use crate::{
    attempt::{self, OutgoingRequest, Upstream},
    core::{Action, RequestGuard},
    refusal::LocalResponse,
    relay::{self, FullResponse, PIPELINED_BYTES_MAX, RelayDeadlines, RelayError, StreamRelay},
};
use platform::ServerResponse;

/// A stream's events may be apart by this many times the pause that is on time, before
/// another server goes on with it.
const STREAM_GAP_FACTOR: u64 = 2;

/// How an attempt went, as far as the caller is concerned.
enum AttemptOutcome {
    /// The caller has its answer.
    Delivered { status: u16 },
    /// The attempt failed; a failure of the server's own may be passed on.
    Failed { fault: Fault, response: Option<FullResponse> },
    /// The caller left.
    CallerGone,
}

/// A request that is under way.
pub(super) struct Exchange<'a> {
    request: &'a Request,
    ingress: &'a Ingress,
    conn: &'a mut Conn,
    guard: RequestGuard,
    body: &'a Bytes,
    end_by: Timestamp,
    stream: StreamRelay,
    /// A failure of a server's own, which may still be passed on.
    server_error: Option<FullResponse>,
}

impl<'a> Exchange<'a> {
    /// An exchange that ends by `end_by`, whatever becomes of it.
    pub(super) fn new(
        request: &'a Request,
        ingress: &'a Ingress,
        conn: &'a mut Conn,
        guard: RequestGuard,
        body: &'a Bytes,
        end_by: Timestamp,
    ) -> Exchange<'a> {
        let is_http_11 = request.head.is_http_11;
        let stream =
            StreamRelay::new(request.metadata.last_event_id, is_http_11, request.keeps_alive);
        Exchange { request, ingress, conn, guard, body, end_by, stream, server_error: None }
    }

    /// Has the request run, elsewhere again where that is allowed, and answers it.
    pub(super) async fn run(mut self, arrival: Arrival) -> Disposition {
        let mut event = Event::RequestArrived(Box::new(arrival));
        loop {
            let target = match self.guard.next_action(event).await {
                Some(Action::Send(target)) => target,
                Some(action) => {
                    self.guard.mark_finished();
                    return self.finish(action).await;
                }
                None => return Disposition::Reset,
            };
            match self.attempt(&target).await {
                AttemptOutcome::Delivered { status } => return self.complete(status),
                AttemptOutcome::CallerGone => {
                    self.request.record_end(
                        self.ingress,
                        Some(&self.guard),
                        Code::CallerGone.into(),
                        0,
                    );
                    return Disposition::Reset;
                }
                AttemptOutcome::Failed { fault, response } => {
                    self.server_error = response;
                    let is_delivering = self.stream.is_head_sent;
                    let end = AttemptEnd::Failed { fault, is_partially_delivered: is_delivering };
                    event = Event::AttemptEnded { request: self.guard.request, end };
                }
            }
        }
    }

    fn complete(mut self, status: u16) -> Disposition {
        let end =
            AttemptEnd::Completed { status, event_interval_micros: self.stream.pace_micros() };
        self.guard.finish(Event::AttemptEnded { request: self.guard.request, end });
        self.request.record_end(self.ingress, Some(&self.guard), "answered", status);
        let keeps_alive = match self.stream.is_head_sent {
            true => self.stream.keeps_alive(),
            false => self.request.keeps_alive,
        };
        if keeps_alive { Disposition::KeepAlive } else { Disposition::Close }
    }

    async fn attempt(&mut self, target: &Target) -> AttemptOutcome {
        let clock = self.ingress.core.clock;
        if self.ingress.core.is_lagging() && self.conn.has_ended() {
            return AttemptOutcome::CallerGone;
        }
        let request = self.request;
        let outgoing = OutgoingRequest {
            head: &request.head,
            body: self.body,
            attempt_id: &request.metadata.attempt_id,
            team: request.team.as_ref().map(|it| it.name.as_str()),
            end_by: self.end_by,
            last_event_id: self.stream.last_event_id.filter(|_| self.stream.has_sent_events),
            only_fresh: !request.route.retry_policy.allows_rerun(),
            connections_max: request.connections_max,
        };
        let is_available = || self.ingress.core.with_state(|it| it.is_accepting(target.server));
        let sending = attempt::send(&self.ingress.pool, clock, target, outgoing, is_available);
        let sent = tokio::select! {
            biased;
            sent = sending => sent,
            () = self.conn.gone(PIPELINED_BYTES_MAX) => return AttemptOutcome::CallerGone,
        };
        let upstream = match sent {
            Ok(upstream) => upstream,
            Err(Fault::ResponseTimeout) if self.end_by.is_due(clock.now()) => {
                return AttemptOutcome::Failed { fault: Fault::DeadlineExceeded, response: None };
            }
            Err(fault) => return AttemptOutcome::Failed { fault, response: None },
        };
        let is_stream = self.request.route.retry_policy.is_stream() && upstream.head.status == OK;
        match (self.stream.is_head_sent, is_stream) {
            (_, true) => self.relay_stream(target, upstream).await,
            (false, false) => self.relay_full(target, upstream).await,
            (true, false) => AttemptOutcome::Failed { fault: Fault::ServerError, response: None },
        }
    }

    async fn relay_full(&mut self, target: &Target, mut upstream: Upstream) -> AttemptOutcome {
        let clock = self.ingress.core.clock;
        let response = match relay::collect(clock, self.conn, &mut upstream, self.end_by).await {
            Ok(response) => response,
            Err(RelayError::CallerGone) => return AttemptOutcome::CallerGone,
            Err(RelayError::Fault(fault)) => {
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
        match self.request.write_response(self.conn, &response).await {
            Ok(()) => AttemptOutcome::Delivered { status: response.head.status },
            Err(_) => AttemptOutcome::CallerGone,
        }
    }

    async fn relay_stream(&mut self, target: &Target, mut upstream: Upstream) -> AttemptOutcome {
        let route = &self.request.route;
        let is_resumable = route.retry_policy == RetryPolicy::ResumableStream;
        let gap = route.target_gap.filter(|_| is_resumable && target.may_retry);
        let gap = gap.map(|it| Millis(it.0 * STREAM_GAP_FACTOR));
        let deadlines = RelayDeadlines {
            first_event_by: target.response_deadline,
            end_by: self.end_by,
            event_gap: gap,
        };
        let clock = self.ingress.core.clock;
        let on_first_event = || self.request.record_first_byte(self.ingress, &self.guard);
        let relaying =
            self.stream.relay(clock, self.conn, &mut upstream, deadlines, on_first_event);
        match relaying.await {
            Ok(()) => {
                let status = upstream.head.status;
                return_to_pool(self.ingress, target, upstream);
                AttemptOutcome::Delivered { status }
            }
            Err(RelayError::CallerGone) => AttemptOutcome::CallerGone,
            Err(RelayError::Fault(fault)) => AttemptOutcome::Failed { fault, response: None },
        }
    }

    async fn finish(self, action: Action) -> Disposition {
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
                    let written = self.request.write_response(self.conn, &response).await;
                    return self.request.disposition(written);
                }
                None => LocalResponse::failed(Failure::ConnectionLost),
            },
            Action::Send(_) => return Disposition::Reset,
        };
        self.request.record_end(
            self.ingress,
            Some(&self.guard),
            local.code.into(),
            local.code.status(),
        );
        let attempt_id = Some(&self.request.metadata.attempt_id);
        let written = local.write(self.conn, attempt_id, self.request.keeps_alive).await;
        self.request.disposition(written)
    }
}

/// The status of a stream that begins.
const OK: u16 = 200;

/// Keeps the connection to a server for another request, where it can carry one.
fn return_to_pool(ingress: &Ingress, target: &Target, mut upstream: Upstream) {
    let is_clean = upstream.pooled.conn.buffered().is_empty();
    if upstream.is_reusable && is_clean {
        let keep_alive = ServerResponse(&upstream.head).keep_alive_timeout();
        ingress.pool.release(target.address, upstream.pooled, keep_alive);
    }
}
