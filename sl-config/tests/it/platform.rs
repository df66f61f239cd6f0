//! The platform's key-value service as a table, with answers that get lost and writes
//! that arrive late.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use sl_base::call::{Call, Reply, Version};

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// The service refuses the call.
    Refused,
    /// The call does not arrive.
    LostCall,
    /// The call takes effect, and its answer does not arrive.
    LostAnswer,
    /// The call is given up as lost and arrives later.
    Late,
}

#[derive(Debug, Default)]
pub(crate) struct Platform {
    version: u64,
    values: BTreeMap<String, (Version, Bytes)>,
    late: VecDeque<Call>,
    /// Every value that a key had, in order.
    pub(crate) written: Vec<(String, Bytes)>,
}

impl Platform {
    pub(crate) fn call(&mut self, call: &Call, fault: Fault) -> Reply {
        match fault {
            Fault::None => self.run(call),
            Fault::Refused => Reply::Refused,
            Fault::LostCall => Reply::Lost,
            Fault::LostAnswer => {
                self.run(call);
                Reply::Lost
            }
            Fault::Late => {
                self.late.push_back(call.clone());
                Reply::Lost
            }
        }
    }

    /// Lets the oldest late call arrive.
    pub(crate) fn arrive(&mut self) {
        if let Some(call) = self.late.pop_front() {
            self.run(&call);
        }
    }

    pub(crate) fn has_late(&self) -> bool {
        !self.late.is_empty()
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Bytes> {
        self.values.get(key).map(|(_, value)| value)
    }

    fn run(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { key } | Call::Watch { key, .. } => match self.values.get(key) {
                Some((version, value)) => Reply::Value { version: *version, value: value.clone() },
                None => Reply::Absent,
            },
            Call::Put { key, expect, value } => self.put(key, *expect, value),
            Call::Delete { .. } => unreachable!("an acceptance deletes nothing"),
        }
    }

    fn put(&mut self, key: &str, expect: Version, value: &Bytes) -> Reply {
        let stands = self.values.get(key).map_or(Version::ABSENT, |it| it.0);
        if stands != expect {
            return Reply::Conflict { version: stands };
        }
        self.version += 1;
        let version = Version(self.version);
        self.values.insert(key.to_owned(), (version, value.clone()));
        self.written.push((key.to_owned(), value.clone()));
        Reply::Done { version }
    }
}
