//! Tests of links over real sockets: authentication, bytes per call, and links that stop
//! answering while open.

mod bed;
mod cost;
mod link;
