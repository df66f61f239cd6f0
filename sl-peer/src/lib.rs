//! Remote procedure calls between instances: tarpc over TCP.
//!
//! A link is a persistent TCP connection from one instance to a peer, opened with a handshake
//! that admits only instances of the same fleet (docs/security.md). Frames are kept small
//! because control traffic has a bandwidth budget (docs/design.md).

mod count;
mod frame;
mod handshake;
mod link;
mod serve;
mod service;

pub use count::{Counters, Traffic};
pub use handshake::{ConnectError, HandshakeKey, Hello};
pub use link::{FetchError, Links, PeerUnreachable};
pub use serve::{ControlHandler, Error, Server, serve};

pub use service::{CachesPage, KnownStore, StorePage, StoreUpdate};

use sl_base::Millis;

/// Timeouts and limits of links.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit for connecting and the handshake together.
    pub connect_timeout: Millis,
    /// Limit for a peer's response to a call.
    pub call_timeout: Millis,
    /// An accepted link that carries no call for this long is closed by the accepting side.
    pub idle_timeout: Millis,
    /// Connections that the control port serves at the same time; further ones are accepted
    /// when one of these closes.
    pub max_connections: usize,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            connect_timeout: Millis(500),
            call_timeout: Millis(500),
            idle_timeout: Millis(15_000),
            max_connections: 256,
        }
    }
}
