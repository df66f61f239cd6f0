//! Calls to an instance's operator port, which a small server stands for here.

use std::{fs, io, net::SocketAddr};

use rstest::rstest;
use sl_base::{
    Millis,
    status::{FleetStatus, InstanceStatus},
};
use sl_core::{
    Exit, Form,
    drain::{self, drain},
    operator::{self, Operator},
    status,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const KEY: &str = "example-operator-key";

/// Answers one call after another with `answers`, the last one for good, and nothing once
/// it comes to an answer that is none.
async fn instance(answers: Vec<Option<String>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut at = 0;
        while let Some(answer) = &answers[at] {
            let _ = serve(&listener, answer).await;
            at = (at + 1).min(answers.len() - 1);
        }
    });
    address
}

async fn serve(listener: &TcpListener, answer: &str) -> io::Result<()> {
    let (mut stream, _) = listener.accept().await?;
    let mut request = vec![0; 4_096];
    let read = stream.read(&mut request).await?;
    let request = String::from_utf8_lossy(&request[..read]).to_lowercase();
    let answer = match request.contains(&format!("authorization: bearer {KEY}\r\n")) {
        true => answer,
        false => "HTTP/1.1 401 Unauthorized\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    };
    stream.write_all(answer.as_bytes()).await
}

fn answer(status: &str, body: &str) -> Option<String> {
    let length = body.len();
    Some(format!(
        "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    ))
}

fn fleet(revisions: &[u64], silent: &[&str]) -> FleetStatus {
    let instance = |(at, version): (usize, &u64)| InstanceStatus {
        name: format!("caerdydd-{at}"),
        document_version: *version,
        ready: true,
        ..InstanceStatus::default()
    };
    FleetStatus {
        instances: revisions.iter().enumerate().map(instance).collect(),
        unreachable: silent.iter().map(ToString::to_string).collect(),
        ..FleetStatus::default()
    }
}

fn status_of(revisions: &[u64], silent: &[&str]) -> Option<String> {
    let body = serde_json::to_string(&fleet(revisions, silent)).unwrap();
    answer("200 OK", &body)
}

fn operator(address: SocketAddr, key: &str) -> Operator {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("operator.key");
    fs::write(&path, key).unwrap();
    Operator::new(&operator::Options {
        address: format!("http://{address}"),
        key_file: Some(path),
        answer_within: Millis(5_000),
    })
    .unwrap()
}

#[rstest]
#[case::wrong_key(answer("200 OK", "{}"), "example-other-key", Exit::Refused)]
#[case::on_its_way_out(answer("503 Service Unavailable", ""), KEY, Exit::Unreachable)]
#[case::nobody_there(None, KEY, Exit::Unreachable)]
#[case::no_status(answer("200 OK", "[]"), KEY, Exit::Failed)]
#[tokio::test]
async fn a_status_that_does_not_come(
    #[case] answer: Option<String>,
    #[case] key: &str,
    #[case] exit: Exit,
) {
    let operator = operator(instance(vec![answer]).await, key);
    let error = status::status(&operator).await.unwrap_err();
    assert_eq!(error.exit(), exit, "{error}");
}

#[rstest]
#[case::not_waiting(None, drain::Outcome::Draining, Exit::Done)]
#[case::gone(Some(Millis(60_000)), drain::Outcome::Gone, Exit::Done)]
#[tokio::test]
async fn drain_waits_for_the_end(
    #[case] wait: Option<Millis>,
    #[case] wanted: drain::Outcome,
    #[case] exit: Exit,
) {
    let answers = vec![answer("202 Accepted", ""), status_of(&[1], &[]), None];
    let operator = operator(instance(answers).await, KEY);
    let options = drain::Options { within: None, wait };
    let outcome = drain(&operator, &options).await.unwrap();
    assert_eq!((outcome, outcome.exit()), (wanted, exit));
}

#[test]
fn the_table_tells_each_state() {
    let mut fleet = fleet(&[3, 3, 2], &["bangor-1"]);
    fleet.instances[0].ready = false;
    fleet.instances[1].stopping = true;
    let mut out = Vec::new();
    status::Outcome { fleet }.write(Form::Text, &mut out).unwrap();
    let out = String::from_utf8(out).unwrap();
    for state in ["not ready", "stopping", "ready", "no answer"] {
        assert!(out.contains(state), "{state} is not in\n{out}");
    }
}
