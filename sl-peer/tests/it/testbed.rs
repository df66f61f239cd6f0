//! A peer that records the calls it gets, and a relay that can stop forwarding while its
//! connections stay open.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use sl_base::{
    Incarnation, InstanceId, Millis, ServiceId, StreamId, Timestamp, status::InstanceStatus,
};
use sl_mirror::{UpdatePage, Version};
use sl_peer::{
    CachesPage, ControlHandler, Counters, HandshakeKey, Hello, KnownStore, Links, Options, Server,
    StorePage, serve,
};
use sl_report::Snapshot;
use sl_route::{ServerKey, stream_origin::StreamOrigin};
use tokio::net::{TcpListener, TcpStream};

pub const PEER: InstanceId = InstanceId(7);
pub const INITIATOR: Hello =
    Hello { instance: InstanceId(u32::MAX), incarnation: Incarnation(1_790_000_000_000_000) };

/// The newest revision that [`Peer`] knows: a call with it gets no update.
pub const LATEST_REVISION: u64 = 300;

#[derive(Clone, Default)]
pub struct Peer {
    /// The revision that each call to `store_update` knew.
    pub known_revisions: Arc<Mutex<Vec<u64>>>,
    /// Delay before each response to `store_update`, in milliseconds.
    pub delay_ms: Arc<AtomicU64>,
}

impl ControlHandler for Peer {
    async fn store_page(&self, known: KnownStore, _: Option<String>) -> Option<StorePage> {
        let since = known.version.revision;
        let delay = self.delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay)).await;
        self.known_revisions.lock().unwrap().push(since);
        if since >= LATEST_REVISION {
            return None;
        }
        let version = Version::new(known.version.era, since + 1);
        let page = UpdatePage { since: Some(known.version), version, ..UpdatePage::default() };
        Some(StorePage { page, complete_in: None, document: None })
    }

    async fn caches_page(&self, _: Option<ServerKey>) -> Option<CachesPage> {
        None
    }

    async fn status(&self) -> Option<InstanceStatus> {
        Some(InstanceStatus { name: "peer".to_owned(), ..InstanceStatus::default() })
    }

    fn report_snapshot(&self) -> Snapshot {
        Snapshot {
            instance: "peer".to_owned(),
            started_at: Timestamp::default(),
            taken_at: Timestamp::default(),
            series: Vec::new(),
        }
    }

    async fn stream_origin(&self, stream: StreamId) -> Option<StreamOrigin> {
        (stream == KNOWN_STREAM).then(stream_origin)
    }

    async fn deduced_origin(&self, _: StreamId, service: ServiceId) -> Option<StreamOrigin> {
        let origin = stream_origin();
        (service == origin.service).then_some(origin)
    }
}

/// The only stream of which a [`Peer`] knows where it began.
pub const KNOWN_STREAM: StreamId = StreamId(7);

/// Where [`KNOWN_STREAM`] began.
pub fn stream_origin() -> StreamOrigin {
    StreamOrigin { run: ServerKey(1), service: ServiceId(2), version: Some("v1".into()) }
}

/// What an instance knows that has every change up to a revision of the first era.
pub fn known(revision: u64) -> KnownStore {
    KnownStore { version: Version::new(1, revision), document_version: 1 }
}

pub fn options() -> Options {
    Options {
        connect_timeout: Millis(300),
        call_timeout: Millis(300),
        idle_timeout: Millis(500),
        ..Options::default()
    }
}

pub async fn listen(secret: &str, counters: &Counters) -> (Peer, Server) {
    let peer = Peer::default();
    let any = "127.0.0.1:0".parse().unwrap();
    let key = HandshakeKey::derive(secret.as_bytes());
    let served = serve(any, key, options(), counters.clone(), peer.clone()).await;
    (peer, served.unwrap())
}

pub fn links(secret: &str, counters: &Counters) -> Links {
    let key = HandshakeKey::derive(secret.as_bytes());
    Links::new(INITIATOR, key, options(), counters.clone())
}

/// Forwards connections to a target. Silenced connections stay open but forward nothing more.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    /// Number of connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    /// Connections whose number is below this value are silenced.
    silenced_below: tokio::sync::watch::Sender<usize>,
}

impl Relay {
    pub async fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            accepted: Arc::default(),
            silenced_below: tokio::sync::watch::channel(0).0,
        };
        let accepting = relay.clone();
        tokio::spawn(async move {
            while let Ok((from, _)) = listener.accept().await {
                let number = accepting.accepted.fetch_add(1, Ordering::Relaxed);
                let to = TcpStream::connect(target).await.unwrap();
                tokio::spawn(forward(from, to, number, accepting.silenced_below.subscribe()));
            }
        });
        relay
    }

    /// Silences the connections that were accepted so far.
    pub fn silence_existing(&self) {
        let accepted = self.accepted.load(Ordering::Relaxed);
        self.silenced_below.send_replace(accepted);
    }

    /// Silences all connections, including later ones.
    pub fn silence_all(&self) {
        self.silenced_below.send_replace(usize::MAX);
    }
}

async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    number: usize,
    mut silenced_below: tokio::sync::watch::Receiver<usize>,
) {
    let silenced = async move {
        let _ = silenced_below.wait_for(|&below| number < below).await;
    };
    tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut from, &mut to) => return,
        () = silenced => {}
    }
    // Keeps both connections open without forwarding.
    std::future::pending::<()>().await;
}
