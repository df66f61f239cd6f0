//! What an instance says of itself to operators. The operator port's `/status` answers
//! with a [`FleetStatus`] as JSON; instances ask each other for their part of it.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// The fleet as one instance sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The highest version of the configuration that any instance runs.
    #[serde(rename = "document")]
    pub document_version: u64,
    /// The instances that answered, by name.
    pub instances: Vec<InstanceStatus>,
    /// The ids of known instances that did not answer.
    #[serde(rename = "silent")]
    pub unreachable: Vec<String>,
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
    /// The version of the configuration that it runs; zero is none yet.
    #[serde(rename = "document")]
    pub document_version: u64,
    /// The revision of the platform's store up to which it knows everything.
    pub revision: u64,
    /// Whether the balancer may send it new work.
    pub ready: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Whether the platform's store answers it.
    pub store_answers: bool,
    /// Requests that it holds.
    #[serde(rename = "held")]
    pub in_flight: u64,
    /// Peers that it heard lately.
    pub peers: u64,
}

/// One backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its id.
    pub id: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Whether it takes new work.
    pub state: String,
    /// How many requests it runs side by side.
    pub slots: u32,
    /// Requests of all instances that it holds, as far as is known.
    #[serde(rename = "held")]
    pub in_flight: u64,
    /// Milliseconds of work before a request that came now.
    pub backlog_ms: f64,
    /// Prompt tokens that it is believed to read in a millisecond; zero for plain services.
    pub tokens_per_ms: f64,
    /// The share of requests that is expected to fail, from 0 to 1.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// Whether other servers go first for now.
    pub avoided: bool,
}
