//! What instances tell each other of service and waiting work.
//!
//! A sender reports its own row only. Each value is the newest of a single writer, with
//! the writer's version, so a repeated, late or reordered report changes nothing: the
//! higher version stands. That is as good a merge as a pair of grow-only counters for
//! charges and refunds, at half the bytes. Lifts have many writers and merge by maximum.

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, InstanceId, PoolId, TeamId};

use crate::Service;

/// What changed on the sender since the receiver last confirmed a report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The sender's life.
    pub life: Incarnation,
    /// The sender's version at which all entries stand.
    pub version: u64,
    /// The sender's own row.
    pub pools: Vec<PoolRow>,
    /// Lifts that the sender made or must pass on.
    pub lifts: Vec<Lift>,
    /// Rows of lives that ended, which their writers can no longer report.
    pub relayed: Vec<Relayed>,
    /// Whether the sender just started and asks the receiver for its [`Snapshot`].
    pub ask: bool,
    /// Whether the sender holds nothing of the receiver's and wants its row in full.
    pub resend: bool,
    /// The answer to `ask`.
    pub snapshot: Option<Snapshot>,
}

/// The sender's row in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// The pool.
    pub pool: PoolId,
    /// The virtual time up to which the pool has served.
    pub floor: Service,
    /// The teams whose entries changed.
    pub entries: Vec<Entry>,
}

/// One team in the sender's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The team.
    pub team: TeamId,
    /// All the service that the sender's life gave it.
    pub given: Service,
    /// Its requests that wait on the sender.
    pub waiting: u32,
}

/// The lift of one team in one pool: added to its service, it makes its virtual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lift {
    /// The pool.
    pub pool: PoolId,
    /// The team.
    pub team: TeamId,
    /// The lift; the greatest ever seen stands.
    pub lift: Service,
}

/// What is known of a life that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relayed {
    /// The instance.
    pub of: InstanceId,
    /// The life.
    pub life: Incarnation,
    /// Its entries.
    pub entries: Vec<RelayedEntry>,
}

/// One team in the row of a life that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedEntry {
    /// The pool.
    pub pool: PoolId,
    /// The team.
    pub team: TeamId,
    /// The writer's version of `given`.
    pub version: u64,
    /// All the service that the life gave the team.
    pub given: Service,
}

/// What a newborn instance cannot learn from rows: the service of lives that were
/// folded into a sum.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The sums.
    pub base: Vec<Lift>,
    /// The lives that they hold.
    pub folded: Vec<(InstanceId, Incarnation)>,
}
