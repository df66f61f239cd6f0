//! The answer's way out: parts from the daemon become Rocket's response body, and a
//! source that fails midway never looks like a clean end.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use sl_base::{Code, RequestId};
use tokio::{
    io::{AsyncRead, ReadBuf},
    sync::mpsc,
};

use crate::{
    Node, Part, Refusal,
    connection::{Caller, Connection},
    gate::Pass,
};

/// Tells the daemon when the caller went away before the answer's end, and keeps the
/// request's place at the gate until then.
pub(crate) struct Watch<N: Node> {
    node: N,
    request: RequestId,
    ended: bool,
    _pass: Pass,
    _caller: Caller,
}

impl<N: Node> Watch<N> {
    pub(crate) fn new(node: N, request: RequestId, pass: Pass, caller: Caller) -> Watch<N> {
        Watch { node, request, ended: false, _pass: pass, _caller: caller }
    }

    /// The daemon said its last word; there is nobody left to tell.
    pub(crate) fn end(&mut self) {
        self.ended = true;
    }
}

impl<N: Node> Drop for Watch<N> {
    fn drop(&mut self) {
        if !self.ended {
            self.node.caller_gone(self.request);
        }
    }
}

/// How a body that breaks off tells its caller so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// An event stream gets a last event that carries the code.
    Event,
    /// Any other body takes its connection down with it.
    Connection,
}

/// A body that is passed on while it comes.
pub(crate) struct Streamed<N: Node> {
    parts: mpsc::Receiver<Part>,
    piece: Bytes,
    /// What was read ahead and comes before `parts`.
    ahead: std::collections::VecDeque<Bytes>,
    cut: Cut,
    connection: Connection,
    watch: Watch<N>,
    finished: bool,
}

impl<N: Node> Streamed<N> {
    pub(crate) fn new(
        ahead: Vec<Bytes>,
        parts: mpsc::Receiver<Part>,
        cut: Cut,
        connection: Connection,
        watch: Watch<N>,
    ) -> Streamed<N> {
        Streamed {
            parts,
            piece: Bytes::new(),
            ahead: ahead.into(),
            cut,
            connection,
            watch,
            finished: false,
        }
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(piece) = self.ahead.pop_front() {
            self.piece = piece;
            return Poll::Ready(Ok(()));
        }
        let part = ready!(self.parts.poll_recv(cx));
        Poll::Ready(match part {
            Some(Part::Piece(piece)) => {
                self.piece = piece;
                Ok(())
            }
            Some(Part::Head(_)) => Ok(()),
            Some(Part::End) => {
                self.finish();
                Ok(())
            }
            Some(Part::Failed(refusal)) => self.break_off(refusal),
            None => self.break_off(Code::ConnectionLost.into()),
        })
    }

    fn break_off(&mut self, refusal: Refusal) -> io::Result<()> {
        self.finish();
        match self.cut {
            Cut::Event => {
                self.piece = refusal.event().into();
                Ok(())
            }
            Cut::Connection => {
                self.connection.abort();
                Err(io::Error::from(io::ErrorKind::ConnectionAborted))
            }
        }
    }

    fn finish(&mut self) {
        self.finished = true;
        self.watch.end();
    }
}

impl<N: Node + Unpin> AsyncRead for Streamed<N> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let it = self.get_mut();
        while it.piece.is_empty() && !it.finished {
            ready!(it.poll_piece(cx))?;
        }
        let n = it.piece.len().min(buf.remaining());
        buf.put_slice(&it.piece[..n]);
        it.piece.advance(n);
        Poll::Ready(Ok(()))
    }
}
