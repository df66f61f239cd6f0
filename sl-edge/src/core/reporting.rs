//! The core's log lines and gauges.

use std::time::Duration;

use sl_base::{Millis, RequestId, Timestamp};
use sl_route::effect::Decision;
use slog::o;

use super::{Core, PeerCounts, WorkCounts};
use crate::{
    detail::BufferedLine,
    log::{self, Line},
    metrics::name_label,
};

const PERCENT: f64 = 100.0;

const MILLIS_PER_SECOND: f64 = 1_000.0;

const TENTHS: f64 = 10.0;

/// Shortest time between two log lines on malformed data of the same kind.
const MALFORMED_LOG_INTERVAL: Millis = Millis(60_000);

impl Core {
    pub(super) fn log_decision(&self, decision: Decision) {
        self.metrics.record_decision(&decision);
        match decision.request() {
            Some(request) => self.log_request_line(request, Line::Decided(decision)),
            None => log::write_decision(&self.log, &decision),
        }
    }

    /// Logs a line on a request now, or buffers it until the request ends if the rate
    /// limit is reached.
    pub(crate) fn log_request_line(&self, request: RequestId, line: Line) {
        let line = self.request_log.borrow_mut().record(self.now(), request, line);
        if let Some(line) = line {
            log::write_line(&self.log, &line);
        }
    }

    /// Logs the end of a request, preceded by the lines that were buffered for it.
    pub(crate) fn log_request_end(&self, request: Option<RequestId>, end: &log::RequestEnd<'_>) {
        let now = self.now();
        let buffered = self.request_log.borrow_mut().finish(now, request, end.is_notable);
        let Some(buffered) = buffered else {
            return;
        };
        for BufferedLine { at, line } in buffered {
            let log = self.log.new(o!("ago_ms" => now.millis_since(at).round()));
            log::write_line(&log, &line);
        }
        log::write_end(&self.log, end);
    }

    /// Logs that malformed data of a kind was ignored, at most once in
    /// [`MALFORMED_LOG_INTERVAL`] for each kind.
    pub(crate) fn warn_malformed(&self, kind: &'static str, reason: &dyn std::fmt::Display) {
        let now = self.now();
        let mut logged_until = self.malformed_logged_until.borrow_mut();
        if logged_until.get(kind).is_some_and(|it| !it.is_due(now)) {
            return;
        }
        logged_until.insert(kind, now.after(MALFORMED_LOG_INTERVAL));
        slog::warn!(self.log, "malformed data ignored"; "in" => kind, "reason" => %reason);
    }

    /// Updates the gauges whose values change with time alone.
    pub(super) fn update_gauges(&self, now: Timestamp) {
        let seconds = |at: Timestamp| now.millis_since(at) / MILLIS_PER_SECOND;
        self.metrics.document_age.set(seconds(self.document_applied_at.get()));
        self.metrics.store_age.set(seconds(self.store_contact_at.get()));
        let (oldest_contact, left) =
            self.with_state(|it| (it.oldest_peer_contact(), it.retries_left(now)));
        let limited =
            self.with_state(|it| it.servers().filter(|it| it.send_limit.is_some()).count());
        self.metrics.limited_servers.set(limited as i64);
        let cold = self.with_state(|it| it.servers().filter(|it| it.is_cold(now)).count());
        self.metrics.cold_servers.set(cold as i64);
        self.with_state(|it| self.metrics.update_admission(now, it.route_balance()));
        self.metrics.peer_age.set(oldest_contact.map_or(0.0, seconds));
        for (service, left) in left {
            self.metrics.retries_left.get_or_create(&name_label(service)).set(left);
        }
    }

    /// Logs how late this instance runs, what callers have sent, and which messages of its peers arrived
    /// and how long they took, since the last call.
    pub(super) fn log_instance_load(&self) {
        let PeerCounts { received, missed, overtaken, repeated } = self.peer_counts.take();
        let WorkCounts { connections, heads, note_time, datagrams_skipped } =
            self.work_counts.take();
        let load_shedder = self.load_shedder.get();
        let in_flight = self.with_state(|it| it.in_flight());
        slog::info!(self.log, "instance load";
            "late_ms" => load_shedder.late_ms().round(),
            "rejected_percent" => (load_shedder.reject_fraction() * PERCENT).round(),
            "held" => in_flight, "messages" => received, "missed" => missed,
            "overtaken" => overtaken, "repeated" => repeated,
            "connections" => connections, "heads" => heads,
            "notes_ms" => tenths(note_time),
            "skipped" => datagrams_skipped);
        self.metrics.peer_messages.get_or_create(&name_label("skipped")).inc_by(datagrams_skipped);
        self.metrics.caller_connections.inc_by(connections);
        self.metrics.request_heads.inc_by(heads);
        self.metrics.note_seconds.inc_by(note_time.as_secs_f64());
        self.metrics.peer_messages.get_or_create(&name_label("missed")).inc_by(missed);
        self.metrics.peer_messages.get_or_create(&name_label("overtaken")).inc_by(overtaken);
    }

    /// Logs and counts the lines omitted since the last call, if any.
    pub(super) fn log_dropped_lines(&self) {
        let lines = self.request_log.borrow_mut().take_dropped();
        if lines > 0 {
            self.metrics.log_lines_dropped.inc_by(lines);
            slog::info!(self.log, "lines left out"; "lines" => lines);
        }
    }
}

/// Milliseconds with one decimal, as a tenth matters on an instance with a small part of a core.
fn tenths(time: Duration) -> f64 {
    (time.as_secs_f64() * MILLIS_PER_SECOND * TENTHS).round() / TENTHS
}
