//! Which messages of each peer have arrived. Datagrams may overtake one another, and several relays
//! may forward the same message, so a receiver has to tell a late message from a copy.

use sl_base::{IdMap, Incarnation, InstanceId};

/// The messages received from all peers.
#[derive(Debug, Default)]
pub struct MessageArrivals {
    peers: IdMap<InstanceId, Received>,
}

/// How a message relates to those received before from the same instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerArrival {
    /// A newer message than all before; `missed` messages in between did not arrive before it.
    New {
        /// Sequence numbers that were left out.
        missed: u64,
    },
    /// A message that a newer one has overtaken.
    Overtaken,
    /// A copy of a message that has arrived, or one too old to tell.
    Repeated,
}

/// The messages received from one run of an instance.
#[derive(Clone, Copy, Debug)]
struct Received {
    incarnation: Incarnation,
    /// The highest sequence number.
    last: u64,
    /// A bit for each of the latest sequence numbers, the lowest for `last`.
    latest: u128,
}

impl MessageArrivals {
    /// Records the message number `sequence` that the instance `from` wrote in its run
    /// `incarnation`. A message of an earlier run counts as repeated.
    pub fn record(
        &mut self,
        from: InstanceId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> PeerArrival {
        match self.peers.get_mut(&from) {
            Some(received) if received.incarnation == incarnation => received.record(sequence),
            Some(received) if received.incarnation > incarnation => PeerArrival::Repeated,
            _ => {
                let received = Received { incarnation, last: sequence, latest: 1 };
                self.peers.insert(from, received);
                PeerArrival::New { missed: 0 }
            }
        }
    }
}

impl Received {
    fn record(&mut self, sequence: u64) -> PeerArrival {
        if sequence > self.last {
            let ahead = sequence - self.last;
            self.latest = shifted(self.latest, ahead) | 1;
            self.last = sequence;
            return PeerArrival::New { missed: ahead - 1 };
        }
        let bit = match u32::try_from(self.last - sequence) {
            Ok(age) if age < u128::BITS => 1 << age,
            _ => return PeerArrival::Repeated,
        };
        if self.latest & bit != 0 {
            return PeerArrival::Repeated;
        }
        self.latest |= bit;
        PeerArrival::Overtaken
    }
}

/// `bits` shifted to the left, 0 if all of them are shifted out.
fn shifted(bits: u128, by: u64) -> u128 {
    u32::try_from(by).ok().and_then(|it| bits.checked_shl(it)).unwrap_or(0)
}
