//! Answers the queries of the operator, metrics and control ports.

use std::{collections::HashMap, rc::Rc};

use sl_base::{
    Incarnation, Millis, Timestamp,
    status::{InstanceStatus, ServerStatus},
};
use sl_config::Settings;
use sl_peer::CachesPage;
use sl_report::Objective;
use sl_route::server::{Server, ServerKind};
use tokio::sync::mpsc;

use crate::{
    core::Core,
    handle::{FleetView, Query},
    membership::PeerTable,
    store::StoreClient,
};

/// Answers queries from the daemon's state.
pub(crate) struct QueryHandler {
    pub(crate) core: Rc<Core>,
    pub(crate) store: Rc<StoreClient>,
    pub(crate) peer_table: Rc<PeerTable>,
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
}

impl QueryHandler {
    /// Answers queries until the daemon stops; requests for a graceful shutdown are sent to
    /// `shutdown_tx`.
    pub(crate) async fn run(
        self,
        mut queries: mpsc::Receiver<Query>,
        shutdown_tx: mpsc::Sender<Option<Millis>>,
    ) {
        while let Some(query) = queries.recv().await {
            // Sending fails only if the port no longer waits for the response.
            match query {
                Query::Status(tx) => drop(tx.send(self.status())),
                Query::Fleet(tx) => drop(tx.send(self.fleet())),
                Query::StorePage(known, after, tx) => {
                    drop(tx.send(self.store.page_beyond(known, after.as_deref())));
                }
                Query::CachesPage(after, tx) => {
                    let now = self.core.now();
                    let (caches, next) = self.core.with_state(|it| it.engine_caches(now, after));
                    drop(tx.send(CachesPage { caches, next }));
                }
                Query::StreamOrigin(stream, tx) => {
                    let origin = self.core.with_state(|it| it.stream_origin(stream).cloned());
                    drop(tx.send(origin));
                }
                Query::DeducedOrigin(stream, service, tx) => {
                    let now = self.core.now();
                    let origin = self.core.with_state(|it| it.deduced_origin(now, stream, service));
                    drop(tx.send(origin));
                }
                // The channel is full only if a shutdown was requested before.
                Query::ShutDown(drain_timeout) => drop(shutdown_tx.try_send(drain_timeout)),
            }
        }
    }

    fn status(&self) -> InstanceStatus {
        let (in_flight, peers) =
            self.core.with_state(|it| (it.in_flight() as u64, it.peer_count() as u64));
        InstanceStatus {
            name: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            incarnation: self.incarnation,
            document_version: self.core.document().version,
            revision: self.store.version().revision,
            ready: self.core.ready().load(std::sync::atomic::Ordering::Relaxed),
            stopping: self.core.shutdown.is_in_progress(),
            store_answers: self.store.is_reachable(),
            in_flight,
            peers,
        }
    }

    fn fleet(&self) -> FleetView {
        let now = self.core.now();
        let own_id = self.settings.id();
        let others = self.peer_table.all().into_iter().filter(|(id, _)| *id != own_id);
        let mut servers: Vec<ServerStatus> =
            self.core.with_state(|it| it.servers().map(|it| server_status(now, it)).collect());
        let evacuated =
            self.core.with_state(|it| it.evacuations().names().map(ToString::to_string).collect());
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        FleetView {
            own_status: self.status(),
            peers: others.map(|(id, it)| (id, it.control)).collect(),
            evacuated,
            servers,
            objectives: self.objectives(),
        }
    }

    /// The objective of each route, by the route's name.
    fn objectives(&self) -> HashMap<String, Objective> {
        let objectives = self.settings.objectives;
        let document = self.core.document();
        let objective = |route: &std::sync::Arc<sl_route::Route>| {
            let objective = Objective {
                first_byte_within: route.target_latency,
                latency_ppm: objectives.latency_ppm,
                answered_ppm: objectives.answered_ppm,
            };
            (route.name.clone(), objective)
        };
        document.routes().map(objective).collect()
    }
}

fn server_status(now: Timestamp, server: &Server) -> ServerStatus {
    let (backlog_ms, tokens_per_ms) = match &server.kind {
        ServerKind::Engine(engine) => (engine.backlog_ms(now), engine.tokens_per_ms()),
        ServerKind::Plain(_) => (0.0, 0.0),
    };
    let state: &str = server.record.state.into();
    ServerStatus {
        id: server.record.id.to_string(),
        data_centre: server.record.data_centre.to_string(),
        state: state.to_owned(),
        version: server.record.version.as_deref().unwrap_or_default().to_owned(),
        slots: server.record.slots,
        in_flight: server.in_flight() as u64,
        backlog_ms,
        tokens_per_ms,
        failure_rate: server.health.failure_rate(now),
        avoided: server.is_avoided(now),
        cold_ms: server.cold_for(now).0,
    }
}
