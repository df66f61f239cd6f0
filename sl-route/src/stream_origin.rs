//! Where streams began. A stream goes on only on servers of the software version that sent its
//! first event, whichever instance the caller reaches when it takes the stream up. See
//! docs/design.md, "Servers of several software versions".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use sl_base::{IdMap, Millis, ServiceId, StreamId, Timestamp, WallClock};

use crate::{
    ServerKey, ServerRecord, known_versions::KnownVersions, server::Server,
    version_record::VersionRecord,
};

/// What a request for a resumable stream asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamRequest {
    /// The stream from its first event on.
    New(StreamId),
    /// The rest of a stream that an earlier attempt of the caller began; `None` if the caller
    /// does not name that attempt.
    Resumed(Option<StreamId>),
}

impl StreamRequest {
    /// The stream, if it is known which one it is.
    pub fn id(self) -> Option<StreamId> {
        match self {
            StreamRequest::New(id) => Some(id),
            StreamRequest::Resumed(id) => id,
        }
    }

    /// Whether the caller has a part of the stream already.
    pub fn is_resumed(self) -> bool {
        matches!(self, StreamRequest::Resumed(_))
    }
}

/// The run of a server that began a stream, with its software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The run that sent the first event.
    pub run: ServerKey,
    /// The service of the server.
    pub service: ServiceId,
    /// The version of the server's software; `None` if its entry names none. The stream then goes
    /// on nowhere but on the same run.
    pub version: Option<Arc<str>>,
}

impl StreamOrigin {
    /// The origin of a stream that the server with this entry begins.
    pub fn of(record: &ServerRecord) -> StreamOrigin {
        StreamOrigin { run: record.key(), service: record.service, version: record.version.clone() }
    }

    /// The origin of a stream that began at some run of this version. A key of its own stands for the
    /// run.
    pub fn deduced(service: ServiceId, version: Arc<str>) -> StreamOrigin {
        StreamOrigin { run: deduced_run(service, &version), service, version: Some(version) }
    }

    /// Whether the origin was deduced from the version record, here or at a peer.
    pub fn is_deduced(&self) -> bool {
        let version = self.version.as_deref();
        version.is_some_and(|it| self.run == deduced_run(self.service, it))
    }

    /// Whether the stream may go on at the server.
    pub fn allows(&self, server: &Server) -> bool {
        let has_version = self.version.is_some() && server.record.version == self.version;
        let has_software = has_version && server.record.service == self.service;
        !server.may_have_restarted && (server.key == self.run || has_software)
    }
}

/// Any [`UNSAVED_MAX`] of the streams of a period, in any order.
fn bounded(streams: &IdMap<StreamId, ServerKey>) -> Vec<(StreamId, ServerKey)> {
    streams.iter().map(|(&stream, &run)| (stream, run)).take(UNSAVED_MAX).collect()
}

fn deduced_run(service: ServiceId, version: &str) -> ServerKey {
    ServerKey::of("", service.0.into()).of_version(version)
}

/// Where a number of streams began, as written in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginBatch {
    /// The runs that began the streams.
    pub runs: Vec<StreamOrigin>,
    /// The streams, each with the index of its run. Of several entries of a stream the last counts.
    pub streams: Vec<(StreamId, u32)>,
}

/// The runs that began the streams of the last 20 to 40 s, and the software of the runs of the last minute.
#[derive(Debug)]
pub struct StreamOrigins {
    /// The streams recorded since the last rotation.
    recent: IdMap<StreamId, ServerKey>,
    /// The streams recorded in the period before.
    older: IdMap<StreamId, ServerKey>,
    rotate_at: Timestamp,
    runs: IdMap<ServerKey, KnownRun>,
    /// The number of these runs by service and software version.
    versions: IdMap<ServiceId, HashMap<Option<Arc<str>>, usize>>,
    /// The software versions of servers that this instance may not have seen.
    pub(crate) known_versions: KnownVersions,
    /// Streams that are not saved in the store, a backlog first; `None` while this instance saves none.
    unsaved: Option<Vec<(StreamId, ServerKey)>>,
    /// Whether the streams of the present period have yet to be added to `unsaved`.
    has_backlog: bool,
}

#[derive(Debug)]
struct KnownRun {
    origin: StreamOrigin,
    /// When the run is forgotten; [`Timestamp::NEVER`] while it is listed.
    forget_at: Timestamp,
    /// Whether this instance has seen the server's entry itself.
    was_listed: bool,
}

/// The period after which streams that are still running are recorded again. A stream is
/// remembered for one to two periods after its last record.
pub const ROTATION_PERIOD: Millis = Millis(20_000);

/// How long the software of a run is remembered after its entry was removed: longer than the streams
/// that it began.
pub const RUN_RETENTION: Millis = Millis(3 * ROTATION_PERIOD.0);

/// Bound on the streams of one period; further ones are not recorded.
pub const STREAMS_PER_PERIOD_MAX: usize = 1 << 18;

/// Bound on the streams that wait to be saved; further ones are not saved. As many fit into one value
/// of the store, of 1,048,576 bytes, with the table of their runs.
pub const UNSAVED_MAX: usize = 100_000;

/// Bound on the runs that are remembered; further ones are not.
const RUNS_MAX: usize = 1 << 15;

impl StreamOrigins {
    /// Remembers nothing yet.
    pub fn new(now: Timestamp, wall_clock: WallClock) -> StreamOrigins {
        StreamOrigins {
            recent: IdMap::default(),
            older: IdMap::default(),
            rotate_at: now.after(ROTATION_PERIOD),
            runs: IdMap::default(),
            versions: IdMap::default(),
            known_versions: KnownVersions::new(now, wall_clock),
            unsaved: None,
            has_backlog: false,
        }
    }

    /// Records that the stream was sent to the run, which begins it unless a later record names
    /// another run.
    pub fn record(&mut self, stream: StreamId, run: ServerKey) {
        if self.recent.len() >= STREAMS_PER_PERIOD_MAX && !self.recent.contains_key(&stream) {
            return;
        }
        let is_new = self.recent.insert(stream, run) != Some(run);
        let is_wanted = is_new && !self.has_backlog;
        if let Some(unsaved) =
            self.unsaved.as_mut().filter(|it| is_wanted && it.len() < UNSAVED_MAX)
        {
            unsaved.push((stream, run));
        }
    }

    /// Starts to collect the streams that are to be saved, from all known ones on, or ends it. Those of
    /// the former period are taken first, and then those of the present one: at 3,000 a second both
    /// together are 120,000, more than [`UNSAVED_MAX`].
    pub fn collect_unsaved(&mut self, is_collecting: bool) {
        self.has_backlog = is_collecting && !self.older.is_empty();
        let first = if self.has_backlog { &self.older } else { &self.recent };
        self.unsaved = is_collecting.then(|| bounded(first));
    }

    /// The number of streams that the next [`StreamOrigins::take_unsaved`] returns.
    pub fn unsaved_count(&self) -> usize {
        self.unsaved.as_ref().map_or(0, Vec::len)
    }

    /// Takes the streams that were recorded since the last call, in their order, or a backlog in any
    /// order.
    pub fn take_unsaved(&mut self) -> Vec<(StreamId, ServerKey)> {
        let taken = self.unsaved.as_mut().map(std::mem::take).unwrap_or_default();
        if std::mem::take(&mut self.has_backlog) {
            self.unsaved = Some(bounded(&self.recent));
        }
        taken
    }

    /// The batch of these streams. A stream whose run is unknown is left out.
    pub fn batch(&self, streams: &[(StreamId, ServerKey)]) -> OriginBatch {
        let mut batch = OriginBatch::default();
        let mut indexes: IdMap<ServerKey, u32> = IdMap::default();
        for &(stream, run) in streams {
            let Some(origin) = self.of_run(run) else {
                continue;
            };
            let index = *indexes.entry(run).or_insert_with(|| {
                batch.runs.push(origin.clone());
                batch.runs.len() as u32 - 1
            });
            batch.streams.push((stream, index));
        }
        batch
    }

    /// Records the streams of batches, the last written ones last, except those that are known here.
    pub fn record_batches(&mut self, now: Timestamp, batches: &[OriginBatch]) {
        let entries = batches.iter().flat_map(|batch| {
            let run_of = |index: u32| batch.runs.get(index as usize);
            batch.streams.iter().filter_map(move |&(stream, index)| Some((stream, run_of(index)?)))
        });
        let last: IdMap<StreamId, &StreamOrigin> = entries.collect();
        for (stream, origin) in last {
            match self.run_of(stream) {
                None => self.record_origin(now, stream, origin.clone()),
                Some(run) if run == origin.run => self.put_unlisted_run(now, origin.clone()),
                Some(_) => {}
            }
        }
    }

    /// Records the entry of a server that is listed.
    pub fn record_listed(&mut self, record: &ServerRecord) {
        let origin = StreamOrigin::of(record);
        let run = KnownRun { origin, forget_at: Timestamp::NEVER, was_listed: true };
        self.put_run(record.key(), run);
    }

    /// Records that the entry of a run was removed or replaced.
    pub fn record_removed(&mut self, now: Timestamp, run: ServerKey) {
        if let Some(run) = self.runs.get_mut(&run) {
            run.forget_at = now.after(RUN_RETENTION);
        }
    }

    /// Records where a stream began, as learned from a peer, a batch or the version record.
    pub fn record_origin(&mut self, now: Timestamp, stream: StreamId, origin: StreamOrigin) {
        let run = origin.run;
        self.put_unlisted_run(now, origin);
        self.record(stream, run);
    }

    fn put_unlisted_run(&mut self, now: Timestamp, origin: StreamOrigin) {
        let run = origin.run;
        if !self.runs.contains_key(&run) {
            let forget_at = now.after(RUN_RETENTION);
            self.put_run(run, KnownRun { origin, forget_at, was_listed: false });
        }
    }

    fn put_run(&mut self, key: ServerKey, run: KnownRun) {
        if self.runs.len() >= RUNS_MAX && !self.runs.contains_key(&key) {
            return;
        }
        let versions = self.versions.entry(run.origin.service).or_default();
        *versions.entry(run.origin.version.clone()).or_default() += 1;
        if let Some(replaced) = self.runs.insert(key, run) {
            self.uncount(&replaced.origin);
        }
    }

    /// Takes a run out of the numbers by version.
    fn uncount(&mut self, origin: &StreamOrigin) {
        let Some(versions) = self.versions.get_mut(&origin.service) else {
            return;
        };
        if let Some(count) = versions.get_mut(&origin.version) {
            *count -= 1;
        }
        versions.retain(|_, count| *count > 0);
    }

    /// Where the stream began; `None` if that is not known here.
    pub fn origin(&self, stream: StreamId) -> Option<&StreamOrigin> {
        self.of_run(self.run_of(stream)?)
    }

    fn run_of(&self, stream: StreamId) -> Option<ServerKey> {
        self.recent.get(&stream).or_else(|| self.older.get(&stream)).copied()
    }

    /// The origin of the streams that the run begins.
    pub fn of_run(&self, run: ServerKey) -> Option<&StreamOrigin> {
        self.runs.get(&run).map(|it| &it.origin)
    }

    /// Whether all servers of the service have the same software version, as far as known: those
    /// listed now, those that began streams which may still be resumed, and those of the version
    /// record. Servers whose entries name no version count as one version.
    pub fn has_one_version(&self, service: ServiceId) -> bool {
        let seen = self.versions.get(&service).into_iter().flat_map(HashMap::keys);
        let mut versions = seen.chain(self.known_versions.versions(service));
        let first = versions.next();
        versions.all(|it| Some(it) == first)
    }

    /// Whether some service has several software versions.
    pub fn has_several_versions(&self) -> bool {
        let services: HashSet<ServiceId> =
            self.versions.keys().copied().chain(self.known_versions.services()).collect();
        services.into_iter().any(|it| !self.has_one_version(it))
    }

    /// Applies the version record that the store has. Returns whether this instance had seen no server
    /// before, so that the record tells it what the instances before it knew.
    pub fn apply_record(&mut self, now: Timestamp, record: Option<VersionRecord>) -> bool {
        let is_first = self.runs.is_empty();
        self.known_versions.apply(now, record, is_first);
        is_first
    }

    /// The version record that the store should have; `None` if it has that.
    pub fn wanted_record(&self, now: Timestamp) -> Option<VersionRecord> {
        let served = self.runs.values().filter(|it| it.was_listed && !it.forget_at.is_due(now));
        let served = served.map(|it| (it.origin.service, &it.origin.version));
        self.known_versions.wanted_record(now, served)
    }

    /// Forgets what is too old to be asked for. Returns whether a period has ended, so that the
    /// streams that are still running have to be recorded again.
    pub fn prune(&mut self, now: Timestamp) -> bool {
        if !self.rotate_at.is_due(now) {
            return false;
        }
        self.rotate_at = now.after(ROTATION_PERIOD);
        self.older = std::mem::take(&mut self.recent);
        if self.has_backlog {
            self.collect_unsaved(true);
        }
        let forgotten: Vec<KnownRun> =
            self.runs.extract_if(|_, it| it.forget_at.is_due(now)).map(|(_, it)| it).collect();
        forgotten.iter().for_each(|it| self.uncount(&it.origin));
        true
    }

    /// The number of streams that are remembered, for tests of the bounds.
    pub fn len(&self) -> usize {
        self.recent.len() + self.older.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
