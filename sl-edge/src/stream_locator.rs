//! Asks peers and the store where a stream began that a caller resumes here. This instance may not
//! know, because it has just started, was cut off, or missed a note.

use std::{collections::HashSet, net::SocketAddr, pin::pin, rc::Rc};

use futures::{StreamExt, stream::FuturesUnordered};
use sl_base::{InstanceId, Millis, ServiceId, StreamId, hash};
use sl_peer::{Links, PeerUnreachable};
use sl_route::{
    Event, Route,
    stream_origin::{StreamOrigin, StreamRequest},
};

use crate::{core::Core, membership::PeerTable, origin_reader::OriginReader};

/// Finds out from peers and from the store where streams began.
pub(crate) struct StreamLocator {
    pub(crate) core: Rc<Core>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) links: Links,
    pub(crate) own_id: InstanceId,
    pub(crate) reader: Rc<OriginReader>,
}

/// The number of peers that are asked about one stream, at the same time. Nearly all know of it.
const PEERS_ASKED: usize = 3;

/// How long their responses are waited for.
const RESPONSE_TIMEOUT: Millis = Millis(250);

/// What peers say of the origin of a stream.
enum PeerAnswer {
    Origin(StreamOrigin),
    /// Some have responded, and none of these knows of the stream.
    Unknown,
    /// None has responded.
    None,
}

impl StreamLocator {
    /// Tells the reducer where the stream began that a request on `route` resumes, if the reducer
    /// lacks that and a peer or the store knows. Returns whether the reducer may rely on what it knows of
    /// the software versions: a peer or the store has responded since the request arrived. What an
    /// instance knew before may be outdated, as it may have been cut off, or have stood still.
    pub(crate) async fn locate(&self, route: &Route, request: StreamRequest) -> bool {
        let Some(stream) = self.core.with_state(|it| it.unknown_origin(request)) else {
            return true;
        };
        if self.core.with_state(|it| it.missing_origin(route, request).is_none()) {
            return self.confirm_version(stream).await;
        }
        self.search(route, stream).await;
        true
    }

    /// Asks peers where the stream began, and the store only if none responds.
    async fn confirm_version(&self, stream: StreamId) -> bool {
        if self.peers_to_ask(stream).is_empty() {
            return true;
        }
        match self.ask_in_time(stream).await {
            PeerAnswer::Origin(origin) => {
                self.core.step(Event::StreamOriginFound { stream, origin });
                true
            }
            PeerAnswer::Unknown => true,
            PeerAnswer::None => self.reader.read().await,
        }
    }

    /// Asks peers and the store at the same time.
    async fn search(&self, route: &Route, stream: StreamId) {
        let mut asking = pin!(self.ask_in_time(stream));
        let mut reading = pin!(self.reader.read());
        let mut is_asked = false;
        let mut is_read = None;
        while !is_asked || is_read.is_none() {
            tokio::select! {
                answer = &mut asking, if !is_asked => {
                    is_asked = true;
                    if let PeerAnswer::Origin(origin) = answer {
                        return self.core.step(Event::StreamOriginFound { stream, origin });
                    }
                }
                is_complete = &mut reading, if is_read.is_none() => {
                    is_read = Some(is_complete);
                    if self.core.with_state(|it| it.stream_origin(stream).is_some()) {
                        return;
                    }
                }
            }
        }
        if let (Some(true), &[(service, _)]) = (is_read, &route.services[..]) {
            self.core.step(Event::StreamNotStored { stream, service });
            self.ask_deduced(stream, service).await;
        }
    }

    /// Asks peers what they deduce of a stream of which this instance can't deduce anything: they may have
    /// started before the version record was changed, and then know which versions it had.
    async fn ask_deduced(&self, stream: StreamId, service: ServiceId) {
        if self.core.with_state(|it| it.stream_origin(stream).is_some()) {
            return;
        }
        let calls = self.peers_to_ask(stream).into_iter();
        let calls = calls
            .map(|(peer, control)| self.links.deduced_origin(peer, control, stream, service))
            .collect();
        let asking = first_origin(calls);
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT.into(), asking).await;
        if let Ok(PeerAnswer::Origin(origin)) = answer {
            self.core.step(Event::StreamOriginFound { stream, origin });
        }
    }

    /// The same as [`StreamLocator::ask`], for at most [`RESPONSE_TIMEOUT`].
    async fn ask_in_time(&self, stream: StreamId) -> PeerAnswer {
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT.into(), self.ask(stream)).await;
        answer.unwrap_or(PeerAnswer::None)
    }

    /// The first response of a peer that knows of the stream.
    async fn ask(&self, stream: StreamId) -> PeerAnswer {
        let calls = self.peers_to_ask(stream).into_iter();
        let calls =
            calls.map(|(peer, control)| self.links.stream_origin(peer, control, stream)).collect();
        first_origin(calls).await
    }

    /// The peer that has been running for longest, and others that differ from stream to stream:
    /// those that sent a message lately, and listed ones while there are too few of these.
    fn peers_to_ask(&self, stream: StreamId) -> Vec<(InstanceId, SocketAddr)> {
        let active = self.peer_table.recently_active(self.core.now());
        let active_ids: HashSet<InstanceId> = active.iter().map(|it| it.0).collect();
        let oldest = active.iter().filter(|it| it.0 != self.own_id);
        let oldest = oldest.min_by_key(|(_, info)| info.incarnation).map(|it| it.0);
        let mut peers = self.peer_table.all();
        peers.retain(|(id, _)| *id != self.own_id);
        peers.sort_by_key(|(id, _)| {
            let weight = hash::weight(stream.0.into(), (*id).into());
            (Some(*id) != oldest, !active_ids.contains(id), weight)
        });
        peers.truncate(PEERS_ASKED);
        peers.into_iter().map(|(id, addresses)| (id, addresses.control)).collect()
    }
}

/// The first origin among the responses of peers.
async fn first_origin<C>(mut responses: FuturesUnordered<C>) -> PeerAnswer
where
    C: Future<Output = Result<Option<StreamOrigin>, PeerUnreachable>>,
{
    let mut answer = PeerAnswer::None;
    while let Some(response) = responses.next().await {
        match response {
            Ok(Some(origin)) => return PeerAnswer::Origin(origin),
            Ok(None) => answer = PeerAnswer::Unknown,
            Err(_) => {}
        }
    }
    answer
}
