use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use rstest::rstest;
use sl_peer::{Counters, PeerUnreachable};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::bed::{PEER, Relay, links, listen};

#[tokio::test]
async fn messages_arrive_with_who_sent_them() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links.store_update(PEER, server.address, 3).await.unwrap();
    assert_eq!(*peer.got.lock().unwrap(), [3]);
    let status = links.status(PEER, server.address).await.unwrap();
    assert_eq!(status.unwrap().name, "peer");
    let burn = links.report_snapshot(PEER, server.address).await.unwrap();
    assert_eq!(burn.instance, "peer");
}

#[rstest]
#[case::another_key("another")]
#[case::no_key("")]
#[tokio::test]
async fn a_stranger_is_not_admitted(#[case] secret: &str) {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let links = links(secret, &counters);
    let answer = links.store_update(PEER, server.address, 3).await;
    assert_eq!(answer, Err(PeerUnreachable));
    assert!(peer.got.lock().unwrap().is_empty());
}

#[tokio::test]
async fn what_was_said_once_is_not_taken_again() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let said = record(&server).await;
    assert_eq!(peer.got.lock().unwrap().len(), 1);
    let mut stream = TcpStream::connect(server.address).await.unwrap();
    stream.write_all(&said).await.unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut answer));
    let _ = read.await.expect("the connection is closed");
    assert_eq!(peer.got.lock().unwrap().len(), 1);
}

/// All that a fellow instance says on a connection with one call, recorded on the way.
async fn record(server: &sl_peer::Server) -> Vec<u8> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let target = server.address;
    let recorded = tokio::spawn(async move {
        let (from, _) = listener.accept().await.unwrap();
        let (mut said, mut heard) = from.into_split();
        let to = TcpStream::connect(target).await.unwrap();
        let (mut answers, mut calls) = to.into_split();
        tokio::spawn(async move { tokio::io::copy(&mut answers, &mut heard).await });
        let mut all = Vec::new();
        while let Ok(byte) = said.read_u8().await {
            all.push(byte);
            calls.write_u8(byte).await.unwrap();
        }
        all
    });
    let links = links("secret", &Counters::default());
    links.store_update(PEER, address, 1).await.unwrap();
    drop(links);
    recorded.await.unwrap()
}

#[tokio::test]
async fn a_link_that_fell_silent_is_replaced_before_the_peer_is_blamed() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    links.store_update(PEER, relay.address, 1).await.unwrap();
    relay.silence_standing();
    links.store_update(PEER, relay.address, 2).await.unwrap();
    assert_eq!(relay.accepted.load(Ordering::Relaxed), 2);
    let last = peer.got.lock().unwrap().last().cloned();
    assert_eq!(last, Some(2));
}

#[tokio::test]
async fn a_peer_that_is_gone_is_said_to_be_silent_in_time() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    links.store_update(PEER, relay.address, 1).await.unwrap();
    relay.silence_all();
    let start = Instant::now();
    let answer = links.store_update(PEER, relay.address, 2).await;
    assert_eq!(answer, Err(PeerUnreachable));
    assert!(start.elapsed() < Duration::from_secs(2));
}

#[tokio::test]
async fn a_peer_that_is_too_slow_is_said_to_be_silent() {
    let counters = Counters::default();
    let (peer, server) = listen("secret", &counters).await;
    peer.slow_millis.store(2_000, Ordering::Relaxed);
    let links = links("secret", &counters);
    let answer = links.store_update(PEER, server.address, 1).await;
    assert_eq!(answer, Err(PeerUnreachable));
    peer.slow_millis.store(0, Ordering::Relaxed);
    let answer = links.store_update(PEER, server.address, 2).await;
    assert!(answer.is_ok());
}

#[tokio::test]
async fn a_peer_that_came_back_elsewhere_is_found() {
    let counters = Counters::default();
    let (_, first) = listen("secret", &counters).await;
    let links = links("secret", &counters);
    links.store_update(PEER, first.address, 1).await.unwrap();
    drop(first);
    let (peer, second) = listen("secret", &counters).await;
    links.store_update(PEER, second.address, 2).await.unwrap();
    assert_eq!(*peer.got.lock().unwrap(), [2]);
}

#[tokio::test]
async fn an_idle_connection_is_closed_and_made_anew() {
    let counters = Counters::default();
    let (_, server) = listen("secret", &counters).await;
    let relay = Relay::start(server.address).await;
    let links = links("secret", &counters);
    for expected in [1, 1, 2] {
        if expected == 2 {
            tokio::time::sleep(Duration::from_millis(900)).await;
        }
        links.store_update(PEER, relay.address, 1).await.unwrap();
        assert_eq!(relay.accepted.load(Ordering::Relaxed), expected);
    }
}
