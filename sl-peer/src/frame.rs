//! How a call looks on the wire: postcard, without the tracing context that tarpc would
//! add to each call.

use std::{
    io,
    pin::Pin,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tarpc::{
    ClientMessage, Request, Response, context, serde_transport, serde_transport::Transport,
};
use tokio_serde::{Deserializer, Serializer};
use tokio_util::codec::LengthDelimitedCodec;

use crate::count::{Counted, Counters};

/// The codec of both sides.
#[derive(Clone, Debug)]
pub(crate) struct Compact(Counters);

#[derive(Serialize, Deserialize)]
enum Frame<T> {
    Call { id: u64, within_ms: u64, body: T },
    Cancel { id: u64 },
}

/// A transport of frames over a counted connection.
pub(crate) fn transport<S, In, Out>(
    stream: S,
    counters: &Counters,
) -> Transport<Counted<S>, In, Out, Compact>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
    Compact: Serializer<Out> + Deserializer<In>,
{
    let framed = LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(FRAME_BYTES)
        .new_framed(Counted::new(stream, counters.clone()));
    serde_transport::new(framed, Compact(counters.clone()))
}

impl<T: Serialize> Serializer<ClientMessage<T>> for Compact {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &ClientMessage<T>) -> Result<Bytes, io::Error> {
        let frame = match item {
            ClientMessage::Request(it) => Frame::Call {
                id: it.id,
                within_ms: millis_until(it.context.deadline),
                body: &it.message,
            },
            ClientMessage::Cancel { request_id, .. } => Frame::Cancel { id: *request_id },
            _ => return Err(io::ErrorKind::Unsupported.into()),
        };
        self.0.frame_sent();
        encode(&frame)
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<ClientMessage<T>> for Compact {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<ClientMessage<T>, io::Error> {
        self.0.frame_received();
        Ok(match decode(src)? {
            Frame::Call { id, within_ms, body } => {
                ClientMessage::Request(Request { context: context(within_ms), id, message: body })
            }
            Frame::Cancel { id } => {
                ClientMessage::Cancel { trace_context: Default::default(), request_id: id }
            }
        })
    }
}

impl<T: Serialize> Serializer<Response<T>> for Compact {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Response<T>) -> Result<Bytes, io::Error> {
        self.0.frame_sent();
        encode(item)
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<Response<T>> for Compact {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<Response<T>, io::Error> {
        self.0.frame_received();
        decode(src)
    }
}

/// A call's context with a deadline `within_ms` from now.
pub(crate) fn context(within_ms: u64) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_millis(within_ms.min(DEADLINE_MILLIS));
    cx
}

fn encode<T: Serialize>(item: &T) -> io::Result<Bytes> {
    postcard::to_allocvec(item).map(Bytes::from).map_err(io::Error::other)
}

fn decode<T: for<'de> Deserialize<'de>>(src: &[u8]) -> io::Result<T> {
    postcard::from_bytes(src).map_err(io::Error::other)
}

fn millis_until(deadline: Instant) -> u64 {
    let left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 3;
/// Bytes of the longest frame.
const FRAME_BYTES: usize = 4 * 1024 * 1024;
/// Milliseconds of the longest deadline that a call is granted.
const DEADLINE_MILLIS: u64 = 60_000;
