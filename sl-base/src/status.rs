//! Status reports for operators. `/status` on the operator port returns a [`FleetStatus`] as
//! JSON; instances request each other's [`InstanceStatus`] to assemble it.

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// The fleet as seen by the instance that serves the report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The highest configuration version in force on any instance.
    #[serde(rename = "document")]
    pub document_version: u64,
    /// The instances that responded, sorted by name.
    pub instances: Vec<InstanceStatus>,
    /// The ids of known instances that did not respond.
    #[serde(rename = "silent")]
    pub unreachable: Vec<String>,
    /// The data centres that the operator has evacuated, as seen by the instance that serves the
    /// report, sorted by name.
    #[serde(default)]
    pub evacuated: Vec<String>,
    /// The backend servers as seen by the instance that serves the report.
    pub servers: Vec<ServerStatus>,
}

/// The status of one instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// The instance's name in its settings.
    pub name: String,
    /// The data centre in which the instance runs.
    pub data_centre: String,
    /// The current run of the instance's process.
    pub incarnation: Incarnation,
    /// The configuration version in force; zero if none has been received yet.
    #[serde(rename = "document")]
    pub document_version: u64,
    /// The revision of the platform's store up to which the instance has seen all changes.
    pub revision: u64,
    /// Whether the load balancer may send new requests.
    pub ready: bool,
    /// Whether a graceful shutdown is in progress.
    pub stopping: bool,
    /// Whether the platform's store responds to the instance.
    pub store_answers: bool,
    /// Requests in flight on the instance.
    #[serde(rename = "held")]
    pub in_flight: u64,
    /// Peers from which the instance has recently received messages.
    pub peers: u64,
}

/// The status of one backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The id under which the platform lists the server.
    pub id: String,
    /// The data centre in which the server runs.
    pub data_centre: String,
    /// The listed state, which tells whether the server accepts new requests.
    pub state: String,
    /// The version of the server's software; empty if its entry names none. Streams go on only at
    /// servers of the version that began them.
    #[serde(default)]
    pub version: String,
    /// The number of requests that the server runs concurrently.
    pub slots: u32,
    /// Requests from all instances in flight on the server, as far as is known.
    #[serde(rename = "held")]
    pub in_flight: u64,
    /// Estimated milliseconds of queued work ahead of a request that arrives now.
    pub backlog_ms: f64,
    /// Estimated prompt tokens prefilled per millisecond; zero for servers that are not model
    /// engines.
    pub tokens_per_ms: f64,
    /// The expected share of requests that fail, from 0 to 1.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// Whether other servers are currently preferred because of recent failures.
    pub avoided: bool,
    /// Milliseconds for which the server is still cold, so that it gets few requests; 0 if it is not.
    #[serde(default)]
    pub cold_ms: u64,
}
