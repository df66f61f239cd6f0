//! The operator's configuration: routes, services, teams and limits.

use std::{collections::HashMap, sync::Arc};

use sl_base::{Millis, PoolId, TeamId};
use strum::{Display, IntoStaticStr};

/// One version of the operator's configuration. Versions only ever rise within a process's
/// life.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Routes by host, the longest path prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// Services.
    pub services: HashMap<PoolId, Arc<Service>>,
    /// What a caller may send.
    pub limits: Limits,
    /// Which team an API key belongs to.
    keys: HashMap<String, Arc<Team>>,
    /// Whether there are teams at all; where there are none, no key is asked for.
    pub has_teams: bool,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name in logs and metrics.
    pub name: String,
    /// The host that its requests name.
    pub host: String,
    /// What their paths begin with.
    pub prefix: String,
    /// The services that run its requests, each with its weight.
    pub services: Vec<(PoolId, u32)>,
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// The longest time that a request may be kept waiting.
    pub timeout: Millis,
    /// The time within which an answer, or a stream's first event, is on time.
    pub target_latency: Millis,
    /// Servers that one request may be sent to.
    pub max_attempts: u32,
    /// How urgent it is; 0 is the most urgent.
    pub priority: u8,
    /// Whether it needs no API key.
    pub allows_anonymous: bool,
    /// The longest pause between a stream's events that is still on time.
    pub target_gap: Option<Millis>,
}

/// What may be repeated of a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It may run once.
    #[strum(serialize = "once")]
    NonIdempotent,
    /// Its answer is a stream, and it may run once.
    Stream,
    /// Its answer is a stream that another server can go on with.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Whether a request that may have run may run again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// A service: backend servers that run the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one of its servers takes from all instances together.
    pub max_connections: u32,
    /// What its servers are like where they are model engines.
    pub engine: Option<EngineLimits>,
}

/// The limits of a model engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_capacity_tokens: u32,
    /// Tokens in an event of a stream.
    pub tokens_per_event: f64,
    /// Milliseconds in which a token that another engine keeps is fetched from there; none
    /// where that cannot be done.
    pub fetch_ms_per_token: Option<f64>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time from a request's first byte to the end of its head.
    pub header_timeout: Millis,
    /// How long a connection may stay unused.
    pub idle_timeout: Millis,
    /// Tokens that all engines produce in a second, read ones once and generated ones twice.
    pub tokens_per_s: Option<f64>,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 4 * 1_024 * 1_024,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
            tokens_per_s: None,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name, which backend servers are told.
    pub name: String,
    /// The id that stands for the name.
    pub id: TeamId,
    /// How urgent its requests are; goes before a route's rank.
    pub priority: u8,
}

impl Document {
    /// A version of the configuration from its parts.
    pub fn new(
        version: u64,
        routes: impl IntoIterator<Item = Route>,
        services: impl IntoIterator<Item = Service>,
        limits: Limits,
        teams: impl IntoIterator<Item = (Team, Vec<String>)>,
    ) -> Document {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let services =
            services.into_iter().map(|it| (PoolId::of(&it.name), Arc::new(it))).collect();
        let mut keys = HashMap::new();
        let mut has_teams = false;
        for (team, of_team) in teams {
            has_teams = true;
            let team = Arc::new(team);
            keys.extend(of_team.into_iter().map(|it| (it, team.clone())));
        }
        Document { version, routes: by_host, services, limits, keys, has_teams }
    }

    /// The route of a request to `path` at `host`: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// The team that holds `key`.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
