//! Ids. Long-lived things are named by people; on the wire and in tables a name is
//! its hash, so that messages stay small. Names of teams are checked for collisions
//! when a template is accepted, see docs/design.md.

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
            /// The id of the thing that people call `name`.
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
    /// A team: the customer whose share is accounted.
    TeamId,
    u32
);
hashed_id!(
    /// An instance of the system, by its name in settings.
    InstanceId,
    u32
);
hashed_id!(
    /// A pool of like backend servers.
    PoolId,
    u32
);
hashed_id!(
    /// A backend server.
    ServerId,
    u64
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
    /// One life of an instance's process. A later life has a higher number, because it
    /// is the wall clock in microseconds at the start.
    Incarnation
);
counted_id!(
    /// A caller's request within one life of one instance.
    RequestId
);
counted_id!(
    /// One try to run a request on a backend server, within one life of one instance.
    AttemptId
);
counted_id!(
    /// The number of an accepted configuration; the platform's head only ever raises it.
    Revision
);
