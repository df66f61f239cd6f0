//! The cases of the review that are scripts.

mod cold_server;
mod high_rank;
mod late_configuration;
mod refused_route;

use crate::{Record, Verdict};

/// Runs the case with this number.
pub fn run(case: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match case {
        "11" => late_configuration::run(trouble, record),
        "13" => high_rank::run(trouble, record),
        "14" => refused_route::run(trouble, record),
        "15" => cold_server::run(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

/// A configuration of one service with two routes, `/status/` (idempotent) and `/book/` (once), and
/// `tenants` as JSON.
pub fn configuration(version: u64, timeout_ms: u64, service: &str, tenants: &str) -> String {
    let routes = [
        route("status", "idempotent", timeout_ms, 2),
        route("book", "non_idempotent", timeout_ms, 1),
    ];
    configuration_of(version, &routes, service, tenants)
}

/// A route of the service `orders-app` for the paths under `/NAME/`.
pub fn route(name: &str, kind: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"hostname\":\"orders.example\",\"prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":100,\
             \"priority\":2,\"service\":\"orders-app\",\"max_attempts\":{attempts},\
             \"anonymous\":false,\"session_affinity\":false,\"stream_resumption\":false}}"
    )
}

/// A configuration with these routes and one service.
pub fn configuration_of(version: u64, routes: &[String], service: &str, tenants: &str) -> String {
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{service}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":390000}},\
         \"tenants\":{tenants}}}"
    )
}

/// The head of a request.
pub fn request(method: &str, path: &str, id: &str, key: &str, ms: u64, length: usize) -> String {
    let length = match length {
        0 => String::new(),
        length => format!("Content-Length: {length}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: {ms}\r\nX-Api-Key: {key}\r\n{length}\r\n"
    )
}
