//! One request from its head to its answer.

use std::{cell::Cell, sync::Arc};

use bytes::Bytes;
use sl_base::{Code, Millis, PoolId, Timestamp};
use sl_http::{Conn, RequestHead};
use sl_report::Sample;
use sl_route::{Arrival, Document, Event, Route, Team};
use slog::warn;

use super::{Front, Next, exchange::Exchange};
use crate::{
    core::Place,
    log::{Admitted, Line, RequestEnd},
    refusal::OwnAnswer,
    relay::WholeAnswer,
};
use platform::RequestMetadata;

/// A request whose route and team are known.
pub(super) struct Request {
    pub(super) head: RequestHead,
    pub(super) marks: RequestMetadata,
    pub(super) route: Arc<Route>,
    service: PoolId,
    pub(super) team: Option<Arc<Team>>,
    arrived: Timestamp,
    pub(super) keeps_alive: bool,
    pub(super) connections_max: usize,
    first_byte_at: Cell<Option<Timestamp>>,
}

/// A caller may come back to another instance at once.
const ELSEWHERE_AFTER: Millis = Millis(10);

/// How long a caller waits that does not say.
const CALLER_WITHIN: Millis = Millis(30_000);

impl Request {
    /// Finds the route and the team of a request.
    pub(super) fn read(
        front: &Front,
        document: &Document,
        head: RequestHead,
    ) -> Result<Request, Code> {
        if document.version == 0 {
            return Err(Code::NoConfiguration);
        }
        let host = head.headers.only("host").ok_or(Code::Malformed)?;
        let path = std::str::from_utf8(&head.target).map_err(|_| Code::Malformed)?;
        let path = path.split('?').next().unwrap_or_default();
        let route = document.route(host, path).ok_or(Code::UnknownRoute)?.clone();
        let marks = RequestMetadata::try_from(&head.headers).map_err(|e| {
            warn!(front.core.log, "request refused"; "route" => &route.name, "reason" => %e);
            Code::HeaderInvalid
        })?;
        let team = team(document, &route, &marks)?;
        let service = front.core.with(|it| it.draw_service(&route.services));
        let service = service.ok_or(Code::NoServer)?;
        let all = document.services.get(&service).map_or(1, |it| it.max_connections);
        let connections_max = front.core.connections_of(all);
        let keeps_alive = head.keeps_alive() && !front.core.sheds();
        let arrived = front.core.now();
        Ok(Request {
            head,
            marks,
            route,
            service,
            team,
            arrived,
            keeps_alive,
            connections_max,
            first_byte_at: Cell::new(None),
        })
    }

    /// The answer to a request that would not end before this instance does.
    pub(super) fn refuse_for_stop(&self, front: &Front) -> OwnAnswer {
        let code = Code::Draining;
        self.note(front, None, code.into(), code.status());
        OwnAnswer { code, retry_after: Some(ELSEWHERE_AFTER) }
    }

    /// The answer to a request for which this instance has no time.
    pub(super) fn turn_away(&self, front: &Front) -> OwnAnswer {
        let code = Code::InstanceFull;
        self.note(front, None, code.into(), code.status());
        OwnAnswer { code, retry_after: Some(ELSEWHERE_AFTER) }
    }

    /// Has the request run, and answers it.
    pub(super) async fn run(self, front: &Front, conn: &mut Conn, body: Bytes) -> Next {
        let place = front.core.place();
        let arrival = self.arrival(&place, &body);
        self.note_admitted(front, &place, &arrival);
        let end_by = arrival.deadline();
        let exchange = Exchange::new(&self, front, conn, place, &body, end_by);
        exchange.run(arrival).await
    }

    fn note_admitted(&self, front: &Front, place: &Place, arrival: &Arrival) {
        let line = Line::Admitted(Admitted {
            request: place.request,
            id: lossy(&self.marks.attempt_id),
            route: self.route.clone(),
            team: self.team.clone(),
            version: front.core.document().version,
            within_ms: arrival.deadline().remaining(self.arrived).0,
            tokens: arrival.prompt.as_ref().map(|it| it.input_tokens),
            resumes_after: self.marks.last_event_id,
        });
        front.core.note_of(place.request, line);
    }

    fn arrival(&self, place: &Place, body: &Bytes) -> Arrival {
        let within = self.marks.timeout.unwrap_or(CALLER_WITHIN);
        Arrival {
            request: place.request,
            route: self.route.clone(),
            service: self.service,
            team: self.team.clone(),
            arrived_at: self.arrived,
            caller_deadline: self.arrived.after(within),
            prompt: self.marks.prompt.clone(),
            fingerprint: self.fingerprint(body),
        }
    }

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

    pub(super) fn begun(&self, front: &Front, place: &Place) {
        let now = front.core.now();
        self.first_byte_at.set(Some(now));
        let waited = now.micros_since(self.arrived) as f64 / MICROS_PER_SECOND;
        let label = crate::metrics::name_label(&self.route.name);
        front.core.metrics.first_byte.get_or_create(&label).observe(waited);
        front.core.step(Event::ResponseStarted { request: place.request });
    }

    pub(super) async fn write_whole(
        &self,
        conn: &mut Conn,
        answer: &WholeAnswer,
    ) -> std::io::Result<()> {
        let is_head = &self.head.method[..] == b"HEAD";
        answer.write(conn, is_head, self.keeps_alive).await
    }

    pub(super) fn next(&self, written: std::io::Result<()>) -> Next {
        match written {
            Ok(()) if self.keeps_alive => Next::Go,
            Ok(()) => Next::Close,
            Err(_) => Next::Reset,
        }
    }

    /// Records the request for the burn report.
    fn record(&self, front: &Front, outcome: &str) {
        let sample = match (outcome.parse::<Code>(), self.first_byte_at.get()) {
            (Ok(code), _) => Sample::of(code),
            (Err(_), Some(at)) => {
                let first_byte_ms = at.micros_since(self.arrived) / MICROS_PER_MILLI;
                Some(Sample::Answered { first_byte_ms })
            }
            (Err(_), None) => None,
        };
        if let Some(sample) = sample {
            let now = front.core.now();
            front.core.burn.record(now, self.team_name(), &self.route.name, sample);
        }
    }

    /// Notes what became of the request, which the reducer knows as `place` if it got there.
    pub(super) fn note(&self, front: &Front, place: Option<&Place>, outcome: &str, status: u16) {
        let took = front.core.now().micros_since(self.arrived);
        let seconds = took as f64 / MICROS_PER_SECOND;
        front.core.metrics.record_request(&self.route.name, self.team_name(), outcome, seconds);
        self.record(front, outcome);
        let end = RequestEnd {
            id: &lossy(&self.marks.attempt_id),
            outcome,
            status,
            took_ms: took / MICROS_PER_MILLI,
            is_notable: !GOOD.contains(&status) || self.is_late(),
        };
        front.core.note_end(place.map(|it| it.request), &end);
    }

    /// The team's name; empty where there is none.
    fn team_name(&self) -> &str {
        self.team.as_ref().map_or("", |it| &it.name)
    }

    fn is_late(&self) -> bool {
        let due = self.arrived.after(self.route.target_latency);
        self.first_byte_at.get().is_none_or(|it| due.is_due(it))
    }
}

fn team(
    document: &Document,
    route: &Route,
    marks: &RequestMetadata,
) -> Result<Option<Arc<Team>>, Code> {
    if !document.has_teams {
        return Ok(None);
    }
    match marks.api_key.as_deref().and_then(|it| document.team(it)) {
        Some(team) => Ok(Some(team.clone())),
        None if route.allows_anonymous => Ok(None),
        None => Err(Code::UnknownCredential),
    }
}

fn lossy(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The statuses of answers that are as they should be.
const GOOD: std::ops::Range<u16> = 200..400;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;
