//! The daemon as its ports see it.

use std::sync::{
    Arc, PoisonError, RwLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use sl_base::{Code, Millis, RequestId, status::InstanceStatus};
use sl_config::Config;
use sl_front::{Job, Label, Node};
use sl_peer::{Hello, Links, Receiver};
use sl_report::Snapshot;
use sl_step::{Event, Message};
use tokio::sync::{
    mpsc::{self, error::TrySendError},
    oneshot,
};

use crate::{
    burn::Burn,
    command::{Command, Seen},
    metrics::Metrics,
    status,
};

/// What the ports and the owner share; clones are the same.
#[derive(Clone, Debug)]
pub(crate) struct Handle(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    commands: mpsc::Sender<Command>,
    requests: AtomicU64,
    ready: AtomicBool,
    config: RwLock<Option<Arc<Config>>>,
    metrics: Metrics,
    links: Links,
    burn: Burn,
    stop_within: Millis,
}

impl Handle {
    pub(crate) fn new(
        commands: mpsc::Sender<Command>,
        metrics: Metrics,
        links: Links,
        burn: Burn,
        stop_within: Millis,
    ) -> Handle {
        Handle(Arc::new(Inner {
            commands,
            requests: AtomicU64::new(1),
            ready: AtomicBool::new(false),
            config: RwLock::new(None),
            metrics,
            links,
            burn,
            stop_within,
        }))
    }

    pub(crate) fn publish(&self, config: Arc<Config>) {
        let mut place = self.0.config.write().unwrap_or_else(PoisonError::into_inner);
        *place = Some(config);
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Relaxed);
    }

    /// Begins a planned stop that ends `within` from now at the latest.
    pub(crate) fn stop(&self, within: Millis) {
        self.tell(Command::Stop { within });
    }

    /// The span that settings give a planned stop.
    pub(crate) fn stop_within(&self) -> Millis {
        self.0.stop_within
    }

    /// Hands over a command that must not be lost, from where nothing can wait.
    fn tell(&self, command: Command) {
        if let Err(TrySendError::Full(command)) = self.0.commands.try_send(command) {
            let commands = self.0.commands.clone();
            tokio::spawn(async move {
                let _ = commands.send(command).await;
            });
        }
    }

    async fn seen(&self) -> Option<Seen> {
        let (tx, rx) = oneshot::channel();
        self.0.commands.send(Command::Status(tx)).await.ok()?;
        rx.await.ok()
    }
}

impl Node for Handle {
    fn config(&self) -> Option<Arc<Config>> {
        let place = self.0.config.read();
        place.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn is_ready(&self) -> bool {
        self.0.ready.load(Ordering::Relaxed)
    }

    fn next_request(&self) -> RequestId {
        RequestId(self.0.requests.fetch_add(1, Ordering::Relaxed))
    }

    fn submit(&self, job: Job) -> Result<(), Code> {
        self.0.commands.try_send(Command::Arrive(job)).map_err(|e| match e {
            TrySendError::Full(_) => Code::Overloaded,
            TrySendError::Closed(_) => Code::Draining,
        })
    }

    fn caller_gone(&self, request: RequestId) {
        self.tell(Command::CallerGone(request));
    }

    fn refused(&self, code: Code, label: Option<&Label>) {
        self.0.metrics.answered(code);
        if let Some(label) = label {
            self.0.burn.failed(label, code);
        }
    }

    async fn metrics(&self) -> String {
        if let Some(seen) = self.seen().await {
            self.0.metrics.seen(&seen);
        }
        if let Some(config) = self.config() {
            let report = self.0.burn.report(&config, &[self.0.burn.snapshot()], Vec::new());
            self.0.metrics.burning(report.as_ref());
        }
        self.0.metrics.encode()
    }

    async fn status(&self) -> Option<String> {
        let seen = self.seen().await?;
        let fleet = status::gather(seen, &self.0.links).await;
        serde_json::to_string(&fleet).ok()
    }

    async fn report(&self) -> Option<String> {
        let config = self.config().unwrap_or_default();
        let seen = self.seen().await?;
        let own = self.0.burn.snapshot();
        let (snapshots, missing) = status::burns(seen, own, &self.0.links).await;
        let report = self.0.burn.report(&config, &snapshots, missing)?;
        serde_json::to_string(&report).ok()
    }

    fn drain(&self, within: Option<Millis>) {
        self.stop(within.unwrap_or(self.0.stop_within));
    }
}

impl Receiver for Handle {
    async fn deliver(&self, from: Hello, messages: Vec<Message>) {
        for message in messages {
            let event = Event::Message { from: from.from, incarnation: from.incarnation, message };
            let _ = self.0.commands.send(Command::Event(event)).await;
        }
    }

    async fn status(&self) -> InstanceStatus {
        self.seen().await.unwrap_or_default().instance
    }

    fn burn(&self) -> Snapshot {
        self.0.burn.snapshot()
    }
}
