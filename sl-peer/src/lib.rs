//! Links between instances: tarpc over TCP, with frames kept small because control
//! traffic is on a budget (docs/design.md), and a handshake that admits only fellow
//! instances (docs/security.md).

mod count;
mod frame;
mod handshake;
mod link;
mod serve;
mod service;

pub use count::{Counters, Traffic};
pub use handshake::{ConnectError, HandshakeKey, Hello};
pub use link::{Links, PeerUnreachable};
pub use serve::{ControlHandler, Error, Server, serve};

pub use service::StoreUpdate;

use sl_base::Millis;

/// How links behave.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How long a connection and its handshake may take.
    pub connect_timeout: Millis,
    /// How long a peer may take to answer a call.
    pub call_timeout: Millis,
    /// How long an admitted connection may bring nothing before it is closed.
    pub idle_timeout: Millis,
    /// Connections that are admitted at once.
    pub connections_max: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect_timeout: Millis(500),
            call_timeout: Millis(500),
            idle_timeout: Millis(15_000),
            connections_max: 256,
        }
    }
}
