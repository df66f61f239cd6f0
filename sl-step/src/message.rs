//! What instances tell each other.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sl_base::{Revision, listing::Listing};
use sl_claim::strikes;
use sl_config::{Head, PageHash};

/// A message between peers. Any may be lost, repeated, late or out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// What the sender runs; it rides on every exchange.
    Running(Running),
    /// The sender runs something older and asks for what is newer.
    Wanted(Running),
    /// The head that the sender runs.
    Head(Arc<Head>),
    /// Pages that the sender lacks.
    PagesWanted(Vec<PageHash>),
    /// Texts of pages; the receiver checks their hashes.
    Pages(Vec<String>),
    /// The platform's list as the sender knows it.
    Listing(Arc<Listing>),
    /// Service and waiting work.
    Shares(sl_fair::Report),
    /// Lending of slots.
    Slots(sl_slots::Message),
    /// Claims on keys.
    Claims(sl_claim::Message),
    /// Strikes against requests.
    Strikes(Vec<strikes::Report>),
    /// Probes and news of members.
    Members(sl_member::Message),
}

/// Versions of what spreads from the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The configuration in force.
    pub revision: Revision,
    /// The version of the platform's list.
    pub listing: u64,
}
