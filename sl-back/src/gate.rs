//! A request body that knows whether the request may have left. hyper asks a body for
//! its first piece after it has a connection and before it writes the first byte, so a
//! gate that was never asked proves that nothing was sent.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// Tells from outside what became of a [`GatedBody`].
#[derive(Clone, Debug)]
pub(crate) struct Gate(Arc<AtomicU8>);

const WAITING: u8 = 0;
const BEGUN: u8 = 1;
const CLOSED: u8 = 2;

impl Gate {
    /// A gate and the body behind it. An empty body is never asked for a piece, so its
    /// gate counts as begun from the start.
    pub(crate) fn new<F>(bytes: Bytes, may_begin: F) -> (Gate, GatedBody<F>)
    where
        F: Fn() -> bool + Send + Sync + 'static,
    {
        let start = if bytes.is_empty() { BEGUN } else { WAITING };
        let gate = Gate(Arc::new(AtomicU8::new(start)));
        let body = GatedBody {
            gate: gate.clone(),
            bytes: Some(bytes).filter(|it| !it.is_empty()),
            may_begin,
        };
        (gate, body)
    }

    /// Whether a byte may have left.
    pub(crate) fn has_begun(&self) -> bool {
        self.0.load(Ordering::Acquire) == BEGUN
    }

    /// Forbids the request to leave; false where it may have left already.
    pub(crate) fn close(&self) -> bool {
        self.turn(CLOSED)
    }

    fn open(&self) -> bool {
        self.turn(BEGUN)
    }

    fn turn(&self, to: u8) -> bool {
        self.0.compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

/// See [`Gate`].
#[derive(Debug)]
pub(crate) struct GatedBody<F> {
    gate: Gate,
    bytes: Option<Bytes>,
    may_begin: F,
}

/// The request may not leave any more.
#[derive(Debug, thiserror::Error)]
#[error("the request's slot ended before it was sent")]
pub(crate) struct TooLate;

impl<F> Body for GatedBody<F>
where
    F: Fn() -> bool + Send + Sync + Unpin + 'static,
{
    type Data = Bytes;
    type Error = TooLate;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TooLate>>> {
        let Some(bytes) = self.bytes.take() else {
            return Poll::Ready(None);
        };
        if !(self.may_begin)() {
            self.gate.close();
        }
        if !self.gate.open() {
            return Poll::Ready(Some(Err(TooLate)));
        }
        Poll::Ready(Some(Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |it| it.len() as u64))
    }
}
