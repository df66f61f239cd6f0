//! What is known of one member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sl_base::{Incarnation, InstanceId, Timestamp};
use strum::{Display, IntoStaticStr};

use crate::Change;

/// How new a piece of news about a member is. Only the member itself starts a newer one:
/// with its next life, or to object to a suspicion.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life {
    /// The life of the member's process.
    pub incarnation: Incarnation,
    /// How often it has objected to a suspicion in this life.
    pub objections: u32,
}

/// What a member is held for. Of news about one [`Life`], the later in this order wins.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// It answers.
    Alive,
    /// It was silent and may still object.
    Suspect,
    /// It is gone until it answers again.
    Dead,
}

/// A member other than the instance itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Member {
    pub address: SocketAddr,
    pub life: Life,
    pub status: Status,
    pub listed: bool,
    pub leaving: bool,
    /// When a suspicion becomes a death, or a death is forgotten if it is not listed.
    pub until: Timestamp,
    pub probe: Probe,
}

/// A probe under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    Idle,
    /// This instance waits for the member itself.
    Direct {
        until: Timestamp,
    },
    /// Others were asked to probe it.
    Indirect {
        until: Timestamp,
    },
}

impl Probe {
    pub fn due(self) -> Timestamp {
        match self {
            Probe::Idle => Timestamp::NEVER,
            Probe::Direct { until } | Probe::Indirect { until } => until,
        }
    }
}

impl Member {
    pub fn new(address: SocketAddr, life: Life) -> Member {
        Member {
            address,
            life,
            status: Status::Alive,
            listed: false,
            leaving: false,
            until: Timestamp::NEVER,
            probe: Probe::Idle,
        }
    }

    pub fn is_dead(&self) -> bool {
        self.status == Status::Dead
    }

    pub fn change(&self, member: InstanceId) -> Change {
        Change {
            member,
            address: self.address,
            life: self.life,
            status: self.status,
            leaving: self.leaving,
        }
    }
}
