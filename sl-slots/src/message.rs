//! What holders and homes tell each other. Both messages carry whole states, not
//! differences, so that any may be lost, repeated, late or reordered.

use serde::{Deserialize, Serialize};
use sl_base::{Need, PoolId, ServerId, Timestamp};

/// A message between two instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// From a holder to a home.
    Renew(Renew),
    /// From a home to a holder.
    Grant(Grant),
}

/// All that a holder has of the home's servers, and what it wants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renew {
    /// When the holder's life began, by its own clock.
    pub born: Timestamp,
    /// When this left, by the holder's clock; a home only ever hands it back.
    pub sent_at: Timestamp,
    /// The number of the last grant that the holder took from this home.
    pub seen: u64,
    /// Stands for the members that the holder sees.
    pub view: u32,
    /// The holder's windows; one that is absent is zero.
    pub windows: Vec<Window>,
    /// What waits on the holder for pools of the home's servers.
    pub wants: Vec<Want>,
}

/// One server's slots in a holder's hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The server.
    pub server: ServerId,
    /// Slots that the holder may use.
    pub count: u32,
    /// Slots that run a request; more than `count` after a window was lowered.
    pub busy: u32,
}

/// What waits on a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The pool.
    pub pool: PoolId,
    /// The work.
    pub need: Need,
}

/// All that the holder may use of the home's servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Rises with every grant to this holder; lower ones are void.
    pub number: u64,
    /// `sent_at` of the last renewal that reached the home: the lease starts there, so
    /// that a late grant gives no longer right than a prompt one.
    pub echo: Timestamp,
    /// The windows; one that is absent is zero.
    pub windows: Vec<Granted>,
}

/// One server's slots that a holder may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// The server.
    pub server: ServerId,
    /// Slots.
    pub count: u32,
}
