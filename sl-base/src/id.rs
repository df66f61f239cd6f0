//! Identifiers. Long-lived objects have names chosen by operators; messages and tables use a
//! hash of the name to stay small. Hash collisions are not checked for: teams whose names have
//! the same hash are accounted as one team, and services whose names have the same hash share
//! one server pool and the settings of the one that the configuration lists last.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};

macro_rules! hashed_id {
    ($(#[$doc:meta])* $name:ident, $repr:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The id of the object that is named `name`.
            pub fn of(name: &str) -> $name {
                let hash = blake3::hash(name.as_bytes());
                let mut bytes = [0; size_of::<$repr>()];
                bytes.copy_from_slice(&hash.as_bytes()[..size_of::<$repr>()]);
                $name(<$repr>::from_le_bytes(bytes))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:0width$x}", self.0, width = 2 * size_of::<$repr>())
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(s: &str) -> Result<$name, ParseIntError> {
                <$repr>::from_str_radix(s, 16).map($name)
            }
        }
    };
}

hashed_id!(
    /// A team, the unit whose share of the engines is accounted, hashed from its name.
    TeamId,
    u32
);
hashed_id!(
    /// An instance of the system, hashed from its name in the settings.
    InstanceId,
    u32
);
hashed_id!(
    /// A service, which a pool of backend servers runs, hashed from its name.
    ServiceId,
    u32
);
hashed_id!(
    /// A backend server, hashed from the id under which the platform lists it.
    ServerId,
    u64
);
hashed_id!(
    /// A stream of events, hashed from the id of the caller's attempt that brought its first event.
    /// It is short because a note of each stream carries it: of a thousand streams a second, two
    /// that are remembered at the same time have the same id once in some hundred thousand.
    StreamId,
    u32
);

macro_rules! counted_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

counted_id!(
    /// One run of an instance's process. A later run has a higher number, because the number
    /// is the wall clock time of the start in microseconds.
    Incarnation
);
counted_id!(
    /// A caller's request, unique within one run of one instance.
    RequestId
);
counted_id!(
    /// One attempt to run a request on a backend server, unique within one run of one instance.
    AttemptId
);
counted_id!(
    /// The number of an accepted configuration. The platform only ever increases it.
    DocumentVersion
);
