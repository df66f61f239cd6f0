use std::{
    future::pending,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use sl_back::{AnswerSink, CallerGone, Client, Forward, Head, HeaderMap, Method, Options};
use sl_base::{AttemptId, Millis, RequestId, ServerId, Timestamp};
use sl_config::Cost;
use sl_step::{effect::Dispatch, event::AttemptEnd};
use stand_ins::{Backends, Kind, Spec};

/// Takes everything, or goes away or stops reading after so many pieces.
#[derive(Debug, Default)]
pub struct Sink {
    pub head: Option<Head>,
    pub body: Vec<u8>,
    pub chunks: usize,
    pub progress: Vec<u64>,
    pub gone_after: Option<usize>,
    pub stuck_after: Option<usize>,
}

impl AnswerSink for Sink {
    async fn head(&mut self, head: Head) -> Result<(), CallerGone> {
        assert!(self.head.replace(head).is_none(), "one head only");
        Ok(())
    }

    async fn chunk(&mut self, chunk: Bytes) -> Result<(), CallerGone> {
        self.chunks += 1;
        if self.gone_after.is_some_and(|it| self.chunks > it) {
            return Err(CallerGone);
        }
        if self.stuck_after.is_some_and(|it| self.chunks > it) {
            pending::<()>().await;
        }
        self.body.extend_from_slice(&chunk);
        Ok(())
    }

    fn progress(&mut self, units: u64) {
        self.progress.push(units);
    }
}

pub fn now() -> Timestamp {
    let span = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Timestamp::from_micros(u64::try_from(span.as_micros()).unwrap())
}

pub type TestClient = Client<fn() -> Timestamp>;

pub fn client() -> TestClient {
    Client::new(Options::default(), now as fn() -> Timestamp).unwrap()
}

pub fn dispatch(address: SocketAddr) -> Dispatch {
    let start = now();
    Dispatch {
        request: RequestId(1),
        attempt: AttemptId(7),
        server: ServerId(1),
        address,
        dispatch_by: start.after(Millis(3_000)),
        first_byte_by: start.after(Millis(5_000)),
        idle_within: Millis(5_000),
        total_by: start.after(Millis(20_000)),
    }
}

pub fn chat(tokens: u64) -> Forward {
    let body = format!(r#"{{"max_tokens":{tokens},"prompt_tokens":80,"stream":true}}"#);
    Forward {
        method: Method::POST,
        target: "/v1/chat/completions".parse().unwrap(),
        headers: HeaderMap::new(),
        body: body.into(),
        idempotent: true,
        cost: Cost::Tokens,
    }
}

pub fn booking(body: &str) -> Forward {
    Forward {
        method: Method::POST,
        target: "/bookings".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        idempotent: false,
        cost: Cost::BusyMillis,
    }
}

pub async fn go(
    client: &TestClient,
    dispatch: &Dispatch,
    forward: Forward,
    sink: &mut Sink,
) -> AttemptEnd {
    client.run(dispatch, forward, sink, pending()).await
}

pub async fn engine(tokens_per_second: u32) -> Backends {
    let kind =
        Kind::Engine { tokens_per_second, prompt_tokens_per_second: 100_000, report_lag_ms: 0 };
    start(kind).await
}

pub async fn plain(service_ms: u64) -> Backends {
    start(Kind::Plain { service_ms }).await
}

async fn start(kind: Kind) -> Backends {
    let spec = Spec {
        name: "one".into(),
        pool: "pool".into(),
        data_centre: "dc".into(),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        slots: 4,
        kind,
    };
    Backends::start(vec![spec], 1).await.unwrap()
}

/// Waits for what must come about, and fails where it does not within ten seconds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let met = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let limit = Duration::from_secs(10);
    assert!(tokio::time::timeout(limit, met).await.is_ok(), "{what}");
}
