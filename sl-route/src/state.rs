//! The reducer of one instance: [`State::step`] takes each event and returns the effects.

mod attempt;
mod cache;
mod listing;

use std::{collections::HashMap, sync::Arc};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{Millis, RequestId, ServiceId, TeamId, Timestamp};

use crate::{
    Arrival, Decision, Directory, Document, Effect, Event, Failure, Notes, Refusal, ServerKey,
    ServerState, Team,
    activity::{Activity, TokenOutcome},
    admission::AdmissionLimits,
    budget::Budget,
    event::InstanceLimits,
    note::{AttemptKey, Note},
    place::{self, LowestEstimates, PlacementError, Requirements},
    request::InFlightRequest,
    server::Server,
    share::{Shares, Standing},
    strikes::CrashTracker,
};

/// Parameters of an instance, fixed at its start except for `limits`.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance's id, unique among its peers.
    pub instance: u32,
    /// The data centre in which the instance runs.
    pub data_centre: String,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Limits from settings; replaced on `Event::Limits`.
    pub limits: InstanceLimits,
    /// The window over which teams' usage is summed.
    pub share_window: Millis,
}

/// The state of one instance: its view of servers and peers, and its requests in flight.
#[derive(Debug)]
pub struct State {
    options: Options,
    /// The operator's configuration in force.
    document: Arc<Document>,
    /// Servers as listed by the platform.
    directory: Directory,
    servers: HashMap<ServerKey, Server>,
    /// Servers by service, sorted; rebuilt from `servers` when out of date.
    pools: HashMap<ServiceId, Vec<ServerKey>>,
    /// Requests in flight.
    requests: HashMap<RequestId, InFlightRequest>,
    budget: Budget,
    crashes: CrashTracker,
    shares: Shares,
    /// Requests of each team at this instance, asked for and admitted.
    local_requests: Shares,
    activity: Activity,
    /// Fraction of each server's connections that this instance may open.
    connection_share: f64,
    /// When the last message of each peer was received.
    peers: HashMap<u32, Timestamp>,
    /// The number of the latest attempt.
    last_attempt: u64,
    prune_at: Timestamp,
    /// Whether `pools` matches `servers`.
    pools_are_current: bool,
    /// Notes to be sent to peers.
    outbox: Vec<Note>,
    /// Effects of the current step.
    effects: Vec<Effect>,
    rng: ChaCha8Rng,
}

/// A peer that sent no message for this long is removed, along with its attempts.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Interval between removals of inactive peers, overdue requests and expired server entries.
const PRUNE_INTERVAL: Millis = Millis(250);

/// Notes that may wait to be sent; further notes are dropped.
const OUTBOX_CAPACITY: usize = 4_096;

/// Bounds on the `Retry-After` time before jitter, in milliseconds.
const RETRY_AFTER_MS: std::ops::Range<f64> = 100.0..2_000.0;

impl State {
    /// Creates the state of an instance whose process started at `now`.
    pub fn new(options: Options, now: Timestamp) -> State {
        State {
            document: Arc::default(),
            directory: Directory::default(),
            servers: HashMap::new(),
            pools: HashMap::new(),
            requests: HashMap::new(),
            budget: Budget::new(options.limits.budget),
            crashes: CrashTracker::default(),
            shares: Shares::new(now, options.share_window),
            local_requests: Shares::new(now, options.share_window),
            activity: Activity::new(now),
            connection_share: 1.0,
            peers: HashMap::new(),
            last_attempt: 0,
            prune_at: now,
            pools_are_current: true,
            outbox: Vec::new(),
            effects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Applies one event and returns the effects to carry out.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        if !matches!(
            event,
            Event::ServerListed(_) | Event::ServerRemoved { .. } | Event::ServerMissing { .. }
        ) {
            self.rebuild_pools();
        }
        match event {
            Event::Tick => self.report_activity(now),
            Event::RequestArrived(arrival) => self.on_arrival(now, *arrival),
            Event::RequestShed { team, tokens } => self.on_request_shed(now, &team, tokens),
            Event::CallerDisconnected { request } => self.on_caller_disconnected(now, request),
            Event::ResponseStarted { request } => self.on_response_started(now, request),
            Event::AttemptEnded { request, end } => self.on_attempt_ended(now, request, end),
            Event::Document(document) => self.on_document(now, document),
            Event::ServerListed(record) => self.on_server_listed(now, record),
            Event::ServerRemoved { id } => self.on_server_removed(now, &id),
            Event::ServerMissing { id, expires_at } => self.directory.mark_missing(&id, expires_at),
            Event::RemovalsConfirmed => self.on_removals_confirmed(now),
            Event::NotesReceived { from, notes } => self.on_notes_received(now, from, notes),
            Event::CacheListed { server, parts } => self.on_cache_listed(now, server, &parts),
            Event::CacheListFailed { server } => self.on_cache_list_failed(now, server),
            Event::PeerCaches(caches) => self.on_peer_caches(now, caches),
            Event::Limits(limits) => {
                self.options.limits = limits;
                self.budget.set_options(limits.budget);
            }
            Event::ConnectionShare(share) => self.connection_share = share,
            Event::InstanceCount(instances) => self.budget.set_instances(instances),
        }
        if self.prune_at.is_due(now) {
            self.prune(now);
            self.prune_at = now.after(PRUNE_INTERVAL);
        }
        std::mem::take(&mut self.effects)
    }

    /// Takes the notes waiting to be sent to peers.
    pub fn take_notes(&mut self) -> Notes {
        Notes { notes: std::mem::take(&mut self.outbox) }
    }

    /// Whether any notes are waiting to be sent to peers.
    pub fn has_notes(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// The operator's configuration in force at this instance.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The servers, with this instance's estimates of their work.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Whether the server is listed as ready to accept requests.
    pub fn is_accepting(&self, server: ServerKey) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|it| it.record.state == ServerState::Ready)
    }

    /// Number of requests in flight at this instance.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Number of peers that sent a message within the peer timeout.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// The earliest of the times at which each peer's last message was received; `None` without
    /// peers.
    pub fn oldest_peer_contact(&self) -> Option<Timestamp> {
        self.peers.values().min().copied()
    }

    /// Retries that this instance may still make now, by service name.
    pub fn retries_left(&mut self, now: Timestamp) -> Vec<(String, f64)> {
        let services = self.document.services.iter();
        services.map(|(&id, it)| (it.name.clone(), self.budget.available(now, id))).collect()
    }

    /// Where a team stands: relative to its share of the engines' tokens while these do not meet
    /// all demand, else to its share of the requests that this instance admits.
    pub fn standing(&mut self, now: Timestamp, team: TeamId) -> Standing {
        let usage = match self.shares.contended_usage(now, team) {
            Some(usage) => usage,
            None => self.local_requests.share_usage(now, team),
        };
        if usage > 1.0 { Standing::OverShare } else { Standing::WithinShare }
    }

    /// Connections that this instance may have open to one server of the service; at least one.
    pub fn connections_max(&self, service: ServiceId) -> usize {
        let total = self.document.services.get(&service).map_or(1, |it| it.max_connections);
        ((f64::from(total) * self.connection_share) as usize).max(1)
    }

    /// Draws a delay of up to `max` at random, so that callers do not all return at once.
    pub fn draw_delay(&mut self, max: Millis) -> Millis {
        Millis(self.rng.random_range(0..=max.0))
    }

    /// Draws one of a route's services at random, in proportion to the weights.
    pub fn draw_service(&mut self, services: &[(ServiceId, u32)]) -> Option<ServiceId> {
        let total_weight: u32 = services.iter().map(|it| it.1).sum();
        if total_weight == 0 {
            return services.first().map(|it| it.0);
        }
        let mut drawn = self.rng.random_range(0..total_weight);
        for &(service, weight) in services {
            if drawn < weight {
                return Some(service);
            }
            drawn -= weight;
        }
        None
    }

    fn on_arrival(&mut self, now: Timestamp, arrival: Arrival) {
        let request = arrival.request;
        self.budget.record_request(now, arrival.service);
        if let Some(team) = &arrival.team {
            self.local_requests.record_requested(now, team.id, 1);
            self.local_requests.record_granted(now, team.id, 1);
        }
        if let Some((team, tokens)) = State::charge(&arrival) {
            if let Some(team) = &arrival.team {
                self.activity.record_requested(team, tokens);
            }
            self.shares.record_requested(now, team, tokens);
            self.queue_note(Note::TokensRequested { team, tokens });
        }
        if self.crashes.is_barred(now, arrival.fingerprint) {
            self.fail_request(request, Failure::CrashesServers);
            return;
        }
        let in_flight = InFlightRequest::new(arrival);
        if self.requests.len() >= self.options.limits.max_in_flight {
            self.refuse(now, &in_flight, Refusal::InstanceFull, LowestEstimates::NONE, 0.0);
            return;
        }
        let limits = self.admission_limits(now, &in_flight);
        self.send_or_refuse(now, in_flight, limits);
    }

    /// The limits that apply to a new request, from where its team stands.
    fn admission_limits(&mut self, now: Timestamp, in_flight: &InFlightRequest) -> AdmissionLimits {
        let arrival = &in_flight.arrival;
        let remaining_ms = arrival.deadline().remaining(now).0 as f64;
        if arrival.prompt.is_none() {
            return AdmissionLimits::until_deadline(remaining_ms);
        }
        let target_ms = arrival.route.target_latency.0 as f64;
        let usage = arrival.team.as_ref().and_then(|it| self.shares.contended_usage(now, it.id));
        AdmissionLimits::new(target_ms, remaining_ms, usage)
    }

    /// Ratio of the team's usage to its fair share; 1 means that the share is used up.
    fn share_usage(&mut self, now: Timestamp, arrival: &Arrival) -> f64 {
        arrival.team.as_ref().map_or(0.0, |it| self.shares.share_usage(now, it.id))
    }

    fn send_or_refuse(
        &mut self,
        now: Timestamp,
        in_flight: InFlightRequest,
        limits: AdmissionLimits,
    ) {
        match self.choose_server(now, &in_flight, limits) {
            Ok(placement) => self.send(now, in_flight, placement),
            Err(error) => {
                let reason = self.refusal_reason(now, &in_flight, error);
                let lowest = match error {
                    PlacementError::TooLate(lowest) => lowest,
                    PlacementError::NoServer | PlacementError::NoSlot => LowestEstimates::NONE,
                };
                self.refuse(now, &in_flight, reason, lowest, limits.allowed_ms);
            }
        }
    }

    fn choose_server(
        &self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        limits: AdmissionLimits,
    ) -> Result<place::Placement, PlacementError> {
        let keys = self.pools.get(&in_flight.arrival.service).ok_or(PlacementError::NoServer)?;
        let servers = keys.iter().filter_map(|it| self.servers.get(it));
        let required = Requirements {
            prompt: in_flight.arrival.prompt.as_ref(),
            tried: &in_flight.tried,
            limits,
            connections_max: self.connections_max(in_flight.arrival.service),
            remaining_ms: in_flight.arrival.deadline().remaining(now).0 as f64,
            data_centre: &self.options.data_centre,
        };
        place::choose(now, servers, required)
    }

    fn refusal_reason(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        error: PlacementError,
    ) -> Refusal {
        match error {
            PlacementError::NoServer if in_flight.tried.is_empty() => Refusal::NoServer,
            PlacementError::NoServer => Refusal::TurnedAway,
            _ if in_flight.arrival.deadline().is_due(now) => Refusal::TooLate,
            _ if self.share_usage(now, &in_flight.arrival) > 1.0 => Refusal::TeamOverShare,
            _ => Refusal::Overload,
        }
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        in_flight: &InFlightRequest,
        reason: Refusal,
        lowest: LowestEstimates,
        allowed_ms: f64,
    ) {
        let request = in_flight.arrival.request;
        let LowestEstimates { cost_ms, expected_ms } = lowest;
        self.record_outcome(&in_flight.arrival, TokenOutcome::Refused);
        let share_usage = self.share_usage(now, &in_flight.arrival);
        let excess_ms = (cost_ms - allowed_ms).clamp(RETRY_AFTER_MS.start, RETRY_AFTER_MS.end);
        let jitter = self.rng.random_range(1.0..2.0);
        let retry_after = Millis((excess_ms * jitter) as u64);
        let decision = Decision::RequestRefused {
            request,
            reason,
            cost_ms,
            expected_ms,
            allowed_ms,
            share_usage,
        };
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Refuse { request, reason, retry_after });
    }

    fn fail_request(&mut self, request: RequestId, reason: Failure) {
        self.effects.push(Effect::Log(Decision::RequestFailed { request, reason }));
        self.effects.push(Effect::Fail { request, reason });
    }

    fn queue_note(&mut self, note: Note) {
        // Notes only refine estimates, so dropping one when the outbox is full is safe.
        if self.outbox.len() < OUTBOX_CAPACITY {
            self.outbox.push(note);
        }
    }

    fn on_notes_received(&mut self, now: Timestamp, from: u32, notes: Notes) {
        self.peers.insert(from, now);
        for note in notes.notes {
            self.apply_note(now, from, note);
        }
    }

    fn apply_note(&mut self, now: Timestamp, from: u32, note: Note) {
        let attempt_key = |attempt| AttemptKey { instance: from, attempt };
        match note {
            Note::AttemptSent { server, attempt, prefill_tokens, charge, parts, fetch } => {
                self.record_transfer(now, server, fetch);
                if let Some((team, tokens)) = charge {
                    self.shares.record_granted(now, team, tokens);
                }
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_sent(now, attempt_key(attempt), prefill_tokens);
                    server.record_cached_parts(now, &parts);
                }
            }
            Note::ResponseStarted { server, attempt } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_response_start(now, attempt_key(attempt));
                }
            }
            Note::AttemptEnded { server, attempt, event_interval_micros, refunded } => {
                if let Some((team, tokens)) = refunded {
                    self.shares.record_refund(now, team, tokens);
                }
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_end(now, attempt_key(attempt));
                    server.record_event_interval(now, event_interval_micros);
                }
            }
            Note::TokensRequested { team, tokens } => {
                self.shares.record_requested(now, team, tokens)
            }
            Note::ServerAvoided { server, for_ms } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.health.extend_avoidance(now.after(Millis(for_ms.into())));
                }
            }
            Note::CacheListed { server, parts } => self.merge_peer_cache(now, server, &parts),
            Note::ServerCrashed { fingerprint } => self.record_crash(now, fingerprint),
        }
    }

    fn record_crash(&mut self, now: Timestamp, fingerprint: u64) {
        if self.crashes.record_crash(now, fingerprint) {
            self.effects.push(Effect::Log(Decision::RequestBarred { fingerprint }));
        }
    }

    fn prune(&mut self, now: Timestamp) {
        let inactive: Vec<u32> = self
            .peers
            .iter()
            .filter(|(_, last_message_at)| last_message_at.after(PEER_TIMEOUT).is_due(now))
            .map(|(&peer, _)| peer)
            .collect();
        for peer in inactive {
            self.peers.remove(&peer);
            self.effects.push(Effect::Log(Decision::PeerSilent { peer }));
        }
        let (own_id, peers) = (self.options.instance, &self.peers);
        for server in self.servers.values_mut() {
            server.prune(now, |it| it != own_id && !peers.contains_key(&it));
        }
        self.expire_missing_servers(now);
        self.update_speed_priors();
        self.request_cache_lists(now);
    }

    /// Counts a request that this instance rejected. Its tokens are no demand on the engines, as
    /// the caller sends it again.
    fn on_request_shed(&mut self, now: Timestamp, team: &Arc<Team>, tokens: u32) {
        self.local_requests.record_requested(now, team.id, 1);
        self.activity.record_requested(team, tokens);
        self.activity.record_outcome(team, tokens, TokenOutcome::Shed);
    }

    fn record_outcome(&mut self, arrival: &Arrival, outcome: TokenOutcome) {
        if let (Some(team), Some(prompt)) = (&arrival.team, &arrival.prompt) {
            self.activity.record_outcome(team, prompt.charge(), outcome);
        }
    }

    /// Logs what each team asked for and got here, once a second.
    fn report_activity(&mut self, now: Timestamp) {
        for tokens in self.activity.take_report(now) {
            let share_usage = self.shares.share_usage(now, tokens.team.id);
            let fair_share = self.shares.fair_share();
            let decision = Decision::TeamActivity { tokens, share_usage, fair_share };
            self.effects.push(Effect::Log(decision));
        }
    }

    fn charge(arrival: &Arrival) -> Option<(TeamId, u32)> {
        let (team, prompt) = (arrival.team.as_ref()?, arrival.prompt.as_ref()?);
        Some((team.id, prompt.charge()))
    }
}
