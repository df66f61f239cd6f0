//! Runs one attempt and passes its answer on.

use std::sync::Arc;

use bytes::Bytes;
use sl_back::{AnswerSink, CallerGone, Client, Forward, HeaderMap, Method, header};
use sl_base::AttemptId;
use sl_front::{CallerRequest, Head, Part};
use sl_step::{
    Event,
    effect::Dispatch,
    event::{Arrival, AttemptEnd},
};
use tokio::sync::{mpsc, oneshot};

use crate::{clock::Now, command::Command};

/// What an attempt needs.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) dispatch: Dispatch,
    pub(crate) arrival: Arrival,
    pub(crate) request: Arc<CallerRequest>,
    pub(crate) answer: mpsc::Sender<Part>,
    pub(crate) aborted: oneshot::Receiver<()>,
    pub(crate) commands: mpsc::Sender<Command>,
}

impl Attempt {
    /// Runs it to its end, which the owner always hears of.
    pub(crate) async fn run<C: Now>(self, client: Client<C>) {
        let attempt = self.dispatch.attempt;
        let mut sink = Sink {
            attempt,
            idempotent: self.arrival.policy.idempotent,
            answer: self.answer.clone(),
            commands: self.commands.clone(),
        };
        let aborted = async {
            // Either a message or the sender's end says that it is to be broken off.
            let _ = self.aborted.await;
        };
        let end = match forward(&self.request, &self.arrival) {
            Some(forward) => client.run(&self.dispatch, forward, &mut sink, aborted).await,
            None => AttemptEnd::NotSent,
        };
        if let AttemptEnd::Complete { .. } = end {
            // A caller that is gone by now misses nothing that it could be told.
            let _ = self.answer.send(Part::End).await;
        }
        let event = Event::Ended { attempt, end };
        // The owner is gone only once nothing is under way any more, or at a cut.
        let _ = self.commands.send(Command::Event(event)).await;
    }
}

/// Passes an answer to the caller, and says so to the owner before the first byte.
struct Sink {
    attempt: AttemptId,
    idempotent: bool,
    answer: mpsc::Sender<Part>,
    commands: mpsc::Sender<Command>,
}

impl Sink {
    /// A request that must run once runs on without its caller, so that what became of
    /// it is known.
    async fn pass(&self, part: Part) -> Result<(), CallerGone> {
        match self.answer.send(part).await {
            Err(_) if self.idempotent => Err(CallerGone),
            _ => Ok(()),
        }
    }
}

impl AnswerSink for Sink {
    async fn head(&mut self, head: sl_back::Head) -> Result<(), CallerGone> {
        let event = Event::Answering { attempt: self.attempt };
        let _ = self.commands.send(Command::Event(event)).await;
        self.pass(Part::Head(passed(head))).await
    }

    async fn chunk(&mut self, chunk: Bytes) -> Result<(), CallerGone> {
        self.pass(Part::Piece(chunk)).await
    }

    fn progress(&mut self, units: u64) {
        let event = Event::Progress { attempt: self.attempt, units };
        // The next one makes up for one that is dropped here.
        let _ = self.commands.try_send(Command::Event(event));
    }
}

fn forward(request: &CallerRequest, arrival: &Arrival) -> Option<Forward> {
    let mut headers = HeaderMap::new();
    for (name, value) in &request.headers {
        let name = header::HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = header::HeaderValue::from_str(value).ok()?;
        headers.append(name, value);
    }
    Some(Forward {
        method: Method::from_bytes(request.method.as_bytes()).ok()?,
        target: request.target.clone(),
        headers,
        body: request.body.clone(),
        idempotent: arrival.policy.idempotent,
        cost: arrival.policy.cost,
    })
}

fn passed(head: sl_back::Head) -> Head {
    let headers = head
        .headers
        .iter()
        .filter_map(|(name, value)| {
            let value = std::str::from_utf8(value.as_bytes()).ok()?;
            Some((name.to_string(), value.to_owned()))
        })
        .collect();
    Head { status: head.status, headers, length: head.length }
}
