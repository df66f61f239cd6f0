//! The reducer of one instance: [`State::step`] takes each event and returns the effects.

mod admit;
mod attempt;
mod cache;
mod crashes;
mod evacuation;
mod health_checks;
mod limits;
mod listing;
mod locality;
mod notes;
mod notices;
mod origins;
mod silence;
mod streams;
mod warmup;

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sl_base::{IdMap, Millis, RequestId, ServiceId, TeamId, Timestamp, WallClock};

use crate::{
    Decision, Directory, Document, Effect, Event, Notes, Regions, ServerKey,
    activity::Activity,
    budget::Budget,
    crash_causes::CrashCauses,
    crash_detector::CrashDetector,
    crash_record::StoredCrashes,
    demand::Demand,
    draining::DrainingRuns,
    estimates::Estimates,
    evacuation::Evacuations,
    event::InstanceLimits,
    locality::Shortage,
    note::Note,
    part_demand::PartDemand,
    request::InFlightRequest,
    route_balance::RouteBalance,
    server::Server,
    share::{Shares, Standing},
    stream_origin::StreamOrigins,
};
use warmup::ColdChange;

/// Parameters of an instance, fixed at its start except for `limits` and `regions`.
#[derive(Clone, Debug)]
pub struct Options {
    /// This instance's id, unique among its peers.
    pub instance: u32,
    /// The data centre in which the instance runs.
    pub data_centre: String,
    /// The region of each data centre from settings; replaced on `Event::Regions`.
    pub regions: Regions,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Limits from settings; replaced on `Event::Limits`.
    pub limits: InstanceLimits,
    /// The window over which teams' usage is summed.
    pub share_window: Millis,
    /// The wall clock, for times that other instances read.
    pub wall_clock: WallClock,
}

/// The state of one instance: its view of servers and peers, and its requests in flight.
#[derive(Debug)]
pub struct State {
    options: Options,
    /// The operator's configuration in force.
    document: Arc<Document>,
    /// Servers as listed by the platform.
    directory: Directory,
    servers: IdMap<ServerKey, Server>,
    draining_runs: DrainingRuns,
    /// Data centres to whose servers nothing is sent.
    evacuations: Evacuations,
    /// Servers by service, sorted; rebuilt from `servers` when out of date.
    pools: IdMap<ServiceId, Vec<ServerKey>>,
    /// Requests in flight.
    requests: IdMap<RequestId, InFlightRequest>,
    budget: Budget,
    crash_detector: CrashDetector,
    crash_causes: CrashCauses,
    stored_crashes: StoredCrashes,
    shares: Shares,
    /// Requests of each team at this instance, asked for and admitted.
    local_requests: Shares,
    /// Requests to engines of each route at this instance, asked for and admitted.
    route_balance: RouteBalance,
    activity: Activity,
    estimates: Estimates,
    /// Fraction of each server's connections that this instance may open.
    connection_share: f64,
    /// When the last message of each peer was received.
    peers: IdMap<u32, Timestamp>,
    started_at: Timestamp,
    demand: Demand,
    /// For each service, how many requests the servers of the own data centre could not take.
    shortages: IdMap<ServiceId, Shortage>,
    /// Where streams began.
    origins: StreamOrigins,
    /// The number of instances in the fleet, including this one.
    instances: usize,
    /// The ids of the instances that the platform's store lists, sorted.
    listed_instances: Vec<u32>,
    /// When this instance last heard from the platform's store or from a peer.
    contact_at: Timestamp,
    /// When the platform's store last answered as many instances as usual.
    store_followed_at: Timestamp,
    /// Servers that turned cold or warm, or may have, in the current step.
    cold_changes: Vec<ColdChange>,
    part_demand: PartDemand,
    /// When peers are told of cold servers again.
    announce_cold_at: Timestamp,
    /// The number of the latest attempt.
    last_attempt: u64,
    prune_at: Timestamp,
    /// Whether `pools` matches `servers`.
    pools_are_current: bool,
    /// Notes to be sent to peers.
    outbox: Vec<Note>,
    /// Notes to be sent to peers once more, at the next tick.
    repeated_notes: Vec<Note>,
    /// Effects of the current step.
    effects: Vec<Effect>,
    rng: ChaCha8Rng,
}

/// Fleet size assumed until the actual one is known. High, so that a new instance uses little of
/// what it shares with the others.
const INSTANCES_DEFAULT: usize = 1_000;

/// A peer that sent no message for this long is removed, along with its attempts.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Interval between removals of inactive peers, overdue requests and expired server entries.
const PRUNE_INTERVAL: Millis = Millis(250);

impl State {
    /// Creates the state of an instance whose process started at `now`.
    pub fn new(options: Options, now: Timestamp) -> State {
        State {
            document: Arc::default(),
            directory: Directory::default(),
            servers: IdMap::default(),
            draining_runs: DrainingRuns::default(),
            evacuations: Evacuations::default(),
            pools: IdMap::default(),
            requests: IdMap::default(),
            budget: Budget::new(options.limits.budget),
            crash_detector: CrashDetector::default(),
            crash_causes: CrashCauses::default(),
            stored_crashes: StoredCrashes::default(),
            route_balance: RouteBalance::default(),
            shares: Shares::new(now, options.share_window),
            local_requests: Shares::new(now, options.share_window),
            activity: Activity::new(now),
            estimates: Estimates::new(now),
            connection_share: 1.0,
            peers: IdMap::default(),
            started_at: now,
            demand: Demand::new(now),
            shortages: IdMap::default(),
            origins: StreamOrigins::new(now, options.wall_clock),
            instances: INSTANCES_DEFAULT,
            listed_instances: Vec::new(),
            contact_at: now,
            store_followed_at: now,
            cold_changes: Vec::new(),
            part_demand: PartDemand::new(now),
            announce_cold_at: now,
            last_attempt: 0,
            prune_at: now,
            pools_are_current: true,
            outbox: Vec::new(),
            repeated_notes: Vec::new(),
            effects: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            options,
        }
    }

    /// Applies one event and returns the effects to carry out.
    pub fn step(&mut self, now: Timestamp, event: Event) -> Vec<Effect> {
        // Not at the next prune: a removed server must not get requests for longer than its drain time.
        if self.directory.has_expired(now) {
            self.expire_missing_servers(now);
        }
        if !matches!(
            event,
            Event::ServerListed(_) | Event::ServerRemoved { .. } | Event::ServerMissing { .. }
        ) {
            self.rebuild_pools();
        }
        // First, so that a request which arrives now is judged by all crashes known by now.
        self.confirm_crashes(now);
        match event {
            Event::Tick => self.on_tick(now),
            Event::RequestArrived(arrival) => self.on_arrival(now, *arrival),
            Event::RequestShed { team, tokens } => self.on_request_shed(now, &team, tokens),
            Event::RequestEndedEarly { team, tokens, outcome } => {
                self.on_request_ended_early(&team, tokens, outcome);
            }
            Event::CallerDisconnected { request } => self.on_caller_disconnected(now, request),
            Event::ResponseStarted { request } => self.on_response_started(now, request),
            Event::AttemptEnded { request, end } => self.on_attempt_ended(now, request, end),
            Event::AttemptSilent { request, is_partially_delivered } => {
                self.on_attempt_silent(now, request, is_partially_delivered);
            }
            Event::Document(document) => self.on_document(now, document),
            Event::ServerListed(record) => self.on_server_listed(now, record),
            Event::ServerRemoved { id } => self.on_server_removed(now, &id),
            Event::ServerMissing { id, expires_at } => self.directory.mark_missing(&id, expires_at),
            Event::RemovalsConfirmed => self.on_removals_confirmed(now),
            Event::NotesReceived { from, notes } => self.on_notes_received(now, from, notes),
            Event::CacheListed { server, parts } => self.on_cache_listed(now, server, &parts),
            Event::CacheListFailed { server } => self.on_cache_list_failed(now, server),
            Event::PeerCaches(caches) => self.on_peer_caches(now, caches),
            Event::StreamOriginFound { stream, origin } => {
                self.origins.record_origin(now, stream, origin);
            }
            Event::StoreEra(era) => self.on_store_era(era),
            Event::VersionRecordListed(record) => self.on_version_record(now, record),
            Event::CrashRecordListed(record) => self.on_crash_record(now, record),
            Event::StoredOriginsRead(batches) => self.on_stored_origins(now, &batches),
            Event::StreamNotStored { stream, service } => {
                self.on_stream_not_stored(now, stream, service);
            }
            Event::ServerNotice { server, notice } => self.on_server_notice(now, server, notice),
            Event::EvacuationRequested { data_centre } => self.on_evacuation_requested(data_centre),
            Event::EvacuationLifted { data_centre } => self.on_evacuation_lifted(now, &data_centre),
            Event::StoreRestored => self.on_store_restored(now),
            Event::Limits(limits) => {
                self.options.limits = limits;
                self.budget.set_options(limits.budget);
                self.update_cold_slots(now);
            }
            Event::Regions(regions) => self.options.regions = regions,
            Event::ConnectionShare(share) => self.connection_share = share,
            Event::InstanceCount(instances) => self.on_instance_count(now, instances),
            Event::InstancesListed(instances) => self.on_instances_listed(now, instances),
            Event::HealthChecked { server } => self.on_health_checked(now, server),
            Event::StoreContact(at) => self.contact_at = self.contact_at.max(at),
            Event::StoreFollowed => self.store_followed_at = now,
        }
        self.apply_cold_changes(now);
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

    /// Whether the server may get a request of this instance at `now`: it is listed as ready, has
    /// not asked for anything else, and is not evacuated.
    pub fn is_accepting(&self, now: Timestamp, server: ServerKey) -> bool {
        let is_evacuated = self.is_evacuated(server);
        let server = self.servers.get(&server);
        server.is_some_and(|it| it.is_in_service() && !it.is_paused(now)) && !is_evacuated
    }

    /// Whether the server has named a limit on the requests of all instances.
    pub fn is_limited(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_some_and(|it| it.send_limit.is_some())
    }

    /// What this instance admitted of each route's requests to engines.
    pub fn route_balance(&self) -> &RouteBalance {
        &self.route_balance
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
        let of_fleet = self.shares.contended_usage(now, team);
        let usage = of_fleet.or_else(|| self.local_requests.contended_usage(now, team));
        let is_over = usage.is_some_and(|it| it.ratio > 1.0);
        if is_over { Standing::OverShare } else { Standing::WithinShare }
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
        let total_weight: u64 = services.iter().map(|it| u64::from(it.1)).sum();
        if total_weight == 0 {
            return services.first().map(|it| it.0);
        }
        let mut drawn = self.rng.random_range(0..total_weight);
        for &(service, weight) in services {
            let weight = u64::from(weight);
            if drawn < weight {
                return Some(service);
            }
            drawn -= weight;
        }
        None
    }

    fn on_tick(&mut self, now: Timestamp) {
        self.update_limit_shares(now);
        self.update_cold_servers(now);
        self.check_health(now);
        std::mem::take(&mut self.repeated_notes).into_iter().for_each(|it| self.queue_note(it));
        self.report_activity(now);
        self.report_estimates(now);
        self.announce_bars(now);
    }

    fn prune(&mut self, now: Timestamp) {
        self.end_evacuations(now);
        self.record_survivors(now);
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
        self.expire_limits(now);
        self.update_speed_priors();
        self.request_cache_lists(now);
        self.refresh_streams(now);
    }
}
