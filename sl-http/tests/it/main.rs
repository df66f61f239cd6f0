//! Tests of message parsing, framing, and connections over real sockets.

mod body;
mod broken_off;
mod conn;
mod endless;
mod framing;
mod head;
mod path;
mod peer_monitor;
