//! What operators edit: a template names routes and gives each team its parameters.

use serde::{Deserialize, Serialize};
use sl_base::{Millis, PoolId, TeamId};
use strum::{Display, EnumString, VariantNames};

/// A template that passed every check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Template {
    /// The template's name, unique in a configuration.
    pub name: String,
    /// The routes that its teams may call, tried in order.
    pub routes: Vec<Route>,
    /// The teams that it serves.
    pub teams: Vec<Team>,
}

/// One team's parameters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's name, unique in a configuration.
    pub name: String,
    /// The id that stands for the name on the wire.
    pub id: TeamId,
    /// The share of capacity against other teams' shares; at least one.
    pub share: u32,
    /// BLAKE3 hashes of the credentials that name the team, in hex; several while one is changed.
    pub credentials: Vec<String>,
    /// Requests that may wait on one instance.
    pub queue_max: u32,
    /// Bytes of bodies that may wait on one instance.
    pub queue_bytes_max: u64,
}

/// One kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name, unique in the template; reports and metrics carry it.
    pub name: String,
    /// The path, or a prefix of paths where it ends in `*`.
    pub path: String,
    /// The methods it takes, in capitals; empty for any.
    pub methods: Vec<String>,
    /// The pool's name, as the platform lists it.
    pub pool: String,
    /// How it is run.
    pub policy: Policy,
    /// The largest body in bytes.
    pub body_max: u64,
    /// The objective that the burn report holds it to, where there is one.
    pub objective: Option<Objective>,
}

/// How requests of a route are run: small, so that each request carries its own copy and
/// a change of configuration never alters a request under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// The pool that runs it.
    pub pool: PoolId,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// Whether a non-idempotent request must bring an idempotency key.
    pub key: KeyRule,
    /// The order of work within a team: lower goes first.
    pub order: u8,
    /// How its cost is counted.
    pub cost: Cost,
    /// The cost that is charged until more is known, in units of `cost`.
    pub hint: u64,
    /// How long it may wait for a backend server.
    pub queue_within: Millis,
    /// How long a backend server may take to its first byte.
    pub first_byte_within: Millis,
    /// How long an answer may stand still.
    pub idle_within: Millis,
    /// How long it may take in all, from its arrival.
    pub total_within: Millis,
    /// How often it may be sent again after the first try, where that is safe.
    pub retries: u8,
}

/// Whether an idempotency key is wanted.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum KeyRule {
    /// A non-idempotent request without a key is refused.
    Required,
    /// A non-idempotent request without a key runs once and is never sent again.
    Optional,
}

/// The unit in which a route's service is counted.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    VariantNames,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Cost {
    /// Tokens: output tokens, and input tokens at [`INPUT_TOKENS_PER_UNIT`] to one.
    Tokens,
    /// Milliseconds for which a slot was busy.
    BusyMillis,
}

/// Input tokens that weigh as much as one output token.
pub const INPUT_TOKENS_PER_UNIT: u64 = 8;

/// What a route promises its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// The latency to the first byte that counts as good.
    pub first_byte_within: Millis,
    /// Parts in a million of requests that must be good in latency.
    pub latency_ppm: u32,
    /// Parts in a million of requests that must be answered.
    pub answered_ppm: u32,
}
