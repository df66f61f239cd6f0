//! The platform's list of live and leaving instances and backend servers. It lags.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The whole list at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Rises with every change.
    pub version: u64,
    /// The system's own instances.
    pub instances: Vec<ListedInstance>,
    /// The backend servers.
    pub servers: Vec<ListedServer>,
}

/// An instance of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The name in the instance's settings.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where its control port listens.
    pub control: SocketAddr,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The server's name.
    pub name: String,
    /// The pool of like servers that it belongs to.
    pub pool: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where it takes HTTP requests.
    pub address: SocketAddr,
    /// How many requests it runs side by side.
    pub slots: u32,
    /// Whether it is on its way out and takes no new work.
    pub leaving: bool,
}
