//! One request, from its head to its response.

use std::{cell::Cell, sync::Arc};

use bytes::Bytes;
use sl_base::{Code, Millis, ServiceId, Timestamp};
use sl_http::{Conn, RequestHead};
use sl_report::Sample;
use sl_route::{
    Arrival, Document, Event, Prompt, RetryPolicy, Route, Team, activity::TokenOutcome,
    shutdown::Candidate, stream_origin::StreamRequest,
};
use slog::{info, warn};

use super::{Disposition, Ingress, exchange::Exchange};
use crate::{
    core::RequestGuard,
    delivery::DeliveryError,
    log::{Admitted, Line, RequestEnd},
    metrics::name_label,
    refusal::LocalResponse,
    relay::FullResponse,
};
use platform::RequestMetadata;

/// A request whose route and team have been resolved.
pub(super) struct Request {
    pub(super) head: RequestHead,
    pub(super) metadata: RequestMetadata,
    pub(super) route: Arc<Route>,
    /// The service that runs the request, drawn from those of the route.
    service: ServiceId,
    /// What the request asks for, if the route serves resumable streams.
    stream: Option<StreamRequest>,
    pub(super) team: Option<Arc<Team>>,
    arrived_at: Timestamp,
    /// Whether the connection stays open after the response.
    pub(super) keeps_alive: Cell<bool>,
    /// Whether a shutdown leaves the request less time than it has otherwise.
    pub(super) is_cut_short: bool,
    first_byte_at: Cell<Option<Timestamp>>,
}

/// Retry delay sent to callers that another instance serves better: this one shuts down, and the balancer
/// sends new connections to others by then, or it is cut off from them.
const RETRY_ELSEWHERE_AFTER: Millis = Millis(10);

/// Time limit of a request whose caller states none.
pub(super) const CALLER_TIMEOUT_DEFAULT: Millis = Millis(30_000);

impl Request {
    /// Resolves the route, the team and the service of a request.
    pub(super) fn resolve(
        ingress: &Ingress,
        document: &Document,
        head: RequestHead,
    ) -> Result<Request, Code> {
        if document.version == 0 {
            return Err(Code::NoConfiguration);
        }
        let host = head.headers.only("host").ok_or(Code::Malformed)?;
        let path = std::str::from_utf8(&head.target).map_err(|_| Code::Malformed)?;
        let path = path.split('?').next().unwrap_or_default();
        // The route decides whether a request may be repeated, so the path must have one reading.
        if sl_http::has_dot_segment(path) {
            return Err(Code::Malformed);
        }
        let route = document.route(host, path).ok_or(Code::UnknownRoute)?.clone();
        let metadata = RequestMetadata::try_from(&head.headers).map_err(|e| {
            warn!(ingress.core.log, "invalid request header";
                "route" => &route.name, "reason" => %e);
            Code::HeaderInvalid
        })?;
        let team = resolve_team(document, &route, &metadata)?;
        let service = ingress.core.with_state(|it| it.draw_service(&route.services));
        let service = service.ok_or(Code::NoServer)?;
        let is_resumable = route.retry_policy == RetryPolicy::ResumableStream;
        let stream = is_resumable.then(|| metadata.stream_request());
        let keeps_alive = head.keeps_alive();
        let arrived_at = ingress.core.now();
        Ok(Request {
            head,
            metadata,
            route,
            service,
            stream,
            team,
            arrived_at,
            keeps_alive: Cell::new(keeps_alive),
            is_cut_short: false,
            first_byte_at: Cell::new(None),
        })
    }

    /// The response to a request that cannot be expected to complete before this instance
    /// exits.
    pub(super) fn reject_for_shutdown(&self, ingress: &Ingress) -> LocalResponse {
        let code = Code::Draining;
        ingress.core.shutdown.record_refused();
        self.record_early_end(ingress, TokenOutcome::Stopping);
        self.record_end(ingress, None, code.into(), code.status());
        LocalResponse { code, retry_after: Some(RETRY_ELSEWHERE_AFTER) }
    }

    /// The response to a request whose body was not received, for the reason that `code` names.
    pub(super) fn reject_unread(&self, ingress: &Ingress, code: Code) -> LocalResponse {
        self.record_early_end(ingress, TokenOutcome::Unread);
        self.record_end(ingress, None, code.into(), code.status());
        LocalResponse::of(code)
    }

    /// Counts the tokens of a request that ends before it can be sent to a server.
    fn record_early_end(&self, ingress: &Ingress, outcome: TokenOutcome) {
        if let Some(team) = &self.team {
            let (team, tokens) = (team.clone(), self.tokens());
            ingress.core.step(Event::RequestEndedEarly { team, tokens, outcome });
        }
    }

    /// The tokens that the request counts against its team's share.
    fn tokens(&self) -> u32 {
        self.metadata.prompt.as_ref().map_or(0, Prompt::charge)
    }

    /// The response to a request that is shed because this instance is overloaded.
    pub(super) fn reject_for_overload(&self, ingress: &Ingress) -> LocalResponse {
        let code = Code::InstanceFull;
        if let Some(team) = &self.team {
            let (team, tokens) = (team.clone(), self.tokens());
            ingress.core.step(Event::RequestShed { team, tokens });
        }
        self.record_end(ingress, None, code.into(), code.status());
        LocalResponse { code, retry_after: Some(ingress.core.rejection_retry_delay()) }
    }

    /// Whether the request will be answered before this instance exits.
    pub(super) fn is_accepted(&self, ingress: &Ingress) -> bool {
        let candidate = Candidate {
            arrived_at: self.arrived_at,
            deadline: self.due_at(),
            is_resumable: self.stream.is_some(),
        };
        ingress.core.shutdown.accepts(ingress.core.now(), candidate)
    }

    /// Runs the request and responds to it.
    pub(super) async fn run(
        mut self,
        ingress: &Ingress,
        conn: &mut Conn,
        guard: RequestGuard,
        body: Bytes,
    ) -> Disposition {
        // Not decided earlier: a shutdown may have started while the body was received.
        self.keeps_alive.set(self.keeps_alive.get() && !ingress.core.is_shedding());
        let arrival = self.arrival(ingress, &guard, &body);
        ingress.core.shutdown.record_accepted(ingress.core.now());
        self.log_admitted(ingress, &guard, &arrival);
        let deadline = arrival.deadline();
        self.is_cut_short = deadline < self.due_at();
        let exchange = Exchange::new(&self, ingress, conn, guard, &body, deadline);
        exchange.run(arrival).await
    }

    /// Whether the caller has a part of the stream already.
    pub(super) fn is_resumed(&self) -> bool {
        self.stream.is_some_and(StreamRequest::is_resumed)
    }

    /// Finds out where the stream began that the request resumes, and goes on at that service.
    ///
    /// # Errors
    ///
    /// The response to the request if that cannot be found out, because neither peers nor the store
    /// respond.
    pub(super) async fn locate_stream(
        mut self,
        ingress: &Ingress,
    ) -> Result<Request, LocalResponse> {
        let Some(stream) = self.stream.filter(|it| it.is_resumed()) else {
            return Ok(self);
        };
        if !ingress.stream_locator.locate(&self.route, stream).await {
            let code = Code::OriginUnknown;
            self.record_early_end(ingress, TokenOutcome::Unlocated);
            self.record_end(ingress, None, code.into(), code.status());
            return Err(LocalResponse { code, retry_after: Some(RETRY_ELSEWHERE_AFTER) });
        }
        let service = ingress.core.with_state(|it| it.service_of_stream(&self.route, stream));
        self.service = service.unwrap_or(self.service);
        Ok(self)
    }

    /// When the response is due, whether a shutdown is in progress or not.
    fn due_at(&self) -> Timestamp {
        self.caller_deadline().min(self.arrived_at.after(self.route.timeout))
    }

    /// Decides, when the response begins, whether the connection stays open after it. The decision
    /// of the arrival may be outdated: a shutdown may have started since. A next request that has
    /// arrived meanwhile is served first, as its caller could not know.
    pub(super) fn decide_keep_alive(&self, ingress: &Ingress, conn: &mut Conn) -> bool {
        let stays_open = !ingress.core.is_shedding() || !conn.buffered().is_empty();
        self.keeps_alive.set(self.keeps_alive.get() && stays_open);
        self.keeps_alive.get()
    }

    /// When the caller stops waiting for its response.
    pub(super) fn caller_deadline(&self) -> Timestamp {
        self.arrived_at.after(self.metadata.timeout.unwrap_or(CALLER_TIMEOUT_DEFAULT))
    }

    /// Connections that this instance may have open to one server of the request's service.
    pub(super) fn max_connections(&self, ingress: &Ingress) -> usize {
        ingress.core.with_state(|it| it.connections_max(self.service))
    }

    fn log_admitted(&self, ingress: &Ingress, guard: &RequestGuard, arrival: &Arrival) {
        let line = Line::Admitted(Admitted {
            request: guard.request,
            attempt_id: lossy_text(&self.metadata.attempt_id),
            route: self.route.clone(),
            team: self.team.clone(),
            document_version: ingress.core.document().version,
            remaining_ms: arrival.deadline().remaining(self.arrived_at).0,
            input_tokens: arrival.prompt.as_ref().map(|it| it.input_tokens),
            last_event_id: self.metadata.last_event_id,
            resumes: self.metadata.resumes.clone(),
            shutdown_ms: ingress.core.shutdown.age_ms(ingress.core.now()),
        });
        ingress.core.log_request_line(guard.request, line);
    }

    fn arrival(&self, ingress: &Ingress, guard: &RequestGuard, body: &Bytes) -> Arrival {
        Arrival {
            request: guard.request,
            route: self.route.clone(),
            service: self.service,
            team: self.team.clone(),
            arrived_at: self.arrived_at,
            caller_deadline: ingress.core.shutdown.cap(self.caller_deadline()),
            prompt: self.metadata.prompt.clone(),
            body_bytes: body.len() as u64,
            fingerprint: self.fingerprint(body),
            stream: self.stream,
        }
    }

    /// Identifies identical requests of a team, by a hash of target, team and body.
    fn fingerprint(&self, body: &Bytes) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.head.target);
        if let Some(team) = &self.team {
            hasher.update(team.name.as_bytes());
        }
        hasher.update(body);
        let hash = hasher.finalize();
        let mut bytes = [0; size_of::<u64>()];
        bytes.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        u64::from_le_bytes(bytes)
    }

    /// Records that the response has started.
    pub(super) fn record_first_byte(&self, ingress: &Ingress, guard: &RequestGuard) {
        let now = ingress.core.now();
        self.first_byte_at.set(Some(now));
        let waited = now.micros_since(self.arrived_at) as f64 / MICROS_PER_SECOND;
        let label = name_label(&self.route.name);
        ingress.core.metrics.first_byte.get_or_create(&label).observe(waited);
        ingress.core.step(Event::ResponseStarted { request: guard.request });
    }

    /// Writes a response that is no stream, which the caller may read until its deadline.
    ///
    /// # Errors
    ///
    /// If the caller does not get the whole response.
    pub(super) async fn write_response(
        &self,
        ingress: &Ingress,
        conn: &mut Conn,
        response: &FullResponse,
    ) -> Result<(), DeliveryError> {
        let (clock, deadline) = (ingress.core.clock, self.caller_deadline());
        response.write(clock, conn, deadline, self.head.is_head(), self.keeps_alive.get()).await
    }

    pub(super) fn disposition(
        &self,
        ingress: &Ingress,
        written: Result<(), DeliveryError>,
    ) -> Disposition {
        match written {
            Ok(()) if self.keeps_alive.get() => Disposition::KeepAlive,
            Ok(()) => Disposition::Close,
            Err(reason) => {
                self.log_undelivered(ingress, reason);
                Disposition::Reset
            }
        }
    }

    /// Records the end of a request whose caller did not get the whole response.
    pub(super) fn record_undelivered(
        &self,
        ingress: &Ingress,
        guard: &RequestGuard,
        reason: DeliveryError,
    ) {
        self.log_undelivered(ingress, reason);
        self.record_end(ingress, Some(guard), Code::CallerGone.into(), 0);
    }

    /// Counts why the caller did not get the whole response, and logs it unless the caller chose so.
    pub(super) fn log_undelivered(&self, ingress: &Ingress, reason: DeliveryError) {
        let is_own_choice = reason == DeliveryError::CallerClosed;
        let reason: &'static str = reason.into();
        if !is_own_choice {
            info!(ingress.core.log, "response not delivered";
                "id" => lossy_text(&self.metadata.attempt_id), "why" => reason);
        }
        ingress.core.metrics.undelivered.get_or_create(&name_label(reason)).inc();
    }

    /// Records the request in the burn report, if its outcome counts there.
    fn record_sample(&self, ingress: &Ingress, outcome: &str) {
        let sample = match (outcome.parse::<Code>(), self.first_byte_at.get()) {
            (Ok(code), _) => Sample::of(code),
            (Err(_), Some(at)) => {
                let first_byte_ms = at.micros_since(self.arrived_at) / MICROS_PER_MILLI;
                Some(Sample::Answered { first_byte_ms })
            }
            (Err(_), None) => None,
        };
        if let Some(sample) = sample {
            let now = ingress.core.now();
            ingress.core.recorder.record(now, self.team_name(), &self.route.name, sample);
        }
    }

    /// Records the outcome of the request in the metrics, the burn report and the log. `guard`
    /// is `None` if the request was rejected before it was registered.
    pub(super) fn record_end(
        &self,
        ingress: &Ingress,
        guard: Option<&RequestGuard>,
        outcome: &str,
        status: u16,
    ) {
        let elapsed_micros = ingress.core.now().micros_since(self.arrived_at);
        let seconds = elapsed_micros as f64 / MICROS_PER_SECOND;
        ingress.core.metrics.record_request(&self.route.name, self.team_name(), outcome, seconds);
        self.record_sample(ingress, outcome);
        let end = RequestEnd {
            attempt_id: &lossy_text(&self.metadata.attempt_id),
            outcome,
            status,
            took_ms: elapsed_micros / MICROS_PER_MILLI,
            is_notable: !SUCCESS_STATUSES.contains(&status) || self.is_late(),
        };
        ingress.core.log_request_end(guard.map(|it| it.request), &end);
    }

    /// The team's name; empty without a team.
    fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", |it| &it.name)
    }

    /// Whether the first byte came after the route's target latency, or not at all.
    fn is_late(&self) -> bool {
        let due = self.arrived_at.after(self.route.target_latency);
        self.first_byte_at.get().is_none_or(|it| due.is_due(it))
    }
}

fn resolve_team(
    document: &Document,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Arc<Team>>, Code> {
    if !document.requires_keys {
        return Ok(None);
    }
    match metadata.api_key.as_deref().and_then(|it| document.team(it)) {
        Some(team) => Ok(Some(team.clone())),
        None if route.allows_anonymous => Ok(None),
        None => Err(Code::UnknownCredential),
    }
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Requests that end with other statuses count as failed, so that all of their lines are
/// logged.
const SUCCESS_STATUSES: std::ops::Range<u16> = 200..400;

const MICROS_PER_SECOND: f64 = 1_000_000.0;

const MICROS_PER_MILLI: u64 = 1_000;
