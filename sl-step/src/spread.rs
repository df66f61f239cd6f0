//! How the accepted configuration reaches this instance.

use sl_base::{
    Timestamp,
    call::{CallId, Reply},
};

use crate::State;

/// What is known of the head and the pages under it.
#[derive(Debug)]
pub(crate) struct Spread {}

impl Spread {
    pub(crate) fn new() -> Spread {
        Spread {}
    }

    pub(crate) fn has_config(&self) -> bool {
        true
    }
}

impl State {
    pub(crate) fn follow_head(&mut self, _now: Timestamp) {}

    pub(crate) fn replied(&mut self, _id: CallId, _reply: Reply) {}
}
