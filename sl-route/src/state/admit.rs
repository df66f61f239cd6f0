//! Arrival of requests: admission by the team's share, refusal, and counts by team.

use std::sync::Arc;

use rand::RngExt;
use sl_base::{Millis, RequestId, TeamId, Timestamp};

use super::State;
use crate::{
    Arrival, Decision, Effect, Failure, Refusal, Team,
    activity::TokenOutcome,
    admission::AdmissionLimits,
    note::Note,
    place::{self, LowestEstimates, PlacementError, Requirements},
    region::RegionLimits,
    request::InFlightRequest,
    response_times::WorkKind,
    route_balance::{Admission, RouteStanding},
    sample::Sample,
    share::{ContendedUsage, Standing},
};

/// The limit of requests in flight divided by this is left to teams within their share.
const WITHIN_SHARE_DIVISOR: usize = 4;

/// The limit of requests in flight divided by this is left to resumed streams, while
/// servers of several software versions serve.
const RESUMED_DIVISOR: usize = 32;

/// Bounds on the `Retry-After` time before jitter, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<f64> = 100.0..2_000.0;

/// How long a refused caller waits at least for the version record, in milliseconds: what it takes to
/// write the record while the store responds, and to tell all instances.
const RECORD_WRITE_MS: f64 = 300.0;

impl State {
    pub(super) fn on_arrival(&mut self, now: Timestamp, arrival: Arrival) {
        let request = arrival.request;
        self.budget.record_request(now, arrival.service);
        if self.is_barred(now, &arrival) && !self.try_probe(now, &arrival) {
            if let (Some(team), Some((_, tokens))) = (&arrival.team, State::charge(&arrival)) {
                self.on_request_ended_early(team, tokens, TokenOutcome::Barred);
            }
            self.fail_request(request, Failure::CrashesServers);
            return;
        }
        if let Some(team) = &arrival.team {
            self.local_requests.record_requested(now, team.id, 1);
        }
        if let Some((team, tokens)) = State::charge(&arrival) {
            if let Some(team) = &arrival.team {
                self.activity.record_requested(team, tokens);
            }
            self.shares.record_requested(now, team, tokens);
            self.demand.record_own(now, team, tokens);
            self.queue_note(Note::TokensRequested { team, tokens });
        }
        self.record_part_demand(now, &arrival);
        let origin = self.locate_stream(&arrival);
        let mut in_flight = InFlightRequest::new(arrival);
        match origin {
            Ok(origin) => in_flight.origin = origin,
            Err(reason) => {
                return self.refuse(now, &in_flight, reason, LowestEstimates::NONE, 0.0);
            }
        }
        let team = in_flight.arrival.team.as_ref().map(|it| it.id);
        if self.requests.len() >= self.in_flight_max(now, &in_flight.arrival) {
            self.refuse(now, &in_flight, Refusal::InstanceFull, LowestEstimates::NONE, 0.0);
            return;
        }
        if let Some(team) = team {
            self.local_requests.record_granted(now, team, 1);
        }
        let limits = self.admission_limits(now, &in_flight);
        self.send_or_refuse(now, in_flight, limits);
    }

    /// How many requests may be in flight for another one to be admitted.
    fn in_flight_max(&mut self, now: Timestamp, arrival: &Arrival) -> usize {
        let max = self.options.limits.max_in_flight;
        let team = arrival.team.as_ref().map(|it| it.id);
        let kept_free = match team.map(|it| self.standing(now, it)) {
            _ if arrival.is_resumed() => 0,
            Some(Standing::OverShare) => max / WITHIN_SHARE_DIVISOR,
            _ if self.keeps_room_for_streams(arrival) => max / RESUMED_DIVISOR,
            Some(Standing::WithinShare) | None => 0,
        };
        max - kept_free
    }

    /// The limits that apply to a new request, from where its team stands.
    fn admission_limits(&mut self, now: Timestamp, in_flight: &InFlightRequest) -> AdmissionLimits {
        let arrival = &in_flight.arrival;
        let remaining_ms = arrival.deadline().remaining(now).0 as f64;
        // A resumed stream has been admitted before, and its caller waits for the rest.
        if arrival.prompt.is_none() || arrival.is_resumed() {
            return AdmissionLimits::until_deadline(remaining_ms);
        }
        let target_ms = arrival.route.target_latency.0 as f64;
        let usage = self.contended_usage(now, arrival);
        match self.route_standing(now, arrival) {
            Some(standing) => {
                AdmissionLimits::under_contention(target_ms, remaining_ms, usage, standing)
            }
            None => AdmissionLimits::new(target_ms, remaining_ms, usage),
        }
    }

    fn contended_usage(&mut self, now: Timestamp, arrival: &Arrival) -> Option<ContendedUsage> {
        arrival.team.as_ref().and_then(|it| self.shares.contended_usage(now, it.id))
    }

    /// Where the route of a request stands; `None` without contention, or if routes are not balanced.
    fn route_standing(&self, now: Timestamp, arrival: &Arrival) -> Option<RouteStanding> {
        let balances_routes = self.options.limits.balances_routes;
        balances_routes.then(|| self.route_balance.standing(now, arrival)).flatten()
    }

    /// The ratio by which requests of the team are admitted or refused
    /// ([`ContendedUsage::ratio`]); 0 while all demand is satisfied.
    fn usage_ratio(&mut self, now: Timestamp, arrival: &Arrival) -> f64 {
        self.contended_usage(now, arrival).map_or(0.0, |it| it.ratio)
    }

    fn send_or_refuse(
        &mut self,
        now: Timestamp,
        mut in_flight: InFlightRequest,
        limits: AdmissionLimits,
    ) {
        self.draw_leave(&mut in_flight);
        let placement = self.choose_server(now, &in_flight, limits);
        self.record_shortage(now, &in_flight, &placement);
        // Retries pay for their bytes, so that they prefer the own data centre.
        in_flight.is_drawn_to_leave = false;
        self.record_admission(now, &in_flight.arrival, limits, placement.as_ref().err().copied());
        match placement {
            Ok(placement) => self.send(now, in_flight, placement),
            Err(error) => {
                let reason = self.refusal_reason(now, &in_flight, error);
                let lowest = match error {
                    PlacementError::TooLate(lowest) => lowest,
                    // The excess of the end over the deadline tells when to try again.
                    PlacementError::EndsLate(lowest) => {
                        LowestEstimates { cost_ms: lowest.end_ms, ..lowest }
                    }
                    PlacementError::Paused { for_ms } => LowestEstimates {
                        cost_ms: for_ms,
                        expected_ms: for_ms,
                        ..LowestEstimates::NONE
                    },
                    PlacementError::VersionUnrecorded => LowestEstimates {
                        cost_ms: RECORD_WRITE_MS,
                        expected_ms: RECORD_WRITE_MS,
                        ..LowestEstimates::NONE
                    },
                    PlacementError::NoServer | PlacementError::NoSlot => LowestEstimates::NONE,
                };
                let allowed_ms = match error {
                    PlacementError::EndsLate(_) => limits.ends_within_ms,
                    PlacementError::VersionUnrecorded => 0.0,
                    _ => limits.allowed_ms,
                };
                self.refuse(now, &in_flight, reason, lowest, allowed_ms);
            }
        }
    }

    /// Counts the decision on a request to an engine for the balance between routes. Resumed streams
    /// are admitted by other limits.
    fn record_admission(
        &mut self,
        now: Timestamp,
        arrival: &Arrival,
        limits: AdmissionLimits,
        error: Option<PlacementError>,
    ) {
        if arrival.prompt.is_none() || arrival.is_resumed() {
            return;
        }
        let admission = match error {
            None => Admission::Admitted,
            Some(PlacementError::TooLate(lowest)) if lowest.cost_ms <= limits.unbalanced_ms => {
                Admission::Yields
            }
            Some(PlacementError::TooLate(_) | PlacementError::NoSlot) => Admission::NoCapacity,
            Some(PlacementError::EndsLate(_)) => Admission::EndsLate,
            Some(
                PlacementError::NoServer
                | PlacementError::Paused { .. }
                | PlacementError::VersionUnrecorded,
            ) => return,
        };
        self.route_balance.record(now, arrival, admission);
    }

    pub(super) fn choose_server(
        &self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        limits: AdmissionLimits,
    ) -> Result<place::Placement, PlacementError> {
        let keys = self.pools.get(&in_flight.arrival.service).ok_or(PlacementError::NoServer)?;
        let servers = || keys.iter().filter_map(|it| self.servers.get(it));
        let required = self.requirements(now, in_flight, limits);
        let begins_stream = State::begins_stream(&in_flight.arrival, required.origin);
        if !begins_stream || servers().all(|it| it.unrecorded_until.is_due(now)) {
            return place::choose(now, servers(), required);
        }
        let recorded = Requirements { needs_recorded_version: true, ..required };
        let error = match place::choose(now, servers(), recorded) {
            Ok(placement) => return Ok(placement),
            Err(e) => e,
        };
        let at_any = place::choose(now, servers(), required);
        if self.origins.known_versions.promised_until().is_due(now) {
            return at_any;
        }
        match (error, at_any) {
            (PlacementError::NoServer, Ok(_)) => Err(PlacementError::VersionUnrecorded),
            (error, _) => Err(error),
        }
    }

    /// What a request requires of a server that it was not sent to before.
    pub(super) fn requirements<'a>(
        &'a self,
        now: Timestamp,
        in_flight: &'a InFlightRequest,
        limits: AdmissionLimits,
    ) -> Requirements<'a> {
        Requirements {
            prompt: in_flight.arrival.prompt.as_ref(),
            work: WorkKind::of(&in_flight.arrival.route),
            tried: &in_flight.tried,
            limits,
            connections_max: self.connections_max(in_flight.arrival.service),
            remaining_ms: in_flight.arrival.deadline().remaining(now).0 as f64,
            locality: self.locality(in_flight),
            evacuations: &self.evacuations,
            regions: self.region_limits(in_flight),
            origin: in_flight.origin.as_ref(),
            keeps_room: self.keeps_room_for_streams(&in_flight.arrival),
            cold_opens_at: self.cold_opens_at(now),
            cold_slot_delay: self.cold_slot_delay(&in_flight.arrival),
            sample: Sample::new(
                self.options.instance,
                in_flight.arrival.request,
                in_flight.tried.len(),
            ),
            needs_recorded_version: false,
        }
    }

    /// The regions in which a request may be served.
    pub(super) fn region_limits<'a>(&'a self, in_flight: &'a InFlightRequest) -> RegionLimits<'a> {
        RegionLimits {
            regions: &self.options.regions,
            route: &in_flight.arrival.route.allowed_regions,
            team: in_flight.arrival.team.as_ref().map(|it| &it.allowed_regions),
        }
    }

    fn refusal_reason(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        error: PlacementError,
    ) -> Refusal {
        match error {
            PlacementError::NoServer if in_flight.origin.is_some() => Refusal::VersionGone,
            PlacementError::VersionUnrecorded => Refusal::VersionUnrecorded,
            PlacementError::NoServer if in_flight.tried.is_empty() => Refusal::NoServer,
            PlacementError::NoServer | PlacementError::Paused { .. } => Refusal::TurnedAway,
            _ if in_flight.arrival.deadline().is_due(now) => Refusal::TooLate,
            _ if self.usage_ratio(now, &in_flight.arrival) > 1.0 => Refusal::TeamOverShare,
            _ => Refusal::Overload,
        }
    }

    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        reason: Refusal,
        lowest: LowestEstimates,
        allowed_ms: f64,
    ) {
        let request = in_flight.arrival.request;
        let LowestEstimates { cost_ms, expected_ms, end_ms } = lowest;
        let standing = self.route_standing(now, &in_flight.arrival);
        let route_admitted = standing.map_or(1.0, |it| it.admitted_fraction);
        self.record_outcome(&in_flight.arrival, TokenOutcome::Refused);
        let share_usage = self.usage_ratio(now, &in_flight.arrival);
        let excess_ms = (cost_ms - allowed_ms).clamp(RETRY_AFTER_MS.start, RETRY_AFTER_MS.end);
        let jitter = self.rng.random_range(1.0..2.0);
        let retry_after = Millis((excess_ms * jitter) as u64);
        let decision = Decision::RequestRefused {
            request,
            reason,
            cost_ms,
            expected_ms,
            end_ms,
            allowed_ms,
            share_usage,
            route_admitted,
        };
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Refuse { request, reason, retry_after });
    }

    pub(super) fn fail_request(&mut self, request: RequestId, reason: Failure) {
        self.effects.push(Effect::Log(Decision::RequestFailed { request, reason }));
        self.effects.push(Effect::Fail { request, reason });
    }

    /// Counts a request that this instance rejected. Its tokens are no demand on the engines, as
    /// the caller sends it again.
    pub(super) fn on_request_shed(&mut self, now: Timestamp, team: &Arc<Team>, tokens: u32) {
        self.local_requests.record_requested(now, team.id, 1);
        self.activity.record_requested(team, tokens);
        self.activity.record_outcome(team, tokens, TokenOutcome::Shed);
    }

    /// Counts a request that ended before it could be sent to a server. Like a rejected one it is no
    /// demand on the engines.
    pub(super) fn on_request_ended_early(
        &mut self,
        team: &Arc<Team>,
        tokens: u32,
        outcome: TokenOutcome,
    ) {
        self.activity.record_requested(team, tokens);
        self.activity.record_outcome(team, tokens, outcome);
    }

    pub(super) fn record_outcome(&mut self, arrival: &Arrival, outcome: TokenOutcome) {
        if let (Some(team), Some(prompt)) = (&arrival.team, &arrival.prompt) {
            self.activity.record_outcome(team, prompt.charge(), outcome);
        }
    }

    /// Logs what each team asked for and got here, once a second.
    pub(super) fn report_activity(&mut self, now: Timestamp) {
        for tokens in self.activity.take_report(now) {
            let share_usage = self.shares.share_usage(now, tokens.team.id);
            let recent_demand = self.shares.recent_demand(now, tokens.team.id);
            let fair_share = self.shares.fair_share();
            let decision =
                Decision::TeamActivity { tokens, share_usage, recent_demand, fair_share };
            self.effects.push(Effect::Log(decision));
        }
    }

    pub(super) fn charge(arrival: &Arrival) -> Option<(TeamId, u32)> {
        let (team, prompt) = (arrival.team.as_ref()?, arrival.prompt.as_ref()?);
        Some((team.id, prompt.charge()))
    }
}
