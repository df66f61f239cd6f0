//! Rocket with one handler for every path and method.

use std::{future::Future, io, net::SocketAddr};

use bytes::Bytes;
use futures::{Stream, StreamExt};
use rocket::{
    Config, Data, Request, Route, Shutdown,
    data::ToByteUnit,
    fairing::AdHoc,
    http::{Method, Status},
    response::{Response, stream::ReaderStream},
    route::{Handler, Outcome},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::oneshot;

pub(crate) type Answer = Response<'static>;

/// A request read whole.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) remote: Option<SocketAddr>,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Bytes,
}

impl Incoming {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name))?;
        Some(&found.1)
    }

    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|(it, _)| *it == name)?.1.parse().ok()
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Refusal> {
        serde_json::from_slice(&self.body)
            .map_err(|err| Refusal(Status::UnprocessableEntity, err.to_string()))
    }
}

/// A call that is not taken, and why.
#[derive(Debug)]
pub(crate) struct Refusal(Status, String);

impl Refusal {
    pub(crate) fn not_found() -> Refusal {
        Refusal(Status::NotFound, "there is no such thing here".to_owned())
    }
}

impl From<Refusal> for Answer {
    fn from(Refusal(status, why): Refusal) -> Answer {
        text(status, why)
    }
}

/// Answers requests.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    fn answer(&self, call: Incoming) -> impl Future<Output = Answer> + Send;
}

/// A running Rocket.
#[derive(Debug)]
pub(crate) struct Serving {
    pub(crate) address: SocketAddr,
    shutdown: Shutdown,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// The largest body that a stand-in reads, in bytes.
const BODY_MAX: u64 = 64 << 20;

const METHODS: [Method; 9] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Trace,
    Method::Connect,
    Method::Patch,
];

pub(crate) async fn serve<S: Service>(listen: SocketAddr, service: S) -> io::Result<Serving> {
    let config = Config {
        address: listen.ip(),
        port: listen.port(),
        log_level: rocket::config::LogLevel::Off,
        shutdown: rocket::config::Shutdown {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: 0,
            mercy: 0,
            ..Default::default()
        },
        ..Config::release_default()
    };
    let (tx, rx) = oneshot::channel();
    let routes: Vec<Route> = METHODS
        .into_iter()
        .map(|method| Route::new(method, "/<path..>", Whole(service.clone())))
        .collect();
    let rocket = rocket::custom(config).mount("/", routes).attach(AdHoc::on_liftoff(
        "address",
        move |rocket| {
            let config = rocket.config();
            let _ = tx.send((SocketAddr::new(config.address, config.port), rocket.shutdown()));
            Box::pin(async {})
        },
    ));
    // An error that nobody looked at panics when it is dropped, also one of the shutdown.
    let running = tokio::spawn(async move {
        rocket.launch().await.map(drop).map_err(|e| {
            let text = e.to_string();
            let _ = e.kind();
            text
        })
    });
    match rx.await {
        Ok((address, shutdown)) => Ok(Serving { address, shutdown }),
        Err(_) => match running.await {
            Ok(Err(text)) => Err(io::Error::other(text)),
            _ => Err(io::Error::other("the stand-in ended at its start")),
        },
    }
}

#[derive(Clone)]
struct Whole<S>(S);

#[rocket::async_trait]
impl<S: Service> Handler for Whole<S> {
    async fn handle<'r>(&self, req: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let Ok(body) = data.open(BODY_MAX.bytes()).into_bytes().await else {
            return Outcome::Success(text(Status::BadRequest, "the body broke off"));
        };
        let incoming = Incoming {
            remote: req.remote(),
            method: req.method(),
            path: req.uri().path().as_str().to_owned(),
            query: req.uri().query().map_or("", |it| it.as_str()).to_owned(),
            headers: req
                .headers()
                .iter()
                .map(|it| (it.name().to_string(), it.value().to_owned()))
                .collect(),
            body: body.into_inner().into(),
        };
        Outcome::Success(self.0.answer(incoming).await)
    }
}

pub(crate) fn text(status: Status, text: impl Into<String>) -> Answer {
    let text = text.into();
    Response::build().status(status).sized_body(text.len(), io::Cursor::new(text)).finalize()
}

pub(crate) fn empty(status: Status) -> Answer {
    text(status, "")
}

pub(crate) fn bytes(status: Status, bytes: Bytes) -> Answer {
    Response::build().status(status).sized_body(bytes.len(), io::Cursor::new(bytes)).finalize()
}

pub(crate) fn json<T: Serialize>(value: &T) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build_from(bytes(Status::Ok, body.into()))
            .raw_header("Content-Type", "application/json")
            .finalize(),
        Err(err) => text(Status::InternalServerError, err.to_string()),
    }
}

pub(crate) fn event_stream(stream: impl Stream<Item = Bytes> + Send + 'static) -> Answer {
    let stream = Box::pin(stream.map(io::Cursor::new));
    Response::build()
        .raw_header("Content-Type", "text/event-stream")
        .raw_header("Cache-Control", "no-cache")
        .streamed_body(ReaderStream::from(stream))
        .finalize()
}
