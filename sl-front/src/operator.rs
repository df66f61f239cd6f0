//! Request handlers of the operator port (status, burn-rate report, drain) and of the metrics
//! port (liveness, readiness, metrics); see docs/OPERATIONS.md.

use std::{future::Future, io::Cursor, sync::Arc};

use rocket::{
    Data, Request, Response, Route,
    http::{ContentType, Method, Status},
    route::{Handler, Outcome},
};
use sl_base::Millis;
use subtle::{Choice, ConstantTimeEq};

use crate::Daemon;

/// BLAKE3 hash of an operator key.
pub type KeyHash = [u8; 32];

/// Handles all requests on the operator port.
#[derive(Clone)]
pub(crate) struct OperatorPort<D: Daemon> {
    daemon: D,
    key_hashes: Arc<[KeyHash]>,
}

/// Handles all requests on the metrics port, which needs no key.
#[derive(Clone)]
pub(crate) struct MetricsPort<D: Daemon>(pub(crate) D);

impl<D: Daemon> OperatorPort<D> {
    pub(crate) fn new(daemon: D, key_hashes: &[KeyHash]) -> OperatorPort<D> {
        OperatorPort { daemon, key_hashes: key_hashes.into() }
    }

    pub(crate) fn routes(self) -> Vec<Route> {
        [Method::Get, Method::Head, Method::Post]
            .into_iter()
            .map(|method| Route::new(method, "/<_..>", self.clone()))
            .collect()
    }

    async fn dispatch(&self, req: &Request<'_>) -> Response<'static> {
        let path = req.uri().path();
        let is_read = req.method() != Method::Post;
        match path.as_str() {
            "/status" if is_read => self.authorized_json(req, self.daemon.status()).await,
            "/report" if is_read => self.authorized_json(req, self.daemon.report()).await,
            "/drain" if !is_read => self.drain(req).await,
            _ => plain(Status::NotFound, "no such call\n"),
        }
    }

    async fn authorized_json(
        &self,
        req: &Request<'_>,
        report: impl Future<Output = Option<String>>,
    ) -> Response<'static> {
        if !self.is_operator(req) {
            return unauthorized();
        }
        match report.await {
            Some(report) => json(report),
            None => shutting_down(),
        }
    }

    async fn drain(&self, req: &Request<'_>) -> Response<'static> {
        if !self.is_operator(req) {
            return unauthorized();
        }
        let Ok(timeout) = drain_timeout(req) else {
            return plain(Status::BadRequest, "within_ms is not a number\n");
        };
        match self.daemon.drain(timeout).await {
            true => plain(Status::Accepted, "draining\n"),
            false => shutting_down(),
        }
    }

    fn is_operator(&self, req: &Request<'_>) -> bool {
        let token = req
            .headers()
            .get_one("authorization")
            .and_then(|it| it.strip_prefix("Bearer "))
            .unwrap_or_default();
        let hash = blake3::hash(token.trim().as_bytes());
        // Compares with every hash, so that the duration does not depend on which one matches.
        let mut matches = Choice::from(0);
        for expected in self.key_hashes.iter() {
            matches |= hash.as_bytes().ct_eq(expected);
        }
        matches.into()
    }
}

impl<D: Daemon> MetricsPort<D> {
    pub(crate) fn routes(self) -> Vec<Route> {
        [Method::Get, Method::Head]
            .into_iter()
            .map(|method| Route::new(method, "/<_..>", self.clone()))
            .collect()
    }

    async fn dispatch(&self, path: &str) -> Response<'static> {
        match path {
            "/live" => plain(Status::Ok, "live\n"),
            "/ready" if self.0.is_ready() => plain(Status::Ok, "ready\n"),
            "/ready" => plain(Status::ServiceUnavailable, "not ready\n"),
            "/metrics" => metrics(self.0.metrics().await),
            _ => plain(Status::NotFound, "no such call\n"),
        }
    }
}

#[rocket::async_trait]
impl<D: Daemon> Handler for MetricsPort<D> {
    async fn handle<'r>(&self, req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.dispatch(req.uri().path().as_str()).await)
    }
}

#[rocket::async_trait]
impl<D: Daemon> Handler for OperatorPort<D> {
    async fn handle<'r>(&self, req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.dispatch(req).await)
    }
}

/// Parses the timeout in `/drain?within_ms=`.
fn drain_timeout(req: &Request<'_>) -> Result<Option<Millis>, ()> {
    match req.query_value::<u64>("within_ms") {
        None => Ok(None),
        Some(Ok(millis)) => Ok(Some(Millis(millis))),
        Some(Err(_)) => Err(()),
    }
}

fn plain(status: Status, text: &'static str) -> Response<'static> {
    let mut res = Response::new();
    res.set_status(status);
    res.set_header(ContentType::Plain);
    res.set_sized_body(text.len(), Cursor::new(text));
    res
}

fn json(text: String) -> Response<'static> {
    let mut res = Response::new();
    res.set_header(ContentType::JSON);
    res.set_sized_body(text.len(), Cursor::new(text));
    res
}

fn metrics(text: String) -> Response<'static> {
    let mut res = Response::new();
    res.set_raw_header("Content-Type", OPEN_METRICS_TYPE);
    res.set_sized_body(text.len(), Cursor::new(text));
    res
}

fn shutting_down() -> Response<'static> {
    plain(Status::ServiceUnavailable, "on its way out\n")
}

fn unauthorized() -> Response<'static> {
    plain(Status::Unauthorized, "the operators' key is wanted\n")
}

const OPEN_METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
