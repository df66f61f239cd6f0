//! The reducer: every event goes through [`State::step`].

mod attempt;
mod cache;
mod listing;

use std::{collections::HashMap, sync::Arc};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{Millis, PoolId, RequestId, TeamId, Timestamp};

use crate::{
    Arrival, Decision, Directory, Document, Effect, Event, Failure, Notes, Refusal, ServerKey,
    ServerState,
    budget::Budget,
    event::InstanceLimits,
    note::{AttemptKey, Note},
    place::{self, PlacementError, Requirements},
    request::InFlightRequest,
    server::Server,
    share::Shares,
    strikes::CrashTracker,
};

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance among its peers.
    pub instance: u32,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// The seed of its generator.
    pub seed: u64,
    /// What settings limit.
    pub limits: InstanceLimits,
    /// The window over which teams' shares are counted.
    pub share_window: Millis,
}

/// What one instance knows and has under way.
#[derive(Debug)]
pub struct State {
    options: Options,
    document: Arc<Document>,
    directory: Directory,
    servers: HashMap<ServerKey, Server>,
    pools: HashMap<PoolId, Vec<ServerKey>>,
    requests: HashMap<RequestId, InFlightRequest>,
    budget: Budget,
    crashes: CrashTracker,
    shares: Shares,
    peers: HashMap<u32, Timestamp>,
    next_attempt: u64,
    prune_at: Timestamp,
    /// Whether the lists of servers by service are up to date.
    pools_are_current: bool,
    outbox: Vec<Note>,
    effects: Vec<Effect>,
    rng: ChaCha8Rng,
}

/// A peer that is silent for this long is taken for gone.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// How often what was forgotten elsewhere is dropped.
const PRUNE_INTERVAL: Millis = Millis(250);

/// Notes that wait for the next message to peers.
const OUTBOX_CAPACITY: usize = 4_096;

/// The part of its objective that a request may be expected to take.
const OBJECTIVE_FRACTION: f64 = 0.85;

/// The same while others ask for more than their share, for a team that does not.
const OBJECTIVE_FRACTION_UNDER_SHARE: f64 = 0.95;

/// The same for a team that asks for more than its share.
const OBJECTIVE_FRACTION_OVER_SHARE: f64 = 0.7;

/// How steeply that part falls for a team that is over its share.
const OVER_SHARE_EXPONENT: i32 = 2;

/// The first and the last milliseconds after which a refused caller may come back.
const RETRY_AFTER_MS: std::ops::Range<f64> = 100.0..2_000.0;

impl State {
    /// The state of an instance whose process started at `now`.
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
            peers: HashMap::new(),
            next_attempt: 0,
            prune_at: now,
            pools_are_current: true,
            outbox: Vec::new(),
            effects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Takes one event and gives what is to be done.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        if !matches!(
            event,
            Event::ServerListed(_) | Event::ServerRemoved { .. } | Event::ServerMissing { .. }
        ) {
            self.rebuild_pools();
        }
        match event {
            Event::Tick => {}
            Event::RequestArrived(arrival) => self.on_arrival(now, *arrival),
            Event::CallerDisconnected { request } => self.on_caller_gone(now, request),
            Event::ResponseStarted { request } => self.on_begun(now, request),
            Event::AttemptEnded { request, end } => self.on_attempt_ended(now, request, end),
            Event::Document(document) => self.on_document(now, document),
            Event::ServerListed(record) => self.on_listed(now, record),
            Event::ServerRemoved { id } => self.on_unlisted(now, &id),
            Event::ServerMissing { id, expires_at: gone_at } => {
                self.directory.mark_missing(&id, gone_at)
            }
            Event::RemovalsConfirmed => self.on_listing_confirmed(now),
            Event::NotesReceived { from, notes } => self.on_peer_notes(now, from, notes),
            Event::CacheListed { server, parts } => self.on_cache_listed(now, server, &parts),
            Event::CacheListFailed { server } => self.on_cache_listing_failed(now, server),
            Event::PeerCaches(beliefs) => self.on_cache_snapshot(now, beliefs),
            Event::Limits(limits) => {
                self.options.limits = limits;
                self.budget.set_options(limits.budget);
            }
            Event::InstanceCount(instances) => self.budget.set_instances(instances),
        }
        if self.prune_at.is_due(now) {
            self.prune(now);
            self.prune_at = now.after(PRUNE_INTERVAL);
        }
        std::mem::take(&mut self.effects)
    }

    /// What peers are to be told; the notes are taken out.
    pub fn take_notes(&mut self) -> Notes {
        Notes { notes: std::mem::take(&mut self.outbox) }
    }

    /// Whether peers are to be told anything.
    pub fn has_notes(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// The configuration in force here.
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// What is believed of each server.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Whether the server takes new work, as far as is known.
    pub fn is_accepting(&self, server: ServerKey) -> bool {
        let server = self.servers.get(&server);
        server.is_some_and(|it| it.record.state == ServerState::Ready)
    }

    /// Requests that are held.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Peers that were heard lately.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// When the peer was heard that has been silent for longest.
    pub fn oldest_peer_contact(&self) -> Option<Timestamp> {
        self.peers.values().min().copied()
    }

    /// Retries that are left to this instance, by service.
    pub fn retries_left(&mut self, now: Timestamp) -> Vec<(String, f64)> {
        let services = self.document.services.iter();
        services.map(|(&id, it)| (it.name.clone(), self.budget.available(now, id))).collect()
    }

    /// Which of a route's services gets the next request, by their weights.
    pub fn draw_service(&mut self, services: &[(PoolId, u32)]) -> Option<PoolId> {
        let whole: u32 = services.iter().map(|it| it.1).sum();
        if whole == 0 {
            return services.first().map(|it| it.0);
        }
        let mut drawn = self.rng.random_range(0..whole);
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
        if let Some((team, tokens)) = State::charge(&arrival) {
            self.shares.record_requested(now, team, tokens);
            self.queue_note(Note::TokensRequested { team, tokens });
        }
        if self.crashes.is_barred(now, arrival.fingerprint) {
            self.fail_request(request, Failure::CrashesServers);
            return;
        }
        let held = InFlightRequest::new(arrival);
        if self.requests.len() >= self.options.limits.max_in_flight {
            self.refuse(now, &held, Refusal::InstanceFull, f64::INFINITY, 0.0);
            return;
        }
        let allowed_ms = self.allowed_ms(now, &held);
        self.send_or_refuse(now, held, allowed_ms);
    }

    /// Milliseconds that the first byte of a request that just came may take.
    fn allowed_ms(&mut self, now: Timestamp, held: &InFlightRequest) -> f64 {
        let arrival = &held.arrival;
        let left = arrival.deadline().remaining(now).0 as f64;
        if arrival.prompt.is_none() {
            return left;
        }
        let objective = arrival.route.target_latency.0 as f64;
        let part = arrival
            .team
            .as_ref()
            .map_or(OBJECTIVE_FRACTION, |it| self.objective_fraction(now, it.id));
        (objective * part).min(left)
    }

    /// The part of its objective that a request of the team may be expected to take. Teams
    /// that ask for more than their share leave room for those that do not.
    fn objective_fraction(&mut self, now: Timestamp, team: TeamId) -> f64 {
        let used = self.shares.usage(now, team);
        if used == 0.0 {
            return OBJECTIVE_FRACTION;
        }
        if self.shares.is_under_share(now, team) {
            return OBJECTIVE_FRACTION_UNDER_SHARE;
        }
        OBJECTIVE_FRACTION_OVER_SHARE / used.max(1.0).powi(OVER_SHARE_EXPONENT)
    }

    /// What the request's team has of its share; 1 is all of it.
    fn team_share(&mut self, now: Timestamp, arrival: &Arrival) -> f64 {
        arrival.team.as_ref().map_or(0.0, |it| self.shares.usage(now, it.id))
    }

    fn send_or_refuse(&mut self, now: Timestamp, held: InFlightRequest, allowed_ms: f64) {
        match self.choose_server(now, &held, allowed_ms) {
            Ok(placement) => self.send(now, held, placement),
            Err(error) => {
                let why = self.refusal_reason(now, &held, error);
                let cost_ms = match error {
                    PlacementError::TooLate { cost_ms } => cost_ms,
                    PlacementError::NoServer | PlacementError::NoSlot => f64::INFINITY,
                };
                self.refuse(now, &held, why, cost_ms, allowed_ms);
            }
        }
    }

    fn choose_server(
        &self,
        now: Timestamp,
        held: &InFlightRequest,
        allowed_ms: f64,
    ) -> Result<place::Placement, PlacementError> {
        let keys = self.pools.get(&held.arrival.service).ok_or(PlacementError::NoServer)?;
        let servers = keys.iter().filter_map(|it| self.servers.get(it));
        let required = Requirements {
            prompt: held.arrival.prompt.as_ref(),
            tried: &held.tried,
            allowed_ms,
            remaining_ms: held.arrival.deadline().remaining(now).0 as f64,
            data_centre: &self.options.data_centre,
        };
        place::choose(now, servers, required)
    }

    fn refusal_reason(
        &mut self,
        now: Timestamp,
        held: &InFlightRequest,
        error: PlacementError,
    ) -> Refusal {
        match error {
            PlacementError::NoServer if held.tried.is_empty() => Refusal::NoServer,
            PlacementError::NoServer => Refusal::TurnedAway,
            _ if held.arrival.deadline().is_due(now) => Refusal::TooLate,
            _ if self.team_share(now, &held.arrival) > 1.0 => Refusal::TeamOverShare,
            _ => Refusal::Overload,
        }
    }

    fn refuse(
        &mut self,
        now: Timestamp,
        held: &InFlightRequest,
        why: Refusal,
        cost_ms: f64,
        allowed_ms: f64,
    ) {
        let request = held.arrival.request;
        let team_share = self.team_share(now, &held.arrival);
        let over = (cost_ms - allowed_ms).clamp(RETRY_AFTER_MS.start, RETRY_AFTER_MS.end);
        let spread = self.rng.random_range(1.0..2.0);
        let retry_after = Millis((over * spread) as u64);
        let decision = Decision::RequestRefused {
            request,
            reason: why,
            estimated_ms: cost_ms,
            allowed_ms,
            team_share,
        };
        self.effects.push(Effect::Log(decision));
        self.effects.push(Effect::Refuse { request, reason: why, retry_after });
    }

    fn fail_request(&mut self, request: RequestId, why: Failure) {
        self.effects.push(Effect::Log(Decision::RequestFailed { request, reason: why }));
        self.effects.push(Effect::Fail { request, reason: why });
    }

    fn queue_note(&mut self, note: Note) {
        // A peer that misses a note has a worse estimate, no more.
        if self.outbox.len() < OUTBOX_CAPACITY {
            self.outbox.push(note);
        }
    }

    fn on_peer_notes(&mut self, now: Timestamp, from: u32, notes: Notes) {
        self.peers.insert(from, now);
        for note in notes.notes {
            self.apply_note(now, from, note);
        }
    }

    fn apply_note(&mut self, now: Timestamp, from: u32, note: Note) {
        let origin = |attempt| AttemptKey { instance: from, attempt };
        match note {
            Note::AttemptSent { server, attempt, tokens, charge, parts, fetch } => {
                self.record_transfer(now, server, fetch);
                if let Some((team, tokens)) = charge {
                    self.shares.record_granted(now, team, tokens);
                }
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_sent(now, origin(attempt), tokens);
                    server.record_cached_parts(now, &parts);
                }
            }
            Note::ResponseStarted { server, attempt } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_response_start(now, origin(attempt));
                }
            }
            Note::AttemptEnded {
                server,
                attempt,
                event_interval_micros: pace_micros,
                refunded: returned,
            } => {
                if let Some((team, tokens)) = returned {
                    self.shares.record_refund(now, team, tokens);
                }
                if let Some(server) = self.servers.get_mut(&server) {
                    server.record_end(now, origin(attempt));
                    server.record_event_interval(now, pace_micros);
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
        let silent: Vec<u32> = self
            .peers
            .iter()
            .filter(|(_, heard_at)| heard_at.after(PEER_TIMEOUT).is_due(now))
            .map(|(&peer, _)| peer)
            .collect();
        for peer in silent {
            self.peers.remove(&peer);
            self.effects.push(Effect::Log(Decision::PeerSilent { peer }));
        }
        let (own_id, peers) = (self.options.instance, &self.peers);
        for server in self.servers.values_mut() {
            server.prune(now, |it| it != own_id && !peers.contains_key(&it));
        }
        self.expire_lapsed_servers(now);
        self.update_speed_priors();
        self.request_cache_listings(now);
    }

    fn charge(arrival: &Arrival) -> Option<(TeamId, u32)> {
        let (team, prompt) = (arrival.team.as_ref()?, arrival.prompt.as_ref()?);
        Some((team.id, prompt.charge()))
    }
}
