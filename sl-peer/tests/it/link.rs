use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rstest::rstest;
use sl_base::StreamId;
use sl_peer::{Counters, PeerUnreachable};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::testbed::{KNOWN_STREAM, PEER, Relay, known, links, listen, stream_origin};

#[tokio::test]
async fn calls_are_answered_by_the_peer() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links.store_update(PEER, server.address, known(3)).await.unwrap();
    assert_eq!(*peer.known_revisions.lock().unwrap(), [3]);
    let status = links.status(PEER, server.address).await.unwrap();
    assert_eq!(status.unwrap().name, "peer");
    let burn = links.report_snapshot(PEER, server.address).await.unwrap();
    assert_eq!(burn.instance, "peer");
    let origin = links.stream_origin(PEER, server.address, KNOWN_STREAM).await.unwrap();
    assert_eq!(origin, Some(stream_origin()));
    let unknown = links.stream_origin(PEER, server.address, StreamId(8)).await.unwrap();
    assert_eq!(unknown, None);
    let service = stream_origin().service;
    let deduced = links.deduced_origin(PEER, server.address, StreamId(8), service).await.unwrap();
    assert_eq!(deduced, Some(stream_origin()));
}

#[rstest]
#[case::another_key("another")]
#[case::no_key("")]
#[tokio::test]
async fn an_instance_without_the_key_is_rejected(#[case] secret: &str) {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let links = links(secret, &counters);
    let response = links.store_update(PEER, server.address, known(3)).await;
    assert_eq!(response, Err(PeerUnreachable.into()));
    assert!(peer.known_revisions.lock().unwrap().is_empty());
}

#[tokio::test]
async fn a_replayed_connection_is_rejected() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let recorded = record(&server).await;
    assert_eq!(peer.known_revisions.lock().unwrap().len(), 1);
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(&recorded).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response));
    let _ = read.await.expect("the control port closes a replayed connection");
    assert_eq!(peer.known_revisions.lock().unwrap().len(), 1);
}

/// Records all bytes that an instance sends on a link with one call.
async fn record(server: &sl_peer::Server) -> Vec<u8> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = server.address;
    let recorded = tokio::spawn(async move {
        let (from, _) = listener.accept().await.unwrap();
        let (mut from_caller, mut to_caller) = from.into_split();
        let to = TcpStream::connect(target).await.unwrap();
        let (mut from_server, mut to_server) = to.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut from_server, &mut to_caller).await });
        let mut all = Vec::new();
        while let Ok(byte) = from_caller.read_u8().await {
            all.push(byte);
            to_server.write_u8(byte).await.unwrap();
        }
        all
    });
    let links = links("secret", &Counters::default());
    links.store_update(PEER, address, known(1)).await.unwrap();
    drop(links);
    recorded.await.unwrap()
}

#[tokio::test]
async fn a_dead_link_is_replaced_before_the_peer_counts_as_unreachable() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    links.store_update(PEER, relay.address, known(1)).await.unwrap();
    relay.silence_existing();
    links.store_update(PEER, relay.address, known(2)).await.unwrap();
    assert_eq!(relay.accepted.load(Ordering::Relaxed), 2);
    let last = peer.known_revisions.lock().unwrap().last().cloned();
    assert_eq!(last, Some(2));
}

#[tokio::test]
async fn a_peer_that_stops_responding_is_reported_unreachable_in_time() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    links.store_update(PEER, relay.address, known(1)).await.unwrap();
    relay.silence_all();
    let start = Instant::now();
    let response = links.store_update(PEER, relay.address, known(2)).await;
    assert_eq!(response, Err(PeerUnreachable.into()));
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn a_peer_that_responds_too_late_is_reported_unreachable() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    peer.delay_ms.store(2_000, Ordering::Relaxed);
    let links = links("secret", &counters);
    let response = links.store_update(PEER, server.address, known(1)).await;
    assert_eq!(response, Err(PeerUnreachable.into()));
    peer.delay_ms.store(0, Ordering::Relaxed);
    let response = links.store_update(PEER, server.address, known(2)).await;
    assert!(response.is_ok());
}

#[tokio::test]
async fn a_peer_that_restarts_at_another_address_is_reached() {
    let counters = Counters::default();
    let (_, first) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links.store_update(PEER, first.address, known(1)).await.unwrap();
    drop(first);
    let (peer, second) = listen("secret", &counters).await;
    links.store_update(PEER, second.address, known(2)).await.unwrap();
    assert_eq!(*peer.known_revisions.lock().unwrap(), [2]);
}

#[tokio::test]
async fn an_idle_link_is_closed_and_reopened_by_the_next_call() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    for expected in [1, 1, 2] {
        if expected == 2 {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        links.store_update(PEER, relay.address, known(1)).await.unwrap();
        assert_eq!(relay.accepted.load(Ordering::Relaxed), expected);
    }
}
