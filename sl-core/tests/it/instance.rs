//! Commands that call the operator port of an instance; a minimal HTTP server stands in for it.

use std::{fs, io, net::SocketAddr};

use rstest::rstest;
use sl_base::{
    Millis,
    status::{FleetStatus, InstanceStatus},
};
use sl_core::{
    Exit, OutputFormat,
    drain::{self, drain},
    operator::{self, Operator},
    status,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const KEY: &str = "example-operator-key";

/// Starts a server that sends `responses` in order, one per connection, and repeats the last
/// one. The server exits when it reaches a `None`.
async fn instance(responses: Vec<Option<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut next = 0;
        while let Some(response) = &responses[next] {
            let _ = serve(&listener, response).await;
            next = (next + 1).min(responses.len() - 1);
        }
    });
    address
}

async fn serve(listener: &TcpListener, response: &str) -> io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let mut request = vec![0; 4_096];
    let read = stream.read(&mut request).await?;
    let request = String::from_utf8_lossy(&request[..read]).to_lowercase();
    let response = match request.contains(&format!("authorization: bearer {KEY}\r\n")) {
        true => response,
        false => "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    };
    stream.write_all(response.as_bytes()).await
}

fn response(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    ))
}

fn fleet(versions: &[u64], unreachable: &[&str]) -> FleetStatus {
    let instance = |(index, version): (usize, &u64)| InstanceStatus {
        name: format!("caerdydd-{index}"),
        document_version: *version,
        ready: true,
        ..InstanceStatus::default()
    };
    FleetStatus {
        instances: versions.iter().enumerate().map(instance).collect(),
        unreachable: unreachable.iter().map(ToString::to_string).collect(),
        ..FleetStatus::default()
    }
}

fn status_response(versions: &[u64], unreachable: &[&str]) -> Option<String> {
    let body = serde_json::to_string(&fleet(versions, unreachable)).unwrap();
    response("200 OK", &body)
}

fn operator(address: SocketAddr, key: &str) -> Operator {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("operator.key");
    fs::write(&path, key).unwrap();
    Operator::new(&operator::Options {
        address: format!("http://{address}"),
        key_file: Some(path),
        response_timeout: Millis(5_000),
    })
    .unwrap()
}

#[rstest]
#[case::wrong_key(response("200 OK", "{}"), "example-other-key", Exit::Refused)]
#[case::stopping(response("503 Service Unavailable", ""), KEY, Exit::Unreachable)]
#[case::no_response(None, KEY, Exit::Unreachable)]
#[case::invalid_body(response("200 OK", "[]"), KEY, Exit::Failed)]
#[tokio::test]
async fn each_failure_of_a_status_call_has_its_exit_code(
    #[case] response: Option<String>,
    #[case] key: &str,
    #[case] exit: Exit,
) {
    let operator = operator(instance(vec![response]).await, key);
    let error = status::status(&operator).await.unwrap_err();
    assert_eq!(error.exit(), exit, "{error}");
}

#[rstest]
#[case::not_waiting(None, drain::Outcome::Draining, Exit::Done)]
#[case::gone(Some(Millis(60_000)), drain::Outcome::Exited, Exit::Done)]
#[tokio::test]
async fn drain_returns_at_once_or_waits_for_the_exit(
    #[case] wait_timeout: Option<Millis>,
    #[case] expected: drain::Outcome,
    #[case] exit: Exit,
) {
    let responses = vec![response("202 Accepted", ""), status_response(&[1], &[]), None];
    let operator = operator(instance(responses).await, KEY);
    let options = drain::Options { drain_timeout: None, wait_timeout };
    let outcome = drain(&operator, &options).await.unwrap();
    assert_eq!((outcome, outcome.exit()), (expected, exit));
}

#[test]
fn the_table_shows_each_state() {
    let mut fleet = fleet(&[3, 3, 2], &["bangor-1"]);
    fleet.instances[0].ready = false;
    fleet.instances[1].stopping = true;
    let mut out = Vec::new();
    status::Outcome { fleet }.write(OutputFormat::Text, &mut out).unwrap();
    let out = String::from_utf8(out).unwrap();
    for state in ["not ready", "stopping", "ready", "no answer"] {
        assert!(out.contains(state), "{state} is not in\n{out}");
    }
}
