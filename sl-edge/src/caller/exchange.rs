//! What goes on between a request's first attempt and its answer.

use bytes::Bytes;
use sl_base::{Code, Millis, Timestamp};
use sl_http::Conn;
use sl_route::{Arrival, AttemptEnd, Event, Failure, Fault, RetryPolicy, effect::Target};

use super::{Front, Next, request::Request};
use crate::{
    attempt::{self, Sending, Upstream},
    core::{Order, Place},
    refusal::OwnAnswer,
    relay::{self, AHEAD_BYTES_MAX, Halt, Patience, Stream, WholeAnswer},
};
use platform::ServerResponse;

/// A stream's events may be apart by this many times the pause that is on time, before
/// another server goes on with it.
const GAP_FACTOR: u64 = 2;

/// How an attempt went, as far as the caller is concerned.
enum Outcome {
    /// The caller has its answer.
    Delivered { status: u16 },
    /// The attempt failed; a failure of the server's own may be passed on.
    Failed { fault: Fault, answer: Option<WholeAnswer> },
    /// The caller left.
    CallerGone,
}

/// A request that is under way.
pub(super) struct Exchange<'a> {
    request: &'a Request,
    front: &'a Front,
    conn: &'a mut Conn,
    place: Place,
    body: &'a Bytes,
    end_by: Timestamp,
    stream: Stream,
    /// A failure of a server's own, which may still be passed on.
    kept_back: Option<WholeAnswer>,
}

impl<'a> Exchange<'a> {
    /// An exchange that ends by `end_by`, whatever becomes of it.
    pub(super) fn new(
        request: &'a Request,
        front: &'a Front,
        conn: &'a mut Conn,
        place: Place,
        body: &'a Bytes,
        end_by: Timestamp,
    ) -> Exchange<'a> {
        let is_http_11 = request.head.is_http_11;
        let stream = Stream::new(request.marks.last_event_id, is_http_11, request.keeps_alive);
        Exchange { request, front, conn, place, body, end_by, stream, kept_back: None }
    }

    /// Has the request run, elsewhere again where that is allowed, and answers it.
    pub(super) async fn run(mut self, arrival: Arrival) -> Next {
        let mut event = Event::RequestArrived(Box::new(arrival));
        loop {
            let target = match self.place.ask(event).await {
                Some(Order::Send(target)) => target,
                Some(order) => {
                    self.place.close();
                    return self.finish(order).await;
                }
                None => return Next::Reset,
            };
            match self.attempt(&target).await {
                Outcome::Delivered { status } => return self.delivered(status),
                Outcome::CallerGone => {
                    self.request.note(self.front, Some(&self.place), Code::CallerGone.into(), 0);
                    return Next::Reset;
                }
                Outcome::Failed { fault, answer } => {
                    self.kept_back = answer;
                    let is_delivering = self.stream.is_begun;
                    let end = AttemptEnd::Failed { fault, is_partially_delivered: is_delivering };
                    event = Event::AttemptEnded { request: self.place.request, end };
                }
            }
        }
    }

    fn delivered(mut self, status: u16) -> Next {
        let end =
            AttemptEnd::Completed { status, event_interval_micros: self.stream.pace_micros() };
        self.place.settle(Event::AttemptEnded { request: self.place.request, end });
        self.request.note(self.front, Some(&self.place), "answered", status);
        let goes_on = match self.stream.is_begun {
            true => self.stream.keeps_alive(),
            false => self.request.keeps_alive,
        };
        if goes_on { Next::Go } else { Next::Close }
    }

    async fn attempt(&mut self, target: &Target) -> Outcome {
        let clock = self.front.core.clock;
        if self.front.core.is_lagging() && self.conn.has_ended() {
            return Outcome::CallerGone;
        }
        let request = self.request;
        let sending = Sending {
            head: &request.head,
            body: self.body,
            attempt: &request.marks.attempt_id,
            team: request.team.as_ref().map(|it| it.name.as_str()),
            end_by: self.end_by,
            last_event: self.stream.last_event.filter(|_| self.stream.has_events),
            only_fresh: !request.route.retry_policy.allows_rerun(),
            connections_max: request.connections_max,
        };
        let is_open = || self.front.core.with(|it| it.is_accepting(target.server));
        let opening = attempt::open(&self.front.pool, clock, target, sending, is_open);
        let opened = tokio::select! {
            biased;
            opened = opening => opened,
            () = self.conn.gone(AHEAD_BYTES_MAX) => return Outcome::CallerGone,
        };
        let upstream = match opened {
            Ok(upstream) => upstream,
            Err(Fault::ResponseTimeout) if self.end_by.is_due(clock.now()) => {
                return Outcome::Failed { fault: Fault::DeadlineExceeded, answer: None };
            }
            Err(fault) => return Outcome::Failed { fault, answer: None },
        };
        let is_stream = self.request.route.retry_policy.is_stream() && upstream.head.status == OK;
        match (self.stream.is_begun, is_stream) {
            (_, true) => self.pass_on(target, upstream).await,
            (false, false) => self.whole(target, upstream).await,
            (true, false) => Outcome::Failed { fault: Fault::ServerError, answer: None },
        }
    }

    async fn whole(&mut self, target: &Target, mut upstream: Upstream) -> Outcome {
        let clock = self.front.core.clock;
        let answer = match relay::collect(clock, self.conn, &mut upstream, self.end_by).await {
            Ok(answer) => answer,
            Err(Halt::CallerGone) => return Outcome::CallerGone,
            Err(Halt::Fault(fault)) => return Outcome::Failed { fault, answer: None },
        };
        self.request.begun(self.front, &self.place);
        let is_error = upstream.is_error;
        keep(self.front, target, upstream);
        if is_error
            && target.may_retry
            && self.request.route.retry_policy == RetryPolicy::Idempotent
        {
            return Outcome::Failed { fault: Fault::ServerError, answer: Some(answer) };
        }
        match self.request.write_whole(self.conn, &answer).await {
            Ok(()) => Outcome::Delivered { status: answer.head.status },
            Err(_) => Outcome::CallerGone,
        }
    }

    async fn pass_on(&mut self, target: &Target, mut upstream: Upstream) -> Outcome {
        let route = &self.request.route;
        let is_resumable = route.retry_policy == RetryPolicy::ResumableStream;
        let gap = route.target_gap.filter(|_| is_resumable && target.may_retry);
        let gap = gap.map(|it| Millis(it.0 * GAP_FACTOR));
        let patience = Patience { begin_by: target.response_deadline, end_by: self.end_by, gap };
        let clock = self.front.core.clock;
        let on_first = || self.request.begun(self.front, &self.place);
        let passing = self.stream.pass_on(clock, self.conn, &mut upstream, patience, on_first);
        match passing.await {
            Ok(()) => {
                let status = upstream.head.status;
                keep(self.front, target, upstream);
                Outcome::Delivered { status }
            }
            Err(Halt::CallerGone) => Outcome::CallerGone,
            Err(Halt::Fault(fault)) => Outcome::Failed { fault, answer: None },
        }
    }

    async fn finish(self, order: Order) -> Next {
        if self.stream.is_begun {
            self.request.note(self.front, Some(&self.place), "cut_off", 0);
            return Next::Reset;
        }
        let own = match order {
            Order::Refuse { why, retry_after } => OwnAnswer::refused(why, retry_after),
            Order::Fail(why) => OwnAnswer::failed(why),
            Order::PassOn => match self.kept_back {
                Some(answer) => {
                    self.request.note(
                        self.front,
                        Some(&self.place),
                        "server_error",
                        answer.head.status,
                    );
                    let written = self.request.write_whole(self.conn, &answer).await;
                    return self.request.next(written);
                }
                None => OwnAnswer::failed(Failure::ConnectionLost),
            },
            Order::Send(_) => return Next::Reset,
        };
        self.request.note(self.front, Some(&self.place), own.code.into(), own.code.status());
        let attempt = Some(&self.request.marks.attempt_id);
        let written = own.write(self.conn, attempt, self.request.keeps_alive).await;
        self.request.next(written)
    }
}

/// The status of a stream that begins.
const OK: u16 = 200;

/// Keeps the connection to a server for another request, where it can carry one.
fn keep(front: &Front, target: &Target, mut upstream: Upstream) {
    let is_clean = upstream.lent.conn.buffered().is_empty();
    if upstream.is_reusable && is_clean {
        let within = ServerResponse(&upstream.head).keep_alive_timeout();
        front.pool.put(target.address, upstream.lent, within);
    }
}
