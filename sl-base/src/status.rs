//! What an instance says of itself to operators. The operator port's `/status` answers
//! with a [`FleetStatus`] as JSON; instances ask each other for their part of it.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Revision};

/// The fleet as one instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The highest configuration revision that any instance runs.
    pub revision: Revision,
    /// The instances that answered, by name.
    pub instances: Vec<InstanceStatus>,
    /// The names of listed instances that did not answer.
    pub silent: Vec<String>,
    /// The backend servers, as the asked instance sees them.
    pub servers: Vec<ServerStatus>,
}

/// One instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Its life.
    pub incarnation: Incarnation,
    /// The configuration revision that it runs; zero is none yet.
    pub revision: Revision,
    /// Whether the balancer may send it new work.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Whether the platform answered its last call.
    pub platform_answers: bool,
    /// Whether it reaches neither peers nor the platform.
    pub isolated: bool,
    /// The version of the platform's list that it knows.
    pub listing: u64,
    /// Claims and outcomes that wait for a write.
    pub claims_waiting: u64,
    /// Keys whose claims it holds in memory.
    pub claim_keys: u64,
    /// Fingerprints of requests with strikes.
    pub struck: u64,
    /// Its teams with work waiting or running.
    pub teams: Vec<TeamStatus>,
    /// What it gave the teams of each pool.
    pub services: Vec<ServiceStatus>,
    /// The slots that it may use.
    pub windows: Vec<WindowStatus>,
    /// What it holds the other instances for.
    pub members: Vec<MemberStatus>,
}

/// One team's service in one pool by one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The team's name.
    pub team: String,
    /// The pool's name.
    pub pool: String,
    /// Requests that wait on the instance for the pool.
    pub waiting: u32,
    /// Service by this life of the instance, in the route's cost unit.
    pub served: u64,
    /// The team's virtual time across the fleet, as the instance sees it, in parts of
    /// `sl_fair::Service`.
    pub time: u64,
}

/// One backend server's slots in an instance's hands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowStatus {
    /// The server's name.
    pub server: String,
    /// Slots that the instance may use.
    pub window: u32,
    /// Slots that run its requests.
    pub busy: u32,
    /// The name of the instance that lends them.
    pub home: String,
}

/// Another instance as seen from one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The other's name, or its id where the list does not have it.
    pub instance: String,
    /// What it is held for.
    pub status: String,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// One team's work on one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// The team's name.
    pub name: String,
    /// Requests that wait.
    pub waiting: u64,
    /// Bytes of bodies that wait.
    pub waiting_bytes: u64,
    /// Requests that run.
    pub running: u64,
}

/// One backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub name: String,
    /// Its pool.
    pub pool: String,
    /// How many requests it runs side by side.
    pub slots: u32,
    /// Requests that run on it from the asked instance.
    pub running: u32,
    /// Whether it is on its way out.
    pub leaving: bool,
}
