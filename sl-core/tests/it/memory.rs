//! The platform's key-value service in memory, with answers that get lost.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
};

use bytes::Bytes;
use sl_base::call::{Call, Reply, Version};
use sl_core::store::Store;

/// What goes wrong with one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    None,
    /// The call does not arrive.
    LostCall,
    /// The call takes effect, and its answer does not arrive.
    LostAnswer,
    /// The service refuses the call.
    Refused,
}

#[derive(Debug, Default)]
pub(crate) struct Memory(RefCell<Inner>);

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    values: BTreeMap<String, (Version, Bytes)>,
    /// The faults of the next writes of keys that start with the text.
    faults: VecDeque<(&'static str, Fault)>,
}

impl Memory {
    /// The next write of a key that starts with `prefix` goes wrong.
    pub(crate) fn fail(&self, prefix: &'static str, fault: Fault) {
        self.0.borrow_mut().faults.push_back((prefix, fault));
    }

    /// What a key holds.
    pub(crate) fn get(&self, key: &str) -> Option<Bytes> {
        let inner = self.0.borrow();
        inner.values.get(key).map(|it| it.1.clone())
    }
}

impl Store for Memory {
    async fn call(&self, call: &Call) -> Reply {
        let mut inner = self.0.borrow_mut();
        match inner.fault(call) {
            Fault::None => inner.run(call),
            Fault::LostCall => Reply::Lost,
            Fault::Refused => Reply::Refused,
            Fault::LostAnswer => {
                inner.run(call);
                Reply::Lost
            }
        }
    }
}

impl Inner {
    fn fault(&mut self, call: &Call) -> Fault {
        let (Call::Put { key, .. } | Call::Delete { key, .. }) = call else {
            return Fault::None;
        };
        match self.faults.front() {
            Some((prefix, fault)) if key.starts_with(prefix) => {
                let fault = *fault;
                self.faults.pop_front();
                fault
            }
            _ => Fault::None,
        }
    }

    fn run(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { key } | Call::Watch { key, .. } => match self.values.get(key) {
                Some((version, value)) => Reply::Value { version: *version, value: value.clone() },
                None => Reply::Absent,
            },
            Call::Put { key, expect, value } => self.write(key, *expect, Some(value)),
            Call::Delete { key, expect } => self.write(key, *expect, None),
        }
    }

    fn write(&mut self, key: &str, expect: Version, value: Option<&Bytes>) -> Reply {
        let stands = self.values.get(key).map_or(Version::ABSENT, |it| it.0);
        if stands != expect {
            return Reply::Conflict { version: stands };
        }
        self.version += 1;
        let version = Version(self.version);
        match value {
            Some(value) => self.values.insert(key.to_owned(), (version, value.clone())),
            None => self.values.remove(key),
        };
        Reply::Done { version }
    }
}
