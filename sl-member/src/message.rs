//! What instances tell each other about members.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sl_base::InstanceId;

use crate::{Life, Status};

/// A message between peers. Any may be lost, repeated, late or out of order. That a
/// message is confirmed at all is what a probe asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A probe; the sender and some news come with it.
    Ping {
        /// Where the sender's control port listens.
        address: SocketAddr,
        /// The sender's own life.
        life: Life,
        /// News of others, and what the sender holds the receiver for if not alive.
        changes: Vec<Change>,
    },
    /// Asks to probe another member on the sender's behalf.
    ProbeFor {
        /// Whom to probe.
        target: InstanceId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Says that a member answered the probe that was asked for.
    Reached {
        /// Who answered.
        target: InstanceId,
    },
}

/// News of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Whom it concerns.
    pub member: InstanceId,
    /// Where its control port listens.
    pub address: SocketAddr,
    /// How new it is.
    pub life: Life,
    /// What the member is held for.
    pub status: Status,
    /// Whether the member said that it leaves.
    pub leaving: bool,
}
