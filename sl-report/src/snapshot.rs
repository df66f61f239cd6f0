//! What one instance holds, in the form in which instances pass it on.

use hdrhistogram::{
    Histogram,
    serialization::{Deserializer, Serializer, V2Serializer},
};
use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};
use sl_base::Timestamp;
use thiserror::Error;

use crate::window::Tally;

/// All series of one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The instance's name.
    pub instance: String,
    /// When its recording began.
    pub started_at: Timestamp,
    /// When the snapshot was taken, by that instance's clock.
    pub taken_at: Timestamp,
    /// Its series.
    pub series: Vec<Series>,
}

/// One team's route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// The team's name.
    pub team: String,
    /// The route's name.
    pub route: String,
    /// The short window.
    pub short: EncodedTally,
    /// The long window.
    pub long: EncodedTally,
}

/// The contents of one window.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedTally {
    /// Milliseconds to the first byte, as hdrhistogram's V2 encoding.
    #[serde_as(as = "serde_with::IfIsHumanReadable<Hex>")]
    answered: Vec<u8>,
    unanswered: u64,
}

/// A histogram that could not be read.
#[derive(Debug, Error)]
#[error("the histogram of team {team}, route {route} from instance {instance} is malformed")]
pub struct MalformedHistogram {
    /// The instance that sent it.
    pub instance: String,
    /// The team's name.
    pub team: String,
    /// The route's name.
    pub route: String,
}

impl EncodedTally {
    pub(crate) fn of(tally: &Tally) -> EncodedTally {
        let mut answered = Vec::new();
        V2Serializer::new()
            .serialize(&tally.answered, &mut answered)
            .expect("a histogram of constant bounds fits a buffer in memory");
        EncodedTally { answered, unanswered: tally.unanswered }
    }

    pub(crate) fn tally(&self) -> Option<Tally> {
        let answered: Histogram<u32> =
            Deserializer::new().deserialize(&mut self.answered.as_slice()).ok()?;
        Some(Tally { answered, unanswered: self.unanswered })
    }
}
