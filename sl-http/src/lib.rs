//! Strict HTTP/1.1 messages over TCP, for both ends of a forwarded request.
//!
//! General-purpose HTTP libraries hide what a proxy has to know: conflicting body lengths,
//! received bytes that belong to no response, how a body ended, and when the peer closed the
//! connection. docs/design.md compares the alternatives.

mod body;
mod chunk;
mod conn;
mod framing;
mod head;
mod headers;
mod path;
mod peer_monitor;
mod socket;

pub use body::{Body, BodyError, Ending};
pub use chunk::ChunkedDecoder;
pub use conn::{Conn, HeadError};
pub use framing::{Framing, FramingError};
pub use head::{Head, MalformedHead, RequestHead, ResponseHead};
pub use headers::{Field, Headers};
pub use path::has_dot_segment;
pub use peer_monitor::{CHECK_INTERVAL, HOST_TIMEOUT, PeerMonitor};
pub use socket::{connect, connect_monitored, set_socket_options};
