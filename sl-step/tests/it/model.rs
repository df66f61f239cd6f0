//! Small models of what lies outside: the key-value service and the backend servers.

use std::collections::BTreeMap;

use bytes::Bytes;
use sl_base::{
    ServerId, Timestamp,
    call::{Call, Reply, Version},
};

/// The platform's key-value service.
#[derive(Default)]
pub struct Kv {
    values: BTreeMap<String, (Version, Bytes)>,
    last: u64,
}

impl Kv {
    pub fn carry_out(&mut self, call: &Call) -> Reply {
        match call {
            Call::Get { key } | Call::Watch { key, .. } => match self.values.get(key) {
                Some((version, value)) => Reply::Value { version: *version, value: value.clone() },
                None => Reply::Absent,
            },
            Call::Put { key, expect, value } => {
                let version = self.version(key);
                if version != *expect {
                    return Reply::Conflict { version };
                }
                self.last += 1;
                let version = Version(self.last);
                self.values.insert(key.clone(), (version, value.clone()));
                Reply::Done { version }
            }
            Call::Delete { key, expect } => {
                let version = self.version(key);
                if version != *expect {
                    return Reply::Conflict { version };
                }
                self.values.remove(key);
                Reply::Done { version: Version::ABSENT }
            }
        }
    }

    pub fn version(&self, key: &str) -> Version {
        self.values.get(key).map_or(Version::ABSENT, |it| it.0)
    }
}

/// A backend server.
pub struct Server {
    pub name: String,
    pub slots: u32,
    /// Units a second on one slot.
    pub speed: u64,
    pub leaving_since: Option<Timestamp>,
    pub down_until: Timestamp,
    pub busy: u32,
    pub busy_max: u32,
}

impl Server {
    pub fn new(name: &str, slots: u32, speed: u64) -> Server {
        Server {
            name: name.to_owned(),
            slots,
            speed,
            leaving_since: None,
            down_until: Timestamp::default(),
            busy: 0,
            busy_max: 0,
        }
    }

    pub fn id(&self) -> ServerId {
        ServerId::of(&self.name)
    }
}
