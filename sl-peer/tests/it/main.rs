//! Tests of links over real sockets: authentication, bytes per call, and links whose
//! peer stops responding while they are open.

mod cost;
mod link;
mod testbed;
