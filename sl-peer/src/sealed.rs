//! Messages as bytes of their own, so that one which the receiver's version does not know
//! is dropped alone: instances of two versions talk while a fleet is replaced, and what
//! both know must get through (docs/operating.md).

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sl_step::Message;

/// One encoded message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed(Bytes);

/// A message that this version does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message of a kind that this version does not know")]
pub struct Unknown;

impl Sealed {
    /// Encodes a message; one that cannot be encoded is left out, which its sender's next
    /// exchange makes good like any loss.
    pub fn of(message: &Message) -> Option<Sealed> {
        postcard::to_stdvec(message).ok().map(Sealed::from)
    }
}

impl From<Vec<u8>> for Sealed {
    fn from(bytes: Vec<u8>) -> Sealed {
        Sealed(bytes.into())
    }
}

impl TryFrom<&Sealed> for Message {
    type Error = Unknown;

    fn try_from(sealed: &Sealed) -> Result<Message, Unknown> {
        postcard::from_bytes(&sealed.0).map_err(|_| Unknown)
    }
}
