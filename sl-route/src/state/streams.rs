//! Resumed streams: where they began, and where they may go on.

use sl_base::{ServiceId, StreamId, Timestamp};

use super::State;
use crate::{
    Arrival, Decision, Effect, Refusal, Route, ServerKey,
    effect::OriginKnowledge,
    note::Note,
    request::InFlightRequest,
    stream_origin::{StreamOrigin, StreamRequest},
};

impl State {
    /// Where the stream began; `None` if that is not known here.
    pub fn stream_origin(&self, stream: StreamId) -> Option<&StreamOrigin> {
        self.origins.origin(stream)
    }

    /// The stream of a request on `route` whose origin has to be asked for, because it is not known
    /// here and the stream might go on at several software versions.
    pub fn missing_origin(&self, route: &Route, request: StreamRequest) -> Option<StreamId> {
        self.unknown_origin(request).filter(|_| self.sole_service(route).is_none())
    }

    /// The stream of a request whose origin is not known here. Even if the servers that are known here
    /// have one version, others may have come since this instance last heard of them.
    pub fn unknown_origin(&self, request: StreamRequest) -> Option<StreamId> {
        let stream = request.id().filter(|_| request.is_resumed())?;
        self.origins.origin(stream).is_none().then_some(stream)
    }

    /// The service at which a stream on `route` may go on, if it is known where the stream began
    /// and the route still leads there.
    pub fn service_of_stream(&self, route: &Route, request: StreamRequest) -> Option<ServiceId> {
        let origin = self.origins.origin(request.id().filter(|_| request.is_resumed())?)?;
        let is_on_route = route.services.iter().any(|it| it.0 == origin.service);
        is_on_route.then_some(origin.service)
    }

    /// The only service of the route, if all of its servers have one software version. Any stream
    /// of the route may go on at any of them. `None` as long as this instance may lack versions that
    /// have left before it started.
    fn sole_service(&self, route: &Route) -> Option<ServiceId> {
        let [(service, _)] = route.services[..] else {
            return None;
        };
        let is_complete = self.origins.known_versions.is_complete();
        (is_complete && self.origins.has_one_version(service)).then_some(service)
    }

    /// Finds out where a stream began that the request resumes; `None` if it may go on anywhere.
    ///
    /// # Errors
    ///
    /// [`Refusal::VersionGone`] if the route no longer leads to the service that began the stream,
    /// and [`Refusal::OriginUnknown`].
    pub(super) fn locate_stream(
        &mut self,
        arrival: &Arrival,
    ) -> Result<Option<StreamOrigin>, Refusal> {
        let Some(stream) = arrival.stream.filter(|it| it.is_resumed()) else {
            return Ok(None);
        };
        let origin = stream.id().and_then(|it| self.origins.origin(it)).cloned();
        let has_one_version = self.sole_service(&arrival.route).is_some();
        let known = match &origin {
            Some(it) if it.is_deduced() => OriginKnowledge::Deduced,
            Some(_) => OriginKnowledge::Origin,
            None if has_one_version => OriginKnowledge::OneVersion,
            None => OriginKnowledge::Unknown,
        };
        let version = origin.as_ref().and_then(|it| it.version.clone());
        let request = arrival.request;
        if let (OriginKnowledge::Deduced, Some(version)) = (known, version.clone()) {
            self.effects.push(Effect::Log(Decision::StreamOriginDeduced { request, version }));
        }
        self.effects.push(Effect::Log(Decision::StreamResumed { request, known, version }));
        match (origin, known) {
            (Some(origin), _) if origin.service != arrival.service => Err(Refusal::VersionGone),
            // A version without a name is that of all servers.
            (Some(origin), _) if origin.version.is_none() && has_one_version => Ok(None),
            (Some(origin), _) => Ok(Some(origin)),
            (None, OriginKnowledge::OneVersion) => Ok(None),
            (None, _) => Err(Refusal::OriginUnknown),
        }
    }

    /// Whether new requests leave some room at the servers of the service: streams that are taken
    /// up may go on at a part of them only.
    pub(super) fn keeps_room_for_streams(&self, arrival: &Arrival) -> bool {
        !arrival.is_resumed() && !self.origins.has_one_version(arrival.service)
    }

    /// Records the stream that is sent to the run, and returns it for the note of the attempt.
    pub(super) fn recorded_stream(
        &mut self,
        arrival: &Arrival,
        server: ServerKey,
    ) -> Option<StreamId> {
        let stream = arrival.stream?.id().filter(|_| self.has_certain_version(server))?;
        self.origins.record(stream, server);
        Some(stream)
    }

    /// Whether the entry of a run states the version of the software that answers at its address.
    fn has_certain_version(&self, server: ServerKey) -> bool {
        self.servers.get(&server).is_none_or(|it| !it.may_have_restarted)
    }

    /// Records which run began the stream of a request, now that its first event has arrived.
    pub(super) fn record_stream_start(
        &mut self,
        in_flight: &mut InFlightRequest,
        server: ServerKey,
    ) {
        let Some(stream) = in_flight.arrival.stream else {
            return;
        };
        if in_flight.origin.is_some() {
            return;
        }
        in_flight.origin = self.origins.of_run(server).cloned();
        if !self.has_certain_version(server) {
            in_flight.origin.as_mut().into_iter().for_each(|it| it.version = None);
            return;
        }
        // The notes of the attempts name several servers, and the last one may have got lost.
        if let (Some(stream), true) = (stream.id(), in_flight.tried.len() > 1) {
            self.origins.record(stream, server);
            let note = Note::StreamBegan { stream, server };
            self.queue_note(note.clone());
            self.repeat_note(note);
        }
    }

    /// Records the streams that are still running again, here and at the peers, so that their
    /// origins are remembered for as long as they run.
    pub(super) fn refresh_streams(&mut self, now: Timestamp) {
        self.origins.known_versions.prune(now);
        if !self.origins.prune(now) {
            return;
        }
        let running = self.requests.values().filter_map(|it| {
            let stream = it.arrival.stream?.id()?;
            Some((stream, it.origin.as_ref().map(|it| it.run).or(Some(it.current?.server))?))
        });
        let running: Vec<(StreamId, ServerKey)> = running.collect();
        for (stream, server) in running {
            self.origins.record(stream, server);
            self.queue_note(Note::StreamBegan { stream, server });
        }
    }
}
