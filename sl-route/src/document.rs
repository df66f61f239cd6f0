//! The operators' configuration: routes, services, teams and limits.

use std::{collections::HashMap, sync::Arc};

use serde::Serialize;
use sl_base::{Millis, ServiceId, TeamId};
use strum::{Display, IntoStaticStr};

use crate::AllowedRegions;

/// One version of the operators' configuration. The version in force only increases while the
/// process runs.
#[derive(Clone, Debug, Default)]
pub struct Document {
    /// The version number; zero before any configuration was received.
    pub version: u64,
    /// Routes by host, the longest path prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    /// The services by the id of their server pool.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Teams by API key.
    keys: HashMap<String, Arc<Team>>,
    /// The longest timeout of any route; `None` without routes.
    longest_timeout: Option<Millis>,
    /// Whether the configuration contains teams, even if none are listed. If not, requests need no API
    /// key.
    pub requires_keys: bool,
}

/// A route: the requests that it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Route {
    /// The route's name in logs and metrics.
    pub name: String,
    /// The host that requests have to name.
    pub host: String,
    /// The prefix that the paths of requests have to have.
    pub prefix: String,
    /// The services among which requests are split, with their weights.
    pub services: Vec<(ServiceId, u32)>,
    /// Whether a request that may have run may be run again.
    pub retry_policy: RetryPolicy,
    /// The longest time from receiving a request to the end of its response.
    pub timeout: Millis,
    /// The target for the time to the response, or to the first event of a stream.
    pub target_latency: Millis,
    /// The maximum number of attempts per request. Failed connections do not count.
    pub max_attempts: u32,
    /// The priority of the route's requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no API key.
    pub allows_anonymous: bool,
    /// The target for the longest interval between two events of a stream.
    pub target_gap: Option<Millis>,
    /// The regions in which the route's requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Whether a request that may have run may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetryPolicy {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run only once.
    #[serde(rename = "once")]
    #[strum(serialize = "once")]
    NonIdempotent,
    /// The response is a stream of events, and the request may run only once.
    Stream,
    /// The response is a stream of events that another server can resume.
    ResumableStream,
}

impl RetryPolicy {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RetryPolicy::Stream | RetryPolicy::ResumableStream)
    }

    /// Whether a request that may have run may run again.
    pub fn allows_rerun(self) -> bool {
        matches!(self, RetryPolicy::Idempotent | RetryPolicy::ResumableStream)
    }
}

/// A service: backend servers that run the same requests.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// The service's name, from which its [`ServiceId`] is derived.
    pub name: String,
    /// The maximum number of connections that one server accepts from all instances together.
    pub max_connections: u32,
    /// The limits of its servers if they are model engines.
    pub engine: Option<EngineLimits>,
    /// What its servers take while they are cold; `None` if they never are.
    pub warmup: Option<WarmupLimits>,
    /// The path of requests for a server's health; `None` if its servers take none.
    pub health_path: Option<Arc<str>>,
}

/// What a server takes while it is cold.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WarmupLimits {
    /// How long a server is cold after its start; above 0.
    pub duration: Millis,
    /// Requests a second that a cold server takes from all instances together; above 0.
    pub per_second: f64,
}

/// The limits of a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct EngineLimits {
    /// The number of requests that the engine runs concurrently.
    pub slots: u32,
    /// The capacity of the engine's KV cache in tokens.
    pub kv_capacity_tokens: u32,
    /// Tokens per event of a streamed response.
    pub tokens_per_event: f64,
    /// Milliseconds to fetch one cached token from another engine; `None` if engines cannot
    /// fetch from each other.
    pub fetch_ms_per_token: Option<f64>,
}

/// Limits on callers' requests and connections, and the capacity of the engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The longest time from the first byte of a request to the end of its head.
    pub header_timeout: Millis,
    /// How long a connection may stay idle before it is closed.
    pub idle_timeout: Millis,
    /// The throughput of all engines together in tokens per second, where a prompt token counts
    /// once and a generated token twice.
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

/// A team and its priority.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Team {
    /// The team's name, which is sent to backend servers.
    pub name: String,
    /// The id that is derived from the name.
    pub id: TeamId,
    /// The priority of the team's requests, which takes precedence over that of the route; 0 is
    /// the most urgent.
    pub priority: u32,
    /// The regions in which the team's requests may be served.
    pub allowed_regions: AllowedRegions,
}

impl Document {
    /// Builds a configuration. Each team comes with its API keys.
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
            services.into_iter().map(|it| (ServiceId::of(&it.name), Arc::new(it))).collect();
        let mut keys = HashMap::new();
        let mut requires_keys = false;
        for (team, api_keys) in teams {
            requires_keys = true;
            let team = Arc::new(team);
            keys.extend(api_keys.into_iter().map(|it| (it, team.clone())));
        }
        let longest_timeout = by_host.values().flatten().map(|it| it.timeout).max();
        Document {
            version,
            routes: by_host,
            services,
            limits,
            keys,
            requires_keys,
            longest_timeout,
        }
    }

    /// The route of a request to `path` at `host`: the one with the longest matching prefix. A
    /// port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or_default();
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|it| path.starts_with(&it.prefix))
    }

    /// The team to which the API key `key` belongs.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.keys.get(key)
    }

    /// The longest timeout of any route: no request lasts longer. `None` without routes.
    pub fn longest_timeout(&self) -> Option<Millis> {
        self.longest_timeout
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
