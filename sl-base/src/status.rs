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
    /// Its teams with work waiting or running.
    pub teams: Vec<TeamStatus>,
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
