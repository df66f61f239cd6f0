//! Serializable snapshot of the records of one instance, as sent between instances.

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
    /// Name of the instance.
    pub instance: String,
    /// When the instance began to record.
    pub started_at: Timestamp,
    /// When the snapshot was taken, by the clock of the instance.
    pub taken_at: Timestamp,
    /// One entry per pair of team and route.
    pub series: Vec<Series>,
}

/// Records of one team on one route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Series {
    /// Name of the team.
    pub team: String,
    /// Name of the route.
    pub route: String,
    /// Contents of the short window.
    pub short: EncodedTally,
    /// Contents of the long window.
    pub long: EncodedTally,
}

/// The contents of one window, with the histogram encoded.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedTally {
    /// Histogram of the milliseconds to the first byte, in hdrhistogram's V2 encoding; in hex
    /// where the format is text.
    #[serde_as(as = "serde_with::IfIsHumanReadable<Hex>")]
    answered: Vec<u8>,
    unanswered: u64,
}

/// A histogram that could not be decoded.
#[derive(Debug, Error)]
#[error("the histogram of team {team}, route {route} from instance {instance} is malformed")]
pub struct MalformedHistogram {
    /// Name of the instance that sent the histogram.
    pub instance: String,
    /// Name of the team.
    pub team: String,
    /// Name of the route.
    pub route: String,
}

impl EncodedTally {
    pub(crate) fn encode(tally: &Tally) -> EncodedTally {
        let mut answered = Vec::new();
        V2Serializer::new()
            .serialize(&tally.answered, &mut answered)
            .expect("a histogram of constant bounds fits a buffer in memory");
        EncodedTally { answered, unanswered: tally.unanswered }
    }

    pub(crate) fn decode(&self) -> Option<Tally> {
        let answered: Histogram<u32> =
            Deserializer::new().deserialize(&mut self.answered.as_slice()).ok()?;
        Some(Tally { answered, unanswered: self.unanswered })
    }
}
