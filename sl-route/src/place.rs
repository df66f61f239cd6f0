//! Placement: selects the server for a request, and rejects requests that no server is
//! expected to respond in time.

mod plain;

use sl_base::{Millis, Timestamp};

use crate::{
    Prompt, ServerKey,
    admission::AdmissionLimits,
    engine::Engine,
    evacuation::Evacuations,
    locality::{LeaveReason, Load, Locality},
    region::RegionLimits,
    response_times::WorkKind,
    sample::Sample,
    server::{Server, ServerKind},
    stream_origin::StreamOrigin,
    transfer::{CachedPrefix, Fetch},
};

/// Constraints that a request places on the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// The prompt, for a request to a model engine.
    pub prompt: Option<&'a Prompt>,
    /// The kind of work, for a request to a plain server.
    pub work: WorkKind,
    /// Servers that already had an attempt of this request and are excluded.
    pub tried: &'a [ServerKey],
    /// Limits on the expected time to the first byte and on the cost to other requests.
    pub limits: AdmissionLimits,
    /// Connections that this instance may have open to one server. Each attempt holds one.
    pub connections_max: usize,
    /// Milliseconds until the request's deadline.
    pub remaining_ms: f64,
    /// What servers in other data centres are charged.
    pub locality: Locality<'a>,
    /// The data centres whose servers get nothing.
    pub evacuations: &'a Evacuations,
    /// The regions in which the request may be served.
    pub regions: RegionLimits<'a>,
    /// Where the stream began that the request goes on with; `None` if any server will do.
    pub origin: Option<&'a StreamOrigin>,
    /// Whether some slots and connections of each server are left to resumed streams.
    pub keeps_room: bool,
    /// When this instance may send to cold servers: the past, if it may now.
    pub cold_opens_at: Timestamp,
    /// How long the request leaves each slot of a cold server to others.
    pub cold_slot_delay: Millis,
    /// Draws which of the engines that cache nothing of the prompt are considered.
    pub sample: Sample,
    /// Whether servers are excluded whose software version the version record lacks.
    pub needs_recorded_version: bool,
}

impl Requirements<'_> {
    fn allows(&self, now: Timestamp, server: &Server) -> bool {
        let has_right_version = self.origin.is_none_or(|it| it.allows(server));
        let data_centre = &server.record.data_centre;
        let is_allowed_there =
            !self.evacuations.contains(data_centre) && self.regions.allows(data_centre);
        let is_recorded = !self.needs_recorded_version || server.unrecorded_until.is_due(now);
        has_right_version
            && is_allowed_there
            && is_recorded
            && server.is_in_service()
            && !self.tried.contains(&server.key)
    }

    /// When the request may be sent to the server: the past, if it may now.
    fn opens_at(&self, now: Timestamp, server: &Server) -> Timestamp {
        let opens_at = server.opens_at(now, self.limits.slot_delay);
        if !server.is_cold(now) {
            return opens_at;
        }
        opens_at.after(self.cold_slot_delay).max(self.cold_opens_at)
    }

    /// How many of `places` the request may not take.
    fn kept_free(&self, places: usize) -> usize {
        if self.keeps_room { places / ROOM_DIVISOR } else { 0 }
    }
}

/// The selected server, with the estimates that the selection was based on.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The selected server.
    pub server: ServerKey,
    /// Expected milliseconds to the first byte, including any fetch from another engine.
    pub expected_ms: f64,
    /// Expected milliseconds from the first byte to the end, for a request to an engine.
    pub decode_ms: f64,
    /// Milliseconds of work queued at the server ahead of this request.
    pub backlog_ms: f64,
    /// Prompt tokens that the engine has to prefill, after any fetch.
    pub prefill_tokens: u32,
    /// The KV cache transfer from another engine, if one is planned.
    pub fetch: Option<Fetch>,
    /// Number of servers that were considered.
    pub candidates: usize,
    /// Age of the latest information on the server's work, in milliseconds.
    pub view_age_ms: f64,
    /// Whether a server of the own data centre would have been in time, if prefill that another
    /// engine has cached counted like any other.
    pub own_has_time: bool,
    /// Why the server is in another data centre; `None` if it is not.
    pub left_data_centre: Option<LeaveReason>,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementError {
    /// No server of the service is ready and untried.
    NoServer,
    /// The version record lacks the software versions of all servers that are ready and untried.
    VersionUnrecorded,
    /// No server is expected to send the first byte in time.
    TooLate(LowestEstimates),
    /// A server would send the first byte in time, but none is expected to end before the deadline.
    EndsLate(LowestEstimates),
    /// No engine has a free slot, or this instance has no connection left to any server.
    NoSlot,
    /// Every server asked this instance to send no requests for now, has named a limit of which
    /// this instance has used its part, or is cold and takes no request of this instance now.
    Paused {
        /// Milliseconds until the first of them may get requests again.
        for_ms: f64,
    },
}

/// The lowest estimates of any server for a request, infinite without a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LowestEstimates {
    /// Milliseconds to the first byte plus the weighted cost to other requests.
    pub cost_ms: f64,
    /// Milliseconds to the first byte.
    pub expected_ms: f64,
    /// Milliseconds to the end of the response.
    pub end_ms: f64,
}

impl LowestEstimates {
    /// The estimates without a server.
    pub const NONE: LowestEstimates = LowestEstimates {
        cost_ms: f64::INFINITY,
        expected_ms: f64::INFINITY,
        end_ms: f64::INFINITY,
    };
}

/// Weight of the prefill time of uncached shared parts. That prefill also delays the requests
/// queued behind it, so its time counts once more.
const SHARED_PREFILL_WEIGHT: f64 = 1.0;

/// Weight of the prefill that evictions cause later: the factor on a request's prefill time
/// when it would evict a part that was used just now.
const EVICTION_WEIGHT: f64 = 10.0;

/// Time constant, in milliseconds, with which the chance that a cached part is used again
/// decays after its last use. Parts unused for longer are rarely used again.
const REUSE_DECAY_MS: f64 = 15_000.0;

/// Weight of the decode time relative to the time to the first token.
const DECODE_WEIGHT: f64 = 0.1;

/// Fraction of the time to the deadline above which an expected end is penalized. Output is
/// often longer than the caller announces, so such a request may miss its deadline.
const LATE_END_THRESHOLD: f64 = 0.4;

/// Penalty, in milliseconds, per unit by which the expected fraction of the time to the
/// deadline exceeds `LATE_END_THRESHOLD`.
const LATE_END_PENALTY_MS: f64 = 1_500.0;

/// The part of the slots and connections of a server that is left to resumed streams.
const ROOM_DIVISOR: usize = 16;

/// Penalty for a server whose failure rate is 1, in milliseconds; scales with the failure
/// rate.
const FAILURE_PENALTY_MS: f64 = 600.0;

/// How many times faster than its prior an unmeasured engine may be. The prior is derived from
/// the configured token rate, which may date from a much smaller fleet.
const UNMEASURED_SPEEDUP_MAX: f64 = 50.0;

/// A server with its estimates for one request.
struct Candidate<'a> {
    placement: Placement,
    data_centre: &'a str,
    /// Ranks the candidates; lower is better. In milliseconds.
    score: f64,
    /// Milliseconds in which the server prefills the prompt.
    prefill_ms: f64,
    /// Milliseconds of prefill that another engine has cached already, as far as it counts.
    duplicate_prefill_ms: f64,
    /// Whether the time limit does not apply; see [`is_exempt`].
    is_exempt: bool,
    /// Whether the response is expected to end in time; see [`ends_in_time`].
    ends_in_time: bool,
    /// Whether the server is an engine that caches nothing of the prompt. Any other one would do as well.
    is_interchangeable: bool,
}

impl Candidate<'_> {
    /// Milliseconds to the first byte plus the weighted cost to other requests, with the prefill
    /// of the request itself as it is counted.
    fn cost_ms(&self, limits: AdmissionLimits) -> f64 {
        self.placement.expected_ms
            + limits.duplicate_prefill_weight * self.duplicate_prefill_ms
            + limits.prefill_adjustment_ms(self.prefill_ms)
    }

    /// Whether the server is in time if prefill that another engine has cached counts once.
    fn has_time(&self, required: Requirements<'_>) -> bool {
        let limits = AdmissionLimits { duplicate_prefill_weight: 0.0, ..required.limits };
        self.is_in_time(Requirements { limits, ..required })
    }

    /// Whether the response is expected to begin and to end in time.
    fn is_in_time(&self, required: Requirements<'_>) -> bool {
        self.is_exempt || self.ends_in_time && self.begins_in_time(required)
    }

    fn begins_in_time(&self, required: Requirements<'_>) -> bool {
        let is_before_deadline = self.placement.expected_ms <= required.remaining_ms;
        let is_within_limits = self.cost_ms(required.limits) <= required.limits.allowed_ms;
        is_before_deadline && is_within_limits
    }
}

/// Selects one of `servers`, which all belong to one service: the best-scored server that
/// meets the time limit. Servers in back-off are considered only if no other server is left.
///
/// # Errors
///
/// [`PlacementError`] if no server qualifies and the request should be refused.
pub fn choose<'a>(
    now: Timestamp,
    servers: impl Iterator<Item = &'a Server>,
    required: Requirements<'_>,
) -> Result<Placement, PlacementError> {
    let eligible: Vec<&Server> = servers.filter(|it| required.allows(now, it)).collect();
    let is_open = |it: &&Server| required.opens_at(now, it).is_due(now);
    let servers: Vec<&Server> = eligible.iter().copied().filter(is_open).collect();
    if servers.is_empty() {
        return Err(no_server_error(now, &eligible, required));
    }
    let healthy: Vec<&Server> = servers.iter().copied().filter(|it| !it.is_avoided(now)).collect();
    let servers = if healthy.is_empty() { servers } else { healthy };
    let considered = servers.len();
    let cached = required.prompt.map(|it| CachedPrefix::find(now, &servers, it, required.locality));
    let usual_ms = plain::usual_response_ms(now, &servers, required.work);
    let evaluate = |it| evaluate(now, it, required, cached, usual_ms);
    let candidates: Vec<Candidate<'_>> = servers.into_iter().filter_map(evaluate).collect();
    match best_in_time(&candidates, required) {
        Some(found) => {
            let found = with_locality(found, &candidates, required);
            Ok(Placement { candidates: considered, ..found })
        }
        None if candidates.is_empty() => Err(PlacementError::NoSlot),
        None => {
            let lowest = lowest_estimates(&candidates, required.limits);
            let begins_in_time = candidates.iter().any(|it| it.begins_in_time(required));
            let error =
                if begins_in_time { PlacementError::EndsLate } else { PlacementError::TooLate };
            Err(error(lowest))
        }
    }
}

/// The best-scored candidate that meets the time limit. Of the engines that cache nothing of the prompt only a
/// sample is considered; see [`Sample`].
fn best_in_time<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    required: Requirements<'_>,
) -> Option<&'b Candidate<'a>> {
    let in_time = candidates.iter().filter(|it| it.is_in_time(required));
    let (interchangeable, mut considered): (Vec<_>, Vec<_>) =
        in_time.partition(|it| it.is_interchangeable);
    let (own, others): (Vec<_>, Vec<_>) =
        interchangeable.into_iter().partition(|it| required.locality.is_own(it.data_centre));
    for servers in [own, others] {
        considered.extend(required.sample.draw(servers, |it| it.placement.server));
    }
    considered.into_iter().min_by(|a, b| a.score.total_cmp(&b.score))
}

/// The placement on the `found` server, with what the servers of the own data centre could do.
fn with_locality(
    found: &Candidate<'_>,
    candidates: &[Candidate<'_>],
    required: Requirements<'_>,
) -> Placement {
    let mut own = candidates.iter().filter(|it| required.locality.is_own(it.data_centre));
    let own_has_time = own.clone().any(|it| it.has_time(required));
    let own_is_in_time = own.any(|it| it.is_in_time(required));
    let left_data_centre = required.locality.leave_reason(found.data_centre, own_is_in_time);
    Placement { own_has_time, left_data_centre, ..found.placement.clone() }
}

/// Why none of the `eligible` servers can be used now: all are paused, limited or cold, if there are
/// any.
fn no_server_error(
    now: Timestamp,
    eligible: &[&Server],
    required: Requirements<'_>,
) -> PlacementError {
    let earliest = eligible.iter().map(|it| required.opens_at(now, it)).min();
    earliest.map_or(PlacementError::NoServer, |it| PlacementError::Paused {
        for_ms: it.remaining(now).0 as f64,
    })
}

fn lowest_estimates(candidates: &[Candidate<'_>], limits: AdmissionLimits) -> LowestEstimates {
    candidates.iter().fold(LowestEstimates::NONE, |lowest, it| LowestEstimates {
        cost_ms: lowest.cost_ms.min(it.cost_ms(limits)),
        expected_ms: lowest.expected_ms.min(it.placement.expected_ms),
        end_ms: lowest.end_ms.min(it.placement.expected_ms + it.placement.decode_ms),
    })
}

/// Estimates how well a server suits a request; `None` if the server is an engine without a
/// free slot, or all connections to it are in use.
fn evaluate<'a>(
    now: Timestamp,
    server: &'a Server,
    required: Requirements<'_>,
    cached: Option<CachedPrefix>,
    usual_ms: f64,
) -> Option<Candidate<'a>> {
    let connections_max = required.connections_max;
    if server.own_in_flight + required.kept_free(connections_max) >= connections_max {
        return None;
    }
    let mut candidate = match &server.kind {
        ServerKind::Engine(engine) => evaluate_engine(now, server, engine, required, cached)?,
        ServerKind::Plain(plain) => plain::evaluate(now, server, plain, required.work, usual_ms),
    };
    let charge = required.locality.charge(Load {
        data_centre: candidate.data_centre,
        events: expected_events(server, required.prompt),
        has_backlog: candidate.placement.backlog_ms > 0.0,
        has_own_copy: cached.is_some_and(CachedPrefix::has_own_copy),
    });
    candidate.placement.expected_ms += charge.delay_ms;
    candidate.score += charge.delay_ms + charge.cost_ms;
    if !charge.counts_duplicates {
        candidate.duplicate_prefill_ms = 0.0;
    }
    candidate.score += server.health.failure_rate(now) * FAILURE_PENALTY_MS;
    candidate.placement.view_age_ms = now.millis_since(server.updated_at);
    Some(candidate)
}

/// Events of the response, if the server is an engine.
fn expected_events(server: &Server, prompt: Option<&Prompt>) -> f64 {
    let output_tokens = prompt.map_or(0, Prompt::likely_output_tokens);
    server.kind.engine().map_or(0.0, |it| it.events(output_tokens))
}

fn evaluate_engine<'a>(
    now: Timestamp,
    server: &'a Server,
    engine: &Engine,
    required: Requirements<'_>,
    cached: Option<CachedPrefix>,
) -> Option<Candidate<'a>> {
    if engine.free_slots() <= required.kept_free(engine.slots()) {
        return None;
    }
    let prompt = required.prompt;
    let uncached_tokens = prompt.map_or(0, |it| engine.uncached_tokens(it));
    let local_tokens = prompt.map_or(0, |it| it.input_tokens.saturating_sub(uncached_tokens));
    let fetch = cached.and_then(|it| it.plan_fetch(now, engine, local_tokens));
    let prefill_tokens = uncached_tokens - fetch.map_or(0, |it| it.tokens);
    let fetch_ms = fetch.map_or(0.0, |it| it.duration_ms);
    let private_tokens = prompt.and_then(|it| it.parts.last()).map_or(0, |it| it.tokens);
    let shared_prefill_ms =
        f64::from(uncached_tokens.saturating_sub(private_tokens)) / engine.tokens_per_ms();
    let expected_ms = engine.first_token_ms(now, prefill_tokens) + fetch_ms;
    let backlog_ms = engine.backlog_ms(now);
    let eviction_cost_ms = eviction_cost_factor(now, engine) * engine.prefill_ms(uncached_tokens);
    let output_tokens = prompt.map_or(0, Prompt::likely_output_tokens);
    let decode_ms = engine.decode_ms(now, output_tokens);
    let time_used = (expected_ms + decode_ms) / required.remaining_ms.max(1.0);
    let score = engine.first_token_ms(now, uncached_tokens)
        + SHARED_PREFILL_WEIGHT * shared_prefill_ms
        + eviction_cost_ms
        + DECODE_WEIGHT * decode_ms
        + LATE_END_PENALTY_MS * (time_used - LATE_END_THRESHOLD).max(0.0);
    // A limited engine is idle because it takes little, not because nobody asks for more.
    let is_limited = server.send_limit.is_some();
    let data_centre = &server.record.data_centre;
    let placement = Placement {
        server: server.key,
        expected_ms,
        decode_ms,
        backlog_ms,
        prefill_tokens,
        fetch,
        candidates: 0,
        view_age_ms: 0.0,
        own_has_time: false,
        left_data_centre: None,
    };
    let is_exempt = !is_limited && is_exempt(now, engine, expected_ms, required);
    let duplicate_tokens = cached.map_or(0, |it| it.tokens_beyond(local_tokens));
    let duplicate_prefill_ms = f64::from(duplicate_tokens) / engine.tokens_per_ms();
    let prefill_ms = engine.prefill_ms(prefill_tokens);
    let ends_in_time = ends_in_time(engine, expected_ms + decode_ms, output_tokens, required);
    Some(Candidate {
        placement,
        data_centre,
        score,
        prefill_ms,
        duplicate_prefill_ms,
        is_exempt,
        ends_in_time,
        is_interchangeable: local_tokens == 0,
    })
}

/// Whether a response that is expected to end after `end_ms` ends in time. If even an engine without
/// other work would be too slow for it, or the pace has not been measured, the end is no reason to
/// refuse the request: the announced length is not right, or no engine helps.
fn ends_in_time(
    engine: &Engine,
    end_ms: f64,
    output_tokens: u32,
    required: Requirements<'_>,
) -> bool {
    let ends_within_ms = required.limits.ends_within_ms;
    let undisturbed_ms = engine.undisturbed_decode_ms(output_tokens);
    end_ms <= ends_within_ms || undisturbed_ms.is_none_or(|it| it > ends_within_ms)
}

/// Whether the time limit does not apply, because a refusal would help no other request: the
/// engine's speed is unmeasured and the engine would be in time if it were
/// `UNMEASURED_SPEEDUP_MAX` times faster than estimated, or it is idle and is expected to
/// start its response before the request's deadline, or its speed has not been measured for long.
fn is_exempt(
    now: Timestamp,
    engine: &Engine,
    expected_ms: f64,
    required: Requirements<'_>,
) -> bool {
    let may_be_in_time = expected_ms <= required.limits.allowed_ms * UNMEASURED_SPEEDUP_MAX;
    engine.needs_speed_sample() && may_be_in_time
        || engine.is_idle() && expected_ms <= required.remaining_ms
        || engine.has_outdated_speed(now)
}

/// Factor on a request's prefill time that accounts for prefill repeated later, because the
/// request evicts recently used parts: 0 while the cache has room, at most `EVICTION_WEIGHT`.
fn eviction_cost_factor(now: Timestamp, engine: &Engine) -> f64 {
    let age_ms = engine.cache.eviction_age_ms(now);
    age_ms.map_or(0.0, |it| EVICTION_WEIGHT * (-it / REUSE_DECAY_MS).exp())
}
