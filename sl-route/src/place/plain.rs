//! Estimates of plain servers for one request. See docs/design/estimates.md.

use sl_base::Timestamp;

use super::{Candidate, Placement};
use crate::{
    response_times::WorkKind,
    server::{PlainServer, Server, ServerKind},
};

/// Relative increase of a plain server's response time from no slot to all slots in use.
const SLOT_LOAD_FACTOR: f64 = 2.0;

/// Largest bonus, in milliseconds, for a plain server that has been idle. Among servers that
/// score the same, the one idle the longest goes first.
const IDLE_BONUS_MS: f64 = 2.0;

/// Idle time, in milliseconds, at which the bonus reaches its maximum.
const IDLE_BONUS_FULL_MS: f64 = 5_000.0;

/// Servers rank like the best one if they take up to this many times longer: a few responses make such a difference, and
/// it is no reason to leave a server unused.
const SIMILAR_FACTOR: f64 = 1.25;

/// Lower bound on the expected response time of a plain server, in milliseconds.
const RESPONSE_MS_MIN: f64 = 5.0;

/// Estimates how well a plain server suits a request. `usual_ms` is the time of
/// [`usual_response_ms`].
pub(super) fn evaluate<'a>(
    now: Timestamp,
    server: &'a Server,
    plain: &PlainServer,
    work: WorkKind,
    usual_ms: f64,
) -> Candidate<'a> {
    let slots = f64::from(server.record.slots.max(1));
    let load_factor = 1.0 + SLOT_LOAD_FACTOR * plain.in_flight() as f64 / slots;
    let known_ms = known_response_ms(now, plain, work, slots);
    let response_ms = known_ms.unwrap_or_default().max(RESPONSE_MS_MIN);
    let confidence = plain.response_times.confidence(work);
    let ranked_ms = ranked_response_ms(known_ms, confidence, usual_ms);
    let overcommit = (plain.in_flight() as f64 + 1.0 - slots).max(0.0) / slots;
    let expected_ms = response_ms * (1.0 + overcommit);
    let placement = Placement {
        server: server.key,
        expected_ms,
        decode_ms: 0.0,
        backlog_ms: response_ms * overcommit,
        prefill_tokens: 0,
        fetch: None,
        candidates: 0,
        view_age_ms: 0.0,
        own_has_time: false,
        left_data_centre: None,
    };
    let idle_ms = now.millis_since(plain.last_sent_at());
    let idle_bonus = IDLE_BONUS_MS * (idle_ms / IDLE_BONUS_FULL_MS).min(1.0);
    Candidate {
        placement,
        data_centre: &server.record.data_centre,
        score: ranked_ms * load_factor - idle_bonus,
        prefill_ms: 0.0,
        duplicate_prefill_ms: 0.0,
        is_exempt: false,
        ends_in_time: true,
        is_interchangeable: false,
    }
}

/// Milliseconds in which a plain server is expected to respond. Nothing is known of a kind of work without
/// a recent response, unless the server is full: a request would not show how long the work takes.
fn known_response_ms(
    now: Timestamp,
    plain: &PlainServer,
    work: WorkKind,
    slots: f64,
) -> Option<f64> {
    let times = &plain.response_times;
    let has_free_slot = (plain.in_flight() as f64) < slots;
    let last_ms = if has_free_slot { None } else { times.last_ms(work) };
    times.expected_ms(now, work).or(last_ms)
}

/// Milliseconds by which a plain server is compared with others. A server of which nothing is known is as good as the
/// best one, not better, and a few slow responses make it little worse.
fn ranked_response_ms(known_ms: Option<f64>, confidence: f64, usual_ms: f64) -> f64 {
    let usual_ms = usual_ms.max(RESPONSE_MS_MIN);
    let known_ms = known_ms.unwrap_or(usual_ms).max(usual_ms);
    let believed_ms = usual_ms + (known_ms - usual_ms) * confidence;
    (believed_ms / SIMILAR_FACTOR).max(usual_ms)
}

/// The lowest time to a response that is known of any of the plain servers, in milliseconds.
pub(super) fn usual_response_ms(now: Timestamp, servers: &[&Server], work: WorkKind) -> f64 {
    let known = servers.iter().filter_map(|it| match &it.kind {
        ServerKind::Plain(plain) => plain.response_times.expected_ms(now, work),
        ServerKind::Engine(_) => None,
    });
    known.min_by(f64::total_cmp).unwrap_or_default()
}
