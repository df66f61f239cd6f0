//! Access to the daemon for its operator, metrics and control ports. The ports' tasks may move
//! between threads and the daemon's state may not, so they query it over a channel.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use futures::future::join_all;
use sl_base::{
    InstanceId, Millis, ServiceId, StreamId, Timestamp,
    status::{FleetStatus, InstanceStatus, ServerStatus},
};
use sl_peer::{CachesPage, KnownStore, Links, StorePage};
use sl_report::{Objective, Recorder, Report, Sample, Snapshot};
use sl_route::{ServerKey, stream_origin::StreamOrigin};
use tokio::sync::{mpsc, oneshot};

use crate::{clock::Clock, metrics::Metrics};

/// A query or command of a port to the daemon.
pub(crate) enum Query {
    /// The status of this instance.
    Status(oneshot::Sender<InstanceStatus>),
    /// The fleet as this instance knows it.
    Fleet(oneshot::Sender<FleetView>),
    /// The store's contents beyond what the caller has, from the key after the given one on.
    StorePage(KnownStore, Option<String>, oneshot::Sender<Option<StorePage>>),
    /// The prompt parts that model engines are estimated to cache, for a starting peer, from the engine
    /// after the given one on.
    CachesPage(Option<ServerKey>, oneshot::Sender<CachesPage>),
    /// Where a stream began, for a peer at which it is resumed.
    StreamOrigin(StreamId, oneshot::Sender<Option<StreamOrigin>>),
    /// Where a stream of the service began, or what the version record says of it.
    DeducedOrigin(StreamId, ServiceId, oneshot::Sender<Option<StreamOrigin>>),
    /// Starts a graceful shutdown with the given drain timeout, or the configured one.
    ShutDown(Option<Millis>),
}

/// The fleet as one instance knows it.
pub(crate) struct FleetView {
    pub(crate) own_status: InstanceStatus,
    pub(crate) peers: Vec<(InstanceId, SocketAddr)>,
    /// The evacuated data centres, sorted by name.
    pub(crate) evacuated: Vec<String>,
    pub(crate) servers: Vec<ServerStatus>,
    /// The service level objectives of each route, by route name.
    pub(crate) objectives: std::collections::HashMap<String, Objective>,
}

/// A handle to the daemon; clones refer to the same daemon.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(crate) queries: mpsc::Sender<Query>,
    pub(crate) ready: Arc<AtomicBool>,
    pub(crate) metrics: Metrics,
    pub(crate) links: Links,
    pub(crate) recorder: SharedRecorder,
}

/// Queries that may be queued for the daemon.
pub(crate) const QUERY_QUEUE_LEN: usize = 64;

impl Handle {
    async fn send_query<T>(&self, query: impl FnOnce(oneshot::Sender<T>) -> Query) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.queries.send(query(tx)).await.ok()?;
        rx.await.ok()
    }

    async fn fleet_status(&self) -> Option<FleetStatus> {
        let fleet = self.send_query(Query::Fleet).await?;
        let requests = fleet.peers.iter().map(|&(id, address)| async move {
            let status = self.links.status(id, address).await;
            status.ok().flatten().ok_or(id)
        });
        let mut instances = vec![fleet.own_status];
        let mut unreachable = Vec::new();
        for response in join_all(requests).await {
            match response {
                Ok(status) => instances.push(status),
                Err(id) => unreachable.push(id.to_string()),
            }
        }
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        let document_version =
            instances.iter().map(|it| it.document_version).max().unwrap_or_default();
        let FleetView { evacuated, servers, .. } = fleet;
        Some(FleetStatus { document_version, instances, unreachable, evacuated, servers })
    }

    async fn fleet_report(&self) -> Option<Report> {
        let fleet = self.send_query(Query::Fleet).await?;
        let requests = fleet.peers.iter().map(|&(id, address)| async move {
            self.links.report_snapshot(id, address).await.map_err(|_| id)
        });
        let mut snapshots = vec![self.recorder.snapshot()];
        let mut missing = Vec::new();
        for response in join_all(requests).await {
            match response {
                Ok(snapshot) => snapshots.push(snapshot),
                Err(id) => missing.push(id.to_string()),
            }
        }
        let objective = |route: &str| fleet.objectives.get(route).copied();
        Report::merge(objective, &snapshots, missing).ok()
    }
}

impl sl_front::Daemon for Handle {
    fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    async fn metrics(&self) -> String {
        self.metrics.encode()
    }

    async fn status(&self) -> Option<String> {
        serde_json::to_string(&self.fleet_status().await?).ok()
    }

    async fn report(&self) -> Option<String> {
        serde_json::to_string(&self.fleet_report().await?).ok()
    }

    async fn drain(&self, timeout: Option<Millis>) -> bool {
        self.queries.send(Query::ShutDown(timeout)).await.is_ok()
    }
}

impl sl_peer::ControlHandler for Handle {
    async fn store_page(&self, known: KnownStore, after: Option<String>) -> Option<StorePage> {
        self.send_query(|tx| Query::StorePage(known, after, tx)).await.flatten()
    }

    async fn caches_page(&self, after: Option<ServerKey>) -> Option<CachesPage> {
        self.send_query(|tx| Query::CachesPage(after, tx)).await
    }

    async fn status(&self) -> Option<InstanceStatus> {
        self.send_query(Query::Status).await
    }

    fn report_snapshot(&self) -> Snapshot {
        self.recorder.snapshot()
    }

    async fn stream_origin(&self, stream: StreamId) -> Option<StreamOrigin> {
        self.send_query(|tx| Query::StreamOrigin(stream, tx)).await.flatten()
    }

    async fn deduced_origin(&self, stream: StreamId, service: ServiceId) -> Option<StreamOrigin> {
        self.send_query(|tx| Query::DeducedOrigin(stream, service, tx)).await.flatten()
    }
}

/// The recorder behind the burn report, which counts request outcomes by team and route;
/// shared between the daemon's thread and the ports.
#[derive(Clone)]
pub(crate) struct SharedRecorder(Arc<Mutex<Recorder>>);

/// Pairs of team and route that are counted separately; further pairs share one series.
const SERIES_MAX: usize = 256;

impl SharedRecorder {
    /// A recorder whose record begins now.
    pub(crate) fn new(instance: &str) -> SharedRecorder {
        let options = sl_report::Options {
            instance: instance.to_owned(),
            started_at: Clock.now(),
            max_series: SERIES_MAX,
        };
        SharedRecorder(Arc::new(Mutex::new(Recorder::new(options))))
    }

    /// Records the outcome of a request.
    pub(crate) fn record(&self, now: Timestamp, team: &str, route: &str, sample: Sample) {
        self.lock().record(now, team, route, sample);
    }

    fn snapshot(&self) -> Snapshot {
        self.lock().snapshot(Clock.now())
    }

    fn lock(&self) -> MutexGuard<'_, Recorder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
