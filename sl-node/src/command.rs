//! What may be asked of the task that owns the reducer's state.

use std::net::SocketAddr;

use sl_base::{
    InstanceId, Millis, RequestId,
    listing::Listing,
    status::{InstanceStatus, ServerStatus},
};
use sl_front::Job;
use sl_step::Event;
use tokio::sync::oneshot;

/// A command to the owner.
#[derive(Debug)]
pub(crate) enum Command {
    /// Something happened.
    Event(Event),
    /// A caller's request came through the door.
    Arrive(Job),
    /// A submitted request's caller went away.
    CallerGone(RequestId),
    /// A planned stop begins, and ends `within` from now at the latest.
    Stop { within: Millis },
    /// The platform's list was read.
    Listed(Option<Listing>),
    /// An operator or a peer asks how things are.
    Status(oneshot::Sender<Seen>),
}

/// What the owner sees at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) instance: InstanceStatus,
    pub(crate) servers: Vec<ServerStatus>,
    pub(crate) peers: Vec<Peer>,
}

/// A listed fellow instance.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: InstanceId,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}
