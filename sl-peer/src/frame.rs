//! Wire format of calls: length-delimited postcard frames, without the tracing context that
//! tarpc's own message types would add to each call.

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

use crate::count::{Counters, CountingStream};

/// Encodes and decodes frames on both sides of a link, and counts them.
#[derive(Clone, Debug)]
pub(crate) struct PostcardCodec(Counters);

/// A message from the calling side. `timeout_ms` counts from when the frame is decoded.
#[derive(Serialize, Deserialize)]
enum Frame<T> {
    Request { id: u64, timeout_ms: u64, body: T },
    Cancel { id: u64 },
}

/// Builds a tarpc transport over `stream` whose bytes and frames are added to `counters`.
pub(crate) fn transport<S, In, Out>(
    stream: S,
    counters: &Counters,
) -> Transport<CountingStream<S>, In, Out, PostcardCodec>
where
    S: tokio::io::AsyncRead + tokio::io::AsyncWrite + Unpin,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
    PostcardCodec: Serializer<Out> + Deserializer<In>,
{
    let framed = LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_FIELD_BYTES)
        .max_frame_length(FRAME_BYTES_MAX)
        .new_framed(CountingStream::new(stream, counters.clone()));
    serde_transport::new(framed, PostcardCodec(counters.clone()))
}

impl<T: Serialize> Serializer<ClientMessage<T>> for PostcardCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &ClientMessage<T>) -> Result<Bytes, io::Error> {
        let frame = match item {
            ClientMessage::Request(it) => Frame::Request {
                id: it.id,
                timeout_ms: millis_until(it.context.deadline),
                body: &it.message,
            },
            ClientMessage::Cancel { request_id, .. } => Frame::Cancel { id: *request_id },
            _ => return Err(io::ErrorKind::Unsupported.into()),
        };
        self.0.frame_sent();
        encode(&frame)
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<ClientMessage<T>> for PostcardCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<ClientMessage<T>, io::Error> {
        self.0.frame_received();
        Ok(match decode(src)? {
            Frame::Request { id, timeout_ms, body } => {
                ClientMessage::Request(Request { context: context(timeout_ms), id, message: body })
            }
            Frame::Cancel { id } => {
                ClientMessage::Cancel { trace_context: Default::default(), request_id: id }
            }
        })
    }
}

impl<T: Serialize> Serializer<Response<T>> for PostcardCodec {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Response<T>) -> Result<Bytes, io::Error> {
        self.0.frame_sent();
        encode(item)
    }
}

impl<T: for<'de> Deserialize<'de>> Deserializer<Response<T>> for PostcardCodec {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, src: &BytesMut) -> Result<Response<T>, io::Error> {
        self.0.frame_received();
        decode(src)
    }
}

/// Returns a call context whose deadline is `timeout_ms` from now, at most
/// [`TIMEOUT_MS_MAX`].
pub(crate) fn context(timeout_ms: u64) -> context::Context {
    let mut cx = context::current();
    cx.deadline = Instant::now() + Duration::from_millis(timeout_ms.min(TIMEOUT_MS_MAX));
    cx
}

fn encode<T: Serialize>(item: &T) -> io::Result<Bytes> {
    postcard::to_allocvec(item).map(Bytes::from).map_err(io::Error::other)
}

fn decode<T: for<'de> Deserialize<'de>>(src: &[u8]) -> io::Result<T> {
    postcard::from_bytes(src).map_err(io::Error::other)
}

fn millis_until(deadline: Instant) -> u64 {
    let remaining = deadline.saturating_duration_since(Instant::now());
    u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)
}

/// Width of the length field before each frame, in bytes.
const LENGTH_FIELD_BYTES: usize = 3;
/// Maximum length of a frame, in bytes.
const FRAME_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Longest timeout that is applied to a call, in milliseconds.
const TIMEOUT_MS_MAX: u64 = 60_000;
