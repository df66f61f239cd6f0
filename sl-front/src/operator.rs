//! The operators' port (status, burn report, planned stop) and the port for machines
//! (liveness, readiness, metrics); see docs/OPERATIONS.md.

use std::{future::Future, io::Cursor, sync::Arc};

use rocket::{
    Data, Request, Response, Route,
    http::{ContentType, Method, Status},
    route::{Handler, Outcome},
};
use sl_base::Millis;
use subtle::{Choice, ConstantTimeEq};

use crate::Daemon;

/// BLAKE3 hash of the operators' key.
pub type KeyHash = [u8; 32];

/// Takes each call on the operators' port.
#[derive(Clone)]
pub(crate) struct Operator<N: Daemon> {
    node: N,
    key_hashes: Arc<[KeyHash]>,
}

/// Takes each call on the port for the balancer and for metrics.
#[derive(Clone)]
pub(crate) struct Watched<N: Daemon>(pub(crate) N);

impl<N: Daemon> Operator<N> {
    pub(crate) fn new(node: N, key_hashes: &[KeyHash]) -> Operator<N> {
        Operator { node, key_hashes: key_hashes.into() }
    }

    pub(crate) fn routes(self) -> Vec<Route> {
        [Method::Get, Method::Head, Method::Post]
            .into_iter()
            .map(|method| Route::new(method, "/<_..>", self.clone()))
            .collect()
    }

    async fn take(&self, req: &Request<'_>) -> Response<'static> {
        let path = req.uri().path();
        let is_read = req.method() != Method::Post;
        match path.as_str() {
            "/status" if is_read => self.guarded(req, self.node.status()).await,
            "/report" if is_read => self.guarded(req, self.node.report()).await,
            "/drain" if !is_read => self.drain(req).await,
            _ => plain(Status::NotFound, "no such call\n"),
        }
    }

    async fn guarded(
        &self,
        req: &Request<'_>,
        report: impl Future<Output = Option<String>>,
    ) -> Response<'static> {
        if !self.is_operator(req) {
            return forbidden();
        }
        match report.await {
            Some(report) => json(report),
            None => on_its_way_out(),
        }
    }

    async fn drain(&self, req: &Request<'_>) -> Response<'static> {
        if !self.is_operator(req) {
            return forbidden();
        }
        let Ok(within) = within(req) else {
            return plain(Status::BadRequest, "within_ms is not a number\n");
        };
        match self.node.drain(within).await {
            true => plain(Status::Accepted, "draining\n"),
            false => on_its_way_out(),
        }
    }

    fn is_operator(&self, req: &Request<'_>) -> bool {
        let token = req
            .headers()
            .get_one("authorization")
            .and_then(|it| it.strip_prefix("Bearer "))
            .unwrap_or_default();
        let hash = blake3::hash(token.trim().as_bytes());
        let mut found = Choice::from(0);
        for it in self.key_hashes.iter() {
            found |= hash.as_bytes().ct_eq(it);
        }
        found.into()
    }
}

impl<N: Daemon> Watched<N> {
    pub(crate) fn routes(self) -> Vec<Route> {
        [Method::Get, Method::Head]
            .into_iter()
            .map(|method| Route::new(method, "/<_..>", self.clone()))
            .collect()
    }

    async fn take(&self, path: &str) -> Response<'static> {
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
impl<N: Daemon> Handler for Watched<N> {
    async fn handle<'r>(&self, req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.take(req.uri().path().as_str()).await)
    }
}

#[rocket::async_trait]
impl<N: Daemon> Handler for Operator<N> {
    async fn handle<'r>(&self, req: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        Outcome::Success(self.take(req).await)
    }
}

/// The deadline that `/drain?within_ms=` asks for.
fn within(req: &Request<'_>) -> Result<Option<Millis>, ()> {
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
    res.set_raw_header("Content-Type", OPEN_METRICS);
    res.set_sized_body(text.len(), Cursor::new(text));
    res
}

fn on_its_way_out() -> Response<'static> {
    plain(Status::ServiceUnavailable, "on its way out\n")
}

fn forbidden() -> Response<'static> {
    plain(Status::Unauthorized, "the operators' key is wanted\n")
}

const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
