//! Strict HTTP/1.1 messages over TCP, for both ends of a forwarded request.
//!
//! The usual libraries hide what a forwarder has to know: that a body had two lengths,
//! that bytes came which belong to no answer, how a body ended, and when the other side
//! went away. docs/design.md tells what was weighed.

mod body;
mod chunk;
mod conn;
mod framing;
mod head;
mod headers;
mod socket;

pub use body::{Body, BodyError, Ending};
pub use chunk::ChunkedDecoder;
pub use conn::{Conn, HeadError};
pub use framing::{Framing, FramingError};
pub use head::{Head, MalformedHead, RequestHead, ResponseHead};
pub use headers::{Field, Headers};
pub use socket::{connect, set_socket_options};
